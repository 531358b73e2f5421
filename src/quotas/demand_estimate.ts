/** Time over which demand is averaged. */
const timeConstantMilliseconds = 1000;

/** Estimates the requests per second of a tenant at a node. */
export class DemandEstimate {
  #count = 0;
  #updatedAt: number;

  constructor(now: number) {
    this.#updatedAt = now;
  }

  /** Records a request. */
  record(now: number): void {
    this.#count = this.#getCount(now) + 1;
    this.#updatedAt = now;
  }

  /** Gets the requests per second. */
  getRate(now: number): number {
    return this.#getCount(now) * 1000 / timeConstantMilliseconds;
  }

  #getCount(now: number): number {
    const age = now - this.#updatedAt;
    return this.#count * Math.exp(-age / timeConstantMilliseconds);
  }
}
