import type { Quota } from "../document/mod.ts";

/** How far the requests of a tenant in a window may exceed its quota. */
export interface QuotaTerms {
  readonly windowMilliseconds: number;
  /** Fraction of the quota of a window. */
  readonly overrun: number;
  /** Number of requests. */
  readonly slack: number;
}

/** Limits that together keep a tenant within its quota and its allowance. */
export interface QuotaLimits {
  readonly quota: Quota;
  /** Permits that become available per second, over all instances and floors. */
  readonly permitsPerSecond: number;
  /** Permits that the buckets of all instances hold at most. */
  readonly capacity: number;
  /** Permits that the floors of all nodes hold at most. */
  readonly floorCapacity: number;
  /** Time after its deduction from a bucket in which a permit can be used. */
  readonly lifetimeMilliseconds: number;
}

/** Terms of a deployment whose settings name none. */
export const defaultQuotaTerms: QuotaTerms = {
  windowMilliseconds: 5000,
  overrun: 0,
  slack: 0,
};

/** Parts of the allowance; they add up to 1. */
const allowanceParts = { buckets: 0.35, floors: 0.35, lifetime: 0.3 } as const;

/**
 * Part of the burst that is spread over the window as rate. The quota allows the
 * burst in each window, so demand above the rate that lasts for many windows is
 * within the quota, too. With half of it, a tenant whose usual demand is the rate /
 * 1.6 can send 1.7 times as much for as long as it likes, and 2.3 times for 2 s.
 */
const spreadBurstPart = 0.5;

/**
 * Shortest and longest lifetime of a permit. The shortest one covers two round
 * trips between regions (24 ms each) and the time that messages are collected.
 */
const lifetimeSeconds = { minimum: 0.15, maximum: 1 } as const;

/**
 * Gets the limits for a quota. In a window of `w` seconds, at most `capacity +
 * floorCapacity + permitsPerSecond * (w + lifetime)` permits are used: those in
 * the buckets and floors at its start, those added during it, and those deducted
 * up to a lifetime before it. The limits keep this sum within the quota and its
 * allowance. Without an allowance, the rate is lowered to pay for the lifetime.
 * @param quota The quota of a tenant.
 * @param terms The window and the allowance.
 * @returns The limits.
 */
export function getQuotaLimits(quota: Quota, terms: QuotaTerms): QuotaLimits {
  const { requestsPerSecond, burst } = quota;
  const windowSeconds = terms.windowMilliseconds / 1000;
  const allowance = getAllowance(quota, terms);
  const lifetimePermits = allowance * allowanceParts.lifetime;
  const rate = requestsPerSecond + burst * spreadBurstPart / windowSeconds;
  const lifetime = Math.min(
    Math.max(lifetimePermits / rate, lifetimeSeconds.minimum),
    lifetimeSeconds.maximum,
  );
  return {
    quota,
    permitsPerSecond: Math.min(
      rate,
      (rate * windowSeconds + lifetimePermits) /
        (windowSeconds + lifetime),
    ),
    // Below 1, no whole permit would ever be available.
    capacity: Math.max(
      1,
      burst * (1 - spreadBurstPart) + allowance * allowanceParts.buckets,
    ),
    floorCapacity: allowance * allowanceParts.floors,
    lifetimeMilliseconds: lifetime * 1000,
  };
}

/** Gets the number of requests that may run in a window beyond the quota. */
export function getAllowance(quota: Quota, terms: QuotaTerms): number {
  const { requestsPerSecond, burst } = quota;
  return terms.overrun *
      (requestsPerSecond * terms.windowMilliseconds / 1000 + burst) +
    terms.slack;
}
