import type { IncomingMessage } from "node:http";
import { type Disposition, fieldLimits } from "../request/mod.ts";
import type { CallProtocol } from "./call_protocol.ts";

/**
 * Gets the disposition of a request that is refused before its call is known. An
 * earlier request with the same key may have run at another node, and without
 * the call the key cannot be fenced, so only a request without a key is
 * certainly `not-run`.
 * @param protocol The protocol of the caller.
 * @param request The request; `undefined` when its headers could not be read.
 * @returns `unknown` for a request that may have a key, `not-run` for any other.
 */
export function getEarlyDisposition(
  protocol: CallProtocol,
  request: IncomingMessage | undefined,
): Disposition {
  if (protocol.getKey === undefined) {
    return "not-run";
  }
  if (request === undefined) {
    return "unknown";
  }
  const key = protocol.getKey(request);
  // No node accepts a request with a longer key.
  return key === undefined || key.length > fieldLimits.keyLength
    ? "not-run"
    : "unknown";
}
