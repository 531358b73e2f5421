import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type CallFailure,
  fieldLimits,
  type RefusalReason,
} from "../request/mod.ts";
import { writeJson } from "./caller_response.ts";
import { identifyKeyHolder } from "./identify_key_holder.ts";
import type { FenceOutcome } from "./ledger_port.ts";
import type { NodeState } from "./node_state.ts";
import { getRefusalMessage } from "./refusal_messages.ts";
import { getScopedKey } from "./tenant_header.ts";

/** Path of the outcome query on the outside listener. */
export const outcomeQueryPath = "/dogwoodwalk/outcome";

/**
 * Handles a query for the outcome of a request with a key. It fences the key,
 * because a plain read could report `not-run` while an earlier request with the
 * key is still queued and runs later. When the document has tenants, the query
 * needs the key of the tenant that sent the request.
 * @param state State that the components of the node share.
 * @param request The query, with the parameters `service` and `key` in its URL.
 * @param response Response for the outcome, as JSON.
 */
export function handleOutcomeQuery(
  state: NodeState,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const { url = "" } = request;
  const { protocol, view } = state;
  const query = new URLSearchParams(url.slice(url.indexOf("?") + 1));
  const service = query.get("service") ?? "";
  const key = query.get("key") ?? "";
  // A refusal of the query says nothing about the request with the key.
  const refuse = (
    reason: RefusalReason,
    message = getRefusalMessage(reason),
  ) =>
    protocol.writeFailure(
      response,
      { disposition: "unknown", reason, message },
      "",
    );
  const queryError = getQueryError(state, service, key);
  if (queryError !== undefined) {
    refuse(queryError.reason, queryError.message);
    return;
  }
  const holder = view?.tenants && identifyKeyHolder({ request, view }, false);
  if (holder?.kind === "refused") {
    refuse(
      state.isDocumentConfirmed() ? holder.reason : "document-unconfirmed",
    );
    return;
  }
  const scopedKey = getScopedKey(key, holder?.tenant?.name);
  state.ledger.fence({ service, key: scopedKey }).then((outcome) => {
    if (outcome.kind === "unavailable") {
      refuse("ledger-unavailable");
      return;
    }
    writeJson(response, 200, { service, key, ...formatOutcome(outcome) });
  });
}

function getQueryError(
  state: NodeState,
  service: string,
  key: string,
): Pick<CallFailure, "reason" | "message"> | undefined {
  const reason = "malformed-request";
  if (key === "" || key.length > fieldLimits.keyLength) {
    const message =
      `Expected "key" with 1 to ${fieldLimits.keyLength} characters`;
    return { reason, message };
  }
  if (state.view === undefined) {
    return { reason: "no-target", message: "This node has no document yet" };
  }
  if (!state.view.hasService(service)) {
    const message = 'Expected "service" to name a service of the document';
    return { reason, message };
  }
  return undefined;
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
