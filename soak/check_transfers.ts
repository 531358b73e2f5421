import { groupBy } from "./group_by.ts";
import type { SoakObservation } from "./soak_observation.ts";
import { createViolation, type Violation } from "./violation.ts";

/**
 * Checks that each key ran at most once at each service.
 * @param observation What callers and targets saw.
 * @returns The violations.
 */
export function checkTransfers(observation: SoakObservation): Violation[] {
  const runsByKey = groupBy(
    observation.runs.filter((run) =>
      run.key !== "" && run.method === "POST" && run.end !== "shed"
    ),
    (run) => `${run.service} ${run.key}`,
  );
  return [...runsByKey].filter(([, runs]) => runs.length > 1).map((
    [key, runs],
  ) =>
    createViolation("ran-twice", {
      key,
      runs: runs.map((run) =>
        `${run.call}:${run.node}@${
          new Date(run.startMilliseconds).toISOString()
        }`
      ).join(","),
    })
  );
}
