const windowMilliseconds = 100;
const minimumWindowSamples = 20;
const slowdownThreshold = 2;
/** Above the declared slots, the limit grows only while calls stay this fast. */
const growthThreshold = 1.1;
/**
 * Added to both sides when service times are compared. Delays of timers and
 * scheduling in a busy process double the time of a call below 1 ms.
 */
const schedulingDelayMilliseconds = 1;
const baselineGrowthPerWindow = 1.001;
const overloadDecreaseFactor = 0.9;
/** Decrease by which the limit tests whether fewer calls at once are faster. */
const trialDecreaseFactor = 0.7;
/** Ratio of service times that proves it; halfway to proportional. */
const trialSuccessRatio = 0.85;

/** Options of a concurrency limit. */
export interface ConcurrencyLimitOptions {
  readonly classCount: number;
  readonly nowMilliseconds: number;
  /** Slots added per second while the limit is in use, as a share of slots. */
  readonly increasePerSecond: number;
}

/**
 * Limits the calls that run at a target at once. Starts from the declared
 * slots and follows service times and refusals between 1 and twice the slots.
 */
export class ConcurrencyLimit {
  #slots: number;
  #limit: number;
  #increasePerSecond: number;
  #windowStart: number;
  #hasOverload = false;
  #wasReached = false;
  /** Limit and ratio before a test decrease; undefined when none runs. */
  #beforeTrial: { limit: number; ratio: number } | undefined;
  readonly #sums: Float64Array;
  readonly #counts: Uint32Array;
  /** Lowest recent mean service time by class; 0 when not known. */
  readonly #baselines: Float64Array;

  /**
   * @param slots Calls that the target runs at once, as declared.
   * @param options Classes, start time and speed of reopening.
   */
  constructor(slots: number, options: ConcurrencyLimitOptions) {
    this.#slots = slots;
    this.#limit = slots;
    this.#increasePerSecond = options.increasePerSecond;
    this.#windowStart = options.nowMilliseconds;
    this.#sums = new Float64Array(options.classCount);
    this.#counts = new Uint32Array(options.classCount);
    this.#baselines = new Float64Array(options.classCount);
  }

  /** Gets the limit in whole calls, at least 1. */
  get value(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  /** Changes the declared slots; the limit keeps its ratio to them. */
  update(slots: number, increasePerSecond: number): void {
    if (slots !== this.#slots) {
      this.#limit = Math.max(1, this.#limit * slots / this.#slots);
      this.#slots = slots;
    }
    this.#increasePerSecond = increasePerSecond;
  }

  /** Records that as many calls run as the limit allows. */
  onLimitReached(): void {
    this.#wasReached = true;
  }

  /** Records a shed signal or an unreachable target. */
  onOverload(nowMilliseconds: number): void {
    this.#hasOverload = true;
    this.#closeWindowIfElapsed(nowMilliseconds);
  }

  /** Records the own service time of a completed call. */
  onCompleted(
    classIndex: number,
    serviceMilliseconds: number,
    nowMilliseconds: number,
  ): void {
    this.#sums[classIndex] = (this.#sums[classIndex] ?? 0) +
      serviceMilliseconds;
    this.#counts[classIndex] = (this.#counts[classIndex] ?? 0) + 1;
    this.#closeWindowIfElapsed(nowMilliseconds);
  }

  #closeWindowIfElapsed(nowMilliseconds: number): void {
    const elapsed = nowMilliseconds - this.#windowStart;
    if (elapsed < windowMilliseconds) {
      return;
    }
    if (this.#hasOverload) {
      this.#limit = Math.max(1, this.#limit * overloadDecreaseFactor);
      this.#startWindow(nowMilliseconds);
      return;
    }
    const ratio = this.#getServiceTimeRatio();
    if (ratio === undefined) {
      return; // too few samples; the window stays open
    }
    if (this.#wasReached) {
      this.#adjust(ratio, Math.min(elapsed, 1000));
    }
    this.#startWindow(nowMilliseconds);
  }

  #adjust(ratio: number, elapsedMilliseconds: number): void {
    const before = this.#beforeTrial;
    this.#beforeTrial = undefined;
    if (before !== undefined && ratio > before.ratio * trialSuccessRatio) {
      // Slow for another reason than too many calls, such as a slow disk.
      this.#limit = before.limit;
      this.#resetBaselines();
    } else if (ratio > slowdownThreshold) {
      this.#beforeTrial = { limit: this.#limit, ratio };
      this.#limit = Math.max(1, this.#limit * trialDecreaseFactor);
    } else if (this.#limit < this.#slots || ratio <= growthThreshold) {
      const increase = this.#slots * this.#increasePerSecond *
        elapsedMilliseconds / 1000;
      this.#limit = Math.min(2 * this.#slots, this.#limit + increase);
    }
  }

  /** Takes the service times of this window as normal. */
  #resetBaselines(): void {
    for (let i = 0; i < this.#counts.length; i++) {
      const samples = this.#counts[i] ?? 0;
      if (samples > 0) {
        this.#baselines[i] = (this.#sums[i] ?? 0) / samples;
      }
    }
  }

  /**
   * Gets the mean of service time over baseline, by class so that a change of
   * the mix does not look like a slower target.
   */
  #getServiceTimeRatio(): number | undefined {
    let count = 0;
    for (const each of this.#counts) {
      count += each;
    }
    if (count < minimumWindowSamples) {
      return undefined;
    }
    let weighted = 0;
    for (let i = 0; i < this.#counts.length; i++) {
      const samples = this.#counts[i] ?? 0;
      if (samples > 0) {
        weighted += samples * this.#updateBaseline(i, samples);
      }
    }
    return weighted / count;
  }

  #updateBaseline(classIndex: number, samples: number): number {
    const mean = (this.#sums[classIndex] ?? 0) / samples;
    const known = this.#baselines[classIndex] ?? 0;
    const baseline = known === 0
      ? mean
      : Math.min(mean, known * baselineGrowthPerWindow);
    this.#baselines[classIndex] = baseline;
    return (mean + schedulingDelayMilliseconds) /
      (baseline + schedulingDelayMilliseconds);
  }

  #startWindow(nowMilliseconds: number): void {
    this.#windowStart = nowMilliseconds;
    this.#hasOverload = false;
    this.#wasReached = false;
    this.#sums.fill(0);
    this.#counts.fill(0);
  }
}
