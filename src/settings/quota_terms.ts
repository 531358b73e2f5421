import { defaultQuotaTerms, type QuotaTerms } from "../quotas/mod.ts";
import type { TomlTableReader } from "../toml/mod.ts";

/**
 * Reads how far the requests of a tenant may exceed its quota. Nodes and control
 * instances must have the same values.
 * @param reader The settings.
 * @returns The terms.
 */
export function readQuotaTerms(reader: TomlTableReader): QuotaTerms {
  return {
    windowMilliseconds: reader.readNumber("quota_window_ms", {
      minimum: 1000,
      maximum: 600_000,
      isInteger: true,
      fallback: defaultQuotaTerms.windowMilliseconds,
    }),
    overrun: reader.readNumber("quota_overrun", {
      minimum: 0,
      maximum: 10,
      isInteger: false,
      fallback: defaultQuotaTerms.overrun,
    }),
    slack: reader.readNumber("quota_slack", {
      minimum: 0,
      maximum: 1_000_000,
      isInteger: false,
      fallback: defaultQuotaTerms.slack,
    }),
  };
}
