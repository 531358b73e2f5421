import type { Tenant } from "../document/mod.ts";
import type { ReceivedRequest, RefusedCall } from "./call_protocol.ts";

/** A request whose key is known, or that needs none. */
export interface KeyHolder {
  readonly kind: "identified";
  /** The tenant that holds the key; `undefined` for none on a public route. */
  readonly tenant: Tenant | undefined;
}

/**
 * Identifies the tenant that holds the bearer key of a request.
 * @param received The request; its document has tenants.
 * @param isPublic Whether the route needs no key.
 * @returns The tenant, or why the request is refused.
 */
export function identifyKeyHolder(
  { request, view }: Pick<ReceivedRequest, "request" | "view">,
  isPublic: boolean,
): KeyHolder | RefusedCall {
  const { authorization = "" } = request.headers;
  const key = /^Bearer +(\S+) *$/i.exec(authorization)?.[1];
  const tenant = key === undefined ? undefined : view.tenants?.getTenant(key);
  return tenant === undefined && !isPublic
    ? { kind: "refused", reason: "unknown-key" }
    : { kind: "identified", tenant };
}
