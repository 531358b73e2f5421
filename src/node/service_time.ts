/**
 * Measures the own service time of a call: the time at the target less the time
 * during which at least one of its own calls was under way.
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

  /** Records that the target began a call of its own. */
  onOutgoingStart(now: number): void {
    if (this.#outgoingCount++ === 0) {
      this.#outgoingSinceMilliseconds = now;
    }
  }

  /** Records that a call of the target ended. */
  onOutgoingEnd(now: number): void {
    if (--this.#outgoingCount === 0) {
      this.#waitedMilliseconds += now - this.#outgoingSinceMilliseconds;
    }
  }

  /** Gets the own service time until now, in milliseconds. */
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
