/**
 * Measures the service time of a call without its dependencies: the time at
 * the target, minus the time during which at least one outgoing call ran.
 */
export class ServiceTime {
  #startedMilliseconds = 0;
  #outgoingCount = 0;
  #outgoingSinceMilliseconds = 0;
  #waitedMilliseconds = 0;

  /** @param now Monotonic time of the dispatch, in milliseconds. */
  start(now: number): void {
    this.#startedMilliseconds = now;
  }

  /** Records that an outgoing call of the target started. */
  onOutgoingStart(now: number): void {
    if (this.#outgoingCount++ === 0) {
      this.#outgoingSinceMilliseconds = now;
    }
  }

  /** Records that an outgoing call of the target ended. */
  onOutgoingEnd(now: number): void {
    if (--this.#outgoingCount === 0) {
      this.#waitedMilliseconds += now - this.#outgoingSinceMilliseconds;
    }
  }

  /** Gets the service time until now, in milliseconds. */
  get(now: number): number {
    const waiting = this.#outgoingCount > 0
      ? now - this.#outgoingSinceMilliseconds
      : 0;
    return Math.max(
      0,
      now - this.#startedMilliseconds - this.#waitedMilliseconds - waiting,
    );
  }
}
