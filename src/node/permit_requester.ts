import type { Log, Metrics } from "../common/mod.ts";
import type {
  LimitedTenant,
  NodeQuotaEvents,
  NodeQuotas,
  PermitRequest,
} from "../quotas/mod.ts";

/**
 * Shortest time between two messages with the needs of all tenants, so that a node
 * sends at most 100 messages a second. The first one is not delayed.
 */
const messageIntervalMilliseconds = 10;
/** Interval at which requests that waited too long are refused. */
const waiterIntervalMilliseconds = 20;
const idleIntervalMilliseconds = 1000;

/** Sends the permit requests of a node, and reports its limited tenants. */
export class PermitRequester implements NodeQuotaEvents {
  /** Sends a request to control; set when the node is connected to control. */
  send: (request: PermitRequest) => void = () => {};
  readonly #log: Log;
  readonly #metrics: Metrics;
  #quotas: NodeQuotas | undefined;
  #collectTimer: NodeJS.Timeout | undefined;
  #waiterTimer: NodeJS.Timeout | undefined;
  #idleTimer: NodeJS.Timeout | undefined;
  #sentAt = -Infinity;
  #reported = { granted: 0, waited: 0, refused: 0, expired: 0 };

  /**
   * @param log Log of the node.
   * @param metrics Metrics of the node.
   */
  constructor(log: Log, metrics: Metrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Starts to serve the quotas of a node. */
  start(quotas: NodeQuotas): void {
    this.#quotas = quotas;
    this.#idleTimer = setInterval(() => {
      if (quotas.activeCount > 0) {
        quotas.update();
        this.#report(quotas);
      }
    }, idleIntervalMilliseconds);
    this.#idleTimer.unref();
  }

  /** Stops the timers. */
  stop(): void {
    clearTimeout(this.#collectTimer);
    clearInterval(this.#waiterTimer);
    clearInterval(this.#idleTimer);
  }

  onNeed(need: "waiting" | "stock"): void {
    this.#collectTimer ??= setTimeout(
      () => {
        this.#collectTimer = undefined;
        this.#sentAt = performance.now();
        const request = this.#quotas?.createRequest();
        if (request !== undefined) {
          this.send(request);
        }
      },
      Math.max(
        0,
        this.#sentAt + messageIntervalMilliseconds - performance.now(),
      ),
    );
    if (need === "waiting") {
      this.#waiterTimer ??= setInterval(
        () => this.#updateWaiters(),
        waiterIntervalMilliseconds,
      );
    }
  }

  onLimited({ tenant, quota, until, since }: LimitedTenant): void {
    this.#log.warn("tenant limited", {
      tenant,
      rule: "quota",
      requestsPerSecond: quota.requestsPerSecond,
      burst: quota.burst,
      expectedWaitMilliseconds: Math.round(until - since),
      hasContact: this.#quotas?.hasContact,
    });
  }

  onUnlimited({ tenant, quota, refused, since, until }: LimitedTenant): void {
    this.#log.info("tenant no longer limited", {
      tenant,
      rule: "quota",
      requestsPerSecond: quota.requestsPerSecond,
      burst: quota.burst,
      refused,
      limitedMilliseconds: Math.round(until - since),
    });
  }

  #updateWaiters(): void {
    this.#quotas?.update();
    if (this.#quotas === undefined || this.#quotas.waiterCount === 0) {
      clearInterval(this.#waiterTimer);
      this.#waiterTimer = undefined;
    }
  }

  /** Reports sums over all tenants, whose number is not bounded. */
  #report({ counts, limitedCount }: NodeQuotas): void {
    for (const name of ["granted", "waited", "refused", "expired"] as const) {
      const added = counts[name] - this.#reported[name];
      if (added > 0) {
        this.#metrics.increment(`quotas.${name}`, {}, added);
      }
    }
    this.#reported = { ...counts };
    this.#metrics.gauge("quotas.limited_tenants", limitedCount, {});
  }
}
