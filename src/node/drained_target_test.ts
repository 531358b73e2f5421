import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  FakeControlInstance,
  startFakeControlInstances,
} from "../../tests/support/fake_control_instance.ts";
import { getFreePorts } from "../../tests/support/free_ports.ts";
import { sendCall } from "../../tests/support/http_call.ts";
import {
  parseTestDocument,
  startTestNode,
  type TestNode,
} from "../../tests/support/test_node.ts";
import { waitUntil } from "../../tests/support/wait_until.ts";
import { ControlLink, type ControlLinkOptions } from "./control_link.ts";

/** A node with a session, and the way to stop both. */
interface LinkedNode extends TestNode {
  getState(): string;
  announce(incarnation: number): Promise<void>;
  stop(): Promise<void>;
}

async function startLinkedNode(
  context: TestContext,
  controlAddress: string,
  options: Partial<ControlLinkOptions> = {},
): Promise<LinkedNode> {
  const started = await startTestNode("front-1", {
    extraSettings: "target_lease_ms = 60000",
  });
  const { node, loopback } = started;
  const link = new ControlLink(node, {
    interceptors: [],
    nodeAddress: `127.0.0.1:${node.node.port}`,
    confirmationLimitMilliseconds: 60_000,
    ...options,
  });
  link.setControlAddresses([controlAddress]);
  let stopped: Promise<unknown> | undefined;
  const stop = async () => {
    link.announceLeave();
    stopped ??= Promise.all([node.stop({ limitMilliseconds: 0 }), link.stop()]);
    await stopped;
  };
  context.after(stop);
  return {
    ...started,
    stop,
    getState: () => node.targetDispatcher.target.state,
    announce: async (incarnation) => {
      const { status } = await sendCall({
        port: loopback,
        method: "POST",
        path: "/dogwoodwalk/announce",
        body: JSON.stringify({ address: "127.0.0.1:1", incarnation }),
      });
      assert.equal(status, 200);
    },
  };
}

/** Starts two control instances with a document. */
async function startControl(context: TestContext) {
  const instances = await startFakeControlInstances(2, {
    graceMilliseconds: 3000,
  });
  context.after(() => instances.forEach((each) => each.kill()));
  const accepted = { revision: 2, digest: "d2", document: parseTestDocument() };
  instances.forEach((each) => each.acceptDocument("trial", accepted));
  const [first, second] = instances;
  assert.ok(first !== undefined && second !== undefined);
  return { first, second, accepted };
}

const restarts = [
  { name: "its node restarts", hasControlRestarted: false },
  {
    name: "its node and the control instance of its session restart",
    hasControlRestarted: true,
  },
];
for (const { name, hasControlRestarted } of restarts) {
  test(`a drained target is not ready for a moment after ${name}`, async (context) => {
    const { first, second, accepted } = await startControl(context);
    const node = await startLinkedNode(context, first.address);
    await node.announce(1);
    const isKnownAs = (state: string) =>
      second.sessionHost.getTargets("trial")[0]?.state === state;
    await waitUntil(() => isKnownAs("ready"), "the target is known");
    node.node.targetDispatcher.target.drain();
    await waitUntil(() => isKnownAs("draining"), "the drain is known");
    await node.stop();
    if (hasControlRestarted) {
      first.kill();
      const restarted = new FakeControlInstance({ instanceId: "control-0" });
      context.after(() => restarted.kill());
      await restarted.listen(first.port);
      restarted.peers = [second.peer];
      restarted.acceptDocument("trial", accepted);
    }
    const restarted = await startLinkedNode(context, first.address);
    await restarted.announce(1);
    await waitUntil(
      () => restarted.getState() === "draining",
      "the drain is restored",
    );
    assert.deepEqual(
      restarted.logLines.filter((line) => / state=ready /.test(line)),
      [],
    );
  });
}

test("a target that was not drained is ready again after its node restarts", async (context) => {
  const { first, second } = await startControl(context);
  const node = await startLinkedNode(context, first.address);
  await node.announce(1);
  await waitUntil(() => node.getState() === "ready", "the target is ready");
  await node.stop();
  const restarted = await startLinkedNode(context, second.address);
  await restarted.announce(1);
  await waitUntil(
    () => restarted.getState() === "ready",
    "the target is ready again",
  );
});

test("a target that started after its node is ready at once", async (context) => {
  const { first } = await startControl(context);
  const node = await startLinkedNode(context, first.address);
  await node.announce(Date.now() + 1);
  assert.equal(node.getState(), "ready");
});

test("a target whose node reaches no control instance is ready after a limit", async (context) => {
  const [port] = await getFreePorts(1);
  const node = await startLinkedNode(context, `127.0.0.1:${port}`, {
    confirmationLimitMilliseconds: 300,
  });
  await node.announce(1);
  assert.equal(node.getState(), "unconfirmed");
  await waitUntil(() => node.getState() === "ready", "the limit is reached");
});
