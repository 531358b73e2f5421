import type { Distance } from "./placement.ts";
import type { RoutingTarget, ServiceRule } from "./routing_types.ts";
import { ServiceMeans } from "./service_means.ts";
import { TargetState } from "./target_state.ts";
import { TargetTier } from "./target_tier.ts";

/** Largest share of the targets of a service that may be ejected at once. */
const maximumEjectedShare = 1 / 3;

/** Region and availability zone of the node that routes. */
export interface NodeLocality {
  readonly region: string;
  readonly availabilityZone: string;
}

/** Targets of one service, grouped by their distance from this node. */
export class ServiceView {
  rule: ServiceRule;
  /** Attempts since the start of the node by the distance of their target. */
  readonly calls: Record<Distance, number> = {
    local: 0,
    zone: 0,
    region: 0,
    remote: 0,
  };
  readonly zone = new TargetTier();
  readonly region = new TargetTier();
  /** Tiers of the other regions. */
  readonly otherRegions: { region: string; tier: TargetTier }[] = [];
  readonly #locality: NodeLocality;
  readonly #states = new Map<string, TargetState>();
  /** Ejected targets in order of ejection; at most a third of the view. */
  readonly #ejected = new Set<TargetState>();
  readonly #means = new ServiceMeans();
  #hasReportedServiceTime = false;
  #nextReturnMilliseconds = Infinity;
  #drainingCount = 0;

  /**
   * @param rule Capacity of the targets.
   * @param locality Region and availability zone of the node.
   */
  constructor(rule: ServiceRule, locality: NodeLocality) {
    this.rule = rule;
    this.#locality = locality;
  }

  /** Number of known targets. */
  get size(): number {
    return this.#states.size;
  }

  /** Number of ejected targets. */
  get ejectedCount(): number {
    return this.#ejected.size;
  }

  /** Mean own service time of the targets in milliseconds; 0 when unknown. */
  get meanServiceMilliseconds(): number {
    return this.#means.serviceMilliseconds;
  }

  /** Known targets, in no particular order. */
  get states(): Iterable<TargetState> {
    return this.#states.values();
  }

  /** Gets a target by its id. */
  get(targetId: string): TargetState | undefined {
    return this.#states.get(targetId);
  }

  /**
   * Replaces the known targets; those that stay keep their state.
   * @returns The added and the removed targets.
   */
  update(
    targets: readonly RoutingTarget[],
    nowMilliseconds: number,
  ): { added: TargetState[]; removed: TargetState[] } {
    const listed = new Set<string>();
    const added: TargetState[] = [];
    const removed: TargetState[] = [];
    for (const target of targets) {
      listed.add(target.targetId);
      const known = this.#states.get(target.targetId);
      if (known !== undefined && isSameTarget(known.target, target)) {
        this.#setDraining(known, target);
        continue;
      }
      if (known !== undefined) {
        this.#remove(known);
        removed.push(known);
      }
      added.push(this.#add(target, nowMilliseconds));
    }
    for (const state of this.#states.values()) {
      if (!listed.has(state.target.targetId)) {
        this.#remove(state);
        removed.push(state);
      }
    }
    this.#returnExcessEjected();
    return { added, removed };
  }

  /**
   * Records the service time of a target.
   * @param state The target.
   * @param milliseconds The time.
   * @param options Whether the node of the target reported the time, which then
   * excludes nested calls, waiting and the network, and the time of the clock.
   */
  recordServiceTime(
    state: TargetState,
    milliseconds: number,
    options: { isReported: boolean; nowMilliseconds: number },
  ): void {
    if (options.isReported && !this.#hasReportedServiceTime) {
      // Measured times are not comparable to reported ones.
      this.#hasReportedServiceTime = true;
      this.#means.resetServiceTime();
      for (const each of this.#states.values()) {
        each.serviceTime.reset();
      }
    }
    if (
      !(milliseconds > 0) ||
      (!options.isReported && this.#hasReportedServiceTime)
    ) {
      return;
    }
    state.serviceTime.record(milliseconds, options.nowMilliseconds);
    this.#means.recordServiceTime(milliseconds);
  }

  /** Ejects a target, unless the largest share of targets is ejected already. */
  eject(state: TargetState, nowMilliseconds: number): void {
    if (
      state.phase !== "usable" ||
      this.#ejected.size >= this.#getEjectionLimit()
    ) {
      return;
    }
    this.#getTier(state.target).remove(state);
    state.eject(nowMilliseconds);
    this.#ejected.add(state);
    this.#nextReturnMilliseconds = Math.min(
      this.#nextReturnMilliseconds,
      state.ejectedUntilMilliseconds,
    );
  }

  /** Returns targets to service whose ejection has ended. */
  returnEjected(nowMilliseconds: number): void {
    if (nowMilliseconds < this.#nextReturnMilliseconds) {
      return;
    }
    let next = Infinity;
    for (const state of this.#ejected) {
      if (state.ejectedUntilMilliseconds > nowMilliseconds) {
        next = Math.min(next, state.ejectedUntilMilliseconds);
        continue;
      }
      this.#return(state);
    }
    this.#nextReturnMilliseconds = next;
  }

  #return(state: TargetState): void {
    this.#ejected.delete(state);
    state.returnOnProbation();
    this.#getTier(state.target).add(state);
  }

