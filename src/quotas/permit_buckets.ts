import type { Quota } from "../document/mod.ts";
import {
  maximumPermitWaitMilliseconds,
  type PermitDeficit,
  type PermitGrant,
  type PermitRequest,
  stockWantMilliseconds,
} from "./permit_messages.ts";
import { shareValidityMilliseconds } from "./fleet_share.ts";
import {
  getQuotaLimits,
  type QuotaLimits,
  type QuotaTerms,
} from "./quota_limits.ts";

/** A grant, and the node that it is for. */
export interface AddressedGrant extends Omit<PermitGrant, "sequence"> {
  readonly nodeKey: string;
}

interface Want {
  readonly nodeKey: string;
  readonly number: number;
  readonly receivedAt: number;
  waiting: number;
  stock: number;
  /** Whether the node was told how long it is expected to wait. */
  isStated: boolean;
}

/** Permits that another instance deducted from its bucket. */
interface BorrowedPermits {
  permits: number;
  readonly deductedAt: number;
}

interface Bucket {
  level: number;
  /** Value of the integral of the share when the level was computed. */
  integral: number;
  wants: Want[];
  borrowed: BorrowedPermits[];
  /** Time until which no other instance is expected to lend permits. */
  shortageUntil: number;
}

/** Part of the lifetime after which borrowed permits are no longer granted. */
const usableLifetimePart = 0.75;
/** Largest number of permits that one want may name. */
const maximumWantedPermits = 10_000;
// A sum of lent fractions can lack a rounding error to a whole permit.
const roundingError = 1e-6;

/**
 * Token buckets of one control instance for the tenants of an environment. A
 * bucket gets the instance's share of the rate and of the capacity. Permits that
 * are granted or lent are first deducted; each is valid for its lifetime from then
 * on, whichever way it takes, so the permits in use never exceed the quota and its
 * allowance, whatever messages are lost, repeated or late.
 */
export class PermitBuckets {
  readonly #terms: QuotaTerms;
  readonly #limits = new Map<string, QuotaLimits>();
  readonly #buckets = new Map<string, Bucket>();
  readonly #tenantsWithWants = new Set<string>();
  #share = 0;
  /** Integral of the share since the start, in seconds. */
  #integral = 0;
  #integralAt: number;

  /**
   * @param terms The window and its allowance.
   * @param now The monotonic time, in milliseconds.
   */
  constructor(terms: QuotaTerms, now: number) {
    this.#terms = terms;
    this.#integralAt = now;
  }

  /** Gets the number of buckets that are not full, or have wants. */
  get activeCount(): number {
    return this.#buckets.size;
  }

  /** Gets whether nodes wait for permits. */
  get hasWants(): boolean {
    return this.#tenantsWithWants.size > 0;
  }

  /** Gets whether a tenant has a quota. */
  get hasQuotas(): boolean {
    return this.#limits.size > 0;
  }

  /** Sets the quotas of the document, by tenant. */
  setQuotas(quotas: ReadonlyMap<string, Quota>): void {
    this.#limits.clear();
    for (const [tenant, quota] of quotas) {
      this.#limits.set(tenant, getQuotaLimits(quota, this.#terms));
    }
    for (const tenant of this.#buckets.keys()) {
      if (!this.#limits.has(tenant)) {
        this.#buckets.delete(tenant);
        this.#tenantsWithWants.delete(tenant);
      }
    }
  }

  /** Sets the share of this instance in all quotas, from 0 to 1. */
  setShare(share: number, now: number): void {
    this.#advance(now);
    this.#share = share;
    for (const [tenant, bucket] of this.#buckets) {
      this.#refill(tenant, bucket);
    }
  }

