import type { ClusterNode } from "../tests/support/cluster.ts";
import { sendCall } from "../tests/support/http_call.ts";
import { readRuns } from "../tests/support/run_record.ts";

/** Retries counted by the nodes and repeated runs recorded by the targets. */
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
 * Collects the counters from the status pages of the nodes and from the run
 * records of the targets.
 */
export async function collectFleetCounters(
  nodes: readonly ClusterNode[],
): Promise<FleetCounters> {
  const retried = new Map<string, Map<string, number>>();
  for (const node of nodes) {
    const page = await sendCall({
      port: node.loopback,
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
  // Only transfers have an idempotency key.
  const repeated = new Map([["transfer", countRepeatedRuns(nodes)]]);
  return { retried, repeated };
}

function countRepeatedRuns(nodes: readonly ClusterNode[]): number {
  const counts = new Map<string, number>();
  for (const run of readRuns(nodes.map((each) => each.recordFile))) {
    if (run.key !== "" && run.path === "/transfers") {
      const name = `${run.service} ${run.key}`;
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
  }
  return [...counts.values()].filter((count) => count > 1).length;
}
