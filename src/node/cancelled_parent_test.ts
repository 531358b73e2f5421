import assert from "node:assert/strict";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { FakeLedger } from "../../tests/support/fake_ledger.ts";
import { sendCall } from "../../tests/support/http_call.ts";
import { startTestNode } from "../../tests/support/test_node.ts";
import { waitUntil } from "../../tests/support/wait_until.ts";
import type { NodeProcess } from "./node_process.ts";

/** Starts a target that does not respond by itself, and announces it. */
async function announceTarget(
  context: TestContext,
  { node, loopback }: { node: NodeProcess; loopback: number },
  onRequest: RequestListener,
): Promise<void> {
  const target = createServer(onRequest);
  await new Promise<void>((resolve) => target.listen(0, "127.0.0.1", resolve));
  context.after(async () => {
    await node.stop({ limitMilliseconds: 0 });
    target.closeAllConnections();
    target.close();
  });
  const { port } = target.address() as AddressInfo;
  await sendCall({
    port: loopback,
    method: "POST",
    path: "/dogwoodwalk/announce",
    body: JSON.stringify({ address: `127.0.0.1:${port}`, incarnation: 1 }),
  });
}

// Guards against a wrong not-run: a call with a key that was cancelled with its
// parent was reported as not-run without fencing the key, although an earlier
// send of the key could still run.
test("a keyed call that is cancelled with its parent is fenced", async (context) => {
  const ledger = new FakeLedger();
  const { node, outside, loopback } = await startTestNode("front-1", {
    ledger,
  });
  const tokens: string[] = [];
  await announceTarget(context, { node, loopback }, (request) => {
    tokens.push(String(request.headers["dogwoodwalk-request"]));
  });
  // The four slots are taken, so the call below waits in the queue.
  const parent = new AbortController();
  for (let slot = 0; slot < 4; slot++) {
    const signal = slot === 0 ? parent.signal : undefined;
    const call = {
      port: outside,
      path: `/views/${slot}`,
      ...(signal && { signal }),
    };
    sendCall(call).catch(() => {});
    await waitUntil(() => tokens.length === slot + 1, "the slot is taken");
  }
  const keyed = sendCall({
    port: loopback,
    method: "POST",
    path: "/transfers",
    headers: {
      "Host": "front",
      "dogwoodwalk-request": tokens[0] ?? "",
      "Idempotency-Key": "k1",
    },
    body: "amount=5",
  });
  await waitUntil(
    () => node.targetDispatcher.getStatus()?.queued === 1,
    "the keyed call waits",
  );
  parent.abort();
  const response = await keyed;
  assert.deepEqual(ledger.fencedKeys, ["k1"]);
  assert.match(response.body, /not-run.*cancelled/);
});

// Guards against calls that stay queued at a draining target until they time
// out, although another target could run them.
test("queued calls leave a target that drains", async (context) => {
  const { node, outside, loopback } = await startTestNode("front-1");
  await announceTarget(context, { node, loopback }, () => {});
  for (let slot = 0; slot < 4; slot++) {
    sendCall({ port: outside, path: `/views/${slot}` }).catch(() => {});
  }
  await waitUntil(
    () => node.targetDispatcher.getStatus()?.running === 4,
    "the slots are taken",
  );
  const queued = sendCall({ port: outside, path: "/views/5" });
  await waitUntil(
    () => node.targetDispatcher.getStatus()?.queued === 1,
    "a call waits",
  );
  await sendCall({
    port: loopback,
    method: "POST",
    path: "/dogwoodwalk/drain",
  });
  const response = await queued;
  assert.match(response.body, /not-run.*target-draining/);
});
