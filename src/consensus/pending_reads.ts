/**
 * A read on the leader that waits until a majority has responded to a heartbeat
 * that was sent after the read arrived.
 */
export interface PendingRead {
  readonly token: number;
  /** Member that forwarded the read; empty for a read of this instance. */
  readonly fromId: string;
  readonly fromAddress: string;
  /** Index that must be applied before the read is served. */
  readonly requiredIndex: number;
  /** Number of the heartbeat round that a majority must echo. */
  readonly readRound: number;
}

/** Keeps the reads that wait on this leader or were forwarded to the leader. */
export class PendingReads {
  #reads: PendingRead[] = [];
  /** Monotonic time at which each forwarded read fails, by its token. */
  readonly #forwardedReadDeadlines = new Map<number, number>();

  /** Reports whether no read waits on this leader. */
  get isEmpty(): boolean {
    return this.#reads.length === 0;
  }

  /** Adds a read that waits on this leader. */
  add(read: PendingRead): void {
    this.#reads.push(read);
  }

  /**
   * Removes the reads that are confirmed.
   * @param round Latest round that a majority has echoed.
   */
  takeConfirmed(round: number): readonly PendingRead[] {
    const confirmed = this.#reads.filter((each) => each.readRound <= round);
    this.#reads = this.#reads.filter((each) => each.readRound > round);
    return confirmed;
  }

  /** Removes all reads that wait on this leader; used when its role changes. */
  takeAll(): readonly PendingRead[] {
    const reads = this.#reads;
    this.#reads = [];
    return reads;
  }

  /** Records a read that was forwarded to the leader. */
  addForwarded(token: number, deadlineMilliseconds: number): void {
    this.#forwardedReadDeadlines.set(token, deadlineMilliseconds);
  }

  /** Removes a forwarded read; false when it is unknown or has expired. */
  removeForwarded(token: number): boolean {
    return this.#forwardedReadDeadlines.delete(token);
  }

  /** Removes the forwarded reads that got no response before their deadline. */
  takeExpired(nowMilliseconds: number): readonly number[] {
    const expired = [...this.#forwardedReadDeadlines]
      .filter(([, deadline]) => nowMilliseconds >= deadline)
      .map(([token]) => token);
    expired.forEach((token) => this.#forwardedReadDeadlines.delete(token));
    return expired;
  }
}
