import type { LevelTable } from "../admission/mod.ts";
import type { RoutePlan } from "./document_view.ts";
import type { Answer, ServiceLevel } from "../request/mod.ts";

/** Largest number of services that are discovered for a route. */
export const maximumDiscoveredServices = 32;

/** Admission levels and load in an answer or failure. */
export type ReportedLevels = Pick<Answer, "levels" | "load">;

/**
 * Records the admission levels that an answer reports. Another node reports all
 * services whose level is above 0. The local target reports only its own level,
 * because this node has received those of other services itself. A service of
 * the declared calls that is not reported has level 0. For a discovered service,
 * the other node may know nothing, because not every call of the route reaches
 * it; then the recorded level stays until it ages.
 * @param table Levels that were reported to this node.
 * @param answer The answer.
 * @param options The route, and whether the local target answered.
 */
export function recordLevels(
  table: LevelTable,
  answer: ReportedLevels,
  options: { plan: RoutePlan; isLocalTarget: boolean },
): void {
  if (answer.load === undefined) {
    return; // the call did not reach admission control at the target
  }
  const { plan, isLocalTarget } = options;
  const { declaredServices, discoveredServices } = plan;
  const count = isLocalTarget ? 1 : declaredServices.length;
  for (let index = 0; index < count; index++) {
    const service = declaredServices[index] as string;
    table.record(service, getLevel(answer.levels, service));
  }
  if (isLocalTarget) {
    return;
  }
  addDiscoveredServices(plan, answer.levels.map((each) => each.service));
  for (const { service, level } of answer.levels) {
    if (discoveredServices.has(service)) {
      table.record(service, level);
    }
  }
}

function getLevel(levels: readonly ServiceLevel[], service: string): number {
  for (const each of levels) {
    if (each.service === service) {
      return each.level;
    }
  }
  return 0;
}

/**
 * Adds services that calls of a route turn out to reach. Only routes with a
 * host need this; the others declare their calls.
 * @param plan The route.
 * @param services The services.
 */
export function addDiscoveredServices(
  { route, declaredServices, discoveredServices }: RoutePlan,
  services: Iterable<string>,
): void {
  if (route.host === undefined) {
    return;
  }
  for (const service of services) {
    if (
      !declaredServices.includes(service) &&
      discoveredServices.size < maximumDiscoveredServices
    ) {
      discoveredServices.add(service);
    }
  }
}

/**
 * Gets the levels of services that calls of the local target reach. On a node
 * with host routes, the table also contains services that only calls of other
 * clients reach, and levels of 0 are reported if they are recent.
 * @param table Levels that were reported to this node.
 * @param plan The route by which the target was called, and the services that
 * its calls reach.
 */
export function getRelevantLevels(
  table: LevelTable,
  { route, discoveredServices }: Pick<RoutePlan, "route"> & {
    readonly discoveredServices: ReadonlySet<string>;
  },
): readonly ServiceLevel[] {
  return route.host === undefined ? table.getEntries() : table
    .getRecentReports()
    .filter(({ service }) => discoveredServices.has(service));
}

/**
 * Checks whether a response is due to a fault of its target.
 * @param status Status of the response.
 * @param answer The answer of the target's node.
 * @param options Levels that were reported to this node, and the route.
 * @returns `undefined` for an error status while the target or a service that it
 * calls sheds load. That service may be the cause, and other targets of the same
 * service would fail too.
 */
export function isTargetFault(
  status: number,
  answer: ReportedLevels,
  { table, plan }: { table: LevelTable; plan: RoutePlan },
): boolean | undefined {
  if (status < 500) {
    return false;
  }
  const isShedding = answer.levels.some(({ level }) => level > 0) ||
    getRelevantLevels(table, plan).some(({ level }) => level > 0);
  return isShedding ? undefined : true;
}
