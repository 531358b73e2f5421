import type { RefusalReason } from "../request/mod.ts";

/** Reasons that say that the caller's request is wrong. */
const callerFaults: ReadonlySet<RefusalReason> = new Set([
  "unknown-route",
  "malformed-request",
  "too-large",
  "key-required",
]);

/**
 * Gets the reason to report for a call that the node of the target refused or
 * failed. Only the node that received a request from its caller can find fault
 * with it; another node that does has a different document or settings, or got
 * a damaged message.
 * @param reason The reason that the node of the target gave.
 * @returns The reason, or `peer-rejected` for one that blames the caller.
 */
export function getPeerFailureReason(reason: RefusalReason): RefusalReason {
  return callerFaults.has(reason) ? "peer-rejected" : reason;
}
