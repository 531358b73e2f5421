import type { ServiceMeans } from "./service_means.ts";
import { ServiceTimeEstimate } from "./service_time_estimate.ts";
import type { LoadHint, RoutingTarget, ServiceRule } from "./routing_types.ts";

/** Half-life of the difference between the last load hint and their mean. */
const hintHalfLifeMilliseconds = 200;
/**
 * Half-life of the weight of earlier hints in their mean. A node gets a hint a few times a second, so that with the last hint
 * alone, a busy target would seem idle before every other call.
 */
const meanHintHalfLifeMilliseconds = 2000;
/** Half-life of the mean without hints. */
const forgetHintHalfLifeMilliseconds = 5000;
/**
 * Largest load that is assumed of a target without recent hints. It is below
 * that at which calls leave their zone, so that such a target is tried again.
 */
const maximumAssumedLoad = 0.8;
/**
 * Load added per recent refusal. A refusal shows that the target is full also
 * when its load hint says otherwise or is absent.
 */
const loadPerRefusal = 0.25;
const refusalHalfLifeMilliseconds = 500;
const maximumRefusals = 4;
/** Share of its capacity that a target gets at the start of its warm-up. */
const minimumWarmUpWeight = 0.1;
/** Consecutive failed calls after which a target is ejected. */
const failuresToEject = 3;
/**
 * Load added per recent failure. Without it, a broken target that cannot be
 * ejected, because too many others are, looks idle and attracts all calls.
 */
const loadPerFailure = 0.5;
const failureHalfLifeMilliseconds = 1000;
/** Weight of one response in the moving average of the error share. */
const errorWeight = 1 / 8;
/**
 * Half-life of the error share without responses. It must be long compared to
 * the time between responses: a node sends a target about two calls a second.
 */
const errorHalfLifeMilliseconds = 10_000;
/**
 * Load added for an error share of 1. Sending a request to another zone costs
 * bytes, which pays off only if more than one in six requests would fail in the
 * own zone. At a share of 1/6, the added load of 1 makes an idle target count
 * as saturated, so that calls spill over to other zones.
 */
const errorShareLoad = 6;
const firstEjectionMilliseconds = 1000;
const maximumEjectionMilliseconds = 30_000;

/** Whether a target gets calls, is draining or is ejected as an outlier. */
export type TargetPhase = "usable" | "draining" | "ejected";

/** State that a node keeps about one target. */
export class TargetState {
  target: RoutingTarget;
  phase: TargetPhase = "usable";
  /** Position in the list of its tier; -1 if it is in no tier. */
  tierIndex = -1;
  inFlight = 0;
  readonly serviceTime = new ServiceTimeEstimate();
  consecutiveFailures = 0;
  /** Whether the target returned from ejection and had no success since. */
  isOnProbation = false;
  /** Monotonic time at which the ejection ends. */
  ejectedUntilMilliseconds = 0;
  #ejections = 0;
  #lastFailureMilliseconds = -Infinity;
  #errorShare = 0;
  #lastResponseMilliseconds = -Infinity;
  /** Calls to an earlier incarnation, whose failures are ignored. */
  #inheritedCalls = 0;
  #readyMilliseconds: number;
  readonly #means: ServiceMeans;
  #refusals = 0;
  #lastRefusalMilliseconds = -Infinity;
  #hintedCalls = 0;
  #meanHintedCalls = 0;
  #hintLimit = 0;
  #inFlightAtHint = 0;
  #lastHintMilliseconds = -Infinity;

  /**
   * @param target The target.
   * @param nowMilliseconds Monotonic time.
   * @param means Means over the targets of the service.
   */
  constructor(
    target: RoutingTarget,
    nowMilliseconds: number,
    means: ServiceMeans,
  ) {
    this.target = target;
    this.#means = means;
    this.#readyMilliseconds = nowMilliseconds - target.ageMilliseconds;
  }

  /** Checks whether one more call can be sent. */
  canAccept(rule: ServiceRule): boolean {
    return this.phase === "usable" && this.inFlight < rule.connections &&
      !(this.isOnProbation && this.inFlight > 0);
  }

