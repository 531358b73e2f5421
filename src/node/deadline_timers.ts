import type { Clock } from "../common/mod.ts";

/** Granularity to which deadlines are rounded up. */
const bucketMilliseconds = 8;

/** An operation with a deadline. */
export interface Expirable {
  onDeadline(): void;
}

/**
 * Notifies operations when their deadlines pass. Deadlines are grouped in
 * buckets of 8 ms that share one timer, because a timer for each call would
 * cost more than the rest of the bookkeeping for the call.
 */
export class DeadlineTimers {
  readonly #clock: Clock;
  readonly #buckets = new Map<number, Set<Expirable>>();
  #timer: NodeJS.Timeout | undefined;
  #timerBucket = Infinity;

  /** @param clock Clock whose monotonic time the deadlines refer to. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Adds a deadline.
   * @param deadlineMilliseconds Deadline, in monotonic time.
   * @param item Operation to notify.
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

  /** Removes a deadline that was added with the same arguments. */
  remove(deadlineMilliseconds: number, item: Expirable): void {
    this.#buckets.get(getBucket(deadlineMilliseconds))?.delete(item);
  }

  /** Removes all deadlines. */
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
