import type { Disposition } from "./disposition.ts";
import type { RefusalReason } from "./refusal_reason.ts";

/** A refusal or failure as it is reported to a caller. */
export interface CallFailure {
  readonly disposition: Disposition;
  readonly reason: RefusalReason;
  /** One sentence for people. */
  readonly message: string;
  /** Time after which a refused request is expected to be accepted. */
  readonly retryAfterMilliseconds?: number;
}

/**
 * Encodes the JSON body of a refusal or failure.
 * @param failure What happened.
 * @param requestId Identity of the request; empty when it has none.
 * @returns The body.
 */
export function encodeErrorBody(
  failure: CallFailure,
  requestId: string,
): string {
  const { disposition, reason, message } = failure;
  return JSON.stringify({ error: { disposition, reason, message, requestId } });
}

const statuses: Readonly<Record<RefusalReason, number>> = {
  "unknown-route": 404,
  "document-unconfirmed": 503,
  "unknown-key": 401,
  "rate-limited": 429,
  "malformed-request": 400,
  "too-large": 413,
  "body-memory": 503,
  "listener-full": 503,
  "deadline-exceeded": 504,
  "deadline-too-short": 503,
  "queue-full": 503,
  "evicted": 503,
  "shed-early": 503,
  "caller-share": 429,
  "allowance-spent": 503,
  "depth-exceeded": 508,
  "no-target": 503,
  "target-shed": 503,
  "target-draining": 503,
  "target-unreachable": 502,
  "target-reset": 502,
  "target-timeout": 504,
  "answer-incomplete": 502,
  "key-required": 400,
  "key-conflict": 422,
  "claim-in-progress": 409,
  "claim-ran": 409,
  "claim-unknown": 409,
  "claim-superseded": 409,
  "ledger-unavailable": 503,
  "ledger-full": 503,
  "suspect": 503,
  "quarantined": 503,
  // For a caller that has disconnected, or a call whose parent request ended.
  "cancelled": 499,
  "stopping": 503,
  "node-unreachable": 502,
  "peer-rejected": 503,
  "link-budget": 503,
};

/**
 * Gets the HTTP status of the response that reports a reason to a caller.
 * @param reason The reason.
 * @returns A status from 400 to 599.
 */
export function getReasonStatus(reason: RefusalReason): number {
  return statuses[reason];
}
