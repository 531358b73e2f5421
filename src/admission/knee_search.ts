/**
 * Share of the slots above which some targets become slower. The search tests
 * only this share: a target with another knee is left to the concurrency limit.
 */
const kneeShare = 0.95;
/** Time for which a result is kept before the next test, in milliseconds. */
const resultMilliseconds = 5000;
/** Ratio of the throughputs from which the lower cap is kept. */
const minimumGain = 1;

type Phase =
  | { readonly kind: "idle" }
  | { readonly kind: "lowered"; readonly ratioBefore: number }
  | {
    readonly kind: "raised";
    readonly ratioBefore: number;
    readonly ratioLowered: number;
  };

const idlePhase: Phase = { kind: "idle" };

/**
 * Finds out whether a target completes more calls when a few of its slots stay
 * free. While all slots are in use, it lowers the cap for a window, raises it
 * again, and compares both windows at the full cap with the lowered one. Two of
 * them are needed because targets change their speed by themselves.
 */
export class KneeSearch {
  #slots: number;
  #phase: Phase = idlePhase;
  #isLowered = false;
  /** Whether the next window began with calls that the former cap admitted. */
  #isSettling = false;
  #nextTestMilliseconds = 0;

  /** @param slots Slots that the target announced. */
  constructor(slots: number) {
    this.#slots = slots;
  }

  /** Gets the largest number of calls that may run at once. */
  get cap(): number {
    return this.#isLowered ? this.#loweredCap : this.#slots;
  }

  /** Changes the slots; tests begin again when they differ. */
  update(slots: number): void {
    if (slots !== this.#slots) {
      this.#slots = slots;
      this.#stopTest(false, 0);
    }
  }

  /** Ends a test whose windows cannot be compared, and keeps the former cap. */
  cancelTest(): void {
    if (this.#phase.kind !== "idle") {
      this.#stopTest(false, 0);
    }
  }

  /**
   * Records a window in which the cap was reached.
   * @param ratio Mean ratio of service time to baseline.
   * @param nowMilliseconds Monotonic time at its end.
   */
  onWindow(ratio: number, nowMilliseconds: number): void {
    if (this.#isSettling) {
      this.#isSettling = false;
      return;
    }
    const phase = this.#phase;
    switch (phase.kind) {
      case "idle":
        if (
          nowMilliseconds >= this.#nextTestMilliseconds &&
          this.#loweredCap < this.#slots
        ) {
          this.#startTest(ratio);
        }
        return;
      case "lowered":
        this.#phase = {
          kind: "raised",
          ratioBefore: phase.ratioBefore,
          ratioLowered: ratio,
        };
        this.#isLowered = false;
        this.#isSettling = true;
        return;
      case "raised": {
        const gain = Math.min(phase.ratioBefore, ratio) / phase.ratioLowered *
          this.#loweredCap / this.#slots;
        this.#stopTest(
          gain >= minimumGain,
          nowMilliseconds + resultMilliseconds,
        );
      }
    }
  }

  get #loweredCap(): number {
    return Math.max(1, Math.floor(this.#slots * kneeShare));
  }

  #startTest(ratio: number): void {
    if (this.#isLowered) {
      // The result is old: the window at the full cap is the first of a test.
      this.#isLowered = false;
      this.#isSettling = true;
      return;
    }
    this.#phase = { kind: "lowered", ratioBefore: ratio };
    this.#isLowered = true;
    this.#isSettling = true;
  }

  #stopTest(isLowered: boolean, nextTestMilliseconds: number): void {
    this.#phase = idlePhase;
    this.#isLowered = isLowered;
    this.#isSettling = isLowered;
    this.#nextTestMilliseconds = nextTestMilliseconds;
  }
}
