import type { Clock, RandomSource } from "../common/mod.ts";
import { LinkTable } from "./link_table.ts";
import {
  drawLeavingLoad,
  drawRegionLeavingLoad,
  getOwnTime,
} from "./placement.ts";
import type {
  AttemptOutcome,
  LinkBytes,
  LinkKey,
  LinkRule,
  LinkShare,
  LoadHint,
  RouteRequest,
  RouterOptions,
  RoutingTarget,
  ServiceRule,
} from "./routing_types.ts";
import { getServiceStatus, type ServiceStatus } from "./service_status.ts";
import { ServiceView } from "./service_view.ts";
import { TargetComparison } from "./target_comparison.ts";
import type { TargetState } from "./target_state.ts";
import type { TierChoiceOptions } from "./target_tier.ts";

/** Load above which a target is saturated and farther ones are considered. */
const saturatedLoad = 1;
/**
 * Size from which a call counts as large. Sending its bytes to another zone
 * costs more than a short wait in the own zone.
 */
const largeCallBytes = 16 * 1024;
/** Load up to which a large call stays in the own zone, where it may wait. */
const largeCallSaturatedLoad = 2;
/**
 * Load up to which a target of another region is preferred to a saturated one
 * of the own region.
 */
const maximumRemoteLoad = 0.8;
/**
 * The same for a service with estimates, whose load is known better between
 * hints.
 */
const maximumEstimatedRemoteLoad = 0.9;

/**
 * Largest number of targets in the own zone at which calls leave the zone for
 * speed. Of more targets, a choice sees two at random, and another of the zone
 * may be as fast.
 */
const fewTargets = 2;

const defaultRule: ServiceRule = {
  slots: 16,
  connections: 256,
  warmUpMilliseconds: 0,
};

/** Target of an attempt, or why there is none. */
export type RouteChoice =
  | {
    readonly kind: "target";
    readonly targetId: string;
    readonly nodeAddress: string;
    /** Link that the call crosses; absent within a region. */
    readonly link?: LinkKey;
    /** Bytes of the link budget reserved for the call until `onFinish`. */
    readonly reservedBytes?: number;
  }
  | { readonly kind: "refused"; readonly reason: "no-target" | "link-budget" };

const noTarget: RouteChoice = { kind: "refused", reason: "no-target" };
const noLinkBudget: RouteChoice = { kind: "refused", reason: "link-budget" };

interface KnownTarget {
  readonly state: TargetState;
  readonly view: ServiceView;
}

/**
 * Chooses the target of each attempt. Prefers the local target, then the own
 * availability zone, the own region and other regions; a farther target is
 * chosen only while the nearer ones are saturated or absent.
 */
export class Router {
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #region: string;
  readonly #availabilityZone: string;
  readonly #localTargetId: string | undefined;
  readonly #onEjected: RouterOptions["onEjected"];
  readonly #links = new LinkTable();
  readonly #comparison: TargetComparison;
  readonly #views = new Map<string, ServiceView>();
  readonly #targets = new Map<string, KnownTarget>();

