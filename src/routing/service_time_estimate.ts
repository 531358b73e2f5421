/**
 * Half-life of the difference between the estimate and new samples. A lasting
 * change is followed in about three responses at the usual rate of a few a
 * second, and a disturbance of 200 ms moves the estimate by less than a third.
 */
const sampleHalfLifeMilliseconds = 400;
/** Smallest weight of a sample, for targets that get many calls a second. */
const minimumSampleWeight = 0.02;
/**
 * Time without samples after which half of the difference to the mean of the
 * service is forgotten, so that a target that was once slow is tried again.
 */
const forgetHalfLifeMilliseconds = 3000;
/** Largest and smallest estimate, as multiples of the mean of the service. */
const maximumRatio = 8;

/** Estimate of the own service time of one target. */
export class ServiceTimeEstimate {
  #milliseconds = 0;
  #lastSampleMilliseconds = -Infinity;

  /** Whether the target has had a sample. */
  get hasSample(): boolean {
    return this.#milliseconds > 0;
  }

  /**
   * Gets the time since the last sample.
   * @returns The age in milliseconds; Infinity without samples.
   */
  getAge(nowMilliseconds: number): number {
    return nowMilliseconds - this.#lastSampleMilliseconds;
  }

  /**
   * Records the service time that the node of the target reported, or that this
   * node measured.
   */
  record(milliseconds: number, nowMilliseconds: number): void {
    if (!(milliseconds > 0)) {
      return;
    }
    if (!this.hasSample) {
      this.#milliseconds = milliseconds;
    } else {
      const age = nowMilliseconds - this.#lastSampleMilliseconds;
      const weight = Math.max(
        minimumSampleWeight,
        1 - 0.5 ** (age / sampleHalfLifeMilliseconds),
      );
      this.#milliseconds += weight * (milliseconds - this.#milliseconds);
    }
    this.#lastSampleMilliseconds = nowMilliseconds;
  }

  /** Forgets all samples. */
  reset(): void {
    this.#milliseconds = 0;
    this.#lastSampleMilliseconds = -Infinity;
  }

  /**
   * Gets the estimate, which approaches the mean of the service with its age.
   * @param meanMilliseconds Mean of the service; 0 when unknown.
   * @param nowMilliseconds Monotonic time.
   * @returns The own service time in milliseconds; 0 when unknown.
   */
  get(meanMilliseconds: number, nowMilliseconds: number): number {
    if (!this.hasSample || meanMilliseconds === 0) {
      return meanMilliseconds;
    }
    const age = nowMilliseconds - this.#lastSampleMilliseconds;
    const estimate = meanMilliseconds +
      (this.#milliseconds - meanMilliseconds) *
        0.5 ** (age / forgetHalfLifeMilliseconds);
    return Math.min(
      meanMilliseconds * maximumRatio,
      Math.max(meanMilliseconds / maximumRatio, estimate),
    );
  }
}
