import type { ServerResponse } from "node:http";
import {
  type CallFailure,
  encodeErrorBody,
  getReasonStatus,
} from "../request/mod.ts";
import type { StreamedResponse } from "./attempt.ts";
import { endWithBody } from "./end_with_body.ts";
import { pipeBody } from "./pipe_body.ts";
import { maximumStreamedBodyBytes, type ResponseHead } from "./exchange.ts";

/**
 * Writes a response whose body is held.
 * @param response Where to write.
 * @param head Status and headers.
 * @param options The body, and a header between nodes.
 */
export function writeBuffered(
  response: ServerResponse,
  head: ResponseHead,
  options: { body: Buffer; answer?: string | undefined },
): void {
  const { headers } = head;
  const { length } = headers;
  if (head.contentLength < 0 && head.isChunked) {
    headers.push("Content-Length", String(options.body.length));
  }
  if (options.answer !== undefined) {
    headers.push("dogwoodwalk-answer", options.answer);
  }
  response.writeHead(head.status, head.statusMessage, headers);
  // Several callers can be given the same response.
  headers.length = length;
  endWithBody(response, options.body);
}

/**
 * Writes a response as it arrives. When it breaks off, the connection of the
 * receiver is destroyed, so that it never sees a clean end.
 * @param response Where to write.
 * @param streamed The response.
 * @param options A header between nodes.
 */
export function writeStreamed(
  response: ServerResponse,
  streamed: StreamedResponse,
  options: { answer?: string | undefined },
): void {
  const { head } = streamed;
  if (head.contentLength < 0 && head.isChunked) {
    head.headers.push("Transfer-Encoding", "chunked");
  }
  if (options.answer !== undefined) {
    head.headers.push("dogwoodwalk-answer", options.answer);
  }
  response.writeHead(head.status, head.statusMessage, head.headers);
  pipeBody(streamed.response, response, {
    chunks: streamed.chunks,
    limit: maximumStreamedBodyBytes,
    onEnd: (fault, bytes) => {
      if (fault !== undefined) {
        response.destroy();
      }
      streamed.onEnd(fault === undefined, bytes);
    },
  });
}

/**
 * Writes a refusal or failure.
 * @param response Where to write.
 * @param failure What happened.
 * @param options Identity of the request, and a header between nodes.
 */
export function writeFailure(
  response: ServerResponse,
  failure: CallFailure,
  options: { requestId: string; answer?: string | undefined },
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
    headers.push("dogwoodwalk-answer", options.answer);
  }
  if (!response.req.complete) {
    // The rest of the request is not read.
    headers.push("Connection", "close");
  }
  response.writeHead(getReasonStatus(failure.reason), headers);
  response.end(body);
}

/**
 * Writes a JSON document, for the pages of the node itself.
 * @param response Where to write.
 * @param status HTTP status.
 * @param value What to write.
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
