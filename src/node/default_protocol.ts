import type { IncomingMessage } from "node:http";
import { fieldLimits } from "../request/mod.ts";
import type {
  AcceptedCall,
  CallProtocol,
  DispatchedCall,
  ReceivedRequest,
  RefusedCall,
  UnacceptedRequest,
} from "./call_protocol.ts";
import { writeFailure } from "./caller_response.ts";
import type { RoutePlan } from "./document_view.ts";
import { defaultHeaderBytes } from "./http_listener.ts";
import { identifyKeyHolder } from "./identify_key_holder.ts";
import { removeHeaders } from "./remove_headers.ts";
import { isShedSignal } from "./shed_signal.ts";
import type { TargetCall } from "./target_call.ts";
import { getScopedKey, tenantHeader } from "./tenant_header.ts";

/** Header with the token of a call, which a target copies to its own calls. */
const tokenHeader = "dogwoodwalk-request";

/** Headers with the key of a caller, which no target gets. */
const keyHeaders: ReadonlySet<string> = new Set(["authorization"]);

/** The protocol of dogwoodwalk itself. */
export const defaultProtocol: CallProtocol = {
  buffersResponses: false,
  headerBytes: defaultHeaderBytes,
  allowsDotSegments: false,
  getKey,
  getRequestClassIndex: (classIndex) => classIndex,
  getRequestId: (received) => getParent(received)?.details.requestId ?? "",
  parseRequest,
  addTargetHeaders,
  classifyResponse: (head, { plan }) =>
    isShedSignal(plan.service.shedSignal, head) ? "not-run" : "own",
  writeFailure: (response, failure, requestId) => {
    if (failure.reason === "unknown-key" && !response.headersSent) {
      response.setHeader("WWW-Authenticate", "Bearer");
    }
    writeFailure(response, failure, { requestId });
  },
};

function parseRequest(received: ReceivedRequest): AcceptedCall | RefusedCall {
  const { request, headers, view, isOutside } = received;
  const plan = findPlan(received);
  if (plan === undefined) {
    return { kind: "refused", reason: "unknown-route" };
  }
  const key = getKey(request);
  if (key !== undefined && key.length > fieldLimits.keyLength) {
    const message =
      `The key is longer than ${fieldLimits.keyLength} characters`;
    return { kind: "refused", reason: "malformed-request", message };
  }
  const parent = getParent(received);
  const hasToken = !isOutside && request.headers[tokenHeader] !== undefined;
  if (hasToken && parent === undefined) {
    const message = "The request that made this call ended";
    return { kind: "refused", reason: "cancelled", message };
  }
  if (view.tenants === undefined || !isOutside) {
    // A call that the target makes belongs to the tenant of its parent.
    const tenant = parent?.details.tenant;
    return { kind: "accepted", plan, parent, key: getScopedKey(key, tenant) };
  }
  const holder = identifyKeyHolder(received, plan.route.isPublic === true);
  if (holder.kind === "refused") {
    return holder;
  }
  removeHeaders(headers, keyHeaders);
  const { tenant } = holder;
  return {
    kind: "accepted",
    plan,
    parent,
    key: getScopedKey(key, tenant?.name),
    caller: tenant?.name,
    tenant: tenant?.name,
    quotaTenant: tenant?.quota === undefined ? undefined : tenant.name,
    classIndex: tenant?.classIndex,
  };
}

function addTargetHeaders(
  headers: string[],
  { token, details }: DispatchedCall,
): void {
  headers.push(tokenHeader, token);
  if (details.tenant !== undefined) {
    headers.push(tenantHeader, details.tenant);
  }
}

/** Gets the call during which the local target made a request. */
function getParent(received: UnacceptedRequest): TargetCall | undefined {
  const { request, isOutside, getCall } = received;
  const token = isOutside ? undefined : request.headers[tokenHeader];
  return token === undefined ? undefined : getCall(String(token));
}

function getKey({ headers }: IncomingMessage): string | undefined {
  return headers["idempotency-key"] as string | undefined;
}

/**
 * Finds the plan of a call. Its host is the name of the service; for callers
 * outside, any other host means the service of this node.
 */
function findPlan(received: ReceivedRequest): RoutePlan | undefined {
  const { state, view, target, request, isOutside } = received;
  const method = request.method ?? "";
  const { host, routePath: path } = target;
  if (view.hasHostRoutes) {
    const plan = view.selectHostPlan({ host, method, path });
    if (plan !== undefined) {
      return plan;
    }
  }
  if (!view.hasService(host) && !isOutside) {
    return undefined;
  }
  const service = view.hasService(host) ? host : state.settings.service;
  return view.getPlan({ service, method, path });
}
