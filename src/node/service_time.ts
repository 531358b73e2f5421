/**
 * Measures the own service time of a call: the time at the target less the time
 * during which at least one of its own calls was under way.
 */
export class ServiceTime {
  #started = 0;
  #outgoing = 0;
  #outgoingSince = 0;
  #waited = 0;

  /** @param now Monotonic time of the dispatch, in milliseconds. */
  start(now: number): void {
    this.#started = now;
  }

  /** Records that the target began a call of its own. */
  onOutgoingStart(now: number): void {
    if (this.#outgoing++ === 0) {
      this.#outgoingSince = now;
    }
  }

  /** Records that a call of the target ended. */
  onOutgoingEnd(now: number): void {
    if (--this.#outgoing === 0) {
      this.#waited += now - this.#outgoingSince;
    }
  }

  /** Gets the own service time until now, in milliseconds. */
  get(now: number): number {
    const waiting = this.#outgoing > 0 ? now - this.#outgoingSince : 0;
    return Math.max(0, now - this.#started - this.#waited - waiting);
  }
}
