/** Settings of an {@link AnnouncementConfirmation}. */
export interface AnnouncementConfirmationOptions {
  /**
   * Sends a renewal.
   * @returns Its sequence; `undefined` if it could not be sent.
   */
  renew(): number | undefined;
}

/** What is confirmed of an announcement. */
export type ConfirmedFact =
  /**
   * Control knows no newer record of the target: an instance that has all records
   * of the others answers a renewal. One that restarted gets those of its earlier
   * process only when the others see the announcement.
   */
  | "newest"
  /**
   * Other instances know the record, too: one that reaches a majority of them
   * answers a renewal once the time of a push has passed.
   */
  | "remembered";

/** Waits for the confirmation of an announcement. */
export interface ConfirmationListener {
  readonly fact: ConfirmedFact;
  /** Called at most once. */
  onConfirmed(): void;
}

/** An answer of control to a renewal. */
export interface ConfirmingAnswer {
  /** Sequence of the renewal. */
  readonly sequence: number;
  /** Whether the instance reaches a majority of the instances. */
  readonly hasMajority: boolean;
  /** Whether the instance has all target records that the others have. */
  readonly hasAllRecords: boolean;
}

/** Time from an announcement until the renewal whose answer confirms it. */
const settlingMilliseconds: Readonly<Record<ConfirmedFact, number>> = {
  // A newer record can be on its way for two push intervals of 200 ms between
  // control instances, and the time of the network.
  newest: 600,
  // One push interval, and the time of the network.
  remembered: 300,
};

/** Time after which an instance that could not confirm yet is asked again. */
const retryMilliseconds = 300;

/** Detects that control has dealt with an announcement of a target. */
export class AnnouncementConfirmation {
  readonly #options: AnnouncementConfirmationOptions;
  #listener: ConfirmationListener | undefined;
  #timer: NodeJS.Timeout | undefined;
  #renewSequence = Infinity;
  #isCollecting = false;

  /** @param options Sends renewals. */
  constructor(options: AnnouncementConfirmationOptions) {
    this.#options = options;
  }

  /**
   * Waits for the confirmation of an announcement instead of an earlier one.
   * @param listener What to wait for; `undefined` to wait for nothing.
   */
  setListener(listener: ConfirmationListener | undefined): void {
    this.stop();
    this.#listener = listener;
  }

  /** Begins to wait, after the announcement was sent. */
  onSent(): void {
    const listener = this.#listener;
    if (listener !== undefined) {
      this.#renewAfter(settlingMilliseconds[listener.fact]);
    }
  }

  /**
   * Records whether the instance may lack targets.
   * @param isCollecting Whether it may.
   */
  setCollecting(isCollecting: boolean): void {
    const hasCollected = this.#isCollecting && !isCollecting;
    this.#isCollecting = isCollecting;
    if (hasCollected) {
      this.onSent();
    }
  }

  /** Records that control answered a renewal. */
  onRenewAnswer(
    { sequence, hasMajority, hasAllRecords }: ConfirmingAnswer,
  ): void {
    const listener = this.#listener;
    if (sequence < this.#renewSequence || listener === undefined) {
      return;
    }
    const isConfirmed = listener.fact === "newest"
      ? hasAllRecords || !this.#isCollecting
      : hasMajority;
    if (isConfirmed) {
      this.setListener(undefined);
      listener.onConfirmed();
    } else {
      this.#renewAfter(retryMilliseconds);
    }
  }

  #renewAfter(milliseconds: number): void {
    this.stop();
    this.#timer = setTimeout(() => {
      const sequence = this.#options.renew();
      if (sequence === undefined) {
        this.#renewAfter(retryMilliseconds);
      } else {
        this.#renewSequence = sequence;
      }
    }, milliseconds);
  }

  /** Stops waiting until the announcement is sent again. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#renewSequence = Infinity;
  }
}
