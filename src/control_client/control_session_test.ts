import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { after, test } from "node:test";
import { decodeDocumentPart, parseDocument } from "../document/mod.ts";
import {
  type FakeControlInstance,
  startFakeControlInstances,
} from "../../tests/support/fake_control_instance.ts";
import { SessionNode } from "../../tests/support/session_node.ts";
import { waitUntil } from "../../tests/support/wait_until.ts";

const file = "examples/benefits-office.toml";
const parsed = parseDocument(readFileSync(file, "utf8"), file);
assert.equal(parsed.kind, "ok");
const document = parsed.kind === "ok" ? parsed.value : undefined;

const cleanUps: (() => void)[] = [];
after(() => cleanUps.forEach((each) => each()));

async function startControl(count: number): Promise<FakeControlInstance[]> {
  const instances = await startFakeControlInstances(count);
  cleanUps.push(() => instances.forEach((each) => each.kill()));
  return instances;
}

function startNode(
  instances: readonly FakeControlInstance[],
  identity: { nodeId: string; service?: string },
): SessionNode {
  const node = new SessionNode({
    controlAddresses: instances.map((each) => each.address),
    identity,
  });
  cleanUps.push(() => void node.session.stop());
  return node;
}

function accept(
  instances: readonly FakeControlInstance[],
  revision: number,
): void {
  assert.ok(document !== undefined);
  for (const instance of instances) {
    instance.acceptDocument("trial", {
      revision,
      digest: `d${revision}`,
      document,
    });
  }
}

test("a session carries documents, announcements, views and drains", async () => {
  const instances = await startControl(2);
  accept(instances, 4);
  const caller = startNode(instances, { nodeId: "n1", service: "enrollment" });
  const callee = startNode(instances, { nodeId: "n2", service: "balances" });
  callee.announce("ready");
  await waitUntil(
    () => caller.getStates("balances")["n2-target"] === "ready",
    "the caller knows the target",
  );
  assert.deepEqual(caller.revisions, [4]);
  assert.ok(caller.documentPart !== undefined);
  assert.deepEqual(
    [...decodeDocumentPart(caller.documentPart).services.keys()].sort(),
    ["balances", "enrollment", "retailers"],
  );
  const drainOutcomes = instances.map(({ sessionHost: host }) =>
    host.drain({ environment: "trial", targetId: "n2-target" }).kind
  );
  assert.ok(drainOutcomes.includes("asked"));
  await waitUntil(
    () => callee.drainRequests.length > 0,
    "the node receives the request",
  );
  callee.announce("draining");
  await waitUntil(
    () => caller.getStates("balances")["n2-target"] === "draining",
    "the caller knows that the target drains",
  );
  callee.announce("left");
  await waitUntil(
    () => caller.views.get("balances")?.length === 0,
    "the target is removed from the view",
  );
  accept(instances, 3);
  accept(instances, 5);
  await waitUntil(() => caller.revisions.length > 1, "revision 5 arrives");
  // Guards against a node that goes back to an earlier revision.
  assert.deepEqual(caller.revisions, [4, 5]);
  await waitUntil(
    () =>
      instances.every(({ sessionHost: host }) =>
        host.getLiveNodes("trial").filter((each) => each.revision === 5)
          .length === 2
      ),
    "all instances know the revision of all nodes",
  );
  await caller.session.stop();
  await waitUntil(
    () =>
      instances.every(({ sessionHost: host }) =>
        host.getLiveNodes("trial").length === 1
      ),
    "the lease of a stopped node ends",
  );
});

test("a node receives addresses of control instances that its settings lack", async () => {
  const first = await startFakeControlInstances(1, {
    address: "10.0.0.1:7000",
  });
  cleanUps.push(() => first.forEach((each) => each.kill()));
  first.forEach((each) => {
    each.peers = [{ instanceId: "other", address: "10.0.0.2:7000" }];
  });
  const node = startNode(first, { nodeId: "n1" });
  await waitUntil(
    () => node.session.getControlAddresses().includes("10.0.0.2:7000"),
    "the node knows the other instance",
  );
  node.session.setControlAddresses(["10.0.0.3:7000"]);
  const addresses = node.session.getControlAddresses();
  assert.ok(addresses.includes("10.0.0.2:7000"));
  assert.ok(addresses.includes("10.0.0.3:7000"));
});
