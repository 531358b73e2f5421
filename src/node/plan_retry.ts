import {
  decideRetry,
  type RetryDecision,
  type RetryPriority,
} from "../retries/mod.ts";
import {
  type AttemptFailure,
  hasReachedTarget,
  isShedWithFreeSlots,
} from "./attempt.ts";
import { incrementReason } from "./call_counters.ts";
import { getCallFingerprints } from "./call_fingerprints.ts";
import type { CallBody, CallDetails } from "./call_details.ts";
import type { NodeState } from "./node_state.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** State of a call after a failed attempt. */
export interface FailedAttempt {
  readonly details: CallDetails;
  readonly body: CallBody | undefined;
  readonly budget: RetryBudget;
  readonly priority: RetryPriority;
  readonly attempts: number;
  readonly remainingAllowance: number;
  /** Whether this or an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Number of attempts that may have been sent to a target. */
  readonly reachedTargets: number;
}

/**
 * Decides whether to retry after a failed attempt, and counts the decision. A
 * retry takes a token of the throttle if the attempt may have reached a target.
 * @param state The shared state of the node.
 * @param failure The failure.
 * @param attempt State of the call after the attempt.
 * @returns The decision.
 */
export function planRetry(
  state: NodeState,
  failure: AttemptFailure,
  attempt: FailedAttempt,
): RetryDecision {
  const { details, budget } = attempt;
  const { plan, classIndex } = details;
  const decision = decide(state, failure, attempt);
  const counters = plan.counters[classIndex];
  if (decision.kind === "retry") {
    if (hasReachedTarget(failure)) {
      budget.throttle.take();
    }
    counters && incrementReason(counters.retried, decision.reason);
  } else {
    counters && incrementReason(counters.notRetried, decision.reason);
  }
  return decision;
}

function decide(
  state: NodeState,
  failure: AttemptFailure,
  attempt: FailedAttempt,
): RetryDecision {
  const { details, body, budget } = attempt;
  const { plan } = details;
  if (body?.source !== undefined) {
    // A streamed body was not kept, so it cannot be sent again.
    return { kind: "stop", reason: "not-retryable" };
  }
  // A target that received the call and shed it may get it again.
  const canSendAgain = isShedWithFreeSlots(failure) && !attempt.mayHaveRun;
  if (
    attempt.reachedTargets >= (plan.route.maximumTargets ?? Infinity) &&
    !canSendAgain
  ) {
    return { kind: "stop", reason: "maximum-retries" };
  }
  return decideRetry({
    disposition: attempt.mayHaveRun && failure.disposition === "not-run"
      ? "unknown"
      : failure.disposition,
    reason: failure.reason,
    attempts: attempt.attempts,
    isIdempotent: plan.route.idempotent,
    isSuspect: failure.reason === "suspect" || isSuspect(state, attempt),
    remainingAllowance: attempt.remainingAllowance,
    remainingMilliseconds: details.deadlineMilliseconds -
      state.clock.monotonicMilliseconds(),
    // The throttle limits the load of retries on targets, which an attempt that
    // did not reach a target has not added to.
    hasRetryToken: !hasReachedTarget(failure) ||
      budget.throttle.hasToken(attempt.priority),
    isServiceRefusing: budget.refusalRate.isMostlyRefusing,
  }, {
    objective: state.view?.document.objective ?? "goodput",
    requiredAttempts: plan.requiredAttempts,
    random: state.random,
  });
}

function isSuspect(
  { suspects, protocol }: NodeState,
  { details, body }: FailedAttempt,
): boolean {
  return body !== undefined && !suspects.isEmpty &&
    suspects.isSuspect(getCallFingerprints(protocol, details, body));
}
