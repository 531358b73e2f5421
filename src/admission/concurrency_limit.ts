import { KneeSearch } from "./knee_search.ts";

const windowMilliseconds = 100;
const minimumWindowSamples = 20;
const slowdownThreshold = 2;
/**
 * Largest ratio of service time to baseline at which the limit grows beyond the
 * declared slots.
 */
const growthThreshold = 1.1;
/**
 * Added to both service time and baseline before they are compared. Without it,
 * timer and scheduling delays of a busy process, which double the time of a
 * call below 1 ms, would look like congestion.
 */
const schedulingDelayMilliseconds = 1;
const baselineGrowthPerWindow = 1.001;
const overloadDecreaseFactor = 0.9;
/**
 * Factor that the limit is multiplied by in a trial, which tests whether calls
 * are faster when fewer run at once.
 */
const trialDecreaseFactor = 0.7;
/**
 * A trial succeeds if service times fall to this ratio of those before. It lies
 * halfway between no change (1) and a fall in proportion to the limit (0.7).
 */
const trialSuccessRatio = 0.85;

/**
 * Share of the usual service time after which a broken call counts as one that
 * the target ran. A target with too many connections resets one at once.
 */
const minimumRunShare = 0.5;

/** Options of a concurrency limit. */
export interface ConcurrencyLimitOptions {
  readonly classCount: number;
  readonly nowMilliseconds: number;
  /** Increase per second while the limit is reached, as a share of the slots. */
  readonly increasePerSecond: number;
  /**
   * Whether the target itself announced the slots, so that further calls would
   * wait in its own queue, where they have no order. Slots that a document
   * declares may be too few.
   */
  readonly areSlotsAnnounced?: boolean | undefined;
}

/**
 * Limits how many calls run at a target at once. The limit starts at the
 * declared slots and adapts to service times and overload signals, between 1
 * and twice the slots, or between 1 and the slots that the target announced.
 */
export class ConcurrencyLimit {
  #slots: number;
  #limit: number;
  #increasePerSecond: number;
  /** Present when the target announced its slots. */
  #kneeSearch: KneeSearch | undefined;
  #windowStart: number;
  #hasOverload = false;
  #wasReached = false;
  /** Limit and ratio before a trial decrease; undefined without a trial. */
  #beforeTrial: { limit: number; ratio: number } | undefined;
  readonly #serviceTimeSums: Float64Array;
  readonly #sampleCounts: Uint32Array;
  /**
   * Lowest recent mean service time of a window by class; 0 when unknown. It
   * grows slowly, so that an old minimum does not last.
   */
  readonly #baselines: Float64Array;

  /**
   * @param slots Calls that the target runs at once, as declared.
   * @param options Classes, start time and rate of increase.
   */
  constructor(slots: number, options: ConcurrencyLimitOptions) {
    this.#slots = slots;
    this.#limit = slots;
    this.#increasePerSecond = options.increasePerSecond;
    this.#kneeSearch = options.areSlotsAnnounced === true
      ? new KneeSearch(slots)
      : undefined;
    this.#windowStart = options.nowMilliseconds;
    this.#serviceTimeSums = new Float64Array(options.classCount);
    this.#sampleCounts = new Uint32Array(options.classCount);
    this.#baselines = new Float64Array(options.classCount);
  }

