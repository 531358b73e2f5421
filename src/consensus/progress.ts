import type { RecipientTime } from "./message.ts";

/** An append with entries that is not acknowledged yet. */
export interface InFlightAppend {
  readonly lastIndex: number;
  readonly bytes: number;
}

/** Times of a response, on the monotonic clocks of its sender and recipient. */
export interface ResponseTimes {
  readonly sentAt: RecipientTime;
  readonly receivedAtMilliseconds: number;
}

/** What a leader knows about the replication to another member. */
export interface Progress {
  /** Highest index up to which the member durably holds the leader's log. */
  matchIndex: number;
  /** Next index to send. */
  nextIndex: number;
  /**
   * `probe` sends one append at a time, to find where the logs match;
   * `replicate` sends further appends before the responses arrive; `snapshot`
   * sends the chunks of a snapshot.
   */
  mode: "probe" | "replicate" | "snapshot";
  inFlight: InFlightAppend[];
  /** Monotonic time of the last response in this term, or -Infinity. */
  lastContactAtMilliseconds: number;
  /**
   * Monotonic time from which the resend timeout counts: the last time that
   * `matchIndex` grew, or that a transfer was started or repeated.
   */
  resendTimerStartedAtMilliseconds: number;
  /** Start of the member that sent the last response; empty before the first. */
  bootId: string;
  /** Times of the last response to an append; `undefined` before the first. */
  lastResponse: ResponseTimes | undefined;
  /** Latest read round that the member echoed in a response. */
  readRound: number;
  /**
   * True when this instance confirmed the member's current start and the member
   * itself may vote. Only then does the member count for majorities.
   */
  isStartConfirmed: boolean;
  /** Index of the snapshot that is being sent. */
  snapshotIndex: number;
  /** Offset of the next chunk of that snapshot, in bytes. */
  snapshotOffset: number;
}

/**
 * Creates the progress of a member whose log is not known yet.
 * @param nextIndex The first index to try.
 * @param nowMilliseconds Monotonic time.
 */
export function createProgress(
  nextIndex: number,
  nowMilliseconds: number,
): Progress {
  return {
    matchIndex: 0,
    nextIndex,
    mode: "probe",
    inFlight: [],
    lastContactAtMilliseconds: -Infinity,
    resendTimerStartedAtMilliseconds: nowMilliseconds,
    bootId: "",
    lastResponse: undefined,
    readRound: 0,
    isStartConfirmed: false,
    snapshotIndex: 0,
    snapshotOffset: 0,
  };
}
