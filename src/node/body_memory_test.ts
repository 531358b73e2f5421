import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeLedger } from "../../tests/support/fake_ledger.ts";
import { sendCall } from "../../tests/support/http_call.ts";
import { connectPairs, startPair } from "../../tests/support/test_pair.ts";

const cases = [
  { name: "the node of the caller", exhausted: "origin" },
  { name: "the node of the target", exhausted: "peer" },
] as const;

for (const { name, exhausted } of cases) {
  // Guards against 413, after which no caller sends the request again.
  test(`a keyed call gets not-run and 503 while ${name} buffers too many bodies`, async (context) => {
    const ledger = new FakeLedger();
    const pairs = {
      origin: await startPair("front-1", { ledger }),
      peer: await startPair("front-2", { ledger }),
    };
    const { origin, peer } = pairs;
    context.after(() => Promise.all([origin.close(), peer.close()]));
    origin.node.targetDispatcher.target.drain();
    connectPairs([origin, peer]);
    const memory = pairs[exhausted].node.state.bodyMemory;
    const send = () =>
      sendCall({
        port: origin.outside,
        method: "POST",
        path: "/transfers",
        headers: { "Idempotency-Key": "k1" },
        body: "amount=5",
      });
    memory.reserveUnchecked(memory.limit);
    const refused = await send();
    assert.equal(refused.status, 503, refused.body);
    assert.equal(refused.headers["dogwoodwalk-disposition"], "not-run");
    memory.release(memory.limit);
    assert.equal((await send()).status, 200);
  });
}

test("a target renews its lease while its node buffers too many bodies", async (context) => {
  const pair = await startPair("front-1");
  context.after(() => pair.close());
  const memory = pair.node.state.bodyMemory;
  memory.reserveUnchecked(memory.limit);
  const response = await sendCall({
    port: pair.loopback,
    method: "POST",
    path: "/dogwoodwalk/renew",
    body: "{}",
  });
  assert.equal(response.status, 200, response.body);
});
