import type { CallFailure } from "../request/mod.ts";
import { type ClassCounters, incrementReason } from "./call_counters.ts";
import type { NodeState } from "./node_state.ts";

/** Settings of {@link recordPeerRefusal}. */
export interface PeerRefusalOptions {
  readonly failure: CallFailure;
  /** Counters of the call's class; absent when the class is not known. */
  readonly counters?: ClassCounters | undefined;
  /** ID of the request; empty when it is not known. */
  readonly requestId: string;
  /** Stable hash of the request ID. */
  readonly hash: number;
  /** Service that the sender called; absent when it is not known. */
  readonly service?: string | undefined;
  /** Address of the sender; absent when its connection has closed. */
  readonly senderAddress: string | undefined;
}

/**
 * Logs and counts a call of another node that this node refuses before the
 * dispatcher of its target receives it.
 * @param state The shared state of the node.
 * @param options The call and the refusal.
 */
export function recordPeerRefusal(
  state: NodeState,
  options: PeerRefusalOptions,
): void {
  const { requestId, hash, service, senderAddress } = options;
  const { disposition, reason, message } = options.failure;
  const counters = options.counters ??
    state.counters.get(state.settings.service, "none");
  incrementReason(counters.failedAttempts, reason);
  state.decisions.record({
    requestId,
    hash,
    priority: "failure",
    event: "peer call refused",
    fields: {
      service,
      disposition,
      reason,
      message,
      sender: senderAddress,
      revision: state.view?.revision,
    },
  });
}
