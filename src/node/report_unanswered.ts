import type { LogFields, Metrics } from "../common/mod.ts";
import { shortenText } from "./decision_log.ts";
import type { ListenerResponse } from "./listener_response.ts";
import type { UnansweredConnection } from "./open_connection.ts";

/** Maximum number of requests that one line names. */
const maximumNamedRequests = 8;

/** Event of the line about a connection with unanswered requests. */
export const unansweredEvent = "connection ended without a response";

/**
 * Describes a connection that ended while requests on it had no complete
 * response.
 * @param listener Name of the listener.
 * @param unanswered The connection.
 * @returns The fields of a log line.
 */
export function describeUnanswered(
  listener: string,
  { end, responses, unread }: UnansweredConnection,
): LogFields {
  return {
    listener,
    closedBy: end.closedBy,
    reason: end.reason,
    open: responses.length,
    passedOn: responses.filter((each) => each.call?.isPassedOn).length,
    unread: unread === 0 ? undefined : unread,
    requests: responses.length === 0
      ? undefined
      : responses.slice(0, maximumNamedRequests).map(describeResponse)
        .join(","),
  };
}

/**
 * Counts a connection that ended while requests on it had no complete response,
 * these requests, and those that were not read.
 * @param metrics Metrics to add to.
 * @param listener Name of the listener.
 * @param unanswered The connection.
 */
export function countUnanswered(
  metrics: Metrics,
  listener: string,
  { end, responses, unread }: UnansweredConnection,
): void {
  const tags = { listener, closedBy: end.closedBy, reason: end.reason };
  if (responses.length > 0) {
    metrics.increment("connections.unanswered", tags);
    metrics.increment("requests.unanswered", tags, responses.length);
  }
  if (unread > 0) {
    metrics.increment("requests.unread", tags, unread);
  }
}

/** Formats a request as `id:phase`; only its phase if it is not a call. */
function describeResponse({ call, phase }: ListenerResponse): string {
  return call === undefined ? phase : `${shortenText(call.requestId)}:${phase}`;
}
