import type { ServerResponse } from "node:http";

/**
 * Makes the connection of a response end with a reset while the response is
 * incomplete. Without chunks or a length, only that distinguishes it from a
 * complete one (RFC 9112, section 8).
 * @param response Response to a caller that does not read chunks.
 */
export function resetIncompleteResponse(response: ServerResponse): void {
  const { socket } = response.req;
  const destroy = socket.destroy;
  const isIncomplete = () =>
    response.headersSent && response.socket !== null &&
    !response.writableFinished;
  socket.destroy = (error) => {
    socket.destroy = destroy;
    return error === undefined && !socket.destroyed && isIncomplete()
      ? socket.resetAndDestroy()
      : socket.destroy(error);
  };
  // Node.js closes the other direction regularly when the caller closes its own.
  socket.prependOnceListener("end", () => {
    if (isIncomplete()) {
      socket.destroy();
    }
  });
}