  /** Adds the permit request of a node. */
  request(nodeKey: string, request: PermitRequest, now: number): void {
    for (const { tenant, waiting, stock } of request.wants) {
      if (this.#limits.has(tenant)) {
        this.#getBucket(tenant).wants.push({
          nodeKey,
          number: request.number,
          receivedAt: now,
          waiting: Math.min(waiting, maximumWantedPermits),
          stock: Math.min(stock, maximumWantedPermits),
          isStated: false,
        });
        this.#tenantsWithWants.add(tenant);
      }
    }
  }

  /** Removes the wants of a node whose session ended. */
  removeNode(nodeKey: string): void {
    for (const tenant of this.#tenantsWithWants) {
      const bucket = this.#getBucket(tenant);
      bucket.wants = bucket.wants.filter((each) => each.nodeKey !== nodeKey);
    }
  }

  /**
   * Grants the available permits: first for waiting requests, in the order of
   * their arrival, then for stock.
   * @param now The monotonic time.
   * @returns The grants; for a want that has to wait because no instance has a
   * permit, once one of 0 permits that states the expected wait.
   */
  takeGrants(now: number): AddressedGrant[] {
    this.#advance(now);
    const grants: AddressedGrant[] = [];
    for (const tenant of this.#tenantsWithWants) {
      const bucket = this.#getBucket(tenant);
      this.#expire(tenant, bucket, now);
      this.#grant(tenant, bucket, { kind: "waiting", grants, now });
      this.#grant(tenant, bucket, { kind: "stock", grants, now });
      bucket.wants = bucket.wants.filter((each) =>
        each.waiting > 0 || each.stock > 0
      );
      if (bucket.wants.length === 0) {
        this.#tenantsWithWants.delete(tenant);
      }
    }
    return grants;
  }

  /** Gets the permits that waiting requests and stock lack, by tenant. */
  getDeficits(now: number): PermitDeficit[] {
    this.#advance(now);
    const deficits: PermitDeficit[] = [];
    for (const tenant of this.#tenantsWithWants) {
      const bucket = this.#getBucket(tenant);
      this.#expire(tenant, bucket, now);
      const permits = getWanted(bucket, "waiting") +
        getWanted(bucket, "stock") - getAvailable(bucket);
      if (permits > 0) {
        deficits.push({ tenant, permits });
      }
    }
    return deficits;
  }

  /**
   * Deducts permits for another instance, after those for own waiting requests.
   * @param deficit What the other instance lacks.
   * @param now The monotonic time.
   * @returns The permits, in fractions; 0 for none.
   */
  lend({ tenant, permits }: PermitDeficit, now: number): number {
    if (!this.#limits.has(tenant) || !(permits > 0)) {
      return 0;
    }
    this.#advance(now);
    const bucket = this.#getBucket(tenant);
    this.#expire(tenant, bucket, now);
    const spare = bucket.level - getWanted(bucket, "waiting");
    const lent = Math.max(0, Math.min(permits, spare));
    bucket.level -= lent;
    return lent;
  }

  /**
   * Adds permits that another instance lent.
   * @param lent The permits, in fractions, and the time before which they were
   * not deducted: that of the request for them.
   */
  borrow(
    { tenant, permits, deductedAt }: PermitDeficit & { deductedAt: number },
  ): void {
    if (this.#limits.has(tenant) && permits > 0) {
      this.#getBucket(tenant).borrowed.push({ permits, deductedAt });
    }
  }

  /** Records that no other instance is expected to lend permits until a time. */
  setShortage(tenant: string, until: number): void {
    const bucket = this.#buckets.get(tenant);
    if (bucket !== undefined) {
      bucket.shortageUntil = until;
    }
  }

  /** Removes the buckets that are full and idle; a new one is as full. */
  removeIdle(now: number): void {
    this.#advance(now);
    for (const [tenant, bucket] of this.#buckets) {
      this.#expire(tenant, bucket, now);
      const limits = this.#limits.get(tenant) as QuotaLimits;
      if (
        bucket.wants.length === 0 && bucket.borrowed.length === 0 &&
        bucket.level >= limits.capacity * this.#share
      ) {
        this.#buckets.delete(tenant);
        this.#tenantsWithWants.delete(tenant);
      }
    }
  }

  #advance(now: number): void {
    // After a pause of this process, its nodes may have moved.
    const milliseconds = Math.min(
      Math.max(0, now - this.#integralAt),
      shareValidityMilliseconds,
    );
    this.#integral += milliseconds / 1000 * this.#share;
    this.#integralAt = Math.max(now, this.#integralAt);
  }

  /** Gets the bucket of a tenant; it was empty when this process started. */
  #getBucket(tenant: string): Bucket {
    let bucket = this.#buckets.get(tenant);
    if (bucket === undefined) {
      bucket = {
        level: 0,
        integral: 0,
        wants: [],
        borrowed: [],
        shortageUntil: -Infinity,
      };
      this.#buckets.set(tenant, bucket);
    }
    return bucket;
  }

  #refill(tenant: string, bucket: Bucket): void {
    const limits = this.#limits.get(tenant) as QuotaLimits;
    const added = (this.#integral - bucket.integral) * limits.permitsPerSecond;
    bucket.level = Math.min(
      bucket.level + added,
      limits.capacity * this.#share,
    );
    bucket.integral = this.#integral;
  }

  #expire(tenant: string, bucket: Bucket, now: number): void {
    this.#refill(tenant, bucket);
    const { lifetimeMilliseconds } = this.#limits.get(tenant) as QuotaLimits;
    bucket.borrowed = bucket.borrowed.filter((each) =>
      now - each.deductedAt < lifetimeMilliseconds * usableLifetimePart
    );
    for (const want of bucket.wants) {
      const age = now - want.receivedAt;
      want.waiting = age < maximumPermitWaitMilliseconds ? want.waiting : 0;
      want.stock = age < stockWantMilliseconds ? want.stock : 0;
    }
  }

  #grant(
    tenant: string,
    bucket: Bucket,
    options: {
      kind: "waiting" | "stock";
      grants: AddressedGrant[];
      now: number;
    },
  ): void {
    const { kind, grants, now } = options;
    for (const want of bucket.wants) {
      const permits = Math.min(
        want[kind],
        Math.floor(getAvailable(bucket) + roundingError),
      );
      const mustState = kind === "waiting" && want.waiting > permits &&
        !want.isStated && now < bucket.shortageUntil;
      if (permits > 0 || mustState) {
        const deductedAt = deduct(bucket, permits, now);
        want[kind] -= permits;
        want.isStated ||= mustState;
        grants.push({
          nodeKey: want.nodeKey,
          number: want.number,
          tenant,
          permits,
          issueOffsetMilliseconds: Math.floor(deductedAt - want.receivedAt),
          expectedWaitMilliseconds: this.#getExpectedWait(tenant, bucket, now),
        });
      }
    }
  }

  /** Gets the time until the bucket has permits for all waiting requests. */
  #getExpectedWait(tenant: string, bucket: Bucket, now: number): number {
    const limits = this.#limits.get(tenant) as QuotaLimits;
    const missing = getWanted(bucket, "waiting") + 1 - getAvailable(bucket);
    if (now >= bucket.shortageUntil || missing <= 0) {
      return 0;
    }
    const rate = limits.permitsPerSecond * this.#share;
    return Math.round(
      Math.min(missing / rate * 1000, maximumExpectedWaitMilliseconds),
    );
  }
}

/** Longest wait that is stated; the share of an instance may grow at any time. */
const maximumExpectedWaitMilliseconds = 10_000;

function getWanted(bucket: Bucket, kind: "waiting" | "stock"): number {
  return bucket.wants.reduce((sum, want) => sum + want[kind], 0);
}

function getAvailable(bucket: Bucket): number {
  return bucket.borrowed.reduce(
    (sum, each) => sum + each.permits,
    bucket.level,
  );
}

/**
 * Deducts permits, the borrowed ones first because they expire.
 * @returns The time before which none of them was deducted.
 */
function deduct(bucket: Bucket, permits: number, now: number): number {
  let rest = permits;
  let deductedAt = now;
  for (const each of bucket.borrowed) {
    const taken = Math.min(each.permits, rest);
    if (taken > 0) {
      each.permits -= taken;
      rest -= taken;
      deductedAt = Math.min(deductedAt, each.deductedAt);
    }
  }
  bucket.borrowed = bucket.borrowed.filter((each) => each.permits > 0);
  bucket.level -= rest;
  return deductedAt;
}
