import { createHash } from "node:crypto";

/** Header with the tenant of a call, between nodes and to targets. */
export const tenantHeader = "dogwoodwalk-tenant";

/**
 * Gets the key by which the ledger and the calls in flight know a request. Each
 * tenant has idempotency keys of its own, so that none gets the stored response
 * of another one.
 * @param key Value of Idempotency-Key; `undefined` when absent.
 * @param tenant Name of the tenant; `undefined` for a call of none.
 * @returns The key itself without a tenant; otherwise a digest of both.
 */
export function getScopedKey<Key extends string | undefined>(
  key: Key,
  tenant: string | undefined,
): Key | string {
  return key === undefined || tenant === undefined
    ? key
    : createHash("sha256").update(`${tenant} ${key}`).digest("base64url");
}
