import { getKeyDigest } from "../src/document/mod.ts";

/** A tenant of the soak. */
export interface SoakTenant {
  readonly name: string;
  /** A key that every document has. */
  readonly steadyKey: string;
  /** A key that plans withdraw and add again. */
  readonly changingKey: string;
}

/** The tenants, to which the clients belong in turn. */
export const soakTenants: readonly SoakTenant[] = [1, 2, 3].map((number) => ({
  name: `soak-tenant-${number}`,
  steadyKey: `steady-key-of-tenant-${number}`,
  changingKey: `changing-key-of-tenant-${number}`,
}));

/** A rate that no tenant reaches. */
const requestsPerSecond = 100_000;

/**
 * Adds the tenants to a document.
 * @param text The document, as TOML.
 * @param withdrawn Tenants without their changing key, by index.
 * @returns The document with the digests of their keys.
 */
export function addTenants(
  text: string,
  withdrawn: readonly number[] = [],
): string {
  const tables = soakTenants.map((tenant, index) => {
    const keys = withdrawn.includes(index)
      ? [tenant.steadyKey]
      : [tenant.steadyKey, tenant.changingKey];
    return `[tenants.${tenant.name}]
key_digests = ${JSON.stringify(keys.map(getKeyDigest))}
quota = { requests_per_second = ${requestsPerSecond}, burst = ${requestsPerSecond} }
`;
  });
  return [text, ...tables].join("\n");
}

/** Gets the tenant that a key belongs to, whether or not a document has it. */
export function getTenantOfKey(key: string): SoakTenant | undefined {
  return soakTenants.find(({ steadyKey, changingKey }) =>
    key === steadyKey || key === changingKey
  );
}
