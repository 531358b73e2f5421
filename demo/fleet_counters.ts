import { existsSync, readFileSync } from "node:fs";
import type { Member } from "../tests/support/cluster.ts";
import { sendCall } from "../tests/support/http_call.ts";

/** What the nodes counted and the targets recorded, by class. */
export interface FleetCounters {
  /** Retries by class, then by reason. */
  readonly retried: ReadonlyMap<string, ReadonlyMap<string, number>>;
  /** Calls with a key that a target ran more than once, by class. */
  readonly repeated: ReadonlyMap<string, number>;
}

interface StatusCounter {
  readonly class: string;
  readonly retried: Readonly<Record<string, number>>;
}

/**
 * Collects the status pages of the nodes and the records of the targets.
 * @param members The targets and nodes.
 */
export async function collectFleet(
  members: readonly Member[],
): Promise<FleetCounters> {
  const retried = new Map<string, Map<string, number>>();
  for (const member of members) {
    const page = await sendCall({
      port: member.loopback,
      path: "/dogwoodwalk/status",
    });
    const { counters } = JSON.parse(page.body) as { counters: StatusCounter[] };
    for (const counter of counters) {
      const reasons = retried.get(counter.class) ?? new Map<string, number>();
      retried.set(counter.class, reasons);
      for (const [reason, count] of Object.entries(counter.retried)) {
        reasons.set(reason, (reasons.get(reason) ?? 0) + count);
      }
    }
  }
  // Only transfers carry keys.
  const repeated = new Map([["transfer", countRepeated(members)]]);
  return { retried, repeated };
}

function countRepeated(members: readonly Member[]): number {
  const runs = new Map<string, number>();
  for (const member of members) {
    const lines = existsSync(member.recordFile)
      ? readFileSync(member.recordFile, "utf8").split("\n")
      : [];
    for (const line of lines.filter((each) => each !== "")) {
      const run = JSON.parse(line) as {
        service: string;
        path: string;
        key: string;
      };
      if (run.key !== "" && run.path === "/transfers") {
        const name = `${run.service} ${run.key}`;
        runs.set(name, (runs.get(name) ?? 0) + 1);
      }
    }
  }
  return [...runs.values()].filter((count) => count > 1).length;
}
