import type { RandomSource } from "../common/mod.ts";
import type { Objective } from "../document/mod.ts";
import type { Disposition, RefusalReason } from "../request/mod.ts";

/** Why a retry is safe: the call did not run, or may run twice. */
export type RetryReason = "not-run" | "idempotent";

/** Why no retry is made. */
export type RetryStopReason =
  | "ran"
  | "not-idempotent"
  | "not-retryable"
  | "suspect"
  | "maximum-retries"
  | "allowance-spent"
  | "retry-ratio"
  | "service-refusing"
  | "deadline";

/** State of a call after a failed attempt. */
export interface RetryState {
  readonly disposition: Disposition;
  readonly reason: RefusalReason;
  /** Attempts made so far for this call, at least 1. */
  readonly attempts: number;
  readonly isIdempotent: boolean;
  readonly isSuspect: boolean;
  /** Attempts left in the allowance of the request at this node. */
  readonly remainingAllowance: number;
  readonly remainingMilliseconds: number;
  /** Whether the retry throttle has a token, which a retry then takes. */
  readonly hasRetryToken: boolean;
  readonly isServiceRefusing: boolean;
}

/** Options of a retry decision. */
export interface RetryOptions {
  readonly objective: Objective;
  /** Attempts that the call takes without retries, itself included. */
  readonly requiredAttempts: number;
  readonly random: RandomSource;
  /** Time that an attempt usually takes; 0 when unknown. */
  readonly expectedMilliseconds?: number;
}

/** Whether and after which delay to retry. */
export type RetryDecision =
  | {
    readonly kind: "retry";
    readonly delayMilliseconds: number;
    readonly reason: RetryReason;
  }
  | { readonly kind: "stop"; readonly reason: RetryStopReason };

interface BackoffPolicy {
  readonly baseMilliseconds: number;
  readonly maximumMilliseconds: number;
  readonly maximumRetries: number;
}

const backoffPolicies: Readonly<Record<Objective, BackoffPolicy>> = {
  goodput: {
    baseMilliseconds: 20,
    maximumMilliseconds: 400,
    maximumRetries: 3,
  },
  recovery: { baseMilliseconds: 5, maximumMilliseconds: 50, maximumRetries: 1 },
};

/** Reasons that concern a single target; the first retry has no delay. */
const targetReasons: ReadonlySet<RefusalReason> = new Set([
  "no-target",
  "target-draining",
  "target-unreachable",
  "node-unreachable",
  "peer-rejected",
  "stopping",
]);

/** Reasons that may be temporary; a retry is delayed. */
const transientReasons: ReadonlySet<RefusalReason> = new Set([
  "deadline-too-short",
  "queue-full",
  "evicted",
  "body-memory",
  "target-shed",
  "target-reset",
  "target-timeout",
  "answer-incomplete",
]);

/**
 * Decides whether to retry after a failed attempt.
 * @param state State of the call after the attempt.
 * @param options Objective, required attempts and random source.
 * @returns The delay before the next attempt, or why there is none.
 */
export function decideRetry(
  state: RetryState,
  options: RetryOptions,
): RetryDecision {
  const stopReason = getStopReason(state, options);
  if (stopReason !== undefined) {
    return { kind: "stop", reason: stopReason };
  }
  const delayMilliseconds = getDelay(state, options);
  const needed = delayMilliseconds + (options.expectedMilliseconds ?? 0);
  if (needed >= state.remainingMilliseconds) {
    return { kind: "stop", reason: "deadline" };
  }
  const reason = state.disposition === "not-run" ? "not-run" : "idempotent";
  return { kind: "retry", delayMilliseconds, reason };
}

function getStopReason(
  state: RetryState,
  options: RetryOptions,
): RetryStopReason | undefined {
  if (state.disposition === "ran") {
    return "ran";
  }
  if (state.isSuspect) {
    return "suspect";
  }
  if (state.disposition === "unknown" && !state.isIdempotent) {
    return "not-idempotent";
  }
  if (
    !targetReasons.has(state.reason) && !transientReasons.has(state.reason)
  ) {
    return "not-retryable";
  }
  if (state.attempts > backoffPolicies[options.objective].maximumRetries) {
    return "maximum-retries";
  }
  if (state.remainingAllowance < options.requiredAttempts) {
    return "allowance-spent";
  }
  if (state.isServiceRefusing) {
    return "service-refusing";
  }
  return state.hasRetryToken ? undefined : "retry-ratio";
}

function getDelay(state: RetryState, options: RetryOptions): number {
  if (targetReasons.has(state.reason) && state.attempts === 1) {
    return 0;
  }
  const { baseMilliseconds, maximumMilliseconds } =
    backoffPolicies[options.objective];
  const ceiling = Math.min(
    maximumMilliseconds,
    baseMilliseconds * 2 ** (state.attempts - 1),
  );
  return ceiling * (0.5 + options.random() / 2);
}
