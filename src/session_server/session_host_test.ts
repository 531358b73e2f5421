import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { after, test } from "node:test";
import { disabledMetrics } from "../common/mod.ts";
import { parseDocument } from "../document/mod.ts";
import {
  type FakeControlInstance,
  startFakeControlInstances,
} from "../../tests/support/fake_control_instance.ts";
import { SessionNode } from "../../tests/support/session_node.ts";
import { TcpProxy } from "../../tests/support/tcp_proxy.ts";
import { waitUntil } from "../../tests/support/wait_until.ts";

const file = "examples/benefits-office.toml";
const parsed = parseDocument(readFileSync(file, "utf8"), file);
assert.equal(parsed.kind, "ok");
const document = parsed.kind === "ok" ? parsed.value : undefined;

test("an isolated instance sends no document and no ledger index", async () => {
  assert.ok(document !== undefined);
  const [control] = await startFakeControlInstances(1);
  assert.ok(control !== undefined);
  after(() => control.kill());
  const start = (nodeId: string) => {
    const indexes: number[] = [];
    const node = new SessionNode({
      controlAddresses: [control.address],
      identity: { nodeId },
      onLedgerIndex: (index) => indexes.push(index),
    });
    after(() => void node.session.stop());
    return { node, indexes };
  };
  control.ledgerIndex = 7;
  control.acceptDocument("trial", { revision: 1, digest: "d1", document });
  const { node, indexes } = start("n1");
  node.announce("ready");
  await waitUntil(() => node.revisions.includes(1), "revision 1 arrives");
  await waitUntil(() => indexes.includes(7), "the ledger index arrives");
  await waitUntil(
    () =>
      node.linkShares.some((each) =>
        each.fromRegion === "Puget" && each.bytesPerSecond > 0
      ),
    "link shares arrive",
  );
  control.setAvailability("isolated");
  control.acceptDocument("trial", { revision: 2, digest: "d2", document });
  const late = start("n2");
  await waitUntil(
    () => late.node.session.getStatus().connected,
    "a node accepts an isolated instance when there is no other",
  );
  await waitUntil(
    () => late.node.views.get("balances")?.length === 1,
    "its views arrive, which are sent after the document",
  );
  assert.deepEqual([node.revisions, late.node.revisions], [[1], []]);
  assert.deepEqual(late.indexes, []);
  control.setAvailability("available");
  await waitUntil(
    () => late.node.revisions.includes(2) && node.revisions.includes(2),
    "both nodes get revision 2",
  );
});

// Guards against a document that is withheld because the instance is unavailable for a
// moment, and that nothing sends later.
test(
  "nodes get a document that was accepted while its instance was unavailable between two checks",
  async () => {
    assert.ok(document !== undefined);
    const [control] = await startFakeControlInstances(1);
    assert.ok(control !== undefined);
    after(() => control.kill());
    control.acceptDocument("trial", { revision: 1, digest: "d1", document });
    const node = startNode(control, { nodeId: "brief" });
    await waitUntil(() => node.revisions.includes(1), "revision 1 arrives");
    // Without `onAvailabilityChanged`, as no check has seen the change.
    control.availability = "outdated";
    control.acceptDocument("trial", { revision: 2, digest: "d2", document });
    control.availability = "available";
    await waitUntil(() => node.revisions.includes(2), "revision 2 arrives");
  },
);

// Nodes connect to an instance that has no document yet. If the instance reads
// the document before `onDocumentAccepted` takes effect, for a renewal or while
// it is isolated, nodes must still get the views of the services that they may
// call.
const earlyReads: readonly {
  readonly name: string;
  readonly acceptLater: (control: FakeControlInstance) => Promise<void>;
}[] = [
  {
    name: "by a renewal before it is announced",
    acceptLater: async (control) => {
      control.documents.set("trial", createFirstDocument());
      const node = startNode(control, { nodeId: "n3" });
      await waitUntil(() => node.revisions.includes(1), "revision 1 arrives");
      control.sessionHost.onDocumentAccepted("trial");
    },
  },
  {
    name: "while the instance is isolated",
    acceptLater: (control) => {
      control.setAvailability("isolated");
      control.acceptDocument("trial", createFirstDocument());
      control.setAvailability("available");
      return Promise.resolve();
    },
  },
];

