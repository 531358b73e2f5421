/** A read that waits for a round of the leader. */
export interface PendingRead {
  readonly token: number;
  /** Empty for a read of this instance. */
  readonly fromId: string;
  readonly fromAddress: string;
  /** Index that must be applied before the read. */
  readonly requiredIndex: number;
  /** Round that a majority must have echoed. */
  readonly readRound: number;
}

/** Keeps the reads of a leader, and those that went to another leader. */
export class PendingReads {
  #reads: PendingRead[] = [];
  /** Monotonic time until which each forwarded read is waited for. */
  readonly #forwardedReadDeadlines = new Map<number, number>();

  /** Reports whether reads of this leader wait. */
  get isEmpty(): boolean {
    return this.#reads.length === 0;
  }

  /** Adds a read that waits for its round. */
  add(read: PendingRead): void {
    this.#reads.push(read);
  }

  /** Takes the reads whose round a majority has echoed. */
  takeConfirmed(round: number): readonly PendingRead[] {
    const confirmed = this.#reads.filter((each) => each.readRound <= round);
    this.#reads = this.#reads.filter((each) => each.readRound > round);
    return confirmed;
  }

  /** Takes all reads, when the leadership ends or begins. */
  takeAll(): readonly PendingRead[] {
    const reads = this.#reads;
    this.#reads = [];
    return reads;
  }

  /** Records a read that was sent to the leader. */
  addForwarded(token: number, deadlineMilliseconds: number): void {
    this.#forwardedReadDeadlines.set(token, deadlineMilliseconds);
  }

  /** Forgets a forwarded read; false when it is not waited for. */
  removeForwarded(token: number): boolean {
    return this.#forwardedReadDeadlines.delete(token);
  }

  /** Takes the forwarded reads that were not answered in time. */
  takeExpired(nowMilliseconds: number): readonly number[] {
    const expired = [...this.#forwardedReadDeadlines]
      .filter(([, deadline]) => nowMilliseconds >= deadline)
      .map(([token]) => token);
    expired.forEach((token) => this.#forwardedReadDeadlines.delete(token));
    return expired;
  }
}
