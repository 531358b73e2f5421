import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { getStableHash } from "../common/mod.ts";
import { sanitizeCaller } from "../request/mod.ts";
import type { CallDetails } from "./call_details.ts";
import type { AcceptedCall } from "./call_protocol.ts";
import type { NodeState } from "./node_state.ts";

/** A request that enters at this node. */
export interface CallEntry {
  readonly request: IncomingMessage;
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
 * @param entered What the protocol read.
 * @param entry The request.
 * @returns The details.
 */
export function createCallDetails(
  state: NodeState,
  entered: AcceptedCall,
  entry: CallEntry,
): CallDetails {
  const { plan, key } = entered;
  const { route } = plan;
  const inherited = entered.parent?.details;
  const requestId = entered.requestId ?? inherited?.requestId ?? randomUUID();
  const now = state.clock.monotonicMilliseconds();
  const deadlineMilliseconds = inherited?.deadlineMilliseconds ??
    now + route.deadlineMilliseconds;
  return {
    plan,
    requestId,
    caller: inherited?.caller ?? getCaller(state, entry),
    classIndex: entered.classIndex ?? inherited?.classIndex ??
      route.classIndex,
    depth: (inherited?.depth ?? 0) + 1,
    hash: inherited?.hash ?? getStableHash(requestId),
    // Each send enters here, also one that a target makes.
    entryIndex: state.ledger.knownIndex,
    deadlineMilliseconds: Math.min(
      deadlineMilliseconds,
      now + (entered.callerMilliseconds ?? Infinity),
    ),
    method: entry.request.method ?? "",
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
  return sanitizeCaller(
    typeof named === "string" ? named : request.socket.remoteAddress ?? "",
  );
}