  /** @param options Locality of the node, clock, random source and links. */
  constructor(options: RouterOptions) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#region = options.region;
    this.#availabilityZone = options.availabilityZone;
    this.#comparison = new TargetComparison(options);
    this.#localTargetId = options.localTargetId;
    this.#onEjected = options.onEjected;
    this.updateLinks(options.links ?? []);
  }

  /** Changes the capacity of the targets of a service. */
  updateService(service: string, rule: ServiceRule): void {
    this.#getView(service).rule = rule;
  }

  /** Replaces the links of the document. */
  updateLinks(links: readonly LinkRule[]): void {
    this.#links.update(links, this.#clock.monotonicMilliseconds());
  }

  /** Replaces the known targets of a service. */
  updateView(service: string, targets: readonly RoutingTarget[]): void {
    const view = this.#getView(service);
    const now = this.#clock.monotonicMilliseconds();
    const { added, removed } = view.update(targets, now);
    for (const state of removed) {
      if (state.inFlight === 0) {
        this.#targets.delete(state.target.targetId);
      }
    }
    for (const state of added) {
      const previous = this.#targets.get(state.target.targetId);
      if (previous !== undefined) {
        state.inheritInFlight(previous.state);
      }
      this.#targets.set(state.target.targetId, { state, view });
    }
  }

  /**
   * Chooses a target and counts the attempt as in flight there. `onFinish` must
   * be called when it ends.
   * @param request The call.
   * @returns The target, or why there is none.
   */
  choose(request: RouteRequest): RouteChoice {
    const view = this.#views.get(request.service);
    if (view === undefined) {
      return noTarget;
    }
    const now = this.#clock.monotonicMilliseconds();
    view.returnEjected(now);
    const options = {
      rule: view.rule,
      excluded: request.excluded,
      meanServiceMilliseconds: view.rule.placement === "completion-time"
        ? view.meanServiceMilliseconds
        : 0,
      nowMilliseconds: now,
      random: this.#random,
    };
    const isLarge = (request.expectedBytes ?? 0) >= largeCallBytes;
    const inZone = this.#chooseInZone(view, request, options);
    const zoneLoad = inZone?.getLoad(view.rule, now) ?? Infinity;
    const hasEstimate = options.meanServiceMilliseconds > 0;
    const isSaturated = zoneLoad >
      (isLarge
        ? largeCallSaturatedLoad
        : hasEstimate
        ? drawLeavingLoad(this.#random)
        : saturatedLoad);
    if (
      inZone !== undefined && !isSaturated &&
      (!hasEstimate || isLarge || view.zone.length > fewTargets)
    ) {
      return this.#startAttempt(inZone);
    }
    const inRegion = view.region.choose(options);
    if (inRegion !== undefined) {
      const isBetter = inZone === undefined || !hasEstimate
        ? inRegion.getLoad(view.rule, now) <= saturatedLoad
        : this.#comparison.isWorthLeaving(inZone, inRegion, {
          choice: options,
          isSaturated,
          remainingMilliseconds: request.remainingMilliseconds,
        });
      if (isBetter) {
        return this.#startAttempt(inRegion);
      }
    }
    if (inZone !== undefined && !isSaturated) {
      return this.#startAttempt(inZone);
    }
    const leavingLoad = hasEstimate ? drawRegionLeavingLoad(this.#random) : 0;
    if (inZone !== undefined && zoneLoad <= leavingLoad) {
      return this.#startAttempt(inZone);
    }
    if (
      hasEstimate && inRegion !== undefined &&
      inRegion.getLoad(view.rule, now) <= maximumEstimatedRemoteLoad
    ) {
      return this.#startAttempt(inRegion);
    }
    const ownRegionTarget = hasEstimate && inZone !== undefined
      ? inZone
      : getLessLoaded(inZone, inRegion, view.rule, now);
    const remoteChoice = this.#chooseInOtherRegion(
      view,
      request,
      options,
      ownRegionTarget !== undefined,
    );
    if (remoteChoice !== undefined && remoteChoice !== "link-budget") {
      return remoteChoice;
    }
    if (ownRegionTarget !== undefined) {
      return this.#startAttempt(ownRegionTarget);
    }
    return remoteChoice === undefined ? noTarget : noLinkBudget;
  }

  /**
   * Chooses the least loaded of the targets that a call was already sent to, as
   * {@link choose} does, when no further target may receive it.
   * @param request The call; its excluded targets are ignored.
   * @param targetIds The targets.
   * @returns The target; refused if none of them takes a call.
   */
  chooseAgain(
    request: RouteRequest,
    targetIds: ReadonlySet<string>,
  ): RouteChoice {
    const view = this.#views.get(request.service);
    if (view === undefined) {
      return noTarget;
    }
    const now = this.#clock.monotonicMilliseconds();
    let best: TargetState | undefined;
    for (const targetId of targetIds) {
      const state = view.get(targetId);
      if (state?.canAccept(view.rule) === true) {
        best = getLessLoaded(best, state, view.rule, now);
      }
    }
    return best === undefined ? noTarget : this.#startAttempt(best);
  }

  /**
   * Records the end of an attempt.
   * @param targetId The target that `choose` returned.
   * @param outcome How it ended.
   */
  onFinish(targetId: string, outcome: AttemptOutcome): void {
    const known = this.#targets.get(targetId);
    if (known === undefined) {
      return;
    }
    const { state, view } = known;
    const now = this.#clock.monotonicMilliseconds();
    state.inFlight = Math.max(0, state.inFlight - 1);
    if (state.target.region !== this.#region) {
      this.#links.get(this.#region, state.target.region)
        ?.onFinish(outcome.reservedBytes);
    }
    if (view.get(targetId) !== state) {
      if (state.inFlight === 0) {
        this.#targets.delete(targetId); // it was removed from the view
      }
      return;
    }
    if (outcome.hint !== undefined) {
      state.onHint(outcome.hint, now);
    }
    this.#recordServiceTime(known, outcome, now);
    if (outcome.isError !== undefined) {
      state.onResponse(outcome.isError, now);
    }
    if (outcome.kind === "refused") {
      state.onRefusal(now);
    }
    if (outcome.kind === "completed" || outcome.kind === "refused") {
      state.onSuccess(now);
    } else if (outcome.kind !== "cancelled") {
      if (state.onFailure(outcome.kind === "unreachable", now)) {
        const wasUsable = state.phase === "usable";
        view.eject(state, now);
        if (wasUsable && state.phase === "ejected") {
          const milliseconds = state.ejectedUntilMilliseconds - now;
          this.#onEjected?.(state.target, milliseconds);
        }
      }
    }
  }

  /** Records the load of a target, such as that of the local one. */
  onHint(targetId: string, hint: LoadHint): void {
    this.#targets.get(targetId)?.state.onHint(
      hint,
      this.#clock.monotonicMilliseconds(),
    );
  }

  /** Records bytes that were transferred over a link. */
  onLinkBytes(link: LinkKey, bytes: number): void {
    this.#links.onBytes(link, bytes, this.#clock.monotonicMilliseconds());
  }

  /** Gets and resets the bytes of each link since the last call. */
  takeLinkBytes(): LinkBytes[] {
    return this.#links.takeBytes();
  }

  /** Changes this node's shares of the links. */
  updateLinkShares(shares: readonly LinkShare[]): void {
    this.#links.updateShares(shares, this.#clock.monotonicMilliseconds());
  }

  /**
   * Gets the numbers of known and of ejected targets of a service, its mean
   * service time, and the estimates of at most 16 targets.
   */
  getStatus(service: string): ServiceStatus {
    return getServiceStatus(
      this.#getView(service),
      this.#clock.monotonicMilliseconds(),
    );
  }

  #recordServiceTime(
    { state, view }: KnownTarget,
    outcome: AttemptOutcome,
    nowMilliseconds: number,
  ): void {
    const { hint, elapsedMilliseconds } = outcome;
    if (hint?.serviceMilliseconds !== undefined) {
      const options = { isReported: true, nowMilliseconds };
      view.recordServiceTime(state, hint.serviceMilliseconds, options);
    } else if (
      elapsedMilliseconds !== undefined && outcome.kind === "completed" &&
      outcome.isError !== true
    ) {
      const milliseconds = getOwnTime(elapsedMilliseconds, {
        hint,
        distance: this.#comparison.getDistance(state.target),
      });
      view.recordServiceTime(state, milliseconds, {
        isReported: false,
        nowMilliseconds,
      });
    }
  }

  #getView(service: string): ServiceView {
    const known = this.#views.get(service);
    if (known !== undefined) {
      return known;
    }
    const view = new ServiceView(defaultRule, {
      region: this.#region,
      availabilityZone: this.#availabilityZone,
    });
    this.#views.set(service, view);
    return view;
  }

  #getLocalTarget(
    view: ServiceView,
    request: RouteRequest,
    now: number,
  ): TargetState | undefined {
    if (
      this.#localTargetId === undefined ||
      request.excluded.has(this.#localTargetId)
    ) {
      return undefined;
    }
    const localTarget = view.get(this.#localTargetId);
    return localTarget !== undefined && localTarget.canAccept(view.rule) &&
        localTarget.getLoad(view.rule, now) <= saturatedLoad
      ? localTarget
      : undefined;
  }

  /**
   * Chooses the target in the own zone: the local one unless it is saturated or
   * clearly slower than another of the zone.
   */
  #chooseInZone(
    view: ServiceView,
    request: RouteRequest,
    options: TierChoiceOptions,
  ): TargetState | undefined {
    const localTarget = this.#getLocalTarget(
      view,
      request,
      options.nowMilliseconds,
    );
    if (
      localTarget !== undefined &&
      (view.zone.length < 2 ||
        !this.#comparison.isSlow(localTarget, options))
    ) {
      return localTarget;
    }
    const inZone = view.zone.choose(options);
    if (localTarget === undefined || inZone === undefined) {
      return localTarget ?? inZone;
    }
    return this.#comparison.isWorthLeaving(localTarget, inZone, {
        choice: options,
        isSaturated: false,
        remainingMilliseconds: request.remainingMilliseconds,
      })
      ? inZone
      : localTarget;
  }

  #chooseInOtherRegion(
    view: ServiceView,
    request: RouteRequest,
    options: TierChoiceOptions,
    hasOwnRegionTarget: boolean,
  ): RouteChoice | "link-budget" | undefined {
    const count = view.otherRegions.length;
    const startIndex = Math.floor(this.#random() * count);
    const maximumLoad = options.meanServiceMilliseconds > 0
      ? maximumEstimatedRemoteLoad
      : maximumRemoteLoad;
    let isOverBudget = false;
    for (let i = 0; i < count; i++) {
      const other = view.otherRegions[(startIndex + i) % count];
      const state = other?.tier.choose(options);
      if (other === undefined || state === undefined) {
        continue;
      }
      const load = state.getLoad(view.rule, options.nowMilliseconds);
      if (hasOwnRegionTarget && load > maximumLoad) {
        continue;
      }
      const bytes = request.expectedBytes ?? 0;
      const budget = this.#links.get(this.#region, other.region);
      const hasBudget = budget === undefined || budget.hasRoom(bytes, {
        isMostImportant: request.classIndex === 0,
        nowMilliseconds: options.nowMilliseconds,
      });
      if (hasBudget) {
        return this.#startAttempt(state, budget?.getReservation(bytes));
      }
      isOverBudget = true;
    }
    return isOverBudget ? "link-budget" : undefined;
  }

  #startAttempt(state: TargetState, reservedBytes = 0): RouteChoice {
    state.inFlight++;
    const view = this.#targets.get(state.target.targetId)?.view;
    if (view !== undefined) {
      view.calls[this.#comparison.getDistance(state.target)]++;
    }
    const { targetId, nodeAddress, region } = state.target;
    if (region === this.#region) {
      return { kind: "target", targetId, nodeAddress };
    }
    this.#links.get(this.#region, region)?.onStart(reservedBytes);
    const link = { from: this.#region, to: region };
    return { kind: "target", targetId, nodeAddress, link, reservedBytes };
  }
}

function getLessLoaded(
  a: TargetState | undefined,
  b: TargetState | undefined,
  rule: ServiceRule,
  now: number,
): TargetState | undefined {
  if (a === undefined || b === undefined) {
    return a ?? b;
  }
  return b.getLoad(rule, now) < a.getLoad(rule, now) ? b : a;
}
