import { createHash } from "node:crypto";
import { getBytesHash } from "../common/mod.ts";
import type { BodyHashes } from "./body_hashes.ts";

/** Parts of a request that distinguish it from others. */
export interface FingerprintSource {
  /** Service that runs the request; absent when its headers identify it. */
  readonly service?: string | undefined;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** Alternating names and values; hop-by-hop headers do not count. */
  readonly headers: readonly string[];
  /** Tenant of the caller; `undefined` for none. */
  readonly tenant?: string | undefined;
  readonly body: BodyHashes;
}

/** Meaning of the headers of a protocol, by their names in lower case. */
export interface FingerprintHeaders {
  /** Names of the headers that are part of what is requested. */
  readonly request: ReadonlySet<string>;
  /** Names of the headers that identify a caller. */
  readonly caller: ReadonlySet<string>;
  /** Names of the headers that may differ between two attempts. */
  readonly attempt: ReadonlySet<string>;
}

/** Headers that identify a caller in HTTP. */
const callerHeaders: ReadonlySet<string> = new Set([
  "authorization",
  "cookie",
  "from",
  "x-api-key",
]);

/**
 * Headers that may differ when a caller sends a request again: framing, route,
 * time and trace of one attempt, and what a client library adds.
 */
const attemptHeaders: ReadonlySet<string> = new Set([
  "accept",
  "accept-encoding",
  "accept-language",
  "b3",
  "baggage",
  "cache-control",
  "content-length",
  "date",
  "expect",
  "forwarded",
  "host",
  "pragma",
  "priority",
  "traceparent",
  "tracestate",
  "user-agent",
  "via",
  "x-correlation-id",
  "x-forwarded-for",
  "x-forwarded-host",
  "x-forwarded-proto",
  "x-real-ip",
  "x-request-id",
]);

/**
 * Gets the fingerprints by which requests that crash targets are recognized,
 * from the widest to the narrowest, each once:
 *
 * 1. the start of a long body, with all that the last one has;
 * 2. what is requested: service, method, path and body;
 * 3. that, and the credentials of the caller;
 * 4. that, and all headers that do not differ between attempts.
 *
 * The narrowest one distinguishes the callers of a path even if a header that is
 * not known as a credential identifies them. The wider ones recognize a request
 * whose other headers change each time that it is sent, and a long body that did
 * not reach the target as a whole.
 * @param source The request.
 * @param headers Further headers of the protocol in which it was received.
 * @returns Fingerprints of 16 hexadecimal digits; at least one.
 */
export function getRequestFingerprints(
  source: FingerprintSource,
  headers?: FingerprintHeaders,
): readonly string[] {
  const { service, method, path, tenant = "", body } = source;
  const requested = [`${method} ${path}`];
  if (service !== undefined) {
    requested.push(`service ${service}`);
  }
  const credentials: string[] = [];
  const others: string[] = [];
  for (let index = 0; index + 1 < source.headers.length; index += 2) {
    const name = (source.headers[index] as string).toLowerCase();
    const line = `${name}: ${source.headers[index + 1]}`;
    if (headers?.request.has(name)) {
      requested.push(line.toLowerCase());
    } else if (callerHeaders.has(name) || headers?.caller.has(name)) {
      credentials.push(line);
    } else if (!attemptHeaders.has(name) && !headers?.attempt.has(name)) {
      others.push(line);
    }
  }
  const request = requested.join("\n");
  const caller = [tenant, ...credentials.toSorted()].join("\n");
  const other = others.toSorted().join("\n");
  const scopes: string[][] = [];
  if (body.start !== undefined) {
    scopes.push([request, caller, other, `start ${body.start}`]);
  }
  if (body.whole !== undefined) {
    scopes.push(
      [request, "", "", body.whole],
      [request, caller, "", body.whole],
      [request, caller, other, body.whole],
    );
  }
  return [
    ...new Set(
      scopes.map((parts) => getBytesHash(Buffer.from(parts.join("\n\n")))),
    ),
  ];
}

/**
 * Gets the fingerprint that tells whether two requests with the same
 * idempotency key are the same.
 * @param source The request, with its whole body.
 * @returns SHA-256 in hexadecimal digits.
 */
export function getClaimFingerprint(
  source: Pick<FingerprintSource, "method" | "path"> & {
    readonly body: Buffer | undefined;
  },
): string {
  return createHash("sha256").update(`${source.method} ${source.path}\n`)
    .update(source.body ?? "").digest("hex");
}
