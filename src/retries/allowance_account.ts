/**
 * Allowance of attempts that one request may still make from one node. Each
 * attempt delegates a part of the allowance to the callee, which counts as spent
 * until the callee's response returns the unused rest. The attempts of the whole
 * call tree therefore never exceed the allowance at the entry node.
 */
export class AllowanceAccount {
  #remaining: number;

  /** @param total Attempts that the caller delegated; a non-negative integer. */
  constructor(total: number) {
    this.#remaining = Math.max(0, Math.floor(total));
  }

  /** Attempts that are neither made nor delegated. */
  get remaining(): number {
    return this.#remaining;
  }

  /**
   * Takes one attempt and delegates a part of the rest: half of it, or less when
   * other declared calls need attempts, but at least what the callee requires
   * without retries.
   * @param requiredAttempts Attempts that the call takes without retries, itself included.
   * @param reservedAttempts Attempts to keep for other declared calls of the parent.
   * @returns The delegated attempts; `undefined` when the allowance is spent.
   */
  startAttempt(
    requiredAttempts: number,
    reservedAttempts = 0,
  ): { delegatedAttempts: number } | undefined {
    if (this.#remaining < 1) {
      return undefined;
    }
    const rest = this.#remaining - 1;
    const unreservedHalf = Math.min(
      Math.floor(rest / 2),
      rest - reservedAttempts,
    );
    const delegatedAttempts = Math.max(
      0,
      Math.min(rest, requiredAttempts - 1),
      unreservedHalf,
    );
    this.#remaining = rest - delegatedAttempts;
    return { delegatedAttempts };
  }

  /**
   * Adds the attempts that a callee did not use.
   * @param delegatedAttempts Attempts that were delegated with the attempt.
   * @param unusedAttempts Unused attempts that the response reports; 0 without one.
   */
  reclaimUnused(delegatedAttempts: number, unusedAttempts: number): void {
    const valid = Number.isFinite(unusedAttempts)
      ? Math.floor(unusedAttempts)
      : 0;
    // An invalid value in a response must not increase the allowance.
    this.#remaining += Math.min(Math.max(0, valid), delegatedAttempts);
  }
}
