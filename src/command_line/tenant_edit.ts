import { isDeepStrictEqual } from "node:util";
import { failed, formatFinding, ok, type Result } from "../common/mod.ts";
import { parseDocument, type Quota, type Tenant } from "../document/mod.ts";
import {
  appendTomlElement,
  hasTomlKey,
  removeTomlElement,
  setTomlValue,
} from "../toml/mod.ts";

/** A change of one tenant. */
export interface TenantEdit {
  /** Changes the text; `undefined` when it has no place for the change. */
  edit(text: string, tenant: Tenant): string | undefined;
  /** Gets the tenant that the changed text must have. */
  getResult(tenant: Tenant): Tenant;
}

/** Creates the change of a quota; a rate of 0 means no limit. */
export function createQuotaEdit(quota: Quota): TenantEdit {
  const { requestsPerSecond, burst } = quota;
  return {
    edit: (text, { name }) => {
      const path = ["tenants", name, "quota"];
      if (!hasTomlKey(text, path)) {
        const value =
          `{ requests_per_second = ${requestsPerSecond}, burst = ${burst} }`;
        return setTomlValue(text, path, value);
      }
      const rated = setTomlValue(
        text,
        [...path, "requests_per_second"],
        String(requestsPerSecond),
      );
      return rated && setTomlValue(rated, [...path, "burst"], String(burst));
    },
    getResult: (tenant) => ({
      ...tenant,
      quota: requestsPerSecond > 0 ? quota : undefined,
    }),
  };
}

/** Creates the change that adds a key by its digest. */
export function createKeyAddition(digest: string): TenantEdit {
  return {
    edit: (text, { name }) =>
      appendTomlElement(text, getDigestsPath(name), `"${digest}"`),
    getResult: (tenant) => ({
      ...tenant,
      keyDigests: [...tenant.keyDigests, digest],
    }),
  };
}

/** Creates the change that withdraws a key by its digest. */
export function createKeyWithdrawal(digest: string): TenantEdit {
  return {
    edit: (text, { name, keyDigests }) =>
      removeTomlElement(
        text,
        getDigestsPath(name),
        keyDigests.indexOf(digest),
      ),
    getResult: (tenant) => ({
      ...tenant,
      keyDigests: tenant.keyDigests.filter((each) => each !== digest),
    }),
  };
}

/**
 * Changes a tenant in the text of a document, whose comments and order stay, and
 * checks that nothing else changed.
 * @param text The document, which is valid.
 * @param name Name of the tenant.
 * @param edit The change.
 * @returns The new text, or why it cannot be made.
 */
export function editTenant(
  text: string,
  name: string,
  edit: TenantEdit,
): Result<string, string> {
  const before = parseDocument(text, "document");
  if (before.kind === "error") {
    return failed(before.error.map(formatFinding).join("\n"));
  }
  const { tenants = [] } = before.value;
  const tenant = tenants.find((each) => each.name === name);
  const edited = tenant && edit.edit(text, tenant);
  if (tenant === undefined || edited === undefined) {
    return failed("The text has no table of the tenant; use apply");
  }
  const after = parseDocument(edited, "document");
  if (after.kind === "error") {
    return failed(after.error.map(formatFinding).join("\n"));
  }
  const expected = {
    ...before.value,
    tenants: tenants.map((each) =>
      each === tenant ? edit.getResult(tenant) : each
    ),
  };
  return isDeepStrictEqual(after.value, expected)
    ? ok(edited)
    : failed("The form of the text is too unusual to edit; use apply");
}

function getDigestsPath(name: string): string[] {
  return ["tenants", name, "key_digests"];
}
