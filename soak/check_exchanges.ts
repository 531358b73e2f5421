import type { Exchange } from "./exchange.ts";
import { groupBy } from "./group_by.ts";
import {
  getProcesses,
  type SoakObservation,
  type TargetRun,
} from "./soak_observation.ts";
import { createViolation, type Violation } from "./violation.ts";

/**
 * Time before the end of a connection at which a request was certainly received.
 * A peer that closes a connection with unread bytes resets it.
 */
const receivedMilliseconds = 1000;

/**
 * Checks each exchange: its request is answered if a process read it, with its
 * own complete response, and did not run if it is answered with `not-run`.
 * @param observation What callers and targets saw.
 * @returns The violations.
 */
export function checkExchanges(observation: SoakObservation): Violation[] {
  const runsById = groupBy(observation.runs, (run) => run.call);
  const exchangesByKey = groupBy(
    observation.exchanges.filter(({ request }) => request.key !== undefined),
    ({ request }) => request.key,
  );
  return observation.exchanges.flatMap((exchange) => {
    const runs = runsById.get(exchange.request.id) ?? [];
    const { key } = exchange.request;
    return [
      ...checkAnswered(observation, exchange, runs),
      ...checkOwnResponse(
        exchange,
        key === undefined ? [exchange] : exchangesByKey.get(key) ?? [],
      ),
      ...checkNotRun(
        exchange,
        key === undefined
          ? runs
          : getEarlierRuns(exchange, exchangesByKey.get(key) ?? [], runsById),
      ),
    ];
  });
}

function checkAnswered(
  observation: SoakObservation,
  exchange: Exchange,
  runs: readonly TargetRun[],
): Violation[] {
  const { end, node, sentMilliseconds } = exchange;
  const endMilliseconds = end === undefined
    ? Date.now()
    : exchange.endMilliseconds;
  const isDisturbed = observation.timeline.isDisturbed(
    [`${node}-node`, ...getProcesses(runs)],
    sentMilliseconds,
    endMilliseconds,
  );
  const mayBeUnanswered = exchange.request.isMalformed === true || isDisturbed;
  if (end?.kind === "answered" || mayBeUnanswered) {
    return [];
  }
  const fields = {
    ...describe(exchange, runs),
    stoppingMilliseconds: observation.timeline.getStoppingMilliseconds(
      `${node}-node`,
      endMilliseconds,
    ),
  };
  if (end === undefined) {
    return [createViolation("never-answered", fields)];
  }
  if (runs.length > 0 || end.hasPartialResponse) {
    return [createViolation("lost", fields)];
  }
  const wasRead = end.cause === "closed" && exchange.closedBy === undefined &&
    endMilliseconds - sentMilliseconds >= receivedMilliseconds;
  return wasRead ? [createViolation("read-unanswered", fields)] : [];
}

function checkOwnResponse(
  exchange: Exchange,
  sends: readonly Exchange[],
): Violation[] {
  const { end, request } = exchange;
  if (end?.kind === "unanswered" && !isConnectionError(end.cause)) {
    return [createViolation("wrong-response", describe(exchange, []))];
  }
  if (end?.kind !== "answered" || end.reason !== undefined) {
    return [];
  }
  // A resend gets the response of the send that ran.
  const isOwn = sends.some((each) => each.request.id === end.answeredId) &&
    end.fillerBytes === request.fillerBytes;
  return isOwn
    ? []
    : [createViolation("wrong-response", describe(exchange, []))];
}

function checkNotRun(
  exchange: Exchange,
  runs: readonly TargetRun[],
): Violation[] {
  const { end } = exchange;
  const completed = runs.filter((run) => run.end !== "shed");
  return end?.kind === "answered" && end.disposition === "not-run" &&
      completed.length > 0
    ? [createViolation("false-not-run", describe(exchange, completed))]
    : [];
}

/** Gets the runs of all sends of a key up to an exchange. */
function getEarlierRuns(
  exchange: Exchange,
  sends: readonly Exchange[],
  runsById: ReadonlyMap<string, readonly TargetRun[]>,
): TargetRun[] {
  return sends.slice(0, sends.indexOf(exchange) + 1)
    .flatMap(({ request }) => runsById.get(request.id) ?? []);
}

function isConnectionError(cause: string): boolean {
  return cause === "closed" || /^E[A-Z]+$/.test(cause);
}

function describe(exchange: Exchange, runs: readonly TargetRun[]) {
  const { request, client, node, end, closedBy } = exchange;
  return {
    request: request.id,
    key: request.key,
    client,
    node,
    sent: new Date(exchange.sentMilliseconds).toISOString(),
    milliseconds: exchange.endMilliseconds - exchange.sentMilliseconds,
    closedBy: closedBy?.request.id,
    closeReason: closedBy?.end?.kind === "answered"
      ? closedBy.end.reason
      : undefined,
    ...(end?.kind === "answered"
      ? { status: end.status, disposition: end.disposition, reason: end.reason }
      : {
        cause: end?.cause,
        partial: end?.hasPartialResponse,
        oldestMilliseconds: end?.oldestMilliseconds,
      }),
    answeredId: end?.kind === "answered" ? end.answeredId : undefined,
    runs: runs.map((run) =>
      `${run.node}@${new Date(run.startMilliseconds).toISOString()}`
    ).join(","),
  };
}