  /**
   * Returns ejected targets to service, first ejected first, while more are
   * ejected than a smaller view allows.
   */
  #returnExcessEjected(): void {
    for (const state of this.#ejected) {
      if (this.#ejected.size <= this.#getEjectionLimit()) {
        return;
      }
      this.#return(state);
    }
  }

  /** Gets the ejection limit. Draining targets get no calls and don't count. */
  #getEjectionLimit(): number {
    return Math.floor(
      (this.#states.size - this.#drainingCount) * maximumEjectedShare,
    );
  }

  #add(target: RoutingTarget, nowMilliseconds: number): TargetState {
    const state = new TargetState(target, nowMilliseconds, this.#means);
    this.#states.set(target.targetId, state);
    if (target.isDraining) {
      state.phase = "draining";
      this.#drainingCount++;
    } else {
      this.#getTier(target).add(state);
    }
    return state;
  }

  #remove(state: TargetState): void {
    this.#states.delete(state.target.targetId);
    if (state.phase === "draining") {
      this.#drainingCount--;
    }
    this.#ejected.delete(state);
    this.#getTier(state.target).remove(state);
  }

  #setDraining(state: TargetState, target: RoutingTarget): void {
    const wasDraining = state.phase === "draining";
    state.target = target;
    if (target.isDraining && !wasDraining) {
      this.#getTier(target).remove(state);
      this.#ejected.delete(state);
      state.phase = "draining";
      this.#drainingCount++;
      this.#returnExcessEjected();
    } else if (!target.isDraining && wasDraining) {
      state.phase = "usable";
      this.#drainingCount--;
      this.#getTier(target).add(state);
    }
  }

  #getTier(target: RoutingTarget): TargetTier {
    if (target.region !== this.#locality.region) {
      return this.#getRegionTier(target.region);
    }
    return target.availabilityZone === this.#locality.availabilityZone
      ? this.zone
      : this.region;
  }

  #getRegionTier(region: string): TargetTier {
    const known = this.otherRegions.find((each) => each.region === region);
    if (known !== undefined) {
      return known.tier;
    }
    const tier = new TargetTier();
    this.otherRegions.push({ region, tier });
    return tier;
  }
}

function isSameTarget(a: RoutingTarget, b: RoutingTarget): boolean {
  return a.incarnation === b.incarnation && a.nodeAddress === b.nodeAddress &&
    a.region === b.region && a.availabilityZone === b.availabilityZone;
}
