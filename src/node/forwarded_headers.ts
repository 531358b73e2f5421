import { answerHeader, serviceTimeHeader } from "../request/mod.ts";

/** Prefix of the headers that are reserved for nodes. */
const reservedPrefix = "dogwoodwalk-";

/** Matches a header name that Node.js writes (RFC 9110, section 5.6.2). */
const token = /^[\w!#$%&'*+.^`|~-]+$/;

/** Headers of a message for the next hop, with the framing of the message. */
export interface ForwardedHeaders {
  /** Alternating names and values, ready for the next hop. */
  readonly headers: string[];
  /** Value of Content-Length; -1 when absent. */
  readonly contentLength: number;
  /** Whether the body is in chunks. */
  readonly isChunked: boolean;
  /**
   * Whether the body has a transfer coding other than `chunked`. Such a body
   * must not be passed on, because the coding is not.
   */
  readonly hasUnknownCoding: boolean;
  /** Value of `dogwoodwalk-answer`; `undefined` when absent. */
  readonly answer: string | undefined;
  /** Value of `dogwoodwalk-service-time`; `undefined` when absent. */
  readonly serviceTime: string | undefined;
  /** Idle timeout of the sender from Keep-Alive; -1 when absent. */
  readonly keepAliveSeconds: number;
  /** Whether a name is empty or has a space; Node.js reads but never writes it. */
  readonly hasInvalidName: boolean;
}

/**
 * Copies raw headers for the next hop, in order. Omits the hop-by-hop headers,
 * those that the Connection header lists, and every `dogwoodwalk-*` header.
 * Content-Length is kept; Transfer-Encoding is set when the body is sent. Spaces
 * behind a name are removed; a header whose name is still invalid is omitted.
 * @param raw Alternating names and values, as in `rawHeaders` of Node.js.
 * @returns The copied headers, with the framing of the message.
 */
export function copyHeaders(raw: readonly string[]): ForwardedHeaders {
  const headers: string[] = [];
  let contentLength = -1;
  let transferEncoding: string | undefined;
  let answer: string | undefined;
  let serviceTime: string | undefined;
  let keepAliveSeconds = -1;
  let connectionHeaders: string | undefined;
  let hasInvalidName = false;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    let name = raw[index] as string;
    if (!token.test(name)) {
      hasInvalidName = true;
      name = name.trimEnd();
      if (!token.test(name)) {
        continue;
      }
    }
    const value = raw[index + 1] as string;
    switch (name.length) {
      // The lengths of the names in `hopByHopHeaders`.
      case 2:
      case 6:
      case 7:
      case 16:
      case 18:
      case 19:
        if (isHopByHop(name)) {
          continue;
        }
        break;
      case 10: {
        const lowered = name.toLowerCase();
        if (lowered === "connection") {
          if (!isStandardConnectionValue(value)) {
            connectionHeaders = connectionHeaders === undefined
              ? value
              : `${connectionHeaders},${value}`;
          }
          continue;
        }
        if (lowered === "keep-alive") {
          keepAliveSeconds = parseKeepAliveSeconds(value);
          continue;
        }
        break;
      }
      case 14:
        if (name.toLowerCase() === "content-length") {
          contentLength = Number(value);
        }
        break;
      case 17:
        if (name.toLowerCase() === "transfer-encoding") {
          transferEncoding = transferEncoding === undefined
            ? value
            : `${transferEncoding},${value}`;
          continue;
        }
        break;
    }
    if (isReservedHeader(name)) {
      if (name.length === answerHeader.length && answer === undefined) {
        answer = name.toLowerCase() === answerHeader ? value : undefined;
      } else if (
        name.length === serviceTimeHeader.length && serviceTime === undefined
      ) {
        serviceTime = name.toLowerCase() === serviceTimeHeader
          ? value
          : undefined;
      }
      continue;
    }
    headers.push(name, value);
  }
  if (connectionHeaders !== undefined) {
    removeConnectionHeaders(headers, connectionHeaders);
  }
  const coding = getTransferCoding(transferEncoding);
  return {
    headers,
    contentLength,
    isChunked: coding === "chunked",
    hasUnknownCoding: coding === "unknown",
    answer,
    serviceTime,
    keepAliveSeconds,
    hasInvalidName,
  };
}

/**
 * Sets Content-Length in a list of headers.
 * @param headers Alternating names and values; changed in place.
 * @param length Length of the body in bytes.
 */
export function setContentLength(headers: string[], length: number): void {
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string;
    if (name.length === 14 && name.toLowerCase() === "content-length") {
      headers[index + 1] = String(length);
      return;
    }
  }
  headers.push("Content-Length", String(length));
}

/**
 * Checks whether a request can be passed on.
 * @param framing Headers of the request.
 * @returns What is wrong; `undefined` if nothing is.
 */
export function getRequestError(framing: ForwardedHeaders): string | undefined {
  if (framing.hasInvalidName) {
    return "The name of a header is empty or contains a space";
  }
  return framing.hasUnknownCoding
    ? "The transfer coding is not chunked"
    : undefined;
}

type TransferCoding = "none" | "chunked" | "unknown";

/**
 * Gets how a body is encoded. As the parser of Node.js does, it takes a body for
 * chunked only if that coding is the last one (RFC 9112, section 6.3).
 */
function getTransferCoding(value: string | undefined): TransferCoding {
  if (value === undefined || value === "") {
    return "none";
  }
  const codings = value.toLowerCase().split(",").map((each) => each.trim());
  if (codings.every((each) => each === "identity")) {
    return "none";
  }
  return codings.at(-1) === "chunked" &&
      codings.every((each) => each === "chunked" || each === "identity")
    ? "chunked"
    : "unknown";
}

const hopByHopHeaders = new Set([
  "te",
  "expect",
  "trailer",
  "upgrade",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
]);

function isHopByHop(name: string): boolean {
  return hopByHopHeaders.has(name.toLowerCase());
}

function isStandardConnectionValue(value: string): boolean {
  const lowered = value.toLowerCase();
  return lowered === "keep-alive" || lowered === "close";
}

function isReservedHeader(name: string): boolean {
  // 0x20 is the bit that makes an ASCII letter lower case; 0x64 is "d".
  return (name.charCodeAt(0) | 0x20) === 0x64 &&
    name.length > reservedPrefix.length &&
    name.slice(0, reservedPrefix.length).toLowerCase() === reservedPrefix;
}

function parseKeepAliveSeconds(value: string): number {
  const match = /timeout=(\d{1,6})/.exec(value);
  return match === null ? -1 : Number(match[1]);
}

/**
 * Removes the headers that Connection lists, except Content-Length and Host.
 */
function removeConnectionHeaders(
  headers: string[],
  connectionHeaders: string,
): void {
  const names = new Set(
    connectionHeaders.toLowerCase().split(",").map((each) => each.trim()),
  );
  names.delete("content-length");
  names.delete("host");
  let kept = 0;
  for (let index = 0; index < headers.length; index += 2) {
    if (!names.has((headers[index] as string).toLowerCase())) {
      headers[kept++] = headers[index] as string;
      headers[kept++] = headers[index + 1] as string;
    }
  }
  headers.length = kept;
}
