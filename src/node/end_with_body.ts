import type { OutgoingMessage } from "node:http";

/** Above this size, copying the body costs more than a second buffer. */
const maximumStringBytes = 16 * 1024;

/**
 * Ends a message with a body. A small body is sent as a string, which Node
 * joins with the headers to one write; a buffer takes a vectored write.
 * @param message The message; its headers are set.
 * @param body The body.
 */
export function endWithBody(message: OutgoingMessage, body: Buffer): void {
  if (body.length === 0) {
    message.end();
  } else if (body.length <= maximumStringBytes) {
    message.end(body.toString("latin1"), "latin1");
  } else {
    message.end(body);
  }
}
