/**
 * Time constant of the mean. Disturbances of a target last a fraction of a
 * second and must not dominate the mean; a lasting change must within a second.
 */
const timeConstantMilliseconds = 500;

/** Mean own service time of recent calls, weighted by their age. */
export class MeanServiceTime {
  #sum = 0;
  #weight = 0;
  #lastSampleMilliseconds = 0;

  /**
   * Records a call that ended.
   * @param serviceMilliseconds Its time at the target without nested calls.
   * @param nowMilliseconds Monotonic time.
   */
  record(serviceMilliseconds: number, nowMilliseconds: number): void {
    const age = nowMilliseconds - this.#lastSampleMilliseconds;
    const decay = Math.exp(-age / timeConstantMilliseconds);
    this.#sum = this.#sum * decay + serviceMilliseconds;
    this.#weight = this.#weight * decay + 1;
    this.#lastSampleMilliseconds = nowMilliseconds;
  }

  /**
   * Records a call that ended without a response. The time is a lower bound of
   * its service time, so that it counts only above the mean.
   */
  recordCancelled(serviceMilliseconds: number, nowMilliseconds: number): void {
    if (serviceMilliseconds > (this.milliseconds ?? 0)) {
      this.record(serviceMilliseconds, nowMilliseconds);
    }
  }

  /** Mean in milliseconds; `undefined` without samples. */
  get milliseconds(): number | undefined {
    return this.#weight === 0 ? undefined : this.#sum / this.#weight;
  }

  /** Forgets all samples, such as those of an earlier incarnation. */
  reset(): void {
    this.#sum = 0;
    this.#weight = 0;
  }
}
