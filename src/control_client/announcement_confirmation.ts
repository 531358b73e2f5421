/** Settings of an {@link AnnouncementConfirmation}. */
export interface AnnouncementConfirmationOptions {
  /**
   * Sends a renewal.
   * @returns Its sequence; `undefined` if it could not be sent.
   */
  renew(): number | undefined;
}

/**
 * Time for which a newer record of an announced target can be on its way: two
 * push intervals of 200 ms between control instances, and the network.
 */
const settlingMilliseconds = 600;

/**
 * Detects that control knows no newer record of an announced target: an instance
 * that has all targets of the others answers a renewal, some time after it got
 * the announcement.
 */
export class AnnouncementConfirmation {
  readonly #options: AnnouncementConfirmationOptions;
  #onConfirmed: (() => void) | undefined;
  #timer: NodeJS.Timeout | undefined;
  #renewSequence = Infinity;
  #isCollecting = false;

  /** @param options Sends renewals. */
  constructor(options: AnnouncementConfirmationOptions) {
    this.#options = options;
  }

  /**
   * Waits for the confirmation of an announcement instead of an earlier one.
   * @param onConfirmed Called at most once; `undefined` to wait for nothing.
   */
  setListener(onConfirmed: (() => void) | undefined): void {
    this.stop();
    this.#onConfirmed = onConfirmed;
  }

  /** Begins to wait, after the announcement was sent. */
  onSent(): void {
    this.stop();
    if (this.#onConfirmed !== undefined) {
      this.#timer = setTimeout(() => {
        const sequence = this.#options.renew();
        if (sequence === undefined) {
          this.onSent();
        } else {
          this.#renewSequence = sequence;
        }
      }, settlingMilliseconds);
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

  /**
   * Records that control answered a renewal.
   * @param sequence Its sequence.
   */
  onRenewAnswer(sequence: number): void {
    if (sequence >= this.#renewSequence && !this.#isCollecting) {
      const onConfirmed = this.#onConfirmed;
      this.setListener(undefined);
      onConfirmed?.();
    }
  }

  /** Stops waiting until the announcement is sent again. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#renewSequence = Infinity;
  }
}
