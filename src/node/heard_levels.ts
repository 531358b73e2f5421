import type { LevelTable } from "../admission/mod.ts";
import type { Answer, ServiceLevel } from "../request/mod.ts";

/** The part of an answer or failure that states levels. */
export type StatedLevels = Pick<Answer, "levels" | "load">;

/**
 * Records the levels that an answer states. Another node names all services
 * that are not open. The target beside this node states its own level only,
 * because the others were heard here.
 * @param table The levels that this node heard.
 * @param answer What was stated.
 * @param options Services of the route, its own first, and who answered.
 */
export function recordLevels(
  table: LevelTable,
  answer: StatedLevels,
  options: { reached: readonly string[]; isOwnTarget: boolean },
): void {
  if (answer.load === undefined) {
    return; // the callee's admission did not see the call
  }
  const { reached, isOwnTarget } = options;
  const count = isOwnTarget ? 1 : reached.length;
  for (let index = 0; index < count; index++) {
    const service = reached[index] as string;
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
