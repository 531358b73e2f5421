import type { EnvironmentDocument, Quota } from "./environment_document.ts";

/**
 * Gets the quotas of the tenants that have one.
 * @param document The document.
 * @returns The quotas by the names of the tenants.
 */
export function getTenantQuotas(
  document: EnvironmentDocument,
): Map<string, Quota> {
  const quotas = new Map<string, Quota>();
  for (const { name, quota } of document.tenants ?? []) {
    if (quota !== undefined) {
      quotas.set(name, quota);
    }
  }
  return quotas;
}
