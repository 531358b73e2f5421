import type { IncomingMessage } from "node:http";
import { getHostName } from "../document/mod.ts";
import type { CallProtocol } from "./call_protocol.ts";

/** Host and path of a request, from its request line and Host header. */
export interface RequestTarget {
  /** Host as `getHostName` returns it; empty when absent. */
  readonly host: string;
  /** Path with its query, as it is forwarded. */
  readonly path: string;
  /** Path without its query, by which the route is matched. */
  readonly routePath: string;
}

/** Matches dot segments, also escaped ones. */
const dotSegment = /\/(?:\.|%2e){1,2}(?:\/|$)/i;

/**
 * Matches the absolute form, with its authority and the rest. A URI of https is
 * not accepted on a connection without TLS (RFC 9110, section 7.4).
 */
const absoluteForm = /^http:\/\/([^/?]*)(.*)$/i;

/** Characters that Node.js reads in a path and refuses to write. */
const invalidPathCharacter = /[^\x21-\xff]/;

/**
 * Reads the target of a request, in origin form or absolute form.
 * @param request The request.
 * @param protocol The protocol of the caller.
 * @returns The target, or `undefined` when it is malformed.
 */
export function readRequestTarget(
  request: IncomingMessage,
  { allowsDotSegments }: Pick<CallProtocol, "allowsDotSegments">,
): RequestTarget | undefined {
  const url = request.url ?? "";
  let path = url;
  let host = request.headers.host ?? "";
  if (url.charCodeAt(0) !== 0x2f) {
    const absolute = absoluteForm.exec(url);
    if (absolute === null) {
      return undefined;
    }
    host = absolute[1] as string;
    const rest = absolute[2] as string;
    path = rest.startsWith("/") ? rest : `/${rest}`;
  }
  if (invalidPathCharacter.test(path)) {
    return undefined;
  }
  const query = path.indexOf("?");
  const routePath = query < 0 ? path : path.slice(0, query);
  if (!allowsDotSegments && dotSegment.test(routePath)) {
    return undefined;
  }
  return { host: getHostName(host), path, routePath };
}
