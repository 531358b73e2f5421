import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { FakeLedger } from "../../tests/support/fake_ledger.ts";
import { sendCall, waitFor } from "../../tests/support/http_call.ts";
import { startPair, type TestPair } from "../../tests/support/test_pair.ts";

/** Slots of the services in the test document. */
const slots = 4;
const neverMilliseconds = 600_000;

/** Gets the lines of an event without their level, time and ids. */
function getLines(pair: TestPair, event: string): string[] {
  return pair.logLines
    .filter((line) =>
      line.includes(`event="${event}"`) || line.includes(`event=${event}\n`)
    )
    .map((line) =>
      line.replace(/level=\S+ time=\S+ /, "")
        .replace(/request=\S+ |(milliseconds|sinceStop)=\S+ /g, "")
        .replace(/ event=.*\n/, "")
    );
}

function send(pair: TestPair): void {
  void sendCall({ port: pair.outside, method: "POST", path: "/plain" })
    .catch(() => {});
}

// Guards against calls that a stop ends without a line that says which request
// it was, what it waited for and where.
test("a stop at its limit logs each call that it ends, and what it waited for", async (context) => {
  const front = await startPair("front-1", {
    serviceMilliseconds: neverMilliseconds,
  });
  context.after(() => front.close());
  for (let count = 0; count < slots + 1; count++) {
    send(front);
  }
  await waitFor(() => front.node.targetDispatcher.callCount === slots + 1);
  await waitFor(() => front.target.running === slots);
  const socket = connect(front.outside, "127.0.0.1");
  context.after(() => socket.destroy());
  socket.on("error", () => {});
  socket.write(
    "POST /plain HTTP/1.1\r\nHost: front\r\nContent-Length: 9\r\n\r\npart",
  );
  await waitFor(() => front.node.originDispatcher.callCount === slots + 2);
  front.target.stopRenewing();
  await waitFor(() => front.node.loopback.openResponseCount === 0);
  await front.node.stop({ limitMilliseconds: 0 });
  const open = "origin=at-target:4,queued:1,receiving:1 " +
    "target=at-target:4,queued:1 responses=6";
  assert.deepEqual(getLines(front, "stop phase").slice(0, 2), [
    `phase=propagation ${open}`,
    `phase=calls ${open}`,
  ]);
  // The calls that no target has received are refused before the limit.
  assert.match(
    getLines(front, "calls aborted at the stop limit")[0] ?? "",
    /^calls=8 origin=at-target:4 target=at-target:4 responses=\d+$/,
  );
  assert.deepEqual(
    getLines(front, "call aborted"),
    Array.from({ length: slots }, () => "phase=at-target target=front-1"),
  );
  assert.deepEqual(getLines(front, "stop phase ended").slice(-1), [
    "phase=listeners responses=0",
  ]);
});

// Guards against calls of other nodes that a stop ends without any line.
test("a stop at its limit logs the calls of other nodes", async (context) => {
  const front = await startPair("front-1");
  const other = await startPair("front-2", {
    serviceMilliseconds: neverMilliseconds,
  });
  context.after(() => Promise.all([front.close(), other.close()]));
  front.node.targetDispatcher.target.drain();
  front.node.updateView("front", [other.getTarget()]);
  send(front);
  await waitFor(() => other.target.running === 1);
  await other.node.stop({ limitMilliseconds: 0 });
  assert.deepEqual(getLines(other, "call aborted"), [
    "phase=at-target target=front-2",
  ]);
});

// Guards against a stop whose log does not say that it waits for the ledger.
test("a stop logs the calls whose keys are being fenced", async (context) => {
  const ledger = new FakeLedger();
  ledger.fence = () => new Promise<never>(() => {});
  const front = await startPair("front-1", { ledger });
  context.after(() => front.close());
  front.node.state.isStopping = true;
  void sendCall({
    port: front.outside,
    method: "POST",
    path: "/transfers",
    headers: { "Idempotency-Key": "key-1" },
  }).catch(() => {});
  await waitFor(() => front.node.originDispatcher.callCount === 1);
  await front.node.stop({ limitMilliseconds: 0 });
  assert.equal(
    getLines(front, "stop phase")[0],
    "phase=propagation origin=fencing:1 responses=1",
  );
});
