import type { Metrics } from "../common/mod.ts";
import type { RefusalReason } from "../request/mod.ts";
import type { RetryReason, RetryStopReason } from "../retries/mod.ts";
import type { DeliveryFailure } from "./streamed_delivery.ts";

/** Counters of one service and class at this node. */
export interface ClassCounters {
  readonly service: string;
  readonly className: string;
  /** Calls that entered at this node and got the target's response. */
  completed: number;
  /** Attempts that were sent to the local target. */
  dispatched: number;
  /** Calls with a key that their caller had already sent to this node. */
  resent: number;
  /** Calls that entered at this node and were refused or failed. */
  readonly refused: Map<RefusalReason, number>;
  /** Attempts at the local target that this node refused or that failed. */
  readonly failedAttempts: Map<RefusalReason, number>;
  /** Calls whose response this node ended before it was delivered. */
  readonly undelivered: Map<DeliveryFailure, number>;
  readonly retried: Map<RetryReason, number>;
  readonly notRetried: Map<RetryStopReason, number>;
}

/** Counts calls, and adds the increments to the metrics once a second. */
export class CallCounters {
  readonly #metrics: Metrics;
  readonly #countersByClass = new Map<string, ClassCounters>();
  readonly #flushedCounts = new Map<string, number>();
  readonly #timer: NodeJS.Timeout;

  /** @param metrics Metrics to which the counters are added. */
  constructor(metrics: Metrics) {
    this.#metrics = metrics;
    this.#timer = setInterval(() => this.flush(), 1000);
    this.#timer.unref();
  }

  /** Gets the counters of a service and class. */
  get(service: string, className: string): ClassCounters {
    const key = `${service}/${className}`;
    const existing = this.#countersByClass.get(key);
    if (existing !== undefined) {
      return existing;
    }
    const counters: ClassCounters = {
      service,
      className,
      completed: 0,
      dispatched: 0,
      resent: 0,
      refused: new Map(),
      failedAttempts: new Map(),
      undelivered: new Map(),
      retried: new Map(),
      notRetried: new Map(),
    };
    this.#countersByClass.set(key, counters);
    return counters;
  }

  /**
   * Records the duration of a call.
   * @param counters Counters of the call's service and class.
   * @param milliseconds Time from the arrival of the call to its response.
   */
  observeDuration(counters: ClassCounters, milliseconds: number): void {
    const { service, className } = counters;
    this.#metrics.observe("calls.duration_ms", milliseconds, {
      service,
      class: className,
    });
  }

  /** Gets all counters as plain objects. */
  getStatus(): Record<string, unknown>[] {
    return [...this.#countersByClass.values()].map((each) => ({
      service: each.service,
      class: each.className,
      completed: each.completed,
      dispatched: each.dispatched,
      resent: each.resent,
      refused: Object.fromEntries(each.refused),
      failedAttempts: Object.fromEntries(each.failedAttempts),
      undelivered: Object.fromEntries(each.undelivered),
      retried: Object.fromEntries(each.retried),
      notRetried: Object.fromEntries(each.notRetried),
    }));
  }

  /** Adds the increments since the last flush to the metrics. */
  flush(): void {
    for (const each of this.#countersByClass.values()) {
      const tags = { service: each.service, class: each.className };
      this.#send("calls.completed", tags, each.completed);
      this.#send("attempts.dispatched", tags, each.dispatched);
      this.#send("calls.resent", tags, each.resent);
      this.#sendReasons("calls.refused", tags, each.refused);
      this.#sendReasons("attempts.failed", tags, each.failedAttempts);
      this.#sendReasons("calls.undelivered", tags, each.undelivered);
      this.#sendReasons("calls.retried", tags, each.retried);
      this.#sendReasons("calls.not_retried", tags, each.notRetried);
    }
  }

  /** Flushes the counters and stops the timer. */
  close(): void {
    clearInterval(this.#timer);
    this.flush();
  }

  #sendReasons(
    name: string,
    tags: Readonly<Record<string, string>>,
    counts: ReadonlyMap<string, number>,
  ): void {
    for (const [reason, count] of counts) {
      this.#send(name, { ...tags, reason }, count);
    }
  }

  #send(
    name: string,
    tags: Readonly<Record<string, string>>,
    count: number,
  ): void {
    const key = `${name} ${Object.values(tags).join(" ")}`;
    const added = count - (this.#flushedCounts.get(key) ?? 0);
    if (added > 0) {
      this.#flushedCounts.set(key, count);
      this.#metrics.increment(name, tags, added);
    }
  }
}

/**
 * Increments the counter of a reason.
 * @param counts Counters by reason.
 * @param reason The reason.
 */
export function incrementReason<Reason extends string>(
  counts: Map<Reason, number>,
  reason: Reason,
): void {
  counts.set(reason, (counts.get(reason) ?? 0) + 1);
}
