import type { Verdict } from "./message.ts";

/**
 * Position of the last entry of a log. Positions are ordered by the term of the
 * entry, then by its index, because an instance may replace its last entry by
 * one of a later term at the same or a lower index.
 */
export interface LogPosition {
  /**
   * Term of the entry. With an index above 0, a term of 0 means that it is
   * unknown: records of earlier releases do not have this field.
   */
  readonly lastTerm: number;
  readonly lastIndex: number;
}

/**
 * State of a peer that an instance has durably recorded, so that it can detect
 * when the peer starts with an older disk. The term of a peer never decreases,
 * and within one term its position never falls below one that it acknowledged.
 */
export interface PeerState extends LogPosition {
  readonly bootCount: number;
  /** Random identifier that distinguishes two starts with the same count. */
  readonly bootId: string;
  /**
   * Highest known term of the peer, from a confirmed start, a vote, an
   * acknowledgement or entries that it sent.
   */
  readonly term: number;
}

/** Durable state with which an instance started, as it reports it. */
export interface StartState extends LogPosition {
  readonly bootCount: number;
  readonly bootId: string;
  readonly term: number;
}

/** The position of an empty log. */
export const emptyPosition: LogPosition = { lastTerm: 0, lastIndex: 0 };

/**
 * Verifies that a peer did not start with a state older than the recorded one.
 * @param known The recorded state; `undefined` when there is none.
 * @param start The state with which the peer started.
 * @returns The verdict with its reason, and the state to record.
 */
export function verifyStart(
  known: PeerState | undefined,
  start: StartState,
): { verdict: Verdict; reason: string; state: PeerState } {
  if (known === undefined) {
    return {
      verdict: "confirmed",
      reason: "",
      // The position at the start is not recorded, because a leader of that
      // term may still remove entries that the peer has not acknowledged.
      state: { ...start, ...emptyPosition },
    };
  }
  if (known.bootId === start.bootId) {
    return { verdict: "confirmed", reason: "", state: known };
  }
  const deny = (reason: string) => ({
    verdict: "denied" as const,
    reason,
    state: known,
  });
  if (start.bootCount <= known.bootCount) {
    return deny(
      `boot count ${start.bootCount} is not after ${known.bootCount}`,
    );
  }
  if (start.term < known.term) {
    return deny(`term ${start.term} is behind ${known.term}`);
  }
  if (start.term === known.term && isBehind(start, known)) {
    return deny(
      `last entry ${formatPosition(start)} is behind ${formatPosition(known)}`,
    );
  }
  return {
    verdict: "confirmed",
    reason: "",
    state: {
      ...known,
      ...advancePeerState(known, { term: start.term, ...emptyPosition }),
      bootCount: start.bootCount,
      bootId: start.bootId,
    },
  };
}

/**
 * Advances the recorded state of a peer.
 * @param state The recorded state.
 * @param progress A term, and a position that the peer acknowledged in it.
 * @returns The new state, or the same object if it already covers the progress.
 */
export function advancePeerState(
  state: PeerState,
  progress: LogPosition & { readonly term: number },
): PeerState {
  if (progress.term > state.term) {
    return { ...state, ...progress };
  }
  if (progress.term === state.term && isBehind(state, progress)) {
    return { ...state, ...progress };
  }
  return state;
}

function isBehind(left: LogPosition, right: LogPosition): boolean {
  // Positions recorded by earlier releases have no entry term, so only their
  // index can be compared.
  const isComparable = !isTermUnknown(left) && !isTermUnknown(right);
  return isComparable && left.lastTerm !== right.lastTerm
    ? left.lastTerm < right.lastTerm
    : left.lastIndex < right.lastIndex;
}

function isTermUnknown({ lastTerm, lastIndex }: LogPosition): boolean {
  return lastTerm === 0 && lastIndex > 0;
}

function formatPosition({ lastTerm, lastIndex }: LogPosition): string {
  return `${lastIndex} of term ${lastTerm}`;
}
