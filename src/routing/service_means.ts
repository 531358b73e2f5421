/** Weight of one sample in the means. */
const sampleWeight = 1 / 10;
/** Half-life of the mean load without samples. */
const loadHalfLifeMilliseconds = 2000;

/**
 * Means over the targets of one service. They stand for a target of which this
 * node has no recent sample.
 */
export class ServiceMeans {
  #serviceMilliseconds = 0;
  #load = 0;
  #lastLoadMilliseconds = -Infinity;

  /** Mean own service time in milliseconds; 0 when unknown. */
  get serviceMilliseconds(): number {
    return this.#serviceMilliseconds;
  }

  /** Records the service time of one target. */
  recordServiceTime(milliseconds: number): void {
    const mean = this.#serviceMilliseconds;
    this.#serviceMilliseconds = mean === 0
      ? milliseconds
      : mean + sampleWeight * (milliseconds - mean);
  }

  /** Forgets the service times. */
  resetServiceTime(): void {
    this.#serviceMilliseconds = 0;
  }

  /** Records the load that one target reported, as a share of its limit. */
  recordLoad(load: number, nowMilliseconds: number): void {
    const mean = this.getLoad(nowMilliseconds);
    this.#load = mean === 0 ? load : mean + sampleWeight * (load - mean);
    this.#lastLoadMilliseconds = nowMilliseconds;
  }

  /** Gets the mean load; 0 when unknown. */
  getLoad(nowMilliseconds: number): number {
    if (this.#load === 0) {
      return 0;
    }
    const age = nowMilliseconds - this.#lastLoadMilliseconds;
    return this.#load * 0.5 ** (age / loadHalfLifeMilliseconds);
  }
}
