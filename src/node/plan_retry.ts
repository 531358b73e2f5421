import { getRequestFingerprint } from "../request/mod.ts";
import { decideRetry, type RetryDecision } from "../retries/mod.ts";
import { type AttemptFailure, hasReachedTarget } from "./attempt.ts";
import { countReason } from "./call_counters.ts";
import type { CallBody, CallDetails } from "./call_details.ts";
import type { NodeState } from "./node_state.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** A failed attempt and what the call has left. */
export interface FailedAttempt {
  readonly details: CallDetails;
  readonly body: CallBody | undefined;
  readonly budget: RetryBudget;
  readonly attempts: number;
  readonly remainingAllowance: number;
  /** Whether this or an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Targets that were sent the call. */
  readonly reachedTargets: number;
}

/**
 * Decides whether a failed attempt is made again, takes the retry from the
 * budget and counts the decision.
 * @param state What the parts of the node share.
 * @param failure The failure.
 * @param attempt What the call has left.
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
      budget.throttle.tryTake();
    }
    counters && countReason(counters.retried, decision.reason);
  } else {
    counters && countReason(counters.notRetried, decision.reason);
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
    // A streamed body cannot be sent again.
    return { kind: "stop", reason: "not-retryable" };
  }
  if (attempt.reachedTargets >= (plan.route.maximumTargets ?? Infinity)) {
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
    // A send that no target saw adds no load that the ratio bounds.
    hasRetryToken: !hasReachedTarget(failure) || budget.throttle.hasToken,
    isServiceRefusing: budget.refusalRate.isMostlyRefusing,
  }, {
    objective: state.view?.document.objective ?? "goodput",
    requiredAttempts: plan.requiredAttempts,
    random: state.random,
  });
}

function isSuspect({ suspects }: NodeState, attempt: FailedAttempt): boolean {
  return !suspects.isEmpty && suspects.isSuspect(getRequestFingerprint({
    ...attempt.details,
    body: attempt.body?.body,
    streamedLength: attempt.body?.streamedLength ?? -1,
  }));
}