for (const { name, acceptLater } of earlyReads) {
  test(`nodes get the views of a document that was read ${name}`, async () => {
    const [control] = await startFakeControlInstances(1);
    assert.ok(control !== undefined);
    after(() => control.kill());
    const caller = startNode(control, { nodeId: "n1" });
    const callee = startNode(control, { nodeId: "n2", service: "retailers" });
    callee.announce("ready");
    await waitUntil(
      () => callee.views.get("retailers")?.length === 1,
      "the target is known",
    );
    await waitUntil(
      () => caller.session.getStatus().connected,
      "the caller is connected",
    );
    await acceptLater(control);
    await waitUntil(
      () => caller.views.get("retailers")?.length === 1,
      "the caller knows the target that the document lets it call",
    );
  });
}

function createFirstDocument() {
  assert.ok(document !== undefined);
  return { revision: 1, digest: "d1", document };
}

function startNode(
  control: FakeControlInstance,
  identity: { nodeId: string; service?: string },
): SessionNode {
  const node = new SessionNode({
    controlAddresses: [control.address],
    identity,
  });
  after(() => void node.session.stop());
  return node;
}

const unreachableTargets: readonly {
  readonly name: string;
  prepare(control: FakeControlInstance): Promise<void> | void;
}[] = [
  {
    name: "an isolated instance",
    prepare: (control) => control.setAvailability("isolated"),
  },
  { name: "an instance that does not know all targets yet", prepare: () => {} },
  {
    name: "the last instance of a node without session",
    prepare: async (control) => {
      const proxy = new TcpProxy(control.address);
      await proxy.listen();
      const node = new SessionNode({
        controlAddresses: [proxy.address],
        identity: { nodeId: "n1" },
      });
      after(() => void node.session.stop());
      node.announce("ready");
      const { sessionHost } = control;
      await waitUntil(
        () => sessionHost.getTargets("trial").length === 1,
        "the target is known",
      );
      proxy.close();
      await waitUntil(() => sessionHost.sessionCount === 0, "the session ends");
    },
  },
];

for (const { name, prepare } of unreachableTargets) {
  // Guards against a proper drain that is final although it can succeed later.
  test(`${name} does not call a target unknown`, async () => {
    const [control] = await startFakeControlInstances(1);
    assert.ok(control !== undefined);
    after(() => control.kill());
    await prepare(control);
    const request = { environment: "trial", targetId: "n1-target" };
    assert.equal(control.sessionHost.drain(request).kind, "unavailable");
  });
}

test("an instance that knows all targets calls another one unknown", async () => {
  const [control] = await startFakeControlInstances(1, {
    graceMilliseconds: 0,
  });
  assert.ok(control !== undefined);
  after(() => control.kill());
  const request = { environment: "trial", targetId: "n1-target" };
  assert.equal(control.sessionHost.drain(request).kind, "unknown-target");
});

test("refused and redirected sessions are counted by reason", async () => {
  const counts = new Map<string, number>();
  const [control] = await startFakeControlInstances(1, {
    metrics: {
      ...disabledMetrics,
      increment: (name, { reason }) => {
        const key = `${name} ${reason}`;
        counts.set(key, (counts.get(key) ?? 0) + 1);
      },
    },
  });
  assert.ok(control !== undefined);
  after(() => control.kill());
  control.setAvailability("outdated");
  const node = startNode(control, { nodeId: "n1" });
  await waitUntil(
    () => node.session.getStatus().connected,
    "the node accepts an outdated instance when there is no other",
  );
  control.setAvailability("available");
  control.setAvailability("isolated");
  control.sessionHost.onAvailabilityChanged();
  assert.deepEqual([...counts], [
    ["sessions.refused outdated", 1],
    ["sessions.redirected isolated", 1],
  ]);
});
