const weight = 0.1;
/** Without a sample for this long, the estimate no longer refuses calls. */
const staleMilliseconds = 250;

/** Estimates how long a call holds its slot. */
export class HoldTimeEstimate {
  #mean = 0;
  #lastSampleMilliseconds = -Infinity;

  /** Records how long a call held its slot. */
  record(heldMilliseconds: number, nowMilliseconds: number): void {
    this.#mean = this.#mean === 0
      ? heldMilliseconds
      : this.#mean + weight * (heldMilliseconds - this.#mean);
    this.#lastSampleMilliseconds = nowMilliseconds;
  }

  /** Gets the mean, in milliseconds; 0 when nothing is known. */
  get mean(): number {
    return this.#mean;
  }

  /**
   * Checks whether the estimate is recent. A stale one must not refuse calls,
   * or an estimate above every deadline would never be corrected.
   */
  isFresh(nowMilliseconds: number): boolean {
    return nowMilliseconds - this.#lastSampleMilliseconds < staleMilliseconds;
  }
}
