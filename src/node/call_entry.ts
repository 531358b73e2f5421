import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { getStableHash } from "../common/mod.ts";
import { sanitizeCaller } from "../request/mod.ts";
import type { CallDetails } from "./call_details.ts";
import type { AcceptedCall } from "./call_protocol.ts";
import type { NodeState } from "./node_state.ts";
import type { RequestTarget } from "./request_target.ts";

/** A request that this node accepts from a caller or from its target. */
export interface CallEntry {
  readonly request: IncomingMessage;
  readonly target: RequestTarget;
  /** Alternating header names and values for the next hop. */
  readonly headers: string[];
  readonly isOutside: boolean;
}

/**
 * Creates the details of a call that this node accepts. A call that the target
 * makes is part of the request of its parent call and inherits the identity,
 * caller, class and deadline.
 * @param state The shared state of the node.
 * @param accepted What the protocol parsed from the request.
 * @param entry The request.
 * @returns The details.
 */
export function createCallDetails(
  state: NodeState,
  accepted: AcceptedCall,
  entry: CallEntry,
): CallDetails {
  const { plan, key } = accepted;
  if (entry.request.headers.host === undefined) {
    // Only HTTP/1.0 allows a request without Host; the next hop has HTTP/1.1.
    entry.headers.push("Host", entry.target.host);
  }
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
    caller: parentDetails?.caller ?? accepted.caller ??
      getCaller(state, entry),
    tenant: parentDetails?.tenant ?? accepted.tenant,
    classIndex: accepted.classIndex ?? parentDetails?.classIndex ??
      route.classIndex,
    depth: (parentDetails?.depth ?? 0) + 1,
    hash: parentDetails?.hash ?? getStableHash(requestId),
    // Not inherited: the ledger refuses calls that were sent before a fence of
    // their key, and a nested call is sent here and now.
    entryIndex: state.ledger.knownIndex,
    deadlineMilliseconds: Math.min(
      deadlineMilliseconds,
      now + (accepted.callerMilliseconds ?? Infinity),
    ),
    method: entry.request.method ?? "",
    path: entry.target.path,
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
