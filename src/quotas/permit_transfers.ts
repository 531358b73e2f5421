import type { PermitBuckets } from "./permit_buckets.ts";
import type { PermitDeficit } from "./permit_messages.ts";

/** A request for permits of another instance. */
export interface TransferRequest {
  readonly id: number;
  readonly peer: string;
  readonly deficits: readonly PermitDeficit[];
}

interface PendingRequest extends TransferRequest {
  readonly askedAt: number;
}

/** Sums of the permits that moved between instances. */
export interface TransferCounts {
  lent: number;
  borrowed: number;
}

/**
 * Time for which an instance that lent less than it was asked for is not asked for
 * permits of the tenant again. While a tenant is over its limit, all instances ask
 * each other, so this bounds the messages.
 */
const emptyMilliseconds = 100;
/**
 * Time after which an answer is no longer expected, and others are asked for the
 * same permits: two round trips of 24 ms between regions, and processing.
 */
const overdueMilliseconds = 60;
/** Permits are transferred in thousandths, because shares are not whole. */
const unitsPerPermit = 1000;
const roundingError = 1e-6;

/** Decides which other instances are asked for the permits that buckets lack. */
export class PermitTransfers {
  #counts: TransferCounts = { lent: 0, borrowed: 0 };
  readonly #buckets: PermitBuckets;
  readonly #pending = new Map<number, PendingRequest>();
  /** By tenant and instance, until when the instance is not asked. */
  readonly #emptyUntil = new Map<string, Map<string, number>>();
  #id = 0;

  /** @param buckets The buckets of this instance. */
  constructor(buckets: PermitBuckets) {
    this.#buckets = buckets;
  }

  /**
   * Creates the requests to be sent now. What is lacking is divided between the
   * instances that may have permits, so that little is lent in vain. Each instance
   * has at most one request at a time.
   * @param peers The other instances.
   * @param now The monotonic time.
   * @returns The requests. Each must end with an answer or `fail`.
   */
  createRequests(peers: readonly string[], now: number): TransferRequest[] {
    const deficitsByPeer = new Map<string, PermitDeficit[]>();
    const busyPeers = new Set(
      [...this.#pending.values()].map((each) => each.peer),
    );
    for (const { tenant, permits } of this.#buckets.getDeficits(now)) {
      const emptyUntil = this.#emptyUntil.get(tenant);
      const candidates = peers.filter((each) =>
        (emptyUntil?.get(each) ?? -Infinity) <= now
      );
      if (candidates.length === 0) {
        const until = Math.min(...emptyUntil?.values() ?? []);
        this.#buckets.setShortage(
          tenant,
          Number.isFinite(until) ? until : now + emptyMilliseconds,
        );
        continue;
      }
      const missing = permits - this.#getPendingPermits(tenant, now);
      const idlePeers = candidates.filter((each) => !busyPeers.has(each));
      if (missing > 0) {
        const amount = roundUp(missing / idlePeers.length);
        for (const peer of idlePeers) {
          const deficits = deficitsByPeer.get(peer) ?? [];
          deficits.push({ tenant, permits: amount });
          deficitsByPeer.set(peer, deficits);
        }
      }
    }
    return [...deficitsByPeer].map(([peer, deficits]) => {
      const request = { id: ++this.#id, peer, deficits, askedAt: now };
      this.#pending.set(request.id, request);
      return request;
    });
  }

  /**
   * Lends permits to another instance.
   * @param deficits What it lacks.
   * @param now The monotonic time.
   * @returns The permits that were deducted for it.
   */
  lend(deficits: readonly PermitDeficit[], now: number): PermitDeficit[] {
    return deficits.map(({ tenant, permits }) => {
      const lent = roundDown(this.#buckets.lend({ tenant, permits }, now));
      this.#counts.lent += lent;
      return { tenant, permits: lent };
    });
  }

  /** Receives the answer to a request; a repeated or unknown one is ignored. */
  receiveAnswer(
    id: number,
    lent: readonly PermitDeficit[],
    now: number,
  ): void {
    const request = this.#pending.get(id);
    if (request === undefined) {
      return;
    }
    this.#pending.delete(id);
    const permitsByTenant = new Map(
      lent.map(({ tenant, permits }) => [tenant, permits]),
    );
    for (const { tenant, permits: asked } of request.deficits) {
      const permits = Math.min(permitsByTenant.get(tenant) ?? 0, asked);
      this.#buckets.borrow({ tenant, permits, deductedAt: request.askedAt });
      this.#counts.borrowed += permits;
      if (permits < asked - roundingError) {
        this.#setEmpty(tenant, request.peer, now);
      } else {
        this.#emptyUntil.get(tenant)?.delete(request.peer);
      }
    }
  }

  /** Ends a request without an answer. */
  fail(id: number, now: number): void {
    this.receiveAnswer(id, [], now);
  }

  /** Gets and clears the sums since the last call. */
  takeCounts(): TransferCounts {
    const counts = this.#counts;
    this.#counts = { lent: 0, borrowed: 0 };
    return counts;
  }

  /** Removes the state of tenants that were not asked for lately. */
  removeIdle(now: number): void {
    for (const [tenant, byPeer] of this.#emptyUntil) {
      if ([...byPeer.values()].every((until) => until <= now)) {
        this.#emptyUntil.delete(tenant);
      }
    }
  }

  #setEmpty(tenant: string, peer: string, now: number): void {
    const byPeer = this.#emptyUntil.get(tenant) ?? new Map<string, number>();
    byPeer.set(peer, now + emptyMilliseconds);
    this.#emptyUntil.set(tenant, byPeer);
  }

  #getPendingPermits(tenant: string, now: number): number {
    let sum = 0;
    for (const { deficits, askedAt } of this.#pending.values()) {
      if (now - askedAt >= overdueMilliseconds) {
        continue;
      }
      sum += deficits.find((each) => each.tenant === tenant)?.permits ?? 0;
    }
    return sum;
  }
}

function roundUp(permits: number): number {
  return Math.ceil(permits * unitsPerPermit) / unitsPerPermit;
}

function roundDown(permits: number): number {
  return Math.floor(permits * unitsPerPermit + roundingError) / unitsPerPermit;
}
