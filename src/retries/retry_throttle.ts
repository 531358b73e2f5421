import type { Clock } from "../common/mod.ts";

/**
 * Tokens that a throttle has at its start, and that do not expire. They allow the
 * first request after a start to be rejected by more than one target.
 */
const minimumTokens = 3;
/**
 * Time constant at which further tokens expire. Tokens that all nodes saved up in
 * calm would otherwise be spent within one window of a fault: with 2 s, they add
 * the retries of two seconds of calls.
 */
const tokenLifetimeMilliseconds = 2000;

/** Priority of the request that a call is part of. */
export interface RetryPriority {
  /** Index of the class of the request; 0 is the most important. */
  readonly classIndex: number;
  /** Place of the request within its class, from 0 to below 1. */
  readonly place: number;
}

/**
 * Limits the retries of one node to one service to a share of its first
 * attempts, by a token bucket. Calls that are made during a repeated run repeat
 * themselves at this service and take from the same share.
 *
 * When tokens are scarce, they go to the most important requests, and within a
 * class to those with the lowest places. All calls of a request have the same
 * priority at all nodes, so that whole requests complete: with tokens for every
 * tenth call, a request with four calls that are refused half of the time would
 * otherwise almost never get all of them.
 */
export class RetryThrottle {
  readonly #clock: Clock;
  #ratio: number;
  #tokens = minimumTokens;
  #updatedMilliseconds: number;
  /** Tokens that the calls of the last seconds have added. */
  #capacity = 0;
  #firstClass = Infinity;
  #lastClass = -Infinity;

  /**
   * @param ratio Retries allowed for each first attempt, 0 to 1.
   * @param clock Clock for the expiry of tokens.
   */
  constructor(ratio: number, clock: Clock) {
    this.#ratio = ratio;
    this.#clock = clock;
    this.#updatedMilliseconds = clock.monotonicMilliseconds();
  }

  /** Changes the ratio. */
  updateRatio(ratio: number): void {
    this.#ratio = ratio;
  }

  /**
   * Records a first attempt.
   * @param call Class of the request, and whether the call is made during a
   * repeated run of its parent.
   */
  onFirstAttempt(
    { classIndex, isRepeat }: { classIndex: number; isRepeat: boolean },
  ): void {
    this.#expire();
    this.#firstClass = Math.min(this.#firstClass, classIndex);
    this.#lastClass = Math.max(this.#lastClass, classIndex);
    this.#capacity += this.#ratio;
    this.#tokens += this.#ratio - (isRepeat ? 1 : 0);
  }

  /** Checks whether a retry is allowed for a request of a priority. */
  hasToken(priority: RetryPriority): boolean {
    if (this.#ratio <= 0) {
      return false;
    }
    this.#expire();
    return this.#tokens >= 1 + this.#getReserve(priority);
  }

  /** Takes a token for a retry. */
  take(): void {
    this.#tokens--;
  }

  /** Gets the tokens that are kept for more important requests. */
  #getReserve({ classIndex, place }: RetryPriority): number {
    const classes = this.#lastClass - this.#firstClass + 1;
    const share = classes > 0
      ? (classIndex - this.#firstClass + place) / classes
      : 0;
    return Math.max(0, this.#capacity - minimumTokens) *
      Math.min(Math.max(share, 0), 1);
  }

  #expire(): void {
    const now = this.#clock.monotonicMilliseconds();
    const elapsed = now - this.#updatedMilliseconds;
    if (elapsed <= 0) {
      return;
    }
    this.#updatedMilliseconds = now;
    const kept = Math.exp(-elapsed / tokenLifetimeMilliseconds);
    this.#capacity *= kept;
    if (this.#tokens > minimumTokens) {
      this.#tokens = minimumTokens + (this.#tokens - minimumTokens) * kept;
    }
  }
}
