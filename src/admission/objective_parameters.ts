import type { Objective } from "../document/mod.ts";
import type { LevelDecreaseOptions } from "./admission_level.ts";

/** Parameters of admission that depend on the objective. */
export interface ObjectiveParameters extends LevelDecreaseOptions {
  /** Limit of the queue length, as a multiple of the slots. */
  readonly queuePerSlot: number;
  /** Increase per second while the limit is reached, as a share of the slots. */
  readonly limitIncreasePerSecond: number;
}

const parameters: Readonly<Record<Objective, ObjectiveParameters>> = {
  goodput: {
    queuePerSlot: 2,
    limitIncreasePerSecond: 0.5,
    maximumLevelDecrease: 16,
    idleLevelFactor: 0.9,
  },
  recovery: {
    queuePerSlot: 0.5,
    limitIncreasePerSecond: 2,
    maximumLevelDecrease: 48,
    idleLevelFactor: 0.6,
  },
};

/** Gets the parameters of admission for an objective. */
export function getObjectiveParameters(
  objective: Objective,
): ObjectiveParameters {
  return parameters[objective];
}
