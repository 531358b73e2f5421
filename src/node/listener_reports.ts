import type { IncomingMessage } from "node:http";
import {
  type Log,
  type LogFields,
  type Metrics,
  systemClock,
} from "../common/mod.ts";
import { DecisionLog } from "./decision_log.ts";
import {
  countListenerRefusal,
  describeListenerRefusal,
  type ListenerRefusal,
  listenerRefusalEvent,
} from "./listener_refusal.ts";
import type { UnansweredConnection } from "./open_connection.ts";
import {
  countUnanswered,
  describeUnanswered,
  unansweredEvent,
} from "./report_unanswered.ts";

/** Receives the requests that a listener refused or that got no response. */
export interface ListenerReports {
  onUnanswered(unanswered: UnansweredConnection): void;
  onRefused(refusal: ListenerRefusal): void;
}

/** A line about requests of a listener. */
interface ListenerLine {
  /** ID of the first of these requests; empty when it is not known. */
  readonly requestId: string;
  /** Whether a request was received that the line is about. */
  readonly hasRequest: boolean;
  readonly event: string;
  readonly fields: LogFields;
}

/** Settings of {@link createCallListenerReports}. */
export interface CallListenerReportsOptions {
  readonly decisions: DecisionLog;
  readonly metrics: Metrics;
  /** Gets the ID of a request that was refused; empty when it has none. */
  getRequestId(request: IncomingMessage): string;
}

/**
 * Creates the reports of a listener for calls, whose lines are limited in rate.
 * @param listener Name of the listener.
 * @param options Log of decisions, and metrics.
 * @returns The reports.
 */
export function createCallListenerReports(
  listener: string,
  { decisions, metrics, getRequestId }: CallListenerReportsOptions,
): ListenerReports {
  return createReports(listener, {
    metrics,
    getRequestId,
    write: ({ hasRequest, ...line }) =>
      decisions.record({
        ...line,
        hash: 0,
        priority: hasRequest ? "failure" : "routine",
      }),
  });
}

/**
 * Creates the reports of a listener whose requests are few, so that each line is
 * written within the limit of the rate.
 * @param listener Name of the listener.
 * @param destination Log and metrics.
 * @returns The reports.
 */
export function createListenerReports(
  listener: string,
  { log, metrics }: { log: Log; metrics: Metrics },
): ListenerReports {
  const lines = new DecisionLog(log, systemClock);
  return createReports(listener, {
    metrics,
    getRequestId: () => "",
    write: ({ event, fields, requestId }) =>
      lines.record({ requestId, hash: 0, priority: "failure", event, fields }),
  });
}

function createReports(
  listener: string,
  options: {
    metrics: Metrics;
    getRequestId(request: IncomingMessage): string;
    write(line: ListenerLine): void;
  },
): ListenerReports {
  const { metrics, getRequestId, write } = options;
  return {
    onUnanswered: (unanswered) => {
      countUnanswered(metrics, listener, unanswered);
      write({
        requestId: unanswered.responses[0]?.call?.requestId ?? "",
        hasRequest: unanswered.responses.length > 0,
        event: unansweredEvent,
        fields: describeUnanswered(listener, unanswered),
      });
    },
    onRefused: (refusal) => {
      const { request, receivedBytes } = refusal;
      countListenerRefusal(metrics, listener, refusal);
      write({
        requestId: request === undefined ? "" : getRequestId(request),
        hasRequest: receivedBytes > 0,
        event: listenerRefusalEvent,
        fields: describeListenerRefusal(listener, refusal),
      });
    },
  };
}
