import type { SoakObservation } from "./soak_observation.ts";
import type { ConfirmedDrain } from "./target_drainer.ts";
import { createViolation, type Violation } from "./violation.ts";

/** Time for calls that the node had accepted before it confirmed the drain. */
const acceptedMilliseconds = 3000;

/**
 * Checks that no call arrives at a target whose drain was confirmed.
 * @param observation What callers and targets saw.
 * @param drains The confirmed drains.
 * @returns The violations.
 */
export function checkDrains(
  observation: SoakObservation,
  drains: readonly ConfirmedDrain[],
): Violation[] {
  return drains.flatMap((drain) => {
    const late = observation.runs.filter((run) =>
      run.node === drain.node &&
      run.startMilliseconds > drain.confirmedMilliseconds +
          acceptedMilliseconds &&
      run.startMilliseconds < drain.endMilliseconds
    );
    return late.length === 0 ? [] : [createViolation("work-after-drain", {
      target: drain.node,
      confirmed: new Date(drain.confirmedMilliseconds).toISOString(),
      runs: late.length,
      first: late[0]?.call,
      restarted: observation.timeline.hasRestarted(
        `${drain.node}-node`,
        drain.confirmedMilliseconds - acceptedMilliseconds,
        late[0]?.startMilliseconds ?? 0,
      ),
      start: new Date(late[0]?.startMilliseconds ?? 0).toISOString(),
      disturbed: observation.timeline.isDisturbed(
        [`${drain.node}-node`],
        drain.confirmedMilliseconds,
        drain.endMilliseconds,
      ),
    })];
  });
}
