import type { DocumentsInForce } from "./documents_in_force.ts";
import type { Exchange } from "./exchange.ts";
import type { RefusedCall } from "./soak_observation.ts";
import { createViolation, type Violation } from "./violation.ts";

/** Statuses that say nothing about whether the request is valid. */
const otherStatuses: ReadonlySet<number> = new Set([408, 421, 429]);
/** Reasons that concern an earlier request with the same key. */
const keyReasons: ReadonlySet<string> = new Set([
  "claim-in-progress",
  "claim-ran",
  "claim-unknown",
  "claim-superseded",
]);
/** Reasons of a node that cannot know whether a document has a route. */
const documentReasons: ReadonlySet<string> = new Set([
  "no-target",
  "document-unconfirmed",
]);
/** Resolution of the times of callers and nodes. */
const clockMarginMilliseconds = 10;
const malformedStatus = 400;
const unknownRouteStatus = 404;
const noDocumentStatus = 503;

/** What callers and targets were told about their requests. */
export interface DeniedCheckInput {
  readonly exchanges: readonly Exchange[];
  readonly refusedCalls: readonly RefusedCall[];
  /** Documents by the name of the node. */
  readonly documents: ReadonlyMap<string, DocumentsInForce>;
}

/**
 * Checks that no node tells a caller that a proper request is wrong. A request is
 * proper if it is valid and its route is in each document that the node which
 * received it had in force meanwhile. Others must be refused.
 * @param input What callers and targets were told.
 * @returns The violations.
 */
export function checkDenied(input: DeniedCheckInput): Violation[] {
  return [
    ...input.exchanges.flatMap((each) => checkExchange(input, each)),
    ...input.refusedCalls.flatMap((each) => checkRefusedCall(input, each)),
  ];
}

function checkExchange(
  { documents }: DeniedCheckInput,
  exchange: Exchange,
): Violation[] {
  const { request, node, end, sentMilliseconds, endMilliseconds } = exchange;
  if (end?.kind !== "answered") {
    return [];
  }
  const { status, reason } = end;
  const fields = {
    request: request.id,
    client: exchange.client,
    node,
    host: request.host,
    method: request.method,
    path: request.path,
    status,
    reason,
    sent: new Date(sentMilliseconds).toISOString(),
    end: new Date(endMilliseconds).toISOString(),
  };
  if (request.isMalformed === true) {
    return status === malformedStatus
      ? []
      : [createViolation("accepted-invalid", fields)];
  }
  if (request.isUnknownRoute === true) {
    const hasNoDocument = status === noDocumentStatus &&
      reason !== undefined && documentReasons.has(reason);
    return status === unknownRouteStatus || hasNoDocument
      ? []
      : [createViolation("accepted-invalid", fields)];
  }
  return blamesCaller(status, reason) &&
      documents.get(node)?.allowThroughout(
          { ...request, isOutside: true },
          sentMilliseconds - clockMarginMilliseconds,
          endMilliseconds + clockMarginMilliseconds,
        ) !== false
    ? [createViolation("denied", fields)]
    : [];
}

function checkRefusedCall(
  { documents }: DeniedCheckInput,
  { run, refusal }: RefusedCall,
): Violation[] {
  const { status, reason } = refusal;
  // The call ended because the request that made it ended.
  const isCancelled = reason === "cancelled";
  return !isCancelled && blamesCaller(status, reason) &&
      documents.get(run.node)?.allowThroughout(
          { ...refusal, host: refusal.service, isOutside: false },
          run.startMilliseconds - clockMarginMilliseconds,
          refusal.milliseconds + clockMarginMilliseconds,
        ) !== false
    ? [createViolation("denied", {
      request: run.call,
      caller: `${run.node}-target`,
      node: run.node,
      host: refusal.service,
      method: refusal.method,
      path: refusal.path,
      status,
      reason,
      sent: new Date(run.startMilliseconds).toISOString(),
      end: new Date(refusal.milliseconds).toISOString(),
    })]
    : [];
}

function blamesCaller(status: number, reason: string | undefined): boolean {
  return reason !== undefined && status >= 300 && status < 500 &&
    !otherStatuses.has(status) && !keyReasons.has(reason);
}
