import type { Clock } from "./clock.ts";

/** A clock that only moves when it is advanced; for tests and benchmarks. */
export class ManualClock implements Clock {
  #milliseconds: number;
  readonly #origin: number;

  /**
   * @param origin Wall-clock time at the start.
   */
  constructor(origin: Date = new Date(0)) {
    this.#origin = origin.getTime();
    this.#milliseconds = 0;
  }

  now(): Date {
    return new Date(this.#origin + this.#milliseconds);
  }

  monotonicMilliseconds(): number {
    return this.#milliseconds;
  }

  /**
   * Moves the clock forward.
   * @param milliseconds How far; must not be negative.
   */
  advance(milliseconds: number): void {
    if (milliseconds < 0) {
      throw new RangeError(`Cannot move the clock by ${milliseconds} ms`);
    }
    this.#milliseconds += milliseconds;
  }
}
