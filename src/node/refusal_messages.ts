import type {
  CallFailure,
  Disposition,
  RefusalReason,
} from "../request/mod.ts";

const messages: Readonly<Record<RefusalReason, string>> = {
  "unknown-route": "No route matches the service, method and path",
  "document-unconfirmed":
    "No route or key matches, and the document of the node may be outdated",
  "unknown-key": "The request has no key that a tenant holds",
  "rate-limited": "The tenant has used its quota of requests",
  "malformed-request": "The request is malformed",
  "too-large": "The request is too large",
  "body-memory": "The node buffers too many request bodies",
  "listener-full": "The listener holds too many connections or heads",
  "deadline-exceeded": "The deadline passed",
  "deadline-too-short": "The time left is shorter than the expected time",
  "queue-full": "The queue of the target is full",
  "evicted": "A call of higher priority took the place in the queue",
  "shed-early": "A service that the call needs is overloaded",
  "caller-share": "The caller has used its share of the queue",
  "allowance-spent": "The attempt allowance of the request is exhausted",
  "depth-exceeded": "The chain of calls is too deep",
  "no-target": "No target of the service is known",
  "target-shed": "The target shed the call without running it",
  "target-draining": "The target takes no new calls",
  "target-unreachable": "The target accepts no connections",
  "target-reset": "The connection to the target closed before a response",
  "target-timeout": "The target did not respond within the deadline",
  "answer-incomplete": "The response of the target is incomplete",
  "key-required": "The route requires an Idempotency-Key header",
  "key-conflict": "The key was used with a different request",
  "claim-in-progress": "An earlier request with the same key is in progress",
  "claim-ran": "The request with this key ran; its response is not stored",
  "claim-unknown": "Whether the request with this key ran is not known",
  "claim-superseded": "The key was reported as not run after this request",
  "ledger-unavailable": "The ledger of keys cannot be reached",
  "ledger-full": "The ledger of keys is full",
  "suspect": "The request may have crashed a target",
  "quarantined": "The request crashed targets and is quarantined",
  "cancelled": "The call was cancelled",
  "stopping": "The node is stopping",
  "node-unreachable": "The node of the target cannot be reached",
  "peer-rejected": "The node of the target did not accept the call",
  "link-budget": "The bandwidth to the region of the targets is used up",
};

/** Gets the message for callers that explains a reason. */
export function getRefusalMessage(reason: RefusalReason): string {
  return messages[reason];
}

/**
 * Creates the failure of a call that ends because its node stops.
 * @param disposition Whether the call ran, as far as is known.
 */
export function createAbortFailure(disposition: Disposition): CallFailure {
  return disposition === "not-run"
    ? { disposition, reason: "stopping", message: messages.stopping }
    : {
      disposition: "unknown",
      reason: "target-timeout",
      message: "The node stopped before the target responded",
    };
}
