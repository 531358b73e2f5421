import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import type { Cluster, ClusterNode } from "./support/cluster.ts";
import { waitFor } from "./support/http_call.ts";
import { runUnderLoad } from "./support/request_load.ts";
import { readRuns } from "./support/run_record.ts";
import {
  getNodes,
  sendView,
  startStrikeFundCluster,
} from "./support/strike_fund_cluster.ts";

let cluster: Cluster;
let portals: readonly ClusterNode[];

before(async () => {
  cluster = await startStrikeFundCluster({
    portalCount: 4,
    treasuryCount: 1,
    treasuryServiceMilliseconds: 0,
    serviceMilliseconds: 100,
    controlCount: 1,
  });
  portals = getNodes(cluster, "member-portal");
});

after(() => cluster.stop());

/** Starts the targets that ended, and waits until all portals serve a request. */
async function restoreTargets(): Promise<void> {
  for (const portal of portals) {
    await waitFor(async () => {
      if (!cluster.processes.isRunning(`${portal.name}-target`)) {
        cluster.startTarget(portal);
      }
      return (await sendView(portal)).status === 200;
    }, 30_000);
  }
}

// Guards against a kind of request that is in flight at every crash, and is taken
// for the cause of two crashes at one moment.
test("a busy request is not quarantined when two targets are killed at one moment", async () => {
  let count = 0;
  const send = () => sendView(portals[count++ % 4] as ClusterNode);
  const results = await runUnderLoad(send, async (sent) => {
    const killed = portals.slice(2);
    const countRuns = ({ recordFile }: ClusterNode) =>
      readRuns([recordFile]).length;
    for (let pair = 0; pair < 2; pair++) {
      const before = killed.map(countRuns);
      await waitFor(
        () =>
          killed.every((each, index) =>
            countRuns(each) >= (before[index] ?? 0) + 10
          ),
        30_000,
      );
      for (const { name } of killed) {
        cluster.processes.getOrThrow(`${name}-target`).child.kill("SIGKILL");
      }
      const sentBefore = sent.length;
      await waitFor(() => sent.length >= sentBefore + 40, 30_000);
      await restoreTargets();
    }
  });
  const quarantined = results.filter(({ reason }) => reason === "quarantined");
  assert.deepEqual(quarantined, []);
  const { output } = await cluster.runCommand("quarantine", "list", "trial");
  assert.match(output, /nothing in quarantine/);
});

// Guards against a path that is refused as a whole because of one caller.
test("the crashing request of one caller does not stop the others of its path", async () => {
  const crashing = { headers: { cookie: "member=1", "x-crash": "1" } };
  const [entry] = portals as [ClusterNode];
  let member = 1;
  const sendAsMember = () =>
    sendView(entry, { headers: { cookie: `member=${++member}` } });
  const results = await runUnderLoad(sendAsMember, async () => {
    await waitFor(async () => {
      const { reason } = await sendView(entry, crashing);
      await restoreTargets();
      return reason === "quarantined";
    }, 60_000);
  });
  const quarantined = results.filter(({ reason }) => reason === "quarantined");
  assert.deepEqual(quarantined, []);
  const other = await sendView(entry, { headers: { cookie: "member=1" } });
  assert.equal(other.status, 200);
  // Whichever node it comes to, the crashing request does not run again.
  for (const portal of portals) {
    const { reason, disposition } = await sendView(portal, crashing);
    assert.deepEqual([reason, disposition], ["quarantined", "not-run"]);
  }
});
