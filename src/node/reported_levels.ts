import type { LevelTable } from "../admission/mod.ts";
import type { RoutePlan } from "./document_view.ts";
import type { Answer, ServiceLevel } from "../request/mod.ts";

/** Services that are remembered for a route beside the declared ones. */
const maximumDiscoveredServices = 32;

/** The part of an answer or failure that states levels. */
export type ReportedLevels = Pick<Answer, "levels" | "load">;

/**
 * Records the levels that an answer states. Another node names all services
 * that are not open. The target beside this node states its own level only,
 * because the others were heard here.
 * @param table The levels that this node heard.
 * @param answer What was stated.
 * @param options The route, and who answered.
 */
export function recordLevels(
  table: LevelTable,
  answer: ReportedLevels,
  options: { plan: RoutePlan; isOwnTarget: boolean },
): void {
  if (answer.load === undefined) {
    return; // the callee's admission did not see the call
  }
  const { plan, isOwnTarget } = options;
  const { declaredServices: reached, discoveredServices: learned } = plan;
  const count = isOwnTarget ? 1 : reached.length;
  for (let index = 0; index < count; index++) {
    const service = reached[index] as string;
    table.record(service, getLevel(answer.levels, service));
  }
  if (isOwnTarget) {
    return;
  }
  addDiscoveredServices(plan, answer.levels.map((each) => each.service));
  for (const service of learned) {
    table.record(service, getLevel(answer.levels, service));
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
 * Remembers services that calls of a route reach. Routes with a host do not
 * declare them; the others do.
 * @param plan The route.
 * @param services What was heard.
 */
export function addDiscoveredServices(
  { route, declaredServices: reached, discoveredServices: learned }: RoutePlan,
  services: Iterable<string>,
): void {
  if (route.host === undefined) {
    return;
  }
  for (const service of services) {
    if (
      !reached.includes(service) && learned.size < maximumDiscoveredServices
    ) {
      learned.add(service);
    }
  }
}

/**
 * Gets the levels that concern the calls of a target. A node with host routes
 * also hears of services that only its clients' calls reach.
 * @param table The levels that this node heard.
 * @param plan The route by which the target was called.
 */
export function getRelevantLevels(
  table: LevelTable,
  { route, discoveredServices: learned }: RoutePlan,
): readonly ServiceLevel[] {
  const entries = table.getEntries();
  return route.host === undefined
    ? entries
    : entries.filter(({ service }) => learned.has(service));
}

/**
 * Judges whether a response shows a fault of its target.
 * @param status Status of the response.
 * @param answer What the target's node stated with it.
 * @param options The levels that this node heard, and the route.
 * @returns `undefined` for a failure while a service on the way sheds calls: it
 * may be the cause, and other targets of the same service would fail too.
 */
export function isTargetFault(
  status: number,
  answer: ReportedLevels,
  { table, plan }: { table: LevelTable; plan: RoutePlan },
): boolean | undefined {
  if (status < 500) {
    return false;
  }
  const isShedding = answer.levels.length > 0 ||
    getRelevantLevels(table, plan).length > 0;
  return isShedding ? undefined : true;
}
