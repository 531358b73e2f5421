import { groupBy } from "./group_by.ts";
import { getProcesses, type SoakObservation } from "./soak_observation.ts";
import { createViolation, type Violation } from "./violation.ts";

/**
 * Checks that no call of a target reached another target and ended without an
 * answer. A call whose own request was given up is left out: its node cancels
 * what the request was waiting for.
 * @param observation What callers and targets saw.
 * @returns The violations.
 */
export function checkNestedCalls(observation: SoakObservation): Violation[] {
  const exchangesById = new Map(
    observation.exchanges.map((each) => [each.request.id, each]),
  );
  const runsByParent = groupBy(observation.runs, (run) => run.parent);
  return observation.brokenCalls.flatMap((caller) => {
    const exchange = exchangesById.get(caller.call);
    const runs = runsByParent.get(caller.request) ?? [];
    const end = exchange?.end;
    // The target's own failure response shows that it was not cancelled.
    const isOwnFailure = end?.kind === "answered" && end.status === 502 &&
      end.reason === undefined;
    const isDisturbed = observation.timeline.isDisturbed(
      getProcesses([caller, ...runs]),
      caller.startMilliseconds,
      exchange?.endMilliseconds ?? Date.now(),
    );
    return runs.length > 0 && isOwnFailure && !isDisturbed
      ? [createViolation("lost-nested", {
        request: caller.call,
        caller: caller.node,
        start: new Date(caller.startMilliseconds).toISOString(),
        runs: runs.map((run) => run.node).join(","),
      })]
      : [];
  });
}
