/** Source of the current time; injected so that tests can control the time. */
export interface Clock {
  /** Gets the wall-clock time. */
  now(): Date;
  /**
   * Gets the time since an arbitrary start, in milliseconds with fractions.
   * Never goes backwards.
   */
  monotonicMilliseconds(): number;
}

/** The clock of this process. */
export const systemClock: Clock = {
  now: () => new Date(),
  monotonicMilliseconds: () => performance.now(),
};
