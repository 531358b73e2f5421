import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { getStableHash } from "../common/mod.ts";
import { getBoundedCaller } from "../request/mod.ts";
import type { CallDetails } from "./call_details.ts";
import type { RoutePlan } from "./document_view.ts";
import type { NodeState } from "./node_state.ts";
import type { TargetCall } from "./target_call.ts";

/** A request that enters at this node. */
export interface CallEntry {
  readonly request: IncomingMessage;
  /** The call of the target beside this node that made this one. */
  readonly parent: TargetCall | undefined;
  readonly key: string | undefined;
  /** Path with its query. */
  readonly path: string;
  /** Alternating names and values for the next hop. */
  readonly headers: string[];
  readonly isOutside: boolean;
}

/**
 * Creates the details of a call that enters here. A call that a target makes
 * belongs to the request of its parent: identity, class and deadline are the
 * parent's.
 * @param state What the parts of the node share.
 * @param plan The route.
 * @param entry The request.
 * @returns The details.
 */
export function createCallDetails(
  state: NodeState,
  plan: RoutePlan,
  entry: CallEntry,
): CallDetails {
  const { request, key } = entry;
  const { route } = plan;
  const inherited = entry.parent?.details;
  const requestId = inherited?.requestId ?? randomUUID();
  return {
    plan,
    requestId,
    caller: inherited?.caller ?? getCaller(state, entry),
    classIndex: inherited?.classIndex ?? route.classIndex,
    depth: (inherited?.depth ?? 0) + 1,
    hash: inherited?.hash ?? getStableHash(requestId),
    // Each send enters here, also one that a target makes.
    entryIndex: state.ledger.knownIndex,
    deadlineMilliseconds: inherited?.deadlineMilliseconds ??
      state.clock.monotonicMilliseconds() + route.deadlineMilliseconds,
    method: request.method ?? "",
    path: entry.path,
    headers: entry.headers,
    key,
    needsClaim: key !== undefined && !route.idempotent && route.key !== "none",
  };
}

function getCaller(state: NodeState, entry: CallEntry): string {
  if (!entry.isOutside) {
    return state.settings.service;
  }
  const { request } = entry;
  const header = state.view?.document.callerHeader;
  const named = header === undefined ? undefined : request.headers[header];
  return getBoundedCaller(
    typeof named === "string" ? named : request.socket.remoteAddress ?? "",
  );
}
