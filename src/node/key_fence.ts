import type { CallFailure, RefusalReason } from "../request/mod.ts";
import { getRefusalMessage } from "./refusal_messages.ts";
import type { FenceOutcome, LedgerAnswer } from "./ledger_port.ts";

/** Result for a caller after its key was fenced. */
export type FencedResult =
  | { readonly kind: "failure"; readonly failure: CallFailure }
  | { readonly kind: "stored"; readonly answer: LedgerAnswer };

/** Reasons for which no request with the same key and payload can have run. */
const reasonsWithoutFence: ReadonlySet<RefusalReason> = new Set([
  "key-conflict",
  "key-required",
]);

/**
 * Reports whether a key must be fenced before a failure is returned to the
 * caller. `not-run` must also hold for earlier requests with the same key that
 * may still be queued; the fence prevents them from running.
 * @param failure The failure.
 */
export function needsFence(failure: CallFailure): boolean {
  return failure.disposition === "not-run" &&
    !reasonsWithoutFence.has(failure.reason);
}

/**
 * Gets the result for a caller whose key was fenced.
 * @param outcome Outcome of the fence.
 * @param failure Failure to return when no earlier request ran.
 */
export function getFencedResult(
  outcome: FenceOutcome,
  failure: CallFailure,
): FencedResult {
  switch (outcome.kind) {
    case "absent":
      return { kind: "failure", failure };
    case "in-progress":
      return createResult("unknown", "claim-in-progress");
    case "unknown":
      return createResult("unknown", "claim-unknown");
    case "unavailable":
      return createResult("unknown", "ledger-unavailable");
    case "ran":
      return outcome.answer === undefined
        ? createResult("ran", "claim-ran")
        : { kind: "stored", answer: outcome.answer };
  }
}

function createResult(
  disposition: CallFailure["disposition"],
  reason: RefusalReason,
): FencedResult {
  const message = getRefusalMessage(reason);
  return { kind: "failure", failure: { disposition, reason, message } };
}
