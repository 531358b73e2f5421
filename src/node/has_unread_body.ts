import type { IncomingMessage } from "node:http";

/**
 * Checks whether bytes of a request's body may not have been received. A request
 * without a body is not complete yet either while it is being handled, because
 * Node.js sets `complete` after that.
 * @param request The request.
 */
export function hasUnreadBody({ complete, headers }: IncomingMessage): boolean {
  return !complete && (headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0);
}
