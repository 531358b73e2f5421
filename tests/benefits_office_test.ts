import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { fileURLToPath } from "node:url";
import {
  Cluster,
  type ClusterNode,
  type ClusterNodeOptions,
} from "./support/cluster.ts";
import {
  type HttpCall,
  type HttpResponse,
  sendCall,
  waitFor,
} from "./support/http_call.ts";
import { readRuns } from "./support/run_record.ts";

const document = fileURLToPath(
  new URL("../../examples/benefits-office.toml", import.meta.url),
);
const locality = { region: "Puget", availabilityZone: "puget-a" };
const retailerCall = {
  service: "retailers",
  method: "GET",
  path: "/retailers/1",
};
const nodeOptions: readonly ClusterNodeOptions[] = [
  {
    ...locality,
    name: "redemptions-1",
    service: "redemptions",
    target: {
      slots: 70,
      calls: {
        "/redemptions": [
          { service: "balances", method: "POST", path: "/debits" },
          retailerCall,
        ],
      },
    },
  },
  {
    ...locality,
    name: "balances-1",
    service: "balances",
    target: { slots: 70, calls: { "/debits": [retailerCall] } },
  },
  {
    ...locality,
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
    ...locality,
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
    nodes: nodeOptions,
  });
});

after(() => cluster.stop());

function getPort(name: string): number {
  return cluster.nodes.find((each) => each.name === name)?.outside ?? 0;
}

/**
 * Reports whether a node has the document, and targets of its own service and
 * of the services that its target calls.
 */
async function isReady(node: ClusterNode): Promise<boolean> {
  const response = await sendCall({
    port: node.loopback,
    path: "/dogwoodwalk/status",
  });
  const status = JSON.parse(response.body) as {
    revision: number;
    services: readonly { service: string; targets: number }[];
  };
  const calledServices = Object.values(node.target?.calls ?? {}).flat()
    .map((call) => call.service);
  return status.revision === 1 &&
    [...calledServices, node.service].every((name) =>
      status.services.some((each) => each.service === name && each.targets > 0)
    );
}

function countRuns(name: string, key: string): number {
  const node = cluster.nodes.find((each) => each.name === name);
  return readRuns([node?.recordFile ?? ""])
    .filter((each) => each.key === key).length;
}

test("a document can be promoted only after it is in force in trial", async () => {
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
  // --wait covers only nodes that already have a session.
  for (const node of cluster.nodes) {
    await waitFor(() => isReady(node), 30_000);
  }
  await waitFor(async () => {
    const promoted = await cluster.runCommand("promote", "1", "--base", "0");
    return promoted.code === 0;
  }, 30_000);
});

const keyedCalls = [
  {
    name: "a redemption",
    nodeName: "redemptions-1",
    path: "/redemptions",
    targets: ["redemptions-1", "balances-1"],
  },
  {
    name: "an enrollment",
    nodeName: "enrollment-1",
    path: "/enrollments",
    targets: ["enrollment-1"],
  },
];

/**
 * Sends a call under a new key until it is not refused. A refusal proves nothing
 * but that the call has not run, and may be due to a busy machine.
 * @param call The call without its key.
 * @returns Its response and key, and the keys that were refused as `not-run`.
 */
async function sendUntilAccepted(
  call: HttpCall,
): Promise<{ response: HttpResponse; key: string; refusedKeys: string[] }> {
  const refusedKeys: string[] = [];
  const end = performance.now() + 30_000;
  while (true) {
    const key = `key-${call.path}-${refusedKeys.length}`;
    const headers = { ...call.headers, "idempotency-key": key };
    const response = await sendCall({ ...call, headers });
    if (
      response.headers["dogwoodwalk-disposition"] !== "not-run" ||
      performance.now() > end
    ) {
      return { response, key, refusedKeys };
    }
    refusedKeys.push(key);
  }
}

for (const { name, nodeName, path, targets } of keyedCalls) {
  test(`${name} that is sent twice runs once at each service that claims it`, async () => {
    const call = {
      port: getPort(nodeName),
      method: "POST",
      path,
      headers: { "x-client": "clinic-1" },
      body: "coupon=7",
    };
    const { response, key, refusedKeys } = await sendUntilAccepted(call);
    assert.equal(response.status, 200, response.body);
    const headers = { ...call.headers, "idempotency-key": key };
    const second = await sendCall({ ...call, headers });
    assert.equal(second.body, response.body);
    for (const target of targets) {
      assert.equal(countRuns(target, key), 1, target);
      for (const refusedKey of refusedKeys) {
        assert.equal(countRuns(target, refusedKey), 0, target);
      }
    }
  });
}
