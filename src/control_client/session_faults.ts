/** Number of sessions in a row that end in the same way before it is a fault. */
const faultySessions = 3;

/**
 * Counts the sessions in a row that ended because of a message. One is ended by an
 * error that may pass; several, without an answered renewal between them, that end
 * in the same way will go on to do so until one of the processes is changed.
 */
export class SessionFaults {
  #reason: string | undefined;
  #count = 0;

  /** Gets why sessions end again and again; `undefined` when they do not. */
  get reason(): string | undefined {
    return this.#count >= faultySessions ? this.#reason : undefined;
  }

  /**
   * Records the end of a session because of a message.
   * @param reason Why it ended.
   * @returns The number of sessions in a row that ended for this reason.
   */
  record(reason: string): number {
    this.#count = reason === this.#reason ? this.#count + 1 : 1;
    this.#reason = reason;
    return this.#count;
  }

  /**
   * Records that the instance answered in a session.
   * @returns Whether that ended a fault.
   */
  reset(): boolean {
    const hadFault = this.reason !== undefined;
    this.#reason = undefined;
    this.#count = 0;
    return hadFault;
  }
}
