import type { ParsedResponse } from "./response_parser.ts";

/** A request of a client. */
export interface SoakRequest {
  /** Identity of the request, which its response repeats. */
  readonly id: string;
  readonly method: "GET" | "POST";
  /** Name of a service; any other name means that of the node. */
  readonly host: string;
  readonly path: string;
  /** Idempotency key; absent for a request that may run twice. */
  readonly key?: string | undefined;
  /** Key of the client's tenant; absent for none. */
  readonly accessKey?: string | undefined;
  readonly body: string;
  /** Bytes by which the target enlarges its response. */
  readonly fillerBytes: number;
  /** Bytes of a body in place of `body`; 0 or absent for none. */
  readonly bodyBytes?: number;
  /** Bytes by which the headers are enlarged; 0 or absent for none. */
  readonly paddingBytes?: number;
  /** Whether the bytes are no valid request. */
  readonly isMalformed?: boolean;
  /** Whether no document has a route for the request. */
  readonly isUnknownRoute?: boolean;
}

/** What a node told the caller about a request. */
export type Disposition = "ran" | "not-run" | "unknown";

/** How an exchange ended. */
export type ExchangeEnd =
  | {
    readonly kind: "answered";
    readonly status: number;
    /** `ran` for a response of the target. */
    readonly disposition: Disposition;
    /** Reason of a node's refusal or failure; absent for a target's response. */
    readonly reason: string | undefined;
    /** Identity of the request that the target answered. */
    readonly answeredId: string | undefined;
    readonly fillerBytes: number;
  }
  | {
    readonly kind: "unanswered";
    /** Error code of the connection, or `closed` if the peer closed it. */
    readonly cause: string;
    readonly hasPartialResponse: boolean;
    /** Age of the oldest request on the connection that was not answered. */
    readonly oldestMilliseconds: number;
  };

/** A request that was sent, and what its client received. */
export interface Exchange {
  readonly request: SoakRequest;
  readonly client: string;
  /** Name of the node that the client was connected to. */
  readonly node: string;
  readonly sentMilliseconds: number;
  /** The earlier exchange of the connection that had `Connection: close`. */
  closedBy?: Exchange | undefined;
  endMilliseconds: number;
  /** Absent while the client waits. */
  end?: ExchangeEnd;
}

/**
 * Encodes a request for its connection.
 * @param request The request.
 * @param member Identity of the caller.
 * @returns The text to send.
 */
export function encodeRequest(request: SoakRequest, member: string): string {
  const { id, method, host, path, key, fillerBytes, isMalformed } = request;
  const { bodyBytes = 0, paddingBytes = 0, accessKey } = request;
  const body = bodyBytes > 0 ? "b".repeat(bodyBytes) : request.body;
  return [
    `${method} ${path} HTTP/1.1`,
    `Host: ${host}`,
    ...(isMalformed ? ["a line without a colon"] : []),
    `X-Call: ${id}`,
    `X-Member: ${member}`,
    ...(accessKey === undefined ? [] : [`Authorization: Bearer ${accessKey}`]),
    ...(paddingBytes > 0 ? [`X-Padding: ${"p".repeat(paddingBytes)}`] : []),
    ...(fillerBytes > 0 ? [`X-Filler-Bytes: ${fillerBytes}`] : []),
    ...(key === undefined ? [] : [`Idempotency-Key: ${key}`]),
    ...(body === "" ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
    "",
    body,
  ].join("\r\n");
}

/**
 * Reads what a complete response says about its request.
 * @param response The response.
 * @returns The end of the exchange.
 * @throws {SyntaxError} If the body is not the JSON of a target or node.
 */
export function describeResponse(response: ParsedResponse): ExchangeEnd {
  const { status, headers, body } = response;
  const content = JSON.parse(body.toString()) as {
    call?: string;
    filler?: string;
  };
  return {
    kind: "answered",
    status,
    disposition:
      (headers.get("dogwoodwalk-disposition") ?? "ran") as Disposition,
    reason: headers.get("dogwoodwalk-reason"),
    answeredId: content.call,
    fillerBytes: content.filler?.length ?? 0,
  };
}
