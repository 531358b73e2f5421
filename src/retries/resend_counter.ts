import type { Clock } from "../common/mod.ts";

/** Options of a resend counter. */
export interface ResendCounterOptions {
  readonly clock: Clock;
  /** Number of entries at which a new generation starts. */
  readonly capacity?: number;
  /** Shortest time for which a send is remembered, if the capacity allows. */
  readonly windowMilliseconds?: number;
}

/**
 * Counts how often a caller sends the same request again. Entries are kept in
 * two generations to bound the memory: when the newer one is full or older than
 * the window, it replaces the older one.
 */
export class ResendCounter {
  readonly #clock: Clock;
  readonly #capacity: number;
  readonly #windowMilliseconds: number;
  #current = new Map<string, number>();
  #previous = new Map<string, number>();
  #generationStartMilliseconds: number;

  /** @param options Clock and bounds. */
  constructor(options: ResendCounterOptions) {
    this.#clock = options.clock;
    this.#capacity = options.capacity ?? 10_000;
    this.#windowMilliseconds = options.windowMilliseconds ?? 10_000;
    this.#generationStartMilliseconds = options.clock.monotonicMilliseconds();
  }

  /**
   * Records a send.
   * @param caller The caller.
   * @param identity Identity of the request, such as its key or fingerprint.
   * @returns How often the caller sent this request before; 0 for the first.
   */
  record(caller: string, identity: string): number {
    this.#rotateIfDue();
    const sends = this.#increment(`${caller}\n${identity}`);
    if (sends > 0) {
      this.#increment(caller);
    }
    return sends;
  }

  /**
   * Gets the number of resends of a caller. It starts again at 0 when the caller
   * resent nothing for one to two windows.
   */
  getResends(caller: string): number {
    this.#rotateIfDue();
    return this.#current.get(caller) ?? this.#previous.get(caller) ?? 0;
  }

  /** Number of entries in memory. */
  get size(): number {
    return this.#current.size + this.#previous.size;
  }

  #increment(key: string): number {
    const count = this.#current.get(key) ?? this.#previous.get(key) ?? 0;
    this.#current.set(key, count + 1);
    return count;
  }

  #rotateIfDue(): void {
    const now = this.#clock.monotonicMilliseconds();
    const age = now - this.#generationStartMilliseconds;
    if (
      age < this.#windowMilliseconds && this.#current.size < this.#capacity
    ) {
      return;
    }
    // All entries of the newer generation were made in its first window, so they
    // are too old as well after two windows.
    this.#previous = age < 2 * this.#windowMilliseconds
      ? this.#current
      : new Map();
    this.#current = new Map();
    this.#generationStartMilliseconds = now;
  }
}
