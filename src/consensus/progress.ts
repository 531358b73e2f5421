/** What a leader knows about the log of another member. */
export interface Progress {
  /** Highest index known to equal the leader's log, durably. */
  matchIndex: number;
  /** Next index to send. */
  nextIndex: number;
  /**
   * `probe` sends one append and waits; `replicate` sends ahead of the
   * responses; `snapshot` sends chunks.
   */
  mode: "probe" | "replicate" | "snapshot";
  /** Last index of each append that was sent and not acknowledged. */
  inFlight: number[];
  /** Time of the last response in this term; -Infinity before the first. */
  lastContactAtMilliseconds: number;
  /** Time at which `matchIndex`, or the snapshot's offset, last grew. */
  lastAdvanceAtMilliseconds: number;
  /** Latest read round that the member echoed. */
  readRound: number;
  /** True when this start of the member is confirmed, here and by itself. */
  isStartConfirmed: boolean;
  snapshotIndex: number;
  snapshotOffset: number;
}

/**
 * Creates the progress of a member about which nothing is known.
 * @param nextIndex The index to try first.
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
    lastAdvanceAtMilliseconds: nowMilliseconds,
    readRound: 0,
    isStartConfirmed: false,
    snapshotIndex: 0,
    snapshotOffset: 0,
  };
}
