import type { ServerResponse } from "node:http";
import {
  type CallFailure,
  encodeErrorBody,
  getReasonStatus,
} from "../request/mod.ts";
import { endWithBody } from "./end_with_body.ts";
import { hasUnreadBody } from "./has_unread_body.ts";
import type { ResponseHead } from "./exchange.ts";

/**
 * Writes the head of a response that was received from another process.
 * @param response Response to write to.
 * @param head Status, reason phrase and headers.
 * @returns The failure to write instead, when Node.js refuses to write the head;
 * `undefined` when it is written.
 */
export function writeReceivedHead(
  response: ServerResponse,
  { status, statusMessage, headers }: ResponseHead,
): CallFailure | undefined {
  try {
    response.writeHead(status, statusMessage, headers);
    return undefined;
  } catch (error) {
    return {
      disposition: "ran",
      reason: "answer-incomplete",
      message: `The response cannot be written: ${(error as Error).message}`,
    };
  }
}

/**
 * Writes a response whose body is buffered.
 * @param response Response to write to.
 * @param head Status and headers.
 * @param options Body, and the headers of the answer for a node.
 * @returns The failure to write instead, when Node.js refuses to write the head.
 */
export function writeBuffered(
  response: ServerResponse,
  head: ResponseHead,
  options: { body: Buffer; answer?: readonly string[] | undefined },
): CallFailure | undefined {
  const { headers } = head;
  const { length } = headers;
  if (head.contentLength < 0 && head.isChunked) {
    headers.push("Content-Length", String(options.body.length));
  }
  if (options.answer !== undefined) {
    headers.push(...options.answer);
  }
  const failure = writeReceivedHead(response, head);
  // Several callers can get the same response, so the list is restored.
  headers.length = length;
  if (failure === undefined) {
    endWithBody(response, options.body);
  }
  return failure;
}

/**
 * Writes a refusal or failure.
 * @param response Response to write to.
 * @param failure The refusal or failure.
 * @param options ID of the request, and the headers of the answer for a node.
 */
export function writeFailure(
  response: ServerResponse,
  failure: CallFailure,
  options: { requestId: string; answer?: readonly string[] | undefined },
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const body = encodeErrorBody(failure, options.requestId);
  const headers = [
    "Content-Type",
    "application/json",
    "Content-Length",
    String(Buffer.byteLength(body)),
    "dogwoodwalk-disposition",
    failure.disposition,
    "dogwoodwalk-reason",
    failure.reason,
  ];
  if (options.answer !== undefined) {
    headers.push(...options.answer);
  }
  if (hasUnreadBody(response.req)) {
    // The rest of the request is not read, so the connection is not reused.
    response.shouldKeepAlive = false;
  }
  response.writeHead(getReasonStatus(failure.reason), headers);
  response.end(body);
}

/**
 * Writes a JSON document, for the endpoints of the node itself.
 * @param response Response to write to.
 * @param status HTTP status.
 * @param value Value to encode.
 */
export function writeJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, [
    "Content-Type",
    "application/json",
    "Content-Length",
    String(Buffer.byteLength(body)),
  ]);
  response.end(body);
}
