import { createHash } from "node:crypto";

/**
 * Gets the digest that identifies the exact bytes of a document.
 * @param bytes The bytes of the document.
 * @returns SHA-256 in hexadecimal digits.
 */
export function getDocumentDigest(bytes: Uint8Array): string {
  return createHash("sha256").update(bytes).digest("hex");
}
