const initialTokens = 3;
const maximumTokens = 10;

/**
 * Limits the retries of one node to one service to a share of its first
 * attempts, by a token bucket. The initial tokens allow retries to a service
 * with few calls.
 */
export class RetryThrottle {
  #ratio: number;
  #tokens = initialTokens;

  /** @param ratio Retries allowed for each first attempt, 0 to 1. */
  constructor(ratio: number) {
    this.#ratio = ratio;
  }

  /** Changes the ratio. */
  updateRatio(ratio: number): void {
    this.#ratio = ratio;
  }

  /** Records a first attempt. */
  onFirstAttempt(): void {
    this.#tokens = Math.min(maximumTokens, this.#tokens + this.#ratio);
  }

  /** Whether a retry is allowed. */
  get hasToken(): boolean {
    return this.#ratio > 0 && this.#tokens >= 1;
  }

  /** Takes a token for a retry; returns whether there was one. */
  tryTake(): boolean {
    if (!this.hasToken) {
      return false;
    }
    this.#tokens--;
    return true;
  }
}
