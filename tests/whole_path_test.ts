import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { after, before, test } from "node:test";
import { Cluster } from "./support/cluster.ts";
import { sendCall, waitFor } from "./support/http_call.ts";

const document = fileURLToPath(
  new URL("../../examples/strike-fund.toml", import.meta.url),
);
const locality = { region: "Muntenia", availabilityZone: "muntenia-a" };
const treasuryCall = { service: "treasury" };
const rosterCall = {
  service: "roster-registry",
  method: "GET",
  path: "/rosters/1",
};

let cluster: Cluster;

before(async () => {
  cluster = await Cluster.start({
    controlCount: 3,
    environment: "trial",
    nodes: [
      {
        ...locality,
        name: "portal-1",
        service: "member-portal",
        target: {
          calls: {
            "/transfers": [{
              ...treasuryCall,
              method: "POST",
              path: "/transfers",
            }],
            "/balances/": [{
              ...treasuryCall,
              method: "GET",
              path: "/balances/1",
            }],
          },
        },
      },
      {
        ...locality,
        name: "treasury-1",
        service: "treasury",
        target: { calls: { "/": [rosterCall] } },
      },
      { ...locality, name: "roster-1", service: "roster-registry", target: {} },
    ],
  });
  const applied = await cluster.runCommand(
    "apply",
    "trial",
    document,
    "--base",
    "0",
    "--wait",
  );
  assert.equal(applied.code, 0, applied.output);
  const [portal] = cluster.nodes;
  await waitFor(async () => {
    const response = await sendCall({
      port: portal?.outside ?? 0,
      path: "/balances/1",
    });
    return response.status === 200;
  }, 20_000);
});

after(() => cluster.stop());

function getRuns(name: string): { path: string; key: string }[] {
  const node = cluster.nodes.find((each) => each.name === name);
  return readFileSync(node?.recordFile ?? "", "utf8").trim().split("\n")
    .map((line) => JSON.parse(line));
}

test("a transfer that is sent twice runs once at each service that claims it", async () => {
  const call = {
    port: cluster.nodes[0]?.outside ?? 0,
    method: "POST",
    path: "/transfers",
    headers: { "idempotency-key": "pay-1", "x-member": "m1" },
    body: "amount=5",
  };
  const first = await sendCall(call);
  assert.equal(first.status, 200, first.body);
  const second = await sendCall(call);
  assert.equal(second.body, first.body);
  for (const name of ["portal-1", "treasury-1"]) {
    const transfers = getRuns(name).filter((each) => each.key === "pay-1");
    assert.equal(transfers.length, 1, name);
  }
});

test("the outcome query reports whether a call ran", async () => {
  const port = cluster.nodes[0]?.outside ?? 0;
  const query = "/dogwoodwalk/outcome?service=member-portal&key=";
  const ran = await sendCall({ port, path: `${query}pay-1` });
  assert.equal(JSON.parse(ran.body).outcome, "ran", ran.body);
  const notRun = await sendCall({ port, path: `${query}pay-2` });
  assert.equal(JSON.parse(notRun.body).outcome, "not-run", notRun.body);
});

test("without a leader, claims wait for a new one and calls without a claim succeed", async () => {
  const status = await cluster.runCommand("status", "--json");
  const leaderIndex = cluster.controlAddresses.findIndex((address) =>
    new RegExp(`"leaderAddress":\\s*"${address}"`).test(status.output)
  );
  cluster.processes.getOrThrow(`control-${Math.max(leaderIndex, 0)}`).child
    .kill("SIGKILL");
  const port = cluster.nodes[0]?.outside ?? 0;
  const view = await sendCall({ port, path: "/balances/1" });
  assert.equal(view.status, 200);
  await waitFor(async () => {
    const response = await sendCall({
      port,
      method: "POST",
      path: "/transfers",
      headers: { "idempotency-key": "pay-3" },
      body: "amount=5",
    });
    return response.status === 200;
  }, 30_000);
  const runs = getRuns("portal-1").filter((each) => each.key === "pay-3");
  assert.equal(runs.length, 1);
});
