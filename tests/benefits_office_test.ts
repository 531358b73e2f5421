import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { fileURLToPath } from "node:url";
import {
  Cluster,
  type ClusterNode,
  type ClusterNodeOptions,
} from "./support/cluster.ts";
import { sendCall, waitFor } from "./support/http_call.ts";
import { readRuns } from "./support/run_record.ts";

const document = fileURLToPath(
  new URL("../../examples/benefits-office.toml", import.meta.url),
);
const place = { region: "Puget", availabilityZone: "puget-a" };
const toRetailer = {
  service: "retailers",
  method: "GET",
  path: "/retailers/1",
};
const members: readonly ClusterNodeOptions[] = [
  {
    ...place,
    name: "redemptions-1",
    service: "redemptions",
    target: {
      slots: 70,
      calls: {
        "/redemptions": [
          { service: "balances", method: "POST", path: "/debits" },
          toRetailer,
        ],
      },
    },
  },
  {
    ...place,
    name: "balances-1",
    service: "balances",
    target: { slots: 70, calls: { "/debits": [toRetailer] } },
  },
  {
    ...place,
    name: "enrollment-1",
    service: "enrollment",
    target: {
      slots: 70,
      calls: {
        "/enrollments": [
          { service: "balances", method: "POST", path: "/accounts" },
        ],
      },
    },
  },
  {
    ...place,
    name: "retailers-1",
    service: "retailers",
    target: { slots: 25 },
  },
];

let cluster: Cluster;

before(async () => {
  cluster = await Cluster.start({
    controlCount: 1,
    environment: "trial",
    nodes: members,
  });
});

after(() => cluster.stop());

function getPort(name: string): number {
  return cluster.nodes.find((each) => each.name === name)?.outside ?? 0;
}

/** Reports whether a node has the document and targets of its callees. */
async function isReady(member: ClusterNode): Promise<boolean> {
  const page = await sendCall({
    port: member.loopback,
    path: "/dogwoodwalk/status",
  });
  const status = JSON.parse(page.body) as {
    revision: number;
    services: readonly { service: string; targets: number }[];
  };
  const needed = Object.values(member.target?.calls ?? {}).flat()
    .map((call) => call.service);
  return status.revision === 1 &&
    [...needed, member.service].every((name) =>
      status.services.some((each) => each.service === name && each.targets > 0)
    );
}

function countRuns(name: string, key: string): number {
  const member = cluster.nodes.find((each) => each.name === name);
  return readRuns([member?.recordFile ?? ""])
    .filter((each) => each.key === key).length;
}

test("the document is promoted only after it was in force in trial", async () => {
  const early = await cluster.runCommand("promote", "1", "--base", "0");
  assert.equal(early.code, 2, early.output);
  const applied = await cluster.runCommand(
    "apply",
    "trial",
    document,
    "--base",
    "0",
    "--wait",
  );
  assert.equal(applied.code, 0, applied.output);
  // A node that had no session yet was not waited for.
  for (const member of cluster.nodes) {
    await waitFor(() => isReady(member), 30_000);
  }
  await waitFor(async () => {
    const promoted = await cluster.runCommand("promote", "1", "--base", "0");
    return promoted.code === 0;
  }, 30_000);
});

const keyed = [
  {
    name: "a redemption",
    port: "redemptions-1",
    path: "/redemptions",
    ran: ["redemptions-1", "balances-1"],
  },
  {
    name: "an enrollment",
    port: "enrollment-1",
    path: "/enrollments",
    ran: ["enrollment-1"],
  },
];

for (const { name, port, path, ran } of keyed) {
  test(`${name} that is sent twice runs once at each service`, async () => {
    const call = {
      port: getPort(port),
      method: "POST",
      path,
      headers: { "idempotency-key": `key-${port}`, "x-client": "clinic-1" },
      body: "coupon=7",
    };
    const first = await sendCall(call);
    assert.equal(first.status, 200, first.body);
    const second = await sendCall(call);
    assert.equal(second.body, first.body);
    for (const target of ran) {
      assert.equal(countRuns(target, `key-${port}`), 1, target);
    }
  });
}