  /** Gets the limit in whole calls, at least 1. */
  get value(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  /** Changes the slots; the limit changes in proportion. */
  update(
    slots: number,
    options: Pick<
      ConcurrencyLimitOptions,
      "increasePerSecond" | "areSlotsAnnounced"
    >,
  ): void {
    if (slots !== this.#slots) {
      this.#limit = Math.max(1, this.#limit * slots / this.#slots);
      this.#slots = slots;
    }
    this.#increasePerSecond = options.increasePerSecond;
    if (options.areSlotsAnnounced === true) {
      this.#kneeSearch ??= new KneeSearch(slots);
      this.#kneeSearch.update(slots);
    } else {
      this.#kneeSearch = undefined;
    }
    this.#limit = Math.min(this.#limit, this.#getMaximum());
  }

  /** Records that the number of running calls has reached the limit. */
  onLimitReached(): void {
    this.#wasReached = true;
  }

  /** Records a shed signal or an unreachable target. */
  onOverload(nowMilliseconds: number): void {
    this.#hasOverload = true;
    this.#closeWindowIfElapsed(nowMilliseconds);
  }

  /**
   * Records a call that got no valid response. If it lasted about as long as a
   * complete one, the target ran it and lost the response, which says nothing
   * about its load.
   */
  onBroken(
    classIndex: number,
    serviceMilliseconds: number,
    nowMilliseconds: number,
  ): void {
    const baseline = this.#baselines[classIndex] ?? 0;
    if (baseline === 0 || serviceMilliseconds < baseline * minimumRunShare) {
      this.onOverload(nowMilliseconds);
    }
  }

  /** Records the service time of a completed call, without nested calls. */
  onCompleted(
    classIndex: number,
    serviceMilliseconds: number,
    nowMilliseconds: number,
  ): void {
    this.#serviceTimeSums[classIndex] =
      (this.#serviceTimeSums[classIndex] ?? 0) +
      serviceMilliseconds;
    this.#sampleCounts[classIndex] = (this.#sampleCounts[classIndex] ?? 0) + 1;
    this.#closeWindowIfElapsed(nowMilliseconds);
  }

  #closeWindowIfElapsed(nowMilliseconds: number): void {
    const elapsed = nowMilliseconds - this.#windowStart;
    if (elapsed < windowMilliseconds) {
      return;
    }
    if (this.#hasOverload) {
      this.#kneeSearch?.cancelTest();
      this.#limit = Math.max(1, this.#limit * overloadDecreaseFactor);
      this.#startWindow(nowMilliseconds);
      return;
    }
    const ratio = this.#getServiceTimeRatio();
    if (ratio === undefined) {
      return; // too few samples: the window continues
    }
    if (this.#wasReached) {
      this.#searchKnee(ratio, nowMilliseconds);
      this.#adjust(ratio, Math.min(elapsed, 1000));
    } else {
      this.#kneeSearch?.cancelTest();
    }
    this.#startWindow(nowMilliseconds);
  }

  #adjust(ratio: number, elapsedMilliseconds: number): void {
    const before = this.#beforeTrial;
    this.#beforeTrial = undefined;
    if (before !== undefined && ratio > before.ratio * trialSuccessRatio) {
      // The trial failed: the target is slow for another reason than too many
      // calls at once, such as a slow disk.
      this.#limit = before.limit;
      this.#resetBaselines();
    } else if (ratio > slowdownThreshold) {
      this.#beforeTrial = { limit: this.#limit, ratio };
      this.#limit = Math.max(1, this.#limit * trialDecreaseFactor);
    } else if (this.#limit < this.#slots || ratio <= growthThreshold) {
      const increase = this.#slots * this.#increasePerSecond *
        elapsedMilliseconds / 1000;
      this.#limit = Math.min(this.#getMaximum(), this.#limit + increase);
    }
  }

  /** Applies the cap of the knee search while the limit is at the cap. */
  #searchKnee(ratio: number, nowMilliseconds: number): void {
    const search = this.#kneeSearch;
    if (search === undefined) {
      return;
    }
    if (ratio > slowdownThreshold || this.#limit < search.cap) {
      search.cancelTest();
    } else {
      search.onWindow(ratio, nowMilliseconds);
      this.#limit = search.cap;
    }
  }

  #getMaximum(): number {
    return this.#kneeSearch?.cap ?? 2 * this.#slots;
  }

  /** Takes the service times of this window as the new baselines. */
  #resetBaselines(): void {
    for (let i = 0; i < this.#sampleCounts.length; i++) {
      const samples = this.#sampleCounts[i] ?? 0;
      if (samples > 0) {
        this.#baselines[i] = (this.#serviceTimeSums[i] ?? 0) / samples;
      }
    }
  }

  /**
   * Gets the mean ratio of service time to baseline. It is computed by class,
   * because a change in the mix of classes must not look like a slower target.
   */
  #getServiceTimeRatio(): number | undefined {
    let count = 0;
    for (const each of this.#sampleCounts) {
      count += each;
    }
    if (count < minimumWindowSamples) {
      return undefined;
    }
    let weighted = 0;
    for (let i = 0; i < this.#sampleCounts.length; i++) {
      const samples = this.#sampleCounts[i] ?? 0;
      if (samples > 0) {
        weighted += samples * this.#updateBaseline(i, samples);
      }
    }
    return weighted / count;
  }

  #updateBaseline(classIndex: number, samples: number): number {
    const mean = (this.#serviceTimeSums[classIndex] ?? 0) / samples;
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
    this.#serviceTimeSums.fill(0);
    this.#sampleCounts.fill(0);
  }
}
