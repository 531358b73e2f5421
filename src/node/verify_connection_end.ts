import type { IncomingMessage } from "node:http";

const noBytes = Buffer.alloc(0);

/**
 * Makes `complete` of a response whose body ends with its connection true only
 * if the sender closed the connection. libuv reports a reset that follows the
 * last bytes at once as a regular end, and Node.js sets `complete` after either.
 * A write of no bytes then still fails, because the socket keeps its error; after
 * a regular end it succeeds, and nothing is sent.
 *
 * A response that ends before its request was sent counts as incomplete. A target
 * that closes its connection without reading the request often resets it, but the
 * regular end may arrive before the reset.
 * @param response A response whose body was not read yet.
 * @param isRequestSent Checks whether the request was sent completely.
 */
export function verifyConnectionEnd(
  response: IncomingMessage,
  isRequestSent: () => boolean,
): void {
  const { socket } = response;
  let isClosedBySender = false;
  // Otherwise Node.js closes the other direction first, and each write fails.
  socket.allowHalfOpen = true;
  socket.prependOnceListener("end", () => {
    const isSent = isRequestSent();
    socket.write(noBytes, (error) => isClosedBySender = isSent && !error);
  });
  Object.defineProperty(response, "complete", {
    get: () => isClosedBySender,
    set: () => {},
  });
}
