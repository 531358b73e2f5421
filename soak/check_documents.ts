import type { AcknowledgedChange } from "./document_changer.ts";
import { createViolation, type Violation } from "./violation.ts";

/**
 * Checks that every acknowledged change is in the history of the environment.
 * @param acknowledged The acknowledged changes.
 * @param history The history at the end of the run.
 * @returns The violations.
 */
export function checkHistory(
  acknowledged: readonly AcknowledgedChange[],
  history: readonly AcknowledgedChange[],
): Violation[] {
  const changeIds = new Map(
    history.map((each) => [each.revision, each.changeId]),
  );
  return acknowledged
    .filter((each) => changeIds.get(each.revision) !== each.changeId)
    .map((each) =>
      createViolation("lost-revision", {
        revision: each.revision,
        changeId: each.changeId,
        found: changeIds.get(each.revision) ?? "nothing",
      })
    );
}

/**
 * Checks that a node never goes back to an older document while it runs.
 * @param node Name of the node.
 * @param log The log of its process, of all its starts.
 * @returns The violations.
 */
export function checkNodeRevisions(node: string, log: string): Violation[] {
  let current = 0;
  const violations: Violation[] = [];
  for (const line of log.split("\n")) {
    if (line.includes('event="node started"')) {
      current = 0;
    }
    const text = /event="document in force"/.test(line)
      ? /revision=(\d+)/.exec(line)?.[1]
      : undefined;
    if (text !== undefined) {
      if (Number(text) < current) {
        violations.push(createViolation("older-revision", {
          node,
          revision: Number(text),
          newer: current,
        }));
      }
      current = Number(text);
    }
  }
  return violations;
}
