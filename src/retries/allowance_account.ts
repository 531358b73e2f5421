/**
 * Attempts that one request may still make from one node. The total over the
 * whole call tree never exceeds what the entry node started with: a part is
 * handed down with each attempt and counts as spent until it is taken back.
 */
export class AllowanceAccount {
  #remaining: number;

  /** @param total Attempts received from above, a non-negative integer. */
  constructor(total: number) {
    this.#remaining = Math.max(0, Math.floor(total));
  }

  /** Attempts that are neither made nor handed down. */
  get remaining(): number {
    return this.#remaining;
  }

  /**
   * Takes one attempt and a part to hand down.
   * @param need Attempts that the callee takes without retries, itself
   * included.
   * @param reserved Attempts to keep for declared calls that run beside this
   * one; the callee's own need goes before them.
   * @returns The part to hand down; `undefined` when the allowance is spent.
   */
  startAttempt(
    need: number,
    reserved = 0,
  ): { delegatedAttempts: number } | undefined {
    if (this.#remaining < 1) {
      return undefined;
    }
    const rest = this.#remaining - 1;
    const generous = Math.min(Math.floor(rest / 2), rest - reserved);
    const handedDown = Math.max(0, Math.min(rest, need - 1), generous);
    this.#remaining = rest - handedDown;
    return { delegatedAttempts: handedDown };
  }

  /**
   * Takes back what a callee did not use.
   * @param handedDown The part that was handed down with the attempt.
   * @param unused What the response states; 0 when it never came.
   */
  reclaimUnused(handedDown: number, unused: number): void {
    const valid = Number.isFinite(unused) ? Math.floor(unused) : 0;
    // A wrong statement must not enlarge the allowance.
    this.#remaining += Math.min(Math.max(0, valid), handedDown);
  }
}
