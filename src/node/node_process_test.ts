import assert from "node:assert/strict";
import { createHash, randomBytes } from "node:crypto";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { sendCall, waitFor } from "../../tests/support/http_call.ts";
import {
  connectPairs,
  type PairOptions,
  startPair,
  type TestPair,
} from "../../tests/support/test_pair.ts";

async function start(
  context: TestContext,
  nodeId: string,
  options: PairOptions = {},
): Promise<TestPair> {
  const pair = await startPair(nodeId, options);
  context.after(() => pair.close());
  return pair;
}

const callsBack = {
  "/views/": [{ service: "back", method: "GET", path: "/x" }],
};

test("a call is sent to the local target, without reserved headers of its caller", async (context) => {
  const front = await start(context, "front-1");
  const response = await sendCall({
    port: front.outside,
    path: "/views/1?x=2",
    headers: {
      "x-call": "a",
      "dogwoodwalk-request": "forged",
      "dogwoodwalk-context": "1;r;c;0;10;9;1;0;front;7",
    },
  });
  assert.equal(response.status, 200);
  const expected = { call: "a", path: "/views/1?x=2" };
  assert.deepEqual(JSON.parse(response.body), expected);
  assert.equal(front.target.runs.length, 1);
  assert.notEqual(front.target.runs[0]?.request, "forged");
  assert.equal(response.headers["dogwoodwalk-answer"], undefined);
  assert.equal(front.node.callCount, 0);
  assert.equal(front.node.state.bodyMemory.usedBytes, 0);
});

test("a target's own calls reach another node within the same request", async (context) => {
  const front = await start(context, "front-1", { calls: callsBack });
  const back = await start(context, "back-1", { service: "back" });
  connectPairs([front, back]);
  const response = await sendCall({
    port: front.outside,
    path: "/views/1",
    headers: { "x-call": "b" },
  });
  assert.equal(response.status, 200);
  assert.equal(back.target.runs[0]?.call, "b");
  assert.notEqual(back.target.runs[0]?.request, front.target.runs[0]?.request);
});

test("an outgoing call of a request that ended is refused before it runs", async (context) => {
  const front = await start(context, "front-1");
  const back = await start(context, "back-1", { service: "back" });
  connectPairs([front, back]);
  const response = await sendCall({
    port: front.loopback,
    path: "/x",
    headers: { host: "back", "dogwoodwalk-request": "gone" },
  });
  assert.equal(response.headers["dogwoodwalk-reason"], "cancelled");
  assert.equal(back.target.runs.length, 0);
});

test("a shed call is retried at another target, and counted by reason", async (context) => {
  const first = await start(context, "front-1", { slots: 0, queueLimit: 0 });
  const second = await start(context, "front-2");
  connectPairs([first, second]);
  const response = await sendCall({ port: first.outside, path: "/views/1" });
  assert.equal(response.status, 200);
  assert.equal(second.target.runs.length, 1);
  const counters = first.node.state.counters.get("front", "low");
  assert.equal(counters.failedAttempts.get("target-shed"), 1);
  assert.equal(counters.retried.get("not-run"), 1);
});

test("attempts of a request never exceed its allowance over two levels of retries", async (context) => {
  const front = await start(context, "front-1", { calls: callsBack });
  const backs = await Promise.all(
    [1, 2, 3, 4, 5].map((each) =>
      start(context, `back-${each}`, { service: "back" })
    ),
  );
  connectPairs([front, ...backs]);
  for (const back of backs) {
    // Accepts connections and closes them without a response.
    await back.target.close();
    const broken = createServer((request) => {
      runs.push(String(request.url));
      request.socket.destroy();
    });
    await new Promise<void>((resolve) => broken.listen(0, resolve));
    context.after(() => broken.close());
    const { port } = broken.address() as AddressInfo;
    back.node.targetDispatcher.target.announce({
      endpoint: { host: "127.0.0.1", port },
      incarnation: Date.now() + 1000,
    }, { hasLease: false });
  }
  const response = await sendCall({ port: front.outside, path: "/views/1" });
  assert.ok(response.status >= 500);
  const attempts = front.target.runs.length + runs.length;
  assert.ok(runs.length >= 2, "at least one retry below the front");
  assert.ok(attempts <= 6, `${attempts} attempts of an allowance of 6`);
});
const runs: string[] = [];

test("large bodies pass unchanged in both directions", async (context) => {
  const front = await start(context, "front-1");
  const digests: string[] = [];
  const large = randomBytes(3 * 1024 * 1024);
  const server = createServer((request, response) => {
    const hash = createHash("sha256");
    request.on("data", (chunk) => hash.update(chunk));
    request.on("end", () => {
      digests.push(hash.digest("hex"));
      response.end(large);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, resolve));
  context.after(() => server.close());
  front.node.targetDispatcher.target.announce({
    endpoint: {
      host: "127.0.0.1",
      port: (server.address() as AddressInfo).port,
    },
    incarnation: Date.now() + 1000,
  }, { hasLease: false });
  for (const chunked of [true, false]) {
    const response = await sendCall({
      port: front.outside,
      method: "POST",
      path: "/views/1",
      headers: chunked
        ? { "transfer-encoding": "chunked" }
        : { "content-length": String(large.length) },
      body: large,
    });
    assert.equal(response.status, 200);
    assert.ok(response.bytes.equals(large));
  }
  const digest = createHash("sha256").update(large).digest("hex");
  assert.deepEqual(digests, [digest, digest]);
  assert.equal(front.node.state.bodyMemory.usedBytes, 0);
});

test("each caller gets the response to its own request under concurrency", async (context) => {
  const front = await start(context, "front-1", {
    slots: 100,
    calls: callsBack,
  });
  const back = await start(context, "back-1", {
    service: "back",
    slots: 100,
    serviceMilliseconds: 1,
  });
  connectPairs([front, back]);
  const calls = Array.from({ length: 100 }, (_, index) => `call-${index}`);
  const responses = await Promise.all(
    calls.map((call) =>
      sendCall({
        port: front.outside,
        path: "/views/1",
        headers: { "x-call": call },
      })
    ),
  );
  responses.forEach((response, index) => {
    if (response.status === 200) {
      assert.equal(JSON.parse(response.body).call, calls[index]);
    } else {
      assert.ok(response.headers["dogwoodwalk-reason"]);
    }
  });
  assert.ok(responses.filter((each) => each.status === 200).length >= 4);
  await waitFor(() => front.node.callCount + back.node.callCount === 0);
});
