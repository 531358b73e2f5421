import type { Clock } from "../common/mod.ts";
import type { Quota } from "../document/mod.ts";
import { DemandEstimate } from "./demand_estimate.ts";
import { handoverMilliseconds, type NodePlace } from "./fleet_share.ts";
import { getFloorCapacity, PermitFloor } from "./permit_floor.ts";
import {
  maximumPermitWaitMilliseconds,
  type PermitGrant,
  type PermitRequest,
  type PermitWant,
} from "./permit_messages.ts";
import {
  getQuotaLimits,
  type QuotaLimits,
  type QuotaTerms,
} from "./quota_limits.ts";

/** Permits that were granted together; those not yet used are the stock. */
export interface Permits {
  readonly kind: "granted";
  /** Permits that are left. */
  count: number;
  /** Monotonic time from which on they cannot be used. */
  readonly expiresAt: number;
}

/** A request over the limit. */
export interface QuotaRefusal {
  readonly kind: "refused";
  /** Time until a permit is expected. */
  readonly waitMilliseconds: number;
}

/** Whether a request may run. */
export type QuotaDecision = Permits | QuotaRefusal;

/** A tenant that is limited at this node. */
export interface LimitedTenant {
  readonly tenant: string;
  readonly quota: Quota;
  /** Monotonic time of the first refusal. */
  readonly since: number;
  /** Monotonic time at which a permit is expected. */
  readonly until: number;
  readonly refused: number;
}

/** Receives events of {@link NodeQuotas}. */
export interface NodeQuotaEvents {
  /** Called when permits are needed; the owner then sends a request. */
  onNeed?(need: "waiting" | "stock"): void;
  onLimited?(tenant: LimitedTenant): void;
  onUnlimited?(tenant: LimitedTenant): void;
}

/** Counts of all tenants together. */
export interface QuotaCounts {
  granted: number;
  waited: number;
  refused: number;
  expired: number;
}

interface Waiter {
  readonly refuseAt: number;
  readonly resolve: (decision: QuotaDecision) => void;
}

/** Permits of a permit request that were not granted yet. */
interface Outstanding {
  readonly number: number;
  readonly sentAt: number;
  permits: number;
}

interface TenantState {
  readonly demand: DemandEstimate;
  floor: PermitFloor | undefined;
  stock: Permits[];
  waiters: Waiter[];
  outstanding: Outstanding[];
  /** Waiting requests for which no permit request was sent yet. */
  unsentWaiting: number;
  /** Monotonic time at which control expects a permit. */
  permitExpectedAt: number;
  limitedSince: number | undefined;
  limitedUntil: number;
  refusedAt: number;
  refusedCount: number;
  usedAt: number;
}

/** Time for which the stock covers the demand. */
const stockHorizonMilliseconds = 250;
/** Time without a refusal after which a tenant is no longer limited. */
const limitedMilliseconds = 5000;
/** Time without a request after which the state of a tenant is removed. */
const idleMilliseconds = 30_000;

const unlimited: Permits = { kind: "granted", count: 0, expiresAt: -Infinity };

/** Permits of a node: its stock, its waiting requests and its floors. */
export class NodeQuotas {
  readonly counts: QuotaCounts = {
    granted: 0,
    waited: 0,
    refused: 0,
    expired: 0,
  };
  readonly #clock: Clock;
  readonly #terms: QuotaTerms;
  readonly #events: NodeQuotaEvents;
  readonly #limits = new Map<string, QuotaLimits>();
  readonly #tenants = new Map<string, TenantState>();
  #place: NodePlace | undefined;
  #hasContact = false;
  #refillsFloorsFrom = Infinity;
  #number = 0;
  #lastSequence = 0;
  #waiterCount = 0;
  /** Tenants that need permits, by the reports of `onNeed`. */
  readonly #needing = new Set<string>();
  #floorsUsableFrom: number;
  /** Whether the node runs without control, as the only one. */
  #isAlone = false;

  /**
   * @param options The clock, the window with its allowance, and the events.
   */
  constructor(
    options: { clock: Clock; terms: QuotaTerms } & NodeQuotaEvents,
  ) {
    this.#clock = options.clock;
    this.#terms = options.terms;
    this.#events = options;
    // An earlier process of this node may have used its floors in this window.
    this.#floorsUsableFrom = this.#clock.monotonicMilliseconds() +
      options.terms.windowMilliseconds;
  }

  /** Gets whether a tenant has a quota. */
  get hasQuotas(): boolean {
    return this.#limits.size > 0;
  }

  /** Gets the number of requests that wait for a permit. */
  get waiterCount(): number {
    return this.#waiterCount;
  }

