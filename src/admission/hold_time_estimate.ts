const sampleWeight = 0.1;
/** Age of the last sample from which the estimate is stale. */
const staleMilliseconds = 250;

/** Moving average of the time for which a call holds its slot. */
export class HoldTimeEstimate {
  #mean = 0;
  #lastSampleMilliseconds = -Infinity;

  /** Records how long a call held its slot. */
  record(heldMilliseconds: number, nowMilliseconds: number): void {
    this.#mean = this.#mean === 0
      ? heldMilliseconds
      : this.#mean + sampleWeight * (heldMilliseconds - this.#mean);
    this.#lastSampleMilliseconds = nowMilliseconds;
  }

  /** Mean in milliseconds; 0 without samples. */
  get mean(): number {
    return this.#mean;
  }

  /**
   * Checks whether the estimate is recent. A stale one must not refuse calls:
   * an estimate above all deadlines would refuse every call, get no new sample
   * and so never be corrected.
   */
  isFresh(nowMilliseconds: number): boolean {
    return nowMilliseconds - this.#lastSampleMilliseconds < staleMilliseconds;
  }
}
