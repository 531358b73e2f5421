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
 * @param accepted What the protocol read.
 * @param entry The request.
 * @returns The details.
 */
export function createCallDetails(
  state: NodeState,
  accepted: AcceptedCall,
  entry: CallEntry,
): CallDetails {
  const { plan, key } = accepted;
  const { route } = plan;
  const parentDetails = accepted.parent?.details;
  const requestId = accepted.requestId ?? parentDetails?.requestId ??
    randomUUID();
  const now = state.clock.monotonicMilliseconds();
  const deadlineMilliseconds = parentDetails?.deadlineMilliseconds ??
    now + route.deadlineMilliseconds;
  return {
    plan,
    requestId,
    caller: parentDetails?.caller ?? getCaller(state, entry),
    classIndex: accepted.classIndex ?? parentDetails?.classIndex ??
      route.classIndex,
    depth: (parentDetails?.depth ?? 0) + 1,
    hash: parentDetails?.hash ?? getStableHash(requestId),
    // Each send enters here, also one that a target makes.
    entryIndex: state.ledger.knownIndex,
    deadlineMilliseconds: Math.min(
      deadlineMilliseconds,
      now + (accepted.callerMilliseconds ?? Infinity),
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