  /** Gets whether an instance counts this node. */
  get hasContact(): boolean {
    return this.#hasContact;
  }

  /** Gets the number of tenants that are limited now. */
  get limitedCount(): number {
    let count = 0;
    for (const state of this.#tenants.values()) {
      count += state.limitedSince === undefined ? 0 : 1;
    }
    return count;
  }

  /** Gets the number of tenants with state. */
  get activeCount(): number {
    return this.#tenants.size;
  }

  /** Sets the quotas of the document in force, by tenant. */
  setQuotas(quotas: ReadonlyMap<string, Quota>): void {
    this.#limits.clear();
    for (const [tenant, quota] of quotas) {
      this.#limits.set(tenant, getQuotaLimits(quota, this.#terms));
    }
    for (const [tenant, state] of this.#tenants) {
      if (!this.#limits.has(tenant)) {
        this.#tenants.delete(tenant);
        this.#waiterCount -= state.waiters.length;
        state.waiters.forEach((each) => each.resolve(unlimited));
      }
    }
  }

  /**
   * Takes a permit for a request of a tenant.
   * @param tenant The tenant.
   * @param maximumWaitMilliseconds Time that the request has left.
   * @returns Permits, one of which was taken and to which it can be given back; a
   * refusal; or a promise of one of the two.
   */
  take(
    tenant: string,
    maximumWaitMilliseconds: number = Infinity,
  ): QuotaDecision | Promise<QuotaDecision> {
    const limits = this.#limits.get(tenant);
    if (limits === undefined) {
      return unlimited;
    }
    const now = this.#clock.monotonicMilliseconds();
    const state = this.#getState(tenant, now);
    state.usedAt = now;
    state.demand.record(now);
    // A new request must not overtake those that wait.
    if (state.waiters.length === 0) {
      const permits = this.#takeFromStock(state, now);
      if (permits !== undefined) {
        if (this.#hasContact && this.#needsStock(state, limits, now)) {
          this.#needing.add(tenant);
          this.#events.onNeed?.("stock");
        }
        return permits;
      }
    }
    if (!this.#hasContact) {
      return this.#takeFromFloor(tenant, state, { limits, now });
    }
    const expectedWait = state.permitExpectedAt - now;
    // While requests wait, the permit requests for them keep permits coming.
    if (
      state.waiters.length > 0 && expectedWait > maximumPermitWaitMilliseconds
    ) {
      return this.#refuse(tenant, state, { now, wait: expectedWait });
    }
    const wait = Math.min(
      maximumPermitWaitMilliseconds,
      maximumWaitMilliseconds,
    );
    state.unsentWaiting++;
    this.#waiterCount++;
    this.counts.waited++;
    this.#needing.add(tenant);
    this.#events.onNeed?.("waiting");
    return new Promise((resolve) => {
      state.waiters.push({ refuseAt: now + wait, resolve });
    });
  }

  /**
   * Gives back the permit of a request that was not run.
   * @param tenant The tenant.
   * @param permits What `take` returned.
   */
  giveBack(tenant: string, permits: Permits): void {
    const now = this.#clock.monotonicMilliseconds();
    const state = this.#tenants.get(tenant);
    if (state === undefined || permits.expiresAt <= now) {
      return;
    }
    if (permits.count === 0 && !state.stock.includes(permits)) {
      state.stock.push(permits);
    }
    permits.count++;
    this.#serveWaiters(state, now);
  }

  /**
   * Creates the request for the permits that are needed now.
   * @returns The request; `undefined` when nothing is needed or the node has no
   * contact.
   */
  createRequest(): PermitRequest | undefined {
    if (!this.#hasContact) {
      return undefined;
    }
    const now = this.#clock.monotonicMilliseconds();
    const number = this.#number + 1;
    const wants: PermitWant[] = [];
    for (const tenant of this.#needing) {
      const state = this.#tenants.get(tenant);
      const limits = this.#limits.get(tenant);
      if (state === undefined || limits === undefined) {
        continue;
      }
      this.#expireStock(state, now);
      const waiting = Math.min(state.unsentWaiting, state.waiters.length);
      const stock = this.#needsStock(state, limits, now)
        ? getStockTarget(state, limits, now) - getPermitCount(state)
        : 0;
      state.unsentWaiting = 0;
      if (waiting + stock > 0) {
        wants.push({ tenant, waiting, stock });
        state.outstanding.push({
          number,
          sentAt: now,
          permits: waiting + stock,
        });
      }
    }
    this.#needing.clear();
    if (wants.length === 0) {
      return undefined;
    }
    this.#number = number;
    return { number, wants };
  }

