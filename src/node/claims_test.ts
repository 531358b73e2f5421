import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { FakeLedger } from "../../tests/support/fake_ledger.ts";
import {
  type HttpResponse,
  sendCall,
  waitFor,
} from "../../tests/support/http_call.ts";
import {
  connectPairs,
  type PairOptions,
  startPair,
  type TestPair,
} from "../../tests/support/test_pair.ts";

async function start(
  context: TestContext,
  ledger: FakeLedger,
  options: PairOptions & { nodeId?: string } = {},
): Promise<TestPair> {
  const pair = await startPair(options.nodeId ?? "front-1", {
    ledger,
    ...options,
  });
  context.after(() => pair.close());
  return pair;
}

function transfer(
  pair: TestPair,
  options: { key?: string; body?: string; crash?: boolean } = {},
): Promise<HttpResponse> {
  return sendCall({
    port: pair.outside,
    method: "POST",
    path: "/transfers",
    headers: {
      ...(options.key !== "" && { "idempotency-key": options.key ?? "k1" }),
      ...(options.crash && { "x-crash": "1" }),
    },
    body: options.body ?? "amount=5",
  });
}

function getReason(response: HttpResponse): string {
  const { headers } = response;
  return `${headers["dogwoodwalk-disposition"]} ${
    headers["dogwoodwalk-reason"]
  }`;
}

test("a transfer runs once, and a later send gets the earlier response", async (context) => {
  const ledger = new FakeLedger();
  const front = await start(context, ledger);
  const first = await transfer(front);
  const second = await transfer(front);
  assert.equal(first.status, 200);
  assert.equal(second.status, 200);
  assert.equal(second.body, first.body);
  assert.equal(front.target.runs.length, 1);
  const [counters] = front.node.state.counters.getStatus();
  assert.equal(counters?.resent, 1);
});

test("sends with the same key at the same time join one call", async (context) => {
  const ledger = new FakeLedger();
  const front = await start(context, ledger, { serviceMilliseconds: 50 });
  const responses = await Promise.all([1, 2, 3].map(() => transfer(front)));
  assert.deepEqual(responses.map((each) => each.status), [200, 200, 200]);
  assert.equal(front.target.runs.length, 1);
  assert.equal(ledger.claims.length, 1);
});

test("sends with the same key at two nodes run once", async (context) => {
  const ledger = new FakeLedger();
  const first = await start(context, ledger, { serviceMilliseconds: 50 });
  const second = await start(context, ledger, { nodeId: "front-2" });
  connectPairs([first, second]);
  const running = transfer(first);
  await waitFor(() => first.target.runs.length === 1);
  const denied = await transfer(second);
  assert.equal(getReason(denied), "unknown claim-in-progress");
  assert.equal((await running).status, 200);
  assert.equal(second.target.runs.length, 0);
});

const payloads = [
  { name: "while the first send runs", serviceMilliseconds: 100 },
  { name: "after the first send ran", serviceMilliseconds: 0 },
];
for (const { name, serviceMilliseconds } of payloads) {
  test(`a different payload under the same key is refused ${name}`, async (context) => {
    const front = await start(context, new FakeLedger(), {
      serviceMilliseconds,
    });
    const first = transfer(front, { body: "amount=5" });
    await waitFor(() => front.target.runs.length === 1);
    if (serviceMilliseconds === 0) {
      await first;
    }
    const second = await transfer(front, { body: "amount=6" });
    assert.equal(getReason(second), "not-run key-conflict");
    assert.equal((await first).status, 200);
    assert.equal(front.target.runs.length, 1);
  });
}

test("a resend of a transfer that ran gets its response, although another payload with its key waits", async (context) => {
  const ledger = new FakeLedger();
  const first = await start(context, ledger);
  const second = await start(context, ledger, { nodeId: "front-2" });
  const ran = await transfer(first, { body: "amount=5" });
  let continueClaim = (): void => {};
  ledger.beforeClaim = () => new Promise((resolve) => continueClaim = resolve);
  const other = transfer(second, { body: "amount=6" });
  await waitFor(() => ledger.claims.length === 2);
  ledger.beforeClaim = () => Promise.resolve();
  const resent = await transfer(second, { body: "amount=5" });
  continueClaim();
  assert.equal(resent.body, ran.body);
  assert.equal(getReason(await other), "not-run key-conflict");
  assert.equal(second.target.runs.length, 0);
});

test("a transfer without a key is refused where the route requires one", async (context) => {
  const front = await start(context, new FakeLedger());
  const response = await transfer(front, { key: "" });
  assert.equal(getReason(response), "not-run key-required");
  assert.equal(front.target.runs.length, 0);
});

test("the claim of a shed transfer is released before the caller gets the refusal, so that a resend runs", async (context) => {
  const ledger = new FakeLedger();
  const front = await start(context, ledger, { slots: 0, queueLimit: 0 });
  const shed = await transfer(front);
  assert.equal(getReason(shed), "not-run target-shed");
  assert.equal(ledger.releases.length, ledger.claims.length);
  front.target.behavior.slots = 4;
  assert.equal((await transfer(front)).status, 200);
  assert.equal(front.target.runs.length, 1);
});

