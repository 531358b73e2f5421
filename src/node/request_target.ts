import type { IncomingMessage } from "node:http";
import type { CallProtocol } from "./call_protocol.ts";

/** Host and path of a request, from its request line and Host header. */
export interface RequestTarget {
  /** Host name in lower case without its port; empty when absent. */
  readonly host: string;
  /** Path with its query, as it is forwarded. */
  readonly path: string;
  /** Path without its query, by which the route is matched. */
  readonly routePath: string;
}

/** Matches dot segments, also escaped ones. */
const dotSegment = /\/(?:\.|%2e){1,2}(?:\/|$)/i;

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
    if (!/^http:\/\//i.test(url)) {
      return undefined;
    }
    const start = url.indexOf("/", 7);
    host = start < 0 ? url.slice(7) : url.slice(7, start);
    path = start < 0 ? "/" : url.slice(start);
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

function getHostName(host: string): string {
  const colon = host.indexOf(":");
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
