/** Token bucket that is refilled at a constant rate and may be overdrawn. */
export class TokenBucket {
  #rate: number;
  #capacity: number;
  #tokens: number;
  #lastRefillMilliseconds: number;

  /**
   * @param ratePerSecond Tokens per second.
   * @param options Capacity in seconds of the rate, and the start time.
   */
  constructor(
    ratePerSecond: number,
    options: { burstSeconds: number; nowMilliseconds: number },
  ) {
    this.#rate = ratePerSecond;
    this.#capacity = ratePerSecond * options.burstSeconds;
    this.#tokens = this.#capacity;
    this.#lastRefillMilliseconds = options.nowMilliseconds;
  }

  /** Gets the available tokens; negative when overdrawn. */
  get(nowMilliseconds: number): number {
    const elapsed = nowMilliseconds - this.#lastRefillMilliseconds;
    if (elapsed > 0) {
      this.#tokens = Math.min(
        this.#capacity,
        this.#tokens + elapsed / 1000 * this.#rate,
      );
      this.#lastRefillMilliseconds = nowMilliseconds;
    }
    return this.#tokens;
  }

  /** Takes tokens; a negative amount returns some. */
  take(amount: number): void {
    this.#tokens = Math.min(this.#capacity, this.#tokens - amount);
  }

  /** Changes the rate and capacity; tokens beyond the new capacity are lost. */
  setRate(
    ratePerSecond: number,
    options: { burstSeconds: number; nowMilliseconds: number },
  ): void {
    this.get(options.nowMilliseconds);
    this.#rate = ratePerSecond;
    this.#capacity = ratePerSecond * options.burstSeconds;
    this.#tokens = Math.min(this.#tokens, this.#capacity);
  }
}
