import type { Tenant } from "./environment_document.ts";
import { getKeyDigest } from "./key_digest.ts";

/** Tenants of a document, found by their keys in constant time. */
export class TenantTable {
  readonly #tenantsByDigest = new Map<string, Tenant>();

  /** @param tenants The tenants; no two of them share a key. */
  constructor(tenants: readonly Tenant[]) {
    for (const tenant of tenants) {
      for (const digest of tenant.keyDigests) {
        this.#tenantsByDigest.set(digest, tenant);
      }
    }
  }

  /**
   * Gets the tenant that holds a key.
   * @param key The key that a caller presents.
   * @returns The tenant; `undefined` when no tenant holds the key.
   */
  getTenant(key: string): Tenant | undefined {
    return this.#tenantsByDigest.get(getKeyDigest(key));
  }
}