test("a transfer whose target crashed stays unknown, and a resend does not run", async (context) => {
  const ledger = new FakeLedger();
  const front = await start(context, ledger);
  const second = await start(context, ledger, { nodeId: "front-2" });
  connectPairs([front, second]);
  const failed = await transfer(front, { crash: true });
  assert.equal(getReason(failed), "unknown suspect");
  const resent = await transfer(second, { crash: true });
  assert.match(getReason(resent), /^unknown /);
  assert.equal(front.target.runs.length + second.target.runs.length, 1);
});

test("without the ledger a transfer is not dispatched and reported as unknown", async (context) => {
  const ledger = new FakeLedger();
  ledger.isUnavailable = true;
  const front = await start(context, ledger);
  const response = await transfer(front);
  assert.equal(getReason(response), "unknown ledger-unavailable");
  assert.equal(front.target.runs.length, 0);
  const view = await sendCall({ port: front.outside, path: "/views/1" });
  assert.equal(view.status, 200);
});

test("a request whose claim is pending when its key is reported as not run is not dispatched", async (context) => {
  const ledger = new FakeLedger();
  const front = await start(context, ledger);
  let continueClaim = (): void => {};
  ledger.beforeClaim = () => new Promise((resolve) => continueClaim = resolve);
  const waiting = transfer(front);
  await waitFor(() => ledger.claims.length === 1);
  const query = await sendCall({
    port: front.outside,
    path: "/dogwoodwalk/outcome?service=front&key=k1",
  });
  assert.equal(JSON.parse(query.body).outcome, "not-run");
  continueClaim();
  assert.equal(getReason(await waiting), "not-run claim-superseded");
  assert.equal(front.target.runs.length, 0);
});

test("the outcome query returns the response of a request that ran", async (context) => {
  const front = await start(context, new FakeLedger());
  const first = await transfer(front);
  const query = await sendCall({
    port: front.outside,
    path: "/dogwoodwalk/outcome?service=front&key=k1",
  });
  const { outcome, response } = JSON.parse(query.body);
  assert.equal(outcome, "ran");
  assert.equal(
    Buffer.from(response.bodyBase64, "base64").toString(),
    first.body,
  );
});

const unansweredQueries = [
  {
    name: "without a document",
    hasDocument: false,
    service: "front",
    expected: "unknown no-target",
  },
  {
    name: "whose document does not have the service yet",
    hasDocument: true,
    service: "newer",
    expected: "unknown malformed-request",
  },
];
for (const { name, hasDocument, service, expected } of unansweredQueries) {
  test(`a node ${name} does not answer an outcome query with not-run`, async (context) => {
    const front = await start(context, new FakeLedger());
    if (!hasDocument) {
      front.node.state.view = undefined;
    }
    const query = await sendCall({
      port: front.outside,
      path: `/dogwoodwalk/outcome?service=${service}&key=k1`,
    });
    assert.equal(getReason(query), expected);
    assert.doesNotMatch(query.body, /not-run/);
  });
}

test("a claim is released when the target left while the claim was pending", async (context) => {
  const ledger = new FakeLedger();
  const front = await start(context, ledger);
  let continueClaim = (): void => {};
  ledger.beforeClaim = () => new Promise((resolve) => continueClaim = resolve);
  const waiting = transfer(front);
  await waitFor(() => ledger.claims.length === 1);
  await front.target.notifyNode("leave");
  ledger.beforeClaim = () => Promise.resolve();
  continueClaim();
  assert.match(getReason(await waiting), /^not-run /);
  assert.equal(front.target.runs.length, 0);
  assert.equal(ledger.releases.length, 1);
});

test("the claim of a caller that disconnects before it is granted is released", async (context) => {
  const ledger = new FakeLedger();
  const front = await start(context, ledger);
  let continueClaim = (): void => {};
  ledger.beforeClaim = () => new Promise((resolve) => continueClaim = resolve);
  const abort = new AbortController();
  const waiting = sendCall({
    port: front.outside,
    method: "POST",
    path: "/transfers",
    headers: { "idempotency-key": "k1" },
    signal: abort.signal,
  }).catch(() => undefined);
  await waitFor(() => ledger.claims.length === 1);
  abort.abort();
  await waiting;
  await waitFor(() => front.node.callCount === 0);
  continueClaim();
  await waitFor(() => ledger.releases.length === 1);
  assert.equal(front.target.runs.length, 0);
});

test("a transfer whose caller disconnects completes, and a resend gets its response", async (context) => {
  const ledger = new FakeLedger();
  const front = await start(context, ledger, { serviceMilliseconds: 100 });
  const abort = new AbortController();
  const left = sendCall({
    port: front.outside,
    method: "POST",
    path: "/transfers",
    headers: { "idempotency-key": "k1" },
    body: "amount=5",
    signal: abort.signal,
  });
  await waitFor(() => front.target.runs.length === 1);
  abort.abort();
  await assert.rejects(left);
  await waitFor(() => front.target.runs[0]?.end === "completed");
  await waitFor(async () => (await transfer(front)).status === 200);
  assert.equal(front.target.runs.length, 1);
});
