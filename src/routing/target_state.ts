import type { LoadHint, RoutingTarget, ServiceRule } from "./routing_types.ts";

/** A hint loses half of its effect in this time. */
const hintHalfLifeMilliseconds = 200;
/** Part of its capacity that a cold target gets at first. */
const minimumWarmUpWeight = 0.1;
/** Consecutive broken calls after which a target is an outlier. */
const failuresToEject = 3;
/**
 * Load added per recent failure. Without it, a broken target that may not be
 * ejected looks idle and draws all calls.
 */
const loadPerFailure = 0.5;
const failureHalfLifeMilliseconds = 1000;
/** Weight of one response in the share of responses that state a failure. */
const errorWeight = 1 / 8;
/**
 * The share loses half of its effect in this time without a response. A node
 * sends a target about two calls a second, which must renew it faster.
 */
const errorHalfLifeMilliseconds = 10_000;
/**
 * Load of a target all of whose responses state a failure. Bytes between zones
 * cost less than a request only if more than one in six would fail, and that
 * share makes an idle target look saturated.
 */
const errorShareLoad = 6;
const firstEjectionMilliseconds = 1000;
const maximumEjectionMilliseconds = 30_000;

/** Where a target stands among the targets of its service. */
export type TargetPhase = "usable" | "draining" | "ejected";

/** What a node knows about one target. */
export class TargetState {
  target: RoutingTarget;
  phase: TargetPhase = "usable";
  /** Position in the list of its tier; -1 when it is in none. */
  tierIndex = -1;
  inFlight = 0;
  consecutiveFailures = 0;
  /** Whether the target came back from ejection and must prove itself. */
  isOnProbation = false;
  /** Monotonic time at which the ejection ends. */
  ejectedUntilMilliseconds = 0;
  #ejections = 0;
  #failedMilliseconds = -Infinity;
  #errorShare = 0;
  #respondedMilliseconds = -Infinity;
  /** Calls of an earlier incarnation, whose failures say nothing. */
  #inheritedCalls = 0;
  #readyMilliseconds: number;
  #hintedCalls = 0;
  #hintLimit = 0;
  #hintInFlight = 0;
  #hintMilliseconds = -Infinity;

  /**
   * @param target The target.
   * @param nowMilliseconds Monotonic time.
   */
  constructor(target: RoutingTarget, nowMilliseconds: number) {
    this.target = target;
    this.#readyMilliseconds = nowMilliseconds - target.ageMilliseconds;
  }

  /** Checks whether one more call can be sent. */
  canAccept(rule: ServiceRule): boolean {
    return this.phase === "usable" && this.inFlight < rule.connections &&
      !(this.isOnProbation && this.inFlight > 0);
  }

  /**
   * Gets the load as a share of the capacity, with the call that is about to
   * be sent; above 1 the target is saturated.
   */
  getLoad(rule: ServiceRule, nowMilliseconds: number): number {
    const limit = this.#hintLimit > 0 ? this.#hintLimit : rule.slots;
    const calls = 1 +
      Math.max(this.inFlight, this.#getHintedCalls(nowMilliseconds));
    return calls / (limit * this.#getWeight(rule, nowMilliseconds)) +
      this.#getFailureLoad(nowMilliseconds) +
      errorShareLoad * this.#getErrorShare(nowMilliseconds);
  }

  /** Takes over the calls in flight at an earlier incarnation. */
  inheritInFlight(previous: TargetState): void {
    this.inFlight = previous.inFlight;
    this.#inheritedCalls = previous.inFlight;
  }

  /** Records the load that the target's node stated. */
  onHint(hint: LoadHint, nowMilliseconds: number): void {
    this.#hintedCalls = hint.running + hint.queued;
    this.#hintLimit = hint.limit;
    this.#hintInFlight = this.inFlight;
    this.#hintMilliseconds = nowMilliseconds;
  }

  /** Records whether a response of the target stated a failure of its own. */
  onResponse(isError: boolean, nowMilliseconds: number): void {
    const share = this.#getErrorShare(nowMilliseconds);
    this.#errorShare = share + errorWeight * ((isError ? 1 : 0) - share);
    this.#respondedMilliseconds = nowMilliseconds;
  }

  /** Records a call that shows the target works. */
  onSuccess(nowMilliseconds: number): void {
    this.consecutiveFailures = 0;
    if (this.isOnProbation) {
      this.isOnProbation = false;
      this.#readyMilliseconds = nowMilliseconds;
    }
    this.#ejections = 0;
  }

  /**
   * Records a failed call.
   * @param isUnreachable Whether no connection could be made.
   * @param nowMilliseconds Monotonic time.
   * @returns Whether the target is an outlier now.
   */
  onFailure(isUnreachable: boolean, nowMilliseconds: number): boolean {
    if (this.#inheritedCalls > 0) {
      this.#inheritedCalls--;
      return false;
    }
    this.consecutiveFailures++;
    this.#failedMilliseconds = nowMilliseconds;
    return isUnreachable || this.isOnProbation ||
      this.consecutiveFailures >= failuresToEject;
  }

  /** Ejects the target for a time that doubles with each repetition. */
  eject(nowMilliseconds: number): void {
    this.phase = "ejected";
    this.isOnProbation = false;
    this.ejectedUntilMilliseconds = nowMilliseconds + Math.min(
      maximumEjectionMilliseconds,
      firstEjectionMilliseconds * 2 ** this.#ejections,
    );
    this.#ejections++;
  }

  /** Ends the ejection; one call at a time goes there until one succeeds. */
  returnOnProbation(): void {
    this.phase = "usable";
    this.isOnProbation = true;
    this.consecutiveFailures = 0;
  }

  /** Gets the calls of all nodes at the target, as far as they are known. */
  #getHintedCalls(nowMilliseconds: number): number {
    const age = nowMilliseconds - this.#hintMilliseconds;
    if (age > 10 * hintHalfLifeMilliseconds) {
      return 0;
    }
    const since = this.inFlight - this.#hintInFlight;
    return this.#hintedCalls * 0.5 ** (age / hintHalfLifeMilliseconds) + since;
  }

  #getFailureLoad(nowMilliseconds: number): number {
    if (this.consecutiveFailures === 0) {
      return 0;
    }
    const age = nowMilliseconds - this.#failedMilliseconds;
    return loadPerFailure * this.consecutiveFailures *
      0.5 ** (age / failureHalfLifeMilliseconds);
  }

  #getErrorShare(nowMilliseconds: number): number {
    if (this.#errorShare === 0) {
      return 0;
    }
    const age = nowMilliseconds - this.#respondedMilliseconds;
    return this.#errorShare * 0.5 ** (age / errorHalfLifeMilliseconds);
  }

  #getWeight(rule: ServiceRule, nowMilliseconds: number): number {
    const age = nowMilliseconds - this.#readyMilliseconds;
    return age >= rule.warmUpMilliseconds
      ? 1
      : Math.max(minimumWarmUpWeight, age / rule.warmUpMilliseconds);
  }
}
