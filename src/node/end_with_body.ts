import type { OutgoingMessage } from "node:http";

/** Above this size, copying the body costs more than writing two buffers. */
const maximumStringBytes = 16 * 1024;

/**
 * Ends a message with a body. A small body is passed as a string, because
 * Node.js joins it with the headers to one write. A buffer would need a
 * vectored write.
 * @param message The message, with its headers set.
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
