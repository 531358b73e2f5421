import type { Distance } from "./placement.ts";
import type { ServiceView } from "./service_view.ts";
import type { TargetPhase, TargetState } from "./target_state.ts";

/** Largest number of targets whose estimates a status contains. */
const maximumEstimates = 16;

/** Estimates of one target, as the node uses them for its choices. */
export interface TargetEstimate {
  readonly targetId: string;
  readonly availabilityZone: string;
  readonly phase: TargetPhase;
  readonly inFlight: number;
  /** Load including one more call, as a share of the capacity. */
  readonly load: number;
  /** Own service time in milliseconds. */
  readonly serviceMilliseconds: number;
  /** Time since the last sample. */
  readonly sampleAgeMilliseconds: number;
}

/** What a node knows about the targets of a service. */
export interface ServiceStatus {
  readonly targets: number;
  readonly ejected: number;
  /** Attempts since the start of the node by the distance of their target. */
  readonly calls: Readonly<Record<Distance, number>>;
  /** Mean own service time over the targets; absent when unknown. */
  readonly meanServiceMilliseconds?: number;
  /** The targets with the latest samples, the latest first. */
  readonly estimates: readonly TargetEstimate[];
}

/**
 * Gets the status of a service.
 * @param view The targets of the service.
 * @param nowMilliseconds Monotonic time.
 * @returns The status, with a bounded number of estimates.
 */
export function getServiceStatus(
  view: ServiceView,
  nowMilliseconds: number,
): ServiceStatus {
  const mean = view.meanServiceMilliseconds;
  const age = (state: TargetState): number =>
    state.serviceTime.getAge(nowMilliseconds);
  const latest = [...view.states]
    .filter((state) => state.serviceTime.hasSample)
    .sort((a, b) => age(a) - age(b))
    .slice(0, maximumEstimates);
  return {
    targets: view.size,
    ejected: view.ejectedCount,
    calls: view.calls,
    ...mean > 0 && { meanServiceMilliseconds: round(mean) },
    estimates: latest.map((state) => ({
      targetId: state.target.targetId,
      availabilityZone: state.target.availabilityZone,
      phase: state.phase,
      inFlight: state.inFlight,
      load: round(state.getLoad(view.rule, nowMilliseconds)),
      serviceMilliseconds: round(state.serviceTime.get(mean, nowMilliseconds)),
      sampleAgeMilliseconds: Math.round(age(state)),
    })),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
