/** Tokens that fill at a constant rate; spending may leave a debt. */
export class TokenBucket {
  #rate: number;
  #capacity: number;
  #tokens: number;
  #filledMilliseconds: number;

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
    this.#filledMilliseconds = options.nowMilliseconds;
  }

  /** Gets the tokens that are there; negative for a debt. */
  get(nowMilliseconds: number): number {
    const elapsed = nowMilliseconds - this.#filledMilliseconds;
    if (elapsed > 0) {
      this.#tokens = Math.min(
        this.#capacity,
        this.#tokens + elapsed / 1000 * this.#rate,
      );
      this.#filledMilliseconds = nowMilliseconds;
    }
    return this.#tokens;
  }

  /** Takes tokens; a negative amount gives some back. */
  take(amount: number): void {
    this.#tokens = Math.min(this.#capacity, this.#tokens - amount);
  }

  /** Changes the rate; what is there is bounded by the new capacity. */
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
