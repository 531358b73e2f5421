import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import {
  type CallFailure,
  type Disposition,
  encodeErrorBody,
  type RefusalReason,
} from "../request/mod.ts";
import { getRefusalMessage } from "./refusal_messages.ts";

/** Code of the error when a limit over all connections is reached. */
export const listenerFullCode = "ERR_LISTENER_FULL";

/** Settings of {@link sendClientError}. */
export interface ClientErrorOptions {
  /** Disposition of the request. */
  readonly disposition: Disposition;
  /** Maximum size of the headers of a request. */
  readonly headerBytes: number;
}

/**
 * Responds to a malformed or incomplete request with an error, and closes its
 * connection.
 * @param error Error of the HTTP parser.
 * @param socket Connection of the request, a socket of a listener.
 * @param options What is known about the request.
 * @returns Status and reason of the response; `undefined` when none was sent.
 */
export function sendClientError(
  error: Error & { code?: string },
  socket: Duplex,
  { disposition, headerBytes }: ClientErrorOptions,
): { status: number; reason: RefusalReason } | undefined {
  if (socket.writableEnded) {
    // What the caller sends behind the error response is discarded.
    return undefined;
  }
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return undefined;
  }
  const { status, ...description } = describeClientError(error, headerBytes);
  const failure: CallFailure = { disposition, ...description };
  const body = encodeErrorBody(failure, "");
  socket.end(
    `HTTP/1.1 ${status} ${
      STATUS_CODES[status]
    }\r\nContent-Type: application/json\r\n` +
      `Content-Length: ${Buffer.byteLength(body)}\r\n` +
      `dogwoodwalk-disposition: ${failure.disposition}\r\n` +
      `dogwoodwalk-reason: ${failure.reason}\r\n` +
      `Connection: close\r\n\r\n${body}`,
  );
  (socket as Socket).destroySoon();
  return { status, reason: failure.reason };
}

function describeClientError(
  { code }: { code?: string },
  headerBytes: number,
): { status: number } & Pick<CallFailure, "reason" | "message"> {
  if (code === "HPE_HEADER_OVERFLOW") {
    const message = `The headers exceed ${headerBytes} bytes`;
    return {
      status: 431,
      reason: "too-large",
      message,
    };
  }
  if (code === listenerFullCode) {
    const reason = "listener-full";
    return { status: 503, reason, message: getRefusalMessage(reason) };
  }
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
    const message = "The request was not received completely in time";
    return {
      status: 408,
      reason: "malformed-request",
      message,
    };
  }
  const message = "The request is not valid HTTP/1.1";
  return {
    status: 400,
    reason: "malformed-request",
    message,
  };
}
