import { fieldLimits } from "../request/mod.ts";
import type { TomlTableReader } from "../toml/mod.ts";
import type { Quota, Tenant } from "./environment_document.ts";

/** Maximum number of tenants in a document. */
const maximumTenants = 10_000;
/** Maximum number of keys of all tenants in a document. */
const maximumKeys = 100_000;
/** Maximum of a rate and of a burst. */
const maximumRequests = 1_000_000;

/** Names that need no quotes in TOML and are valid in a header. */
const namePattern = /^[\w-]+$/;
/** 32 bytes in base64url; the last character holds only four bits. */
const digestPattern = /^[\w-]{42}[AEIMQUYcgkosw048]$/;

/**
 * Reads the tenants of a document, whose keys it names by their digests.
 * Findings quote no value, because it could be a key instead of a digest.
 * @param reader Reads the document.
 * @param classes The classes of the document.
 * @returns The tenants; `undefined` when the document has no table of them.
 */
export function readTenants(
  reader: TomlTableReader,
  classes: readonly string[],
): Tenant[] | undefined {
  if (!reader.hasKey("tenants")) {
    return undefined;
  }
  const readers = reader.readNamedTables("tenants");
  const tenants = [...readers].map(([name, each]) =>
    readTenant(name, each, classes)
  );
  if (tenants.length > maximumTenants) {
    const message = `Expected at most ${maximumTenants} tenants`;
    reader.addFinding("tenants", message);
  }
  checkDigests(reader, readers, tenants);
  return tenants;
}

function readTenant(
  name: string,
  reader: TomlTableReader,
  classes: readonly string[],
): Tenant {
  if (!namePattern.test(name) || name.length > fieldLimits.callerLength) {
    const message =
      `Expected a name of at most ${fieldLimits.callerLength} letters, digits, hyphens and underscores`;
    reader.addFinding("", message);
  }
  const className = reader.readString("class", { optional: true });
  const classIndex = className === undefined ? -1 : classes.indexOf(className);
  if (className !== undefined && classIndex < 0) {
    reader.addFinding("class", "Expected one of classes");
  }
  const tenant: Tenant = {
    name,
    keyDigests: reader.readStrings("key_digests", {
      optional: true,
      allowsEmpty: true,
    }),
    classIndex: classIndex < 0 ? undefined : classIndex,
    quota: readQuota(reader.readTable("quota")),
  };
  reader.reportUnknownKeys();
  return tenant;
}

function readQuota(reader: TomlTableReader | undefined): Quota | undefined {
  if (reader === undefined) {
    return undefined;
  }
  const range = { minimum: 0, maximum: maximumRequests };
  const quota: Quota = {
    requestsPerSecond: reader.readNumber("requests_per_second", {
      ...range,
      isInteger: false,
    }),
    burst: reader.readNumber("burst", {
      ...range,
      isInteger: true,
      fallback: 0,
    }),
  };
  reader.reportUnknownKeys();
  return quota.requestsPerSecond > 0 ? quota : undefined;
}

function checkDigests(
  documentReader: TomlTableReader,
  readers: ReadonlyMap<string, TomlTableReader>,
  tenants: readonly Tenant[],
): void {
  const holders = new Map<string, string>();
  let keyCount = 0;
  for (const { name, keyDigests } of tenants) {
    keyCount += keyDigests.length;
    keyDigests.forEach((digest, index) => {
      const holder = holders.get(digest);
      if (!digestPattern.test(digest)) {
        readers.get(name)?.addFinding(
          `key_digests.${index}`,
          "Expected a SHA-256 digest in base64url: 43 characters without padding",
        );
      } else if (holder !== undefined) {
        readers.get(name)?.addFinding(
          `key_digests.${index}`,
          holder === name
            ? "The digest is given twice"
            : `Tenant ${holder} has this digest, too`,
        );
      }
      holders.set(digest, name);
    });
  }
  if (keyCount > maximumKeys) {
    const message = `Expected at most ${maximumKeys} keys of all tenants`;
    documentReader.addFinding("tenants", message);
  }
}
