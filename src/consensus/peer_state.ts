import type { Verdict } from "./message.ts";

/**
 * Position of an entry. Positions are ordered by the term of the entry, then
 * by its index: within one term of an instance its last entry can be replaced
 * by one of a later term at the same or a lower index.
 */
export interface LogPosition {
  /** Term of the entry; 0 with an index is unknown (earlier layout). */
  readonly lastTerm: number;
  readonly lastIndex: number;
}

/**
 * What an instance durably remembers of another one. `term` and the position
 * order the other's history: its term never falls, and within one term the
 * position of its last entry never falls below one that it promised.
 */
export interface PeerState extends LogPosition {
  readonly bootCount: number;
  /** Random number of the start, tells two starts with one count apart. */
  readonly bootId: string;
  /** Highest term in which the peer promised anything to us. */
  readonly term: number;
}

/** The durable state with which an instance started. */
export interface StartState extends LogPosition {
  readonly bootCount: number;
  readonly bootId: string;
  readonly term: number;
}

/** The position of an empty log. */
export const emptyPosition: LogPosition = { lastTerm: 0, lastIndex: 0 };

/**
 * Decides whether a started instance is behind what is remembered of it.
 * @param memory What is remembered; absent when nothing is.
 * @param start What the instance says that it started with.
 * @returns The verdict with a reason, and the memory to keep.
 */
export function judgeStart(
  memory: PeerState | undefined,
  start: StartState,
): { verdict: Verdict; reason: string; memory: PeerState } {
  if (memory === undefined) {
    return {
      verdict: "confirmed",
      reason: "",
      // A later leader of the start term may still remove entries that were
      // never acknowledged, so the position at the start is no promise.
      memory: { ...start, ...emptyPosition },
    };
  }
  if (memory.bootId === start.bootId) {
    return { verdict: "confirmed", reason: "", memory };
  }
  const deny = (reason: string) => ({
    verdict: "denied" as const,
    reason,
    memory,
  });
  if (start.bootCount <= memory.bootCount) {
    return deny(
      `boot count ${start.bootCount} is not after ${memory.bootCount}`,
    );
  }
  if (start.term < memory.term) {
    return deny(`term ${start.term} is behind ${memory.term}`);
  }
  if (start.term === memory.term && isBehind(start, memory)) {
    return deny(
      `last entry ${describe(start)} is behind ${describe(memory)}`,
    );
  }
  return {
    verdict: "confirmed",
    reason: "",
    memory: {
      ...memory,
      ...advanceMemory(memory, { term: start.term, ...emptyPosition }),
      bootCount: start.bootCount,
      bootId: start.bootId,
    },
  };
}

/**
 * Adds a promise to what is remembered.
 * @param memory What was remembered.
 * @param progress The term and the position promised in it.
 * @returns The same object when nothing is new.
 */
export function advanceMemory(
  memory: PeerState,
  progress: LogPosition & { readonly term: number },
): PeerState {
  if (progress.term > memory.term) {
    return { ...memory, ...progress };
  }
  if (progress.term === memory.term && isBehind(memory, progress)) {
    return { ...memory, ...progress };
  }
  return memory;
}

function isBehind(left: LogPosition, right: LogPosition): boolean {
  // A position of the earlier layout has no entry term, so only the index can
  // be compared.
  const isComparable = !lacksTerm(left) && !lacksTerm(right);
  return isComparable && left.lastTerm !== right.lastTerm
    ? left.lastTerm < right.lastTerm
    : left.lastIndex < right.lastIndex;
}

function lacksTerm({ lastTerm, lastIndex }: LogPosition): boolean {
  return lastTerm === 0 && lastIndex > 0;
}

function describe({ lastTerm, lastIndex }: LogPosition): string {
  return `${lastIndex} of term ${lastTerm}`;
}
