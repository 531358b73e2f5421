import type { IncomingMessage, ServerResponse } from "node:http";
import { parseEndpoint } from "../settings/mod.ts";
import type {
  AnnouncedTarget,
  TargetAnnouncement,
} from "./announced_target.ts";
import { BodyCollector } from "./body_collector.ts";
import { BodyMemoryBudget } from "./body_memory_budget.ts";
import { writeFailure, writeJson } from "./caller_response.ts";

/** Settings of {@link handleAnnouncement}. */
export interface AnnouncementOptions {
  readonly target: AnnouncedTarget;
  readonly leaseMilliseconds: number;
}

/**
 * Handles `POST /dogwoodwalk/announce|renew|drain|leave` of the local target.
 * `announce` has the JSON body `{"address": "host:port", "incarnation": n}`,
 * where the incarnation defaults to the current time. The others need no body.
 * @param request The request.
 * @param response Its response.
 * @param options The target and its lease.
 * @returns Whether the request was one of these.
 */
export function handleAnnouncement(
  request: IncomingMessage,
  response: ServerResponse,
  options: AnnouncementOptions,
): boolean {
  const { target } = options;
  const action = request.url?.slice("/dogwoodwalk/".length) ?? "";
  if (
    request.method !== "POST" ||
    !["announce", "renew", "drain", "leave"].includes(action)
  ) {
    return false;
  }
  // Separate from the bodies of calls: under load, the target keeps its lease.
  const memory = new BodyMemoryBudget();
  new BodyCollector(request, memory, {
    onBody: (body) => {
      if (action === "announce") {
        announce(body, response, options);
        return;
      }
      const isAccepted = action === "renew"
        ? target.renew()
        : action === "drain"
        ? target.drain()
        : target.leave();
      respond(response, options, isAccepted);
    },
    onOverflow: () => refuse(response, "The body is too large"),
    onAborted: (message) => refuse(response, message),
  });
  return true;
}

function announce(
  body: Buffer,
  response: ServerResponse,
  options: AnnouncementOptions,
): void {
  const announcement = parseAnnouncement(body.toString());
  if (typeof announcement === "string") {
    refuse(response, announcement);
    return;
  }
  const isAccepted = options.target.announce(announcement, { hasLease: true });
  respond(response, options, isAccepted);
}

/** Responds with the state of the target; with 409 if the action was rejected. */
function respond(
  response: ServerResponse,
  options: AnnouncementOptions,
  isAccepted: boolean,
): void {
  writeJson(response, isAccepted ? 200 : 409, {
    state: options.target.state,
    leaseMilliseconds: options.leaseMilliseconds,
  });
}

function refuse(response: ServerResponse, message: string): void {
  writeFailure(response, {
    disposition: "not-run",
    reason: "malformed-request",
    message,
  }, { requestId: "" });
}

function parseAnnouncement(text: string): TargetAnnouncement | string {
  let fields: { address?: unknown; incarnation?: unknown } | null;
  try {
    fields = JSON.parse(text);
  } catch {
    return "The body is not valid JSON";
  }
  const address = fields?.address;
  const endpoint = typeof address === "string"
    ? parseEndpoint(address)
    : undefined;
  if (endpoint === undefined || endpoint.port === 0) {
    return 'Expected "address" as host:port';
  }
  const incarnation = fields?.incarnation ?? Date.now();
  if (!Number.isSafeInteger(incarnation) || (incarnation as number) < 0) {
    return 'Expected "incarnation" as a whole number';
  }
  return { endpoint, incarnation: incarnation as number };
}
