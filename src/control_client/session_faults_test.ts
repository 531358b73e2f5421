import assert from "node:assert/strict";
import { constants, createServer } from "node:http2";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { status } from "@grpc/grpc-js";
import { startFakeControlInstances } from "../../tests/support/fake_control_instance.ts";
import { ScriptedSessionServer } from "../../tests/support/scripted_session_server.ts";
import { SessionNode } from "../../tests/support/session_node.ts";
import { waitUntil } from "../../tests/support/wait_until.ts";

/** Incarnations that the wire cannot hold, or that no instance can read. */
const invalidIncarnations = [0.5, -1, 2 ** 53, 1e300, Infinity, NaN];

for (const incarnation of invalidIncarnations) {
  // Guards against a session that ends each time because of one announcement.
  test(`a session outlives an announcement with the incarnation ${incarnation}`, async (context) => {
    const [control] = await startFakeControlInstances(1);
    assert.ok(control !== undefined);
    context.after(() => control.kill());
    const node = new SessionNode({
      controlAddresses: [control.address],
      identity: { nodeId: "n1" },
    });
    const other = new SessionNode({
      controlAddresses: [control.address],
      identity: { nodeId: "n2" },
    });
    context.after(() =>
      Promise.all([node.session.stop(), other.session.stop()])
    );
    node.announce("ready", 1);
    node.announce("ready", incarnation);
    other.session.requestView("balances");
    await waitUntil(
      () => other.getStates("balances")["n1-target"] === "ready",
      "the valid announcement is known",
    );
    node.announce("draining", 2);
    await waitUntil(
      () => other.getStates("balances")["n1-target"] === "draining",
      "the session goes on",
    );
    assert.equal(node.session.getStatus().fault, undefined);
  });
}

const cases = [
  { name: "on each announcement", code: status.INTERNAL, isFault: true },
  { name: "as its instance ends", code: status.UNAVAILABLE, isFault: false },
];

for (const { name, code, isFault } of cases) {
  // Guards against a node that seems sound while it never gets a document.
  test(`a node whose session ends ${name} reports ${isFault ? "a" : "no"} fault`, async (context) => {
    let isRefusing = true;
    const server = new ScriptedSessionServer({
      statedRevision: 0,
      getDocument: () => undefined,
      getAnnouncementStatus: () => isRefusing ? code : undefined,
    });
    const address = await server.listen();
    const node = new SessionNode({
      controlAddresses: [address],
      identity: { nodeId: "n1" },
      renewalIntervalMilliseconds: 100,
      jitterMilliseconds: 10,
    });
    context.after(async () => {
      server.stop();
      await node.session.stop();
    });
    node.announce("ready");
    await waitUntil(() => server.sessionCount >= 5, "sessions end");
    assert.equal(node.session.getStatus().fault !== undefined, isFault);
    isRefusing = false;
    await waitUntil(
      () =>
        node.session.getStatus().connected &&
        node.session.getStatus().fault === undefined,
      "the session holds again",
    );
  });
}

// Guards against a fault that is reported because of broken connections: an
// instance that resets a stream has the status of one that refuses a message.
test("a node whose session streams are reset reports no fault", async (context) => {
  let streamCount = 0;
  const server = createServer();
  server.on("stream", (stream) => {
    streamCount++;
    stream.on("error", () => {});
    stream.close(constants.NGHTTP2_INTERNAL_ERROR);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const node = new SessionNode({
    controlAddresses: [`127.0.0.1:${port}`],
    identity: { nodeId: "n1" },
    renewalIntervalMilliseconds: 100,
    jitterMilliseconds: 10,
  });
  context.after(async () => {
    await node.session.stop();
    server.close();
  });
  await waitUntil(() => streamCount >= 5, "streams are reset");
  assert.equal(node.session.getStatus().fault, undefined);
});
