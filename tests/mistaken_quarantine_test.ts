import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { after, before, test } from "node:test";
import type { Cluster, ClusterNode } from "./support/cluster.ts";
import { sendCall, waitFor } from "./support/http_call.ts";
import { readRecord } from "./support/run_record.ts";
import {
  getNodes,
  sendView,
  startStrikeFundCluster,
  strikeFundDocument,
} from "./support/strike_fund_cluster.ts";

/** Longer than two crashes and their reports take. */
const serviceMilliseconds = 12_000;
const reportMilliseconds = 1000;

let cluster: Cluster;
let portals: readonly ClusterNode[];

before(async () => {
  cluster = await startStrikeFundCluster({
    portalCount: 4,
    treasuryCount: 1,
    treasuryServiceMilliseconds: 0,
    controlCount: 1,
    document: readFileSync(strikeFundDocument, "utf8")
      .replaceAll("deadline_ms = 1500", "deadline_ms = 40000"),
  });
  portals = getNodes(cluster, "member-portal");
});

after(() => cluster.stop());

function countRuns({ recordFile }: ClusterNode): number {
  return readRecord(recordFile).length;
}

async function isQuarantineEmpty(): Promise<boolean> {
  const { output } = await cluster.runCommand("quarantine", "list", "trial");
  return /nothing in quarantine/.test(output);
}

/** Waits for longer than a crash report takes to reach all nodes. */
async function waitUntilReported(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, reportMilliseconds));
}

async function setServiceTime(milliseconds: number): Promise<void> {
  for (const { name, targetPort } of portals) {
    if (cluster.processes.isRunning(`${name}-target`)) {
      await sendCall({
        port: targetPort,
        method: "POST",
        path: "/stand-in/behavior",
        body: JSON.stringify({ serviceMilliseconds: milliseconds }),
      });
    }
  }
}

/**
 * Kills the target of each portal when it runs its next request.
 * @returns A function that ends this.
 */
function killAtNextRun(killed: readonly ClusterNode[]): () => void {
  const runCounts = killed.map(countRuns);
  const timer = setInterval(() => {
    killed.forEach((portal, index) => {
      const process = `${portal.name}-target`;
      const hasRun = countRuns(portal) > (runCounts[index] ?? 0);
      if (hasRun && cluster.processes.isRunning(process)) {
        cluster.processes.getOrThrow(process).child.kill("SIGKILL");
      }
    });
  }, 20);
  return () => clearInterval(timer);
}

// Guards against a sound request that stays in quarantine although a target that
// ran it all the while has answered it.
test("a call that started before its quarantine ends it by completing", async (context) => {
  const [entry] = portals as [ClusterNode];
  await setServiceTime(serviceMilliseconds);
  const runCounts = new Map(portals.map((each) => [each, countRuns(each)]));
  const hasRun = (each: ClusterNode) => countRuns(each) !== runCounts.get(each);
  const early = sendView(entry);
  await waitFor(() => portals.some(hasRun), 5000);
  const others = portals.filter((each) => !hasRun(each));
  context.after(killAtNextRun(others));
  // Once it is known as a suspect, the request is quarantined at the next crash.
  for (const portal of others) {
    if (await isQuarantineEmpty()) {
      assert.notEqual((await sendView(portal)).status, 200);
      await waitUntilReported();
    }
  }
  assert.equal(await isQuarantineEmpty(), false);
  const refused = await sendView(entry);
  assert.deepEqual([refused.status, refused.reason], [503, "quarantined"]);
  const { status, reason } = await early;
  assert.deepEqual([status, reason], [200, ""]);
  await waitFor(isQuarantineEmpty, 10_000);
  await setServiceTime(0);
  assert.equal((await sendView(entry)).status, 200);
});
