import { createHash } from "node:crypto";

/**
 * Gets the digest by which a document names the key of a tenant. Nodes compare
 * digests, so the time of a look-up says nothing about a key.
 * @param key The key that a caller presents.
 * @returns SHA-256 in base64url.
 */
export function getKeyDigest(key: string): string {
  return createHash("sha256").update(key).digest("base64url");
}