  /** Receives grants of the instance; repeated ones are ignored. */
  receiveGrants(grants: readonly PermitGrant[]): void {
    const now = this.#clock.monotonicMilliseconds();
    for (const grant of grants) {
      if (grant.sequence <= this.#lastSequence) {
        continue;
      }
      this.#lastSequence = grant.sequence;
      const state = this.#tenants.get(grant.tenant);
      const limits = this.#limits.get(grant.tenant);
      const request = state?.outstanding.find((each) =>
        each.number === grant.number
      );
      if (
        state === undefined || limits === undefined || request === undefined
      ) {
        continue;
      }
      state.permitExpectedAt = now + grant.expectedWaitMilliseconds;
      const count = Math.min(grant.permits, request.permits);
      request.permits -= count;
      // The request reached the instance after it was sent, so the permits were
      // not deducted before this time, whatever the clocks of both show.
      const deductedAt = request.sentAt + grant.issueOffsetMilliseconds;
      const expiresAt = deductedAt + limits.lifetimeMilliseconds;
      if (count > 0 && expiresAt > now) {
        state.stock.push({ kind: "granted", count, expiresAt });
        this.#serveWaiters(state, now);
      } else {
        this.counts.expired += count;
      }
    }
  }

  /** Uses all quotas at this node, which runs without control. */
  startAlone(): void {
    const now = this.#clock.monotonicMilliseconds();
    this.#isAlone = true;
    this.#place = { index: 0, count: 1 };
    this.#floorsUsableFrom = now;
    this.#refillsFloorsFrom = now;
  }

  /** Records that an instance counts this node, and its place. */
  onContact(place: NodePlace): void {
    this.#place = place;
    this.#hasContact = true;
    this.#refillsFloorsFrom = Infinity;
    if (this.#needing.size > 0) {
      this.#events.onNeed?.("waiting");
    }
  }

  /** Records that the session with the instance ended. */
  onContactLost(): void {
    const now = this.#clock.monotonicMilliseconds();
    if (this.#hasContact) {
      this.#refillsFloorsFrom = now + handoverMilliseconds;
    }
    this.#hasContact = false;
    this.#lastSequence = 0;
    for (const [tenant, state] of this.#tenants) {
      state.outstanding = [];
      // The next instance is asked again.
      state.unsentWaiting = state.waiters.length;
      if (state.waiters.length > 0) {
        this.#needing.add(tenant);
      }
    }
  }

  /**
   * Refuses requests that have waited long enough. To be called every few
   * milliseconds while requests wait, and once a second otherwise.
   */
  update(): void {
    const now = this.#clock.monotonicMilliseconds();
    for (const [tenant, state] of this.#tenants) {
      this.#expireStock(state, now);
      state.outstanding = state.outstanding.filter((each) =>
        each.permits > 0 &&
        now - each.sentAt < 2 * maximumPermitWaitMilliseconds
      );
      this.#refuseWaiters(tenant, state, now);
      if (
        state.limitedSince !== undefined &&
        now - state.refusedAt >= limitedMilliseconds
      ) {
        this.#events.onUnlimited?.(this.#describe(tenant, state));
        state.limitedSince = undefined;
        state.refusedCount = 0;
      }
      // A floor remembers what it has used, so it must have refilled meanwhile.
      const idle = state.floor === undefined
        ? idleMilliseconds
        : floorIdleMilliseconds;
      if (state.waiters.length === 0 && now - state.usedAt >= idle) {
        this.#tenants.delete(tenant);
      }
    }
  }

  /** Gets the tenants that are limited now. */
  getLimited(): LimitedTenant[] {
    return [...this.#tenants]
      .filter(([, state]) => state.limitedSince !== undefined)
      .map(([tenant, state]) => this.#describe(tenant, state));
  }

  #getState(tenant: string, now: number): TenantState {
    let state = this.#tenants.get(tenant);
    if (state === undefined) {
      state = {
        demand: new DemandEstimate(now),
        floor: undefined,
        stock: [],
        waiters: [],
        outstanding: [],
        unsentWaiting: 0,
        permitExpectedAt: now,
        limitedSince: undefined,
        limitedUntil: now,
        refusedAt: now,
        refusedCount: 0,
        usedAt: now,
      };
      this.#tenants.set(tenant, state);
    }
    return state;
  }

  #takeFromStock(state: TenantState, now: number): Permits | undefined {
    for (let first = state.stock[0]; first !== undefined;) {
      if (first.count > 0 && first.expiresAt > now) {
        first.count--;
        this.counts.granted++;
        return first;
      }
      this.counts.expired += first.count;
      state.stock.shift();
      first = state.stock[0];
    }
    return undefined;
  }

