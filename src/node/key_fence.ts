import type { CallFailure, RefusalReason } from "../request/mod.ts";
import { getRefusalMessage } from "./refusal_messages.ts";
import type { FenceOutcome, LedgerAnswer } from "./ledger_port.ts";

/** What a caller is told after its key was fenced. */
export type FencedResult =
  | { readonly kind: "failure"; readonly failure: CallFailure }
  | { readonly kind: "earlier"; readonly answer: LedgerAnswer };

/** Refusals of requests that no send with the same key can have run. */
const reasonsWithoutFence: ReadonlySet<RefusalReason> = new Set([
  "key-conflict",
  "key-required",
]);

/**
 * Reports whether a failure may be told only after the key was fenced, because
 * `not-run` must also hold for earlier sends with the same key.
 * @param failure The failure.
 */
export function needsFence(failure: CallFailure): boolean {
  return failure.disposition === "not-run" &&
    !reasonsWithoutFence.has(failure.reason);
}

/**
 * Gets what a caller is told.
 * @param outcome State of the key.
 * @param failure What would be told if no earlier send ran.
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
        : { kind: "earlier", answer: outcome.answer };
  }
}

function createResult(
  disposition: CallFailure["disposition"],
  reason: RefusalReason,
): FencedResult {
  const message = getRefusalMessage(reason);
  return { kind: "failure", failure: { disposition, reason, message } };
}
