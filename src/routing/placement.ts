import type { RandomSource } from "../common/mod.ts";
import type { LoadHint } from "./routing_types.ts";

/** Distance of a target from the node that calls it. */
export type Distance = "local" | "zone" | "region" | "remote";

/**
 * Round trip to a target in milliseconds. Zones of a region are 0.5 to 1.4 ms
 * apart, regions 12 ms.
 */
const roundTripMilliseconds: Readonly<Record<Distance, number>> = {
  local: 0,
  zone: 0.5,
  region: 2.5,
  remote: 25,
};

/**
 * Largest factor by which a target of the own zone may be slower than one of
 * another zone. Estimates from a few samples differ by less without a lasting
 * difference.
 */
const slownessFactor = 1.3;
/**
 * Share of the remaining time of a call that leaving the zone must save. A
 * request makes about four calls in sequence, which together save a third of
 * its time; less rarely decides whether it is in time, and costs bytes between
 * zones.
 */
const savedShare = 1 / 12;
/** Least time that leaving the zone must save, and the default. */
const minimumSavedMilliseconds = 4;
const defaultSavedMilliseconds = 20;
/** Largest time to save, so that a long deadline does not hide slow targets. */
const maximumSavedMilliseconds = 30;
/**
 * Loads between which calls leave the zone with growing probability. Hints are
 * a few hundred milliseconds old, so that all nodes would leave and return
 * together at a fixed load.
 */
const firstLeavingLoad = 0.95;
const lastLeavingLoad = 1.2;
/** Load up to which a fast target is preferred although its calls wait. */
const maximumWaitingLoad = 1.1;
/** Load of another zone above which speed is no reason to send calls there. */
const maximumLoadForSpeed = 0.7;
/** Least difference of load at which a saturated target hands calls over. */
const loadDifference = 0.25;
/** Loads between which calls leave the region with growing probability. */
const firstRegionLeavingLoad = 1.1;
const lastRegionLeavingLoad = 1.3;

/** Estimate of what one more call at a target would see. */
export interface TargetForecast {
  /** Load including the call, as a share of the capacity. */
  readonly load: number;
  /** Own service time in milliseconds; 0 when unknown. */
  readonly serviceMilliseconds: number;
  readonly distance: Distance;
}

/**
 * Gets the expected time to completion of one more call: the own service time,
 * the wait behind calls beyond the limit, and the round trip.
 * @param forecast The target; its service time must be known.
 * @returns The time in milliseconds.
 */
export function getCompletionMilliseconds(forecast: TargetForecast): number {
  const { load, serviceMilliseconds, distance } = forecast;
  return serviceMilliseconds * Math.max(1, load) +
    roundTripMilliseconds[distance];
}

/**
 * Estimates the own service time of a target whose node does not report it.
 * @param elapsedMilliseconds Time of an attempt there.
 * @param options Load that the response reported, and the distance.
 * @returns The time without the round trip and the wait for a free slot.
 */
export function getOwnTime(
  elapsedMilliseconds: number,
  options: { hint: LoadHint | undefined; distance: Distance },
): number {
  const { hint, distance } = options;
  const milliseconds = Math.max(
    0,
    elapsedMilliseconds - roundTripMilliseconds[distance],
  );
  return hint === undefined || hint.limit <= 0
    ? milliseconds
    : milliseconds / (1 + hint.queued / hint.limit);
}

/** Load above which a call considers leaving its zone. */
export function drawLeavingLoad(random: RandomSource): number {
  return firstLeavingLoad + random() * (lastLeavingLoad - firstLeavingLoad);
}

/** Load above which a call considers leaving its region. */
export function drawRegionLeavingLoad(random: RandomSource): number {
  return firstRegionLeavingLoad +
    random() * (lastRegionLeavingLoad - firstRegionLeavingLoad);
}

/**
 * Gets the time that leaving the zone must save.
 * @param remainingMilliseconds Time until the deadline of the call, if known.
 * @returns The time in milliseconds.
 */
export function getSavingToLeave(
  remainingMilliseconds: number | undefined,
): number {
  return remainingMilliseconds === undefined
    ? defaultSavedMilliseconds
    : Math.min(
      maximumSavedMilliseconds,
      Math.max(minimumSavedMilliseconds, remainingMilliseconds * savedShare),
    );
}

/**
 * Checks whether a call should go to a farther target because a near one would
 * take longer by more than the cost of the distance.
 * @param near Forecast of the near target.
 * @param far Forecast of the farther target.
 * @param options Least saving, whether the near target counts as saturated, and
 * a random source that keeps nodes from leaving together.
 */
export function isWorthLeaving(
  near: TargetForecast,
  far: TargetForecast,
  options: {
    savedMilliseconds: number;
    isSaturated: boolean;
    random: RandomSource;
  },
): boolean {
  const nearMilliseconds = getCompletionMilliseconds(near);
  const farMilliseconds = getCompletionMilliseconds(far);
  if (options.isSaturated) {
    const isNearSooner = nearMilliseconds <= farMilliseconds &&
      near.load <= maximumWaitingLoad;
    return far.load < near.load - loadDifference && !isNearSooner;
  }
  const saving = options.savedMilliseconds * (0.5 + options.random());
  return far.load <= maximumLoadForSpeed &&
    nearMilliseconds > farMilliseconds * slownessFactor + saving;
}