  /**
   * Gets the load as a share of the capacity, including the call that is about
   * to be sent. Above 1, the target is saturated.
   */
  getLoad(rule: ServiceRule, nowMilliseconds: number): number {
    const limit = this.#hintLimit > 0 ? this.#hintLimit : rule.slots;
    const calls = 1 +
      Math.max(
        this.inFlight,
        rule.placement === "completion-time"
          ? this.#getHintedCalls(limit, nowMilliseconds)
          : this.#getFadingCalls(nowMilliseconds),
      );
    return calls / (limit * this.#getWeight(rule, nowMilliseconds)) +
      this.#getFailureLoad(nowMilliseconds) +
      (rule.placement === "completion-time"
        ? loadPerRefusal * this.#getRefusals(nowMilliseconds)
        : 0) +
      errorShareLoad * this.#getErrorShare(nowMilliseconds);
  }

  /** Copies the count of calls in flight from an earlier incarnation. */
  inheritInFlight(previous: TargetState): void {
    this.inFlight = previous.inFlight;
    this.#inheritedCalls = previous.inFlight;
  }

  /** Records the load that the target's node reported. */
  onHint(hint: LoadHint, nowMilliseconds: number): void {
    const calls = hint.running + hint.queued;
    const age = nowMilliseconds - this.#lastHintMilliseconds;
    this.#meanHintedCalls = calls +
      (this.#meanHintedCalls - calls) *
        0.5 ** (age / meanHintHalfLifeMilliseconds);
    this.#hintedCalls = calls;
    this.#hintLimit = hint.limit;
    this.#inFlightAtHint = this.inFlight;
    this.#lastHintMilliseconds = nowMilliseconds;
    if (hint.limit > 0) {
      this.#means.recordLoad(calls / hint.limit, nowMilliseconds);
    }
  }

  /** Records that the target or its node refused a call for lack of capacity. */
  onRefusal(nowMilliseconds: number): void {
    this.#refusals = Math.min(
      maximumRefusals,
      this.#getRefusals(nowMilliseconds) + 1,
    );
    this.#lastRefusalMilliseconds = nowMilliseconds;
  }

  /** Records whether a response was an error of the target itself. */
  onResponse(isError: boolean, nowMilliseconds: number): void {
    const share = this.#getErrorShare(nowMilliseconds);
    this.#errorShare = share + errorWeight * ((isError ? 1 : 0) - share);
    this.#lastResponseMilliseconds = nowMilliseconds;
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
   * @returns Whether the target should be ejected.
   */
  onFailure(isUnreachable: boolean, nowMilliseconds: number): boolean {
    if (this.#inheritedCalls > 0) {
      this.#inheritedCalls--;
      return false;
    }
    this.consecutiveFailures++;
    this.#lastFailureMilliseconds = nowMilliseconds;
    return isUnreachable || this.isOnProbation ||
      this.consecutiveFailures >= failuresToEject;
  }

  /** Ejects the target; the time doubles with each ejection without success. */
  eject(nowMilliseconds: number): void {
    this.phase = "ejected";
    this.isOnProbation = false;
    this.ejectedUntilMilliseconds = nowMilliseconds + Math.min(
      maximumEjectionMilliseconds,
      firstEjectionMilliseconds * 2 ** this.#ejections,
    );
    this.#ejections++;
  }

  /** Ends the ejection; only one call at a time is sent until one succeeds. */
  returnOnProbation(): void {
    this.phase = "usable";
    this.isOnProbation = true;
    this.consecutiveFailures = 0;
  }

  /** Estimates the calls of all nodes at the target from the last load hint. */
  #getFadingCalls(nowMilliseconds: number): number {
    const age = nowMilliseconds - this.#lastHintMilliseconds;
    if (age > 10 * hintHalfLifeMilliseconds) {
      return 0;
    }
    return this.#hintedCalls * 0.5 ** (age / hintHalfLifeMilliseconds) +
      this.inFlight - this.#inFlightAtHint;
  }

  /**
   * Estimates the calls of all nodes at the target, which approach the mean of the
   * hints and then that of the service.
   */
  #getHintedCalls(limit: number, nowMilliseconds: number): number {
    const assumedCalls = limit *
      Math.min(maximumAssumedLoad, this.#means.getLoad(nowMilliseconds));
    const age = nowMilliseconds - this.#lastHintMilliseconds;
    if (age > 10 * forgetHintHalfLifeMilliseconds) {
      return assumedCalls;
    }
    const inFlightChange = this.inFlight - this.#inFlightAtHint;
    const difference = this.#hintedCalls - this.#meanHintedCalls;
    return assumedCalls +
      (this.#meanHintedCalls - assumedCalls) *
        0.5 ** (age / forgetHintHalfLifeMilliseconds) +
      difference * 0.5 ** (age / hintHalfLifeMilliseconds) +
      inFlightChange;
  }

  #getRefusals(nowMilliseconds: number): number {
    if (this.#refusals === 0) {
      return 0;
    }
    const age = nowMilliseconds - this.#lastRefusalMilliseconds;
    return this.#refusals * 0.5 ** (age / refusalHalfLifeMilliseconds);
  }

  #getFailureLoad(nowMilliseconds: number): number {
    if (this.consecutiveFailures === 0) {
      return 0;
    }
    const age = nowMilliseconds - this.#lastFailureMilliseconds;
    return loadPerFailure * this.consecutiveFailures *
      0.5 ** (age / failureHalfLifeMilliseconds);
  }

  #getErrorShare(nowMilliseconds: number): number {
    if (this.#errorShare === 0) {
      return 0;
    }
    const age = nowMilliseconds - this.#lastResponseMilliseconds;
    return this.#errorShare * 0.5 ** (age / errorHalfLifeMilliseconds);
  }

  #getWeight(rule: ServiceRule, nowMilliseconds: number): number {
    const age = nowMilliseconds - this.#readyMilliseconds;
    return age >= rule.warmUpMilliseconds
      ? 1
      : Math.max(minimumWarmUpWeight, age / rule.warmUpMilliseconds);
  }
}
