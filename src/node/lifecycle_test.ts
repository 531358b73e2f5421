import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { sendCall, waitFor } from "../../tests/support/http_call.ts";
import {
  type PairOptions,
  startPair,
  type TestPair,
} from "../../tests/support/test_pair.ts";
import { parseTestDocument } from "../../tests/support/test_node.ts";

async function start(
  context: TestContext,
  options: PairOptions = {},
): Promise<TestPair> {
  const pair = await startPair("front-1", options);
  context.after(() => pair.close());
  return pair;
}

async function getReason(pair: TestPair): Promise<string> {
  const { headers } = await sendCall({ port: pair.outside, path: "/views/1" });
  return `${headers["dogwoodwalk-disposition"]} ${
    headers["dogwoodwalk-reason"]
  }`;
}

const departures = [
  { action: "drain", reason: "not-run target-draining" },
  { action: "leave", reason: "not-run no-target" },
] as const;
for (const { action, reason } of departures) {
  test(`a target that sends ${action} gets no new calls, and finishes those in flight`, async (context) => {
    const front = await start(context, { serviceMilliseconds: 100 });
    const inFlight = sendCall({ port: front.outside, path: "/views/1" });
    await waitFor(() => front.target.running === 1);
    assert.equal(await front.target.notifyNode(action), 200);
    assert.equal(await getReason(front), reason);
    assert.equal((await inFlight).status, 200);
    assert.equal(front.target.runs.length, 1);
    await front.target.notifyNode("announce");
    assert.equal(await getReason(front), reason, "the same incarnation");
  });
}

test("a target that stops renewing expires, and is ready after an announcement", async (context) => {
  const front = await start(context, {
    extraSettings: "target_lease_ms = 200",
  });
  front.target.stopRenewing();
  await waitFor(() => front.node.targetDispatcher.target.state === "expired");
  assert.equal(await getReason(front), "not-run no-target");
  assert.equal(await front.target.notifyNode("renew"), 409);
  assert.equal(await front.target.notifyNode("announce"), 200);
  const response = await sendCall({ port: front.outside, path: "/views/1" });
  assert.equal(response.status, 200);
});

test("a target from the settings needs no renewal", async (context) => {
  const front = await start(context);
  const { port } = front.target;
  const other = await start(context, {
    extraSettings: `target = "127.0.0.1:${port}"`,
  });
  other.target.stopRenewing();
  const response = await sendCall({ port: other.outside, path: "/views/1" });
  assert.equal(response.status, 200);
});

test("a graceful stop refuses new calls and aborts none in flight", async (context) => {
  const front = await start(context, { serviceMilliseconds: 200 });
  const inFlight = sendCall({ port: front.outside, path: "/views/1" });
  await waitFor(() => front.target.running === 1);
  const stopped = front.node.stop({ limitMilliseconds: 20_000 });
  assert.equal(await getReason(front), "not-run stopping");
  assert.equal((await inFlight).status, 200);
  assert.deepEqual(await stopped, { abortedCalls: 0 });
});

test("a stop that reaches its limit reports the number of aborted calls", async (context) => {
  const front = await start(context, { serviceMilliseconds: 60_000 });
  const inFlight = sendCall({ port: front.outside, path: "/views/1" });
  await waitFor(() => front.target.running === 1);
  assert.ok((await front.node.stop({ limitMilliseconds: 0 })).abortedCalls > 0);
  const { status, headers } = await inFlight;
  assert.equal(status, 504);
  assert.equal(headers["dogwoodwalk-disposition"], "unknown");
  assert.ok(
    front.logLines.some((line) => line.includes("aborted at the stop limit")),
  );
});

test("each refusal is logged, and successful calls are not logged with their path", async (context) => {
  const front = await start(context);
  for (let index = 0; index < 5; index++) {
    await sendCall({ port: front.outside, path: "/nowhere" });
    await sendCall({ port: front.outside, path: "/views/1" });
  }
  const refusals = front.logLines.filter((line) =>
    line.includes("call not accepted")
  );
  assert.equal(refusals.length, 5);
  for (const line of refusals) {
    assert.match(line, /reason=unknown-route.*path=\/nowhere.*revision=1/);
  }
  assert.equal(front.logLines.some((line) => line.includes("/views/1")), false);
});

test("a new document is in force for the next call", async (context) => {
  const front = await start(context);
  const document = parseTestDocument();
  front.node.applyDocument({
    ...document,
    routes: document.routes.filter((route) => route.path !== "/views/*"),
  }, 2);
  assert.equal(await getReason(front), "not-run unknown-route");
  const page = await sendCall({
    port: front.loopback,
    path: "/dogwoodwalk/status",
  });
  assert.equal(JSON.parse(page.body).revision, 2);
});
