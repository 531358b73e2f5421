import { createHash } from "node:crypto";
import { getBytesHash } from "../common/mod.ts";

/** Bytes of the body that a fingerprint covers. */
const prefixBytes = 4096;

/** Parts of a request that its fingerprint covers. */
export interface FingerprintSource {
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** The body; `undefined` when it is streamed. */
  readonly body: Buffer | undefined;
  /** Length of a streamed body; -1 when unknown. */
  readonly streamedLength?: number;
}

/**
 * Gets the fingerprint by which requests that crash targets are recognized. It
 * covers the method, the URL, the first 4 KiB of the body and its length. Of a
 * streamed body, only the length is covered, because it is not read in advance.
 * @param source The request.
 * @returns 16 hexadecimal digits.
 */
export function getRequestFingerprint(source: FingerprintSource): string {
  const { body } = source;
  const length = body?.length ?? source.streamedLength ?? -1;
  const start = Buffer.from(`${source.method} ${source.path} ${length}\n`);
  return getBytesHash(
    body === undefined
      ? start
      : Buffer.concat([start, body.subarray(0, prefixBytes)]),
  );
}

/**
 * Gets the fingerprint that tells whether two requests with the same
 * idempotency key are the same.
 * @param source The request, with its whole body.
 * @returns SHA-256 in hexadecimal digits.
 */
export function getClaimFingerprint(source: FingerprintSource): string {
  return createHash("sha256").update(`${source.method} ${source.path}\n`)
    .update(source.body ?? "").digest("hex");
}
