import type { IncomingMessage } from "node:http";
import type { LogFields, Metrics } from "../common/mod.ts";
import type { RefusalReason } from "../request/mod.ts";

/** A request that a listener refused without passing it on. */
export interface ListenerRefusal {
  /** HTTP status of the response. */
  readonly status: number;
  readonly reason: RefusalReason;
  /** What was wrong, in the words of the HTTP parser. */
  readonly message: string;
  /** Code of the error of Node.js; absent when the request could be read. */
  readonly code?: string | undefined;
  /** The request; absent when its headers could not be read. */
  readonly request?: IncomingMessage | undefined;
  /** Address of the sender; absent when its connection has closed. */
  readonly senderAddress: string | undefined;
  /** Bytes received on the connection; 0 when no request had begun. */
  readonly receivedBytes: number;
}

/** Event of the line about a request that a listener refused. */
export const listenerRefusalEvent = "request refused";

/**
 * Describes a request that a listener refused.
 * @param listener Name of the listener.
 * @param refusal The refusal.
 * @returns The fields of a log line.
 */
export function describeListenerRefusal(
  listener: string,
  refusal: ListenerRefusal,
): LogFields {
  const { status, reason, message, code, senderAddress, receivedBytes } =
    refusal;
  return {
    listener,
    status,
    reason,
    message,
    code,
    sender: senderAddress,
    received: receivedBytes,
  };
}

/**
 * Counts a request that a listener refused.
 * @param metrics Metrics to add to.
 * @param listener Name of the listener.
 * @param refusal The refusal.
 */
export function countListenerRefusal(
  metrics: Metrics,
  listener: string,
  { status, reason }: ListenerRefusal,
): void {
  const tags = { listener, status: String(status), reason };
  metrics.increment("requests.refused", tags);
}
