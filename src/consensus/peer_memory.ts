import type { Verdict } from "./message.ts";

/**
 * What an instance durably remembers of another one. `term` and `lastIndex`
 * order the other's history: its term never falls, and within one term it
 * keeps every entry that it acknowledged.
 */
export interface PeerMemory {
  readonly bootCount: number;
  /** Random number of the start, tells two starts with one count apart. */
  readonly bootId: string;
  /** Highest term in which the peer voted for or acknowledged us. */
  readonly term: number;
  /** Highest index acknowledged in that term. */
  readonly lastIndex: number;
}

/** The durable state with which an instance started. */
export interface StartState {
  readonly bootCount: number;
  readonly bootId: string;
  readonly term: number;
  readonly lastIndex: number;
}

/**
 * Decides whether a started instance is behind what is remembered of it.
 * @param memory What is remembered; absent when nothing is.
 * @param start What the instance says that it started with.
 * @returns The verdict with a reason, and the memory to keep.
 */
export function judgeStart(
  memory: PeerMemory | undefined,
  start: StartState,
): { verdict: Verdict; reason: string; memory: PeerMemory } {
  if (memory === undefined) {
    return {
      verdict: "confirmed",
      reason: "",
      // A later leader of the start term may still remove entries that were
      // never acknowledged, so the last index at the start is no promise.
      memory: { ...start, lastIndex: 0 },
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
  if (start.term === memory.term && start.lastIndex < memory.lastIndex) {
    return deny(
      `last index ${start.lastIndex} is behind ${memory.lastIndex}`,
    );
  }
  return {
    verdict: "confirmed",
    reason: "",
    memory: {
      ...memory,
      ...advanceMemory(memory, { term: start.term, lastIndex: 0 }),
      bootCount: start.bootCount,
      bootId: start.bootId,
    },
  };
}

/**
 * Adds an acknowledgement to what is remembered.
 * @param memory What was remembered.
 * @param progress The term and the index acknowledged in it.
 * @returns The same object when nothing is new.
 */
export function advanceMemory(
  memory: PeerMemory,
  progress: { term: number; lastIndex: number },
): PeerMemory {
  if (progress.term > memory.term) {
    return { ...memory, ...progress };
  }
  if (
    progress.term === memory.term && progress.lastIndex > memory.lastIndex
  ) {
    return { ...memory, lastIndex: progress.lastIndex };
  }
  return memory;
}
