import type { Clock } from "../common/mod.ts";

/** Deadlines are rounded up to this many milliseconds. */
const bucketMilliseconds = 8;

/** Something that ends at its deadline. */
export interface Expirable {
  onDeadline(): void;
}

/**
 * Calls back at deadlines. Calls share one timer per 8 ms, because a timer for
 * each call costs more than the rest of its bookkeeping.
 */
export class DeadlineTimers {
  readonly #clock: Clock;
  readonly #buckets = new Map<number, Set<Expirable>>();
  #timer: NodeJS.Timeout | undefined;
  #timerBucket = Infinity;

  /** @param clock Its monotonic time is what deadlines refer to. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Adds a deadline.
   * @param deadlineMilliseconds Monotonic time.
   * @param item What to call.
   */
  add(deadlineMilliseconds: number, item: Expirable): void {
    const bucket = getBucket(deadlineMilliseconds);
    const items = this.#buckets.get(bucket);
    if (items !== undefined) {
      items.add(item);
      return;
    }
    this.#buckets.set(bucket, new Set([item]));
    if (bucket < this.#timerBucket) {
      this.#scheduleTimer(bucket);
    }
  }

  /** Removes a deadline; the arguments are those of `add`. */
  remove(deadlineMilliseconds: number, item: Expirable): void {
    this.#buckets.get(getBucket(deadlineMilliseconds))?.delete(item);
  }

  /** Forgets all deadlines. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#buckets.clear();
  }

  #scheduleTimer(bucket: number): void {
    clearTimeout(this.#timer);
    this.#timerBucket = bucket;
    const delay = bucket * bucketMilliseconds -
      this.#clock.monotonicMilliseconds();
    this.#timer = setTimeout(() => this.#expire(), Math.max(1, delay));
    this.#timer.unref();
  }

  #expire(): void {
    this.#timerBucket = Infinity;
    const now = this.#clock.monotonicMilliseconds();
    for (const [bucket, items] of [...this.#buckets]) {
      if (bucket * bucketMilliseconds <= now) {
        this.#buckets.delete(bucket);
        for (const item of items) {
          item.onDeadline();
        }
      }
    }
    let earliest = Infinity;
    for (const [bucket, items] of this.#buckets) {
      if (items.size === 0) {
        this.#buckets.delete(bucket);
      } else {
        earliest = Math.min(earliest, bucket);
      }
    }
    if (earliest < this.#timerBucket) {
      this.#scheduleTimer(earliest);
    }
  }
}

function getBucket(deadlineMilliseconds: number): number {
  return Math.ceil(deadlineMilliseconds / bucketMilliseconds);
}
