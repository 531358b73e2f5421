import type { ServerResponse } from "node:http";
import { fieldLimits } from "../request/mod.ts";
import { writeFailure, writeJson } from "./caller_response.ts";
import type { FenceOutcome } from "./ledger_port.ts";
import type { NodeState } from "./node_state.ts";
import { getRefusalMessage } from "./refusal_messages.ts";

/** Path of the outcome query on the outside listener. */
export const outcomeQueryPath = "/dogwoodwalk/outcome";

/**
 * Handles a query for the outcome of a request with a key. It fences the key,
 * because a plain read could report `not-run` while an earlier request with the
 * key is still queued and runs later.
 * @param state State that the components of the node share.
 * @param url URL of the query, with the parameters `service` and `key`.
 * @param response Response for the outcome, as JSON.
 */
export function handleOutcomeQuery(
  state: NodeState,
  url: string,
  response: ServerResponse,
): void {
  const query = new URLSearchParams(url.slice(url.indexOf("?") + 1));
  const service = query.get("service") ?? "";
  const key = query.get("key") ?? "";
  const queryError = getQueryError(state, service, key);
  if (queryError !== undefined) {
    writeFailure(response, {
      disposition: "not-run",
      reason: "malformed-request",
      message: queryError,
    }, { requestId: "" });
    return;
  }
  state.ledger.fence({ service, key }).then((outcome) => {
    if (outcome.kind === "unavailable") {
      const reason = "ledger-unavailable";
      writeFailure(response, {
        disposition: "unknown",
        reason,
        message: getRefusalMessage(reason),
      }, { requestId: "" });
      return;
    }
    writeJson(response, 200, { service, key, ...formatOutcome(outcome) });
  });
}

function getQueryError(
  state: NodeState,
  service: string,
  key: string,
): string | undefined {
  if (key === "" || key.length > fieldLimits.keyLength) {
    return `Expected "key" with 1 to ${fieldLimits.keyLength} characters`;
  }
  return state.view?.hasService(service)
    ? undefined
    : 'Expected "service" to name a service of the document';
}

function formatOutcome(
  outcome: Exclude<FenceOutcome, { kind: "unavailable" }>,
): Record<string, unknown> {
  switch (outcome.kind) {
    case "absent":
      return { outcome: "not-run" };
    case "in-progress":
      return { outcome: "in-progress" };
    case "unknown":
      return { outcome: "unknown" };
    case "ran": {
      const { answer } = outcome;
      return {
        outcome: "ran",
        response: answer && {
          status: answer.status,
          headers: answer.headers,
          bodyBase64: Buffer.from(answer.body).toString("base64"),
        },
      };
    }
  }
}