  #takeFromFloor(
    tenant: string,
    state: TenantState,
    { limits, now }: { limits: QuotaLimits; now: number },
  ): QuotaDecision {
    const place = this.#place;
    const startWait = this.#floorsUsableFrom - now;
    if (place === undefined || startWait > 0) {
      // Without a place, the node cannot know what its floor is.
      const wait = Math.max(startWait, noPlaceMilliseconds);
      return this.#refuse(tenant, state, { now, wait });
    }
    state.floor ??= new PermitFloor();
    const capacity = getFloorCapacity(tenant, { limits, place });
    const wait = state.floor.take({
      capacity: this.#isAlone
        ? { ...capacity, initial: capacity.refilled }
        : capacity,
      permitsPerSecond: limits.permitsPerSecond / place.count,
      refillsSince: this.#refillsFloorsFrom,
      now,
    });
    if (wait > 0) {
      return this.#refuse(tenant, state, { now, wait });
    }
    this.counts.granted++;
    return { kind: "granted", count: 0, expiresAt: now };
  }

  #refuse(
    tenant: string,
    state: TenantState,
    { now, wait }: { now: number; wait: number },
  ): QuotaRefusal {
    this.counts.refused++;
    const isFirst = state.limitedSince === undefined;
    state.limitedSince ??= now;
    state.limitedUntil = now + wait;
    state.refusedAt = now;
    state.refusedCount++;
    if (isFirst) {
      this.#events.onLimited?.(this.#describe(tenant, state));
    }
    return { kind: "refused", waitMilliseconds: Math.round(wait) };
  }

  #serveWaiters(state: TenantState, now: number): void {
    while (state.waiters.length > 0) {
      const permits = this.#takeFromStock(state, now);
      if (permits === undefined) {
        return;
      }
      this.#waiterCount--;
      state.waiters.shift()?.resolve(permits);
    }
  }

  #refuseWaiters(tenant: string, state: TenantState, now: number): void {
    const due = state.waiters.filter((each) => each.refuseAt <= now);
    if (due.length === 0) {
      return;
    }
    state.waiters = state.waiters.filter((each) => each.refuseAt > now);
    this.#waiterCount -= due.length;
    const { requestsPerSecond } = (this.#limits.get(tenant) as QuotaLimits)
      .quota;
    const wait = Math.max(
      state.permitExpectedAt - now,
      1000 / requestsPerSecond,
    );
    for (const waiter of due) {
      waiter.resolve(
        this.#hasContact
          ? this.#refuse(tenant, state, { now, wait })
          : this.#takeFromFloor(tenant, state, {
            limits: this.#limits.get(tenant) as QuotaLimits,
            now,
          }),
      );
    }
  }

  #expireStock(state: TenantState, now: number): void {
    state.stock = state.stock.filter((each) => {
      const isUsable = each.expiresAt > now && each.count > 0;
      this.counts.expired += isUsable ? 0 : each.count;
      return isUsable;
    });
  }

  /** Reports whether less than half of the stock is there or on its way. */
  #needsStock(
    state: TenantState,
    limits: QuotaLimits,
    now: number,
  ): boolean {
    const target = getStockTarget(state, limits, now);
    return target > 0 && getPermitCount(state) <= target / 2 &&
      // Otherwise the instance has none to spare.
      state.permitExpectedAt <= now;
  }

  #describe(tenant: string, state: TenantState): LimitedTenant {
    return {
      tenant,
      quota: this.#limits.get(tenant)?.quota ??
        { requestsPerSecond: 0, burst: 0 },
      since: state.limitedSince ?? state.refusedAt,
      until: state.limitedUntil,
      refused: state.refusedCount,
    };
  }
}

/** Time that a node without a place names; a session usually opens sooner. */
const noPlaceMilliseconds = 1000;
/** Time without a request after which the state of a floor is removed. */
const floorIdleMilliseconds = 600_000;

/**
 * Gets the permits that cover the demand of the next moments. Fewer than one would
 * mostly expire unused, and is 0.
 */
function getStockTarget(
  state: TenantState,
  limits: QuotaLimits,
  now: number,
): number {
  const horizon = Math.min(
    stockHorizonMilliseconds,
    limits.lifetimeMilliseconds,
  );
  return Math.floor(state.demand.getRate(now) * horizon / 1000);
}

/** Gets the permits that are in stock or were requested for it. */
function getPermitCount(state: TenantState): number {
  const stock = state.stock.reduce((sum, each) => sum + each.count, 0);
  const outstanding = state.outstanding.reduce(
    (sum, each) => sum + each.permits,
    0,
  );
  return stock + outstanding;
}
