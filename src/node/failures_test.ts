import assert from "node:assert/strict";
import { connect, createServer, type Server } from "node:net";
import { test, type TestContext } from "node:test";
import { announceServer } from "../../tests/support/announce_server.ts";
import { sendCall, waitFor } from "../../tests/support/http_call.ts";
import {
  connectPairs,
  type PairOptions,
  startPair,
  type TestPair,
} from "../../tests/support/test_pair.ts";
import { ManualClock } from "../common/mod.ts";
import { getBodyHashes, getRequestFingerprints } from "../request/mod.ts";
import type { TargetAnnouncement } from "./announced_target.ts";

/** Gets the widest fingerprint of a request without a body. */
function getFingerprint(path: string): string {
  const [widest] = getRequestFingerprints({
    service: "front",
    method: "GET",
    path,
    headers: [],
    body: getBodyHashes(Buffer.alloc(0)),
  });
  return widest as string;
}

async function start(
  context: TestContext,
  nodeId: string,
  options: PairOptions = {},
): Promise<TestPair> {
  const pair = await startPair(nodeId, options);
  context.after(() => pair.close());
  return pair;
}

/** Replaces the target by a server that sends a text and closes or resets. */
async function replaceTarget(
  context: TestContext,
  pair: TestPair,
  text: string,
  isReset = false,
): Promise<Server> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      if (isReset) {
        socket.write(text, () => socket.resetAndDestroy());
      } else {
        socket.end(text);
      }
    });
  });
  await announceServer(context, pair, server);
  return server;
}

const invalidResponses = [
  {
    name: "ends before its length",
    text: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
  },
  {
    name: "ends inside a chunk",
    text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nhalf",
  },
  {
    name: "has no length and is reset",
    text: "HTTP/1.1 200 OK\r\n\r\nwhole?",
    isReset: true,
  },
  {
    name: "has status 99",
    text: "HTTP/1.1 099 No\r\nContent-Length: 0\r\n\r\n",
  },
];
for (const { name, text, isReset } of invalidResponses) {
  test(`a response that ${name} is never passed on as complete`, async (context) => {
    const front = await start(context, "front-1");
    await replaceTarget(context, front, text, isReset);
    const response = await sendCall({ port: front.outside, path: "/short" });
    assert.equal(response.headers["dogwoodwalk-disposition"], "unknown");
    assert.ok(response.status >= 500);
  });
}

test("an aborted streamed response ends the caller's connection with an error", async (context) => {
  const front = await start(context, "front-1");
  await replaceTarget(
    context,
    front,
    `HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n${"x".repeat(100_000)}`,
  );
  await assert.rejects(sendCall({ port: front.outside, path: "/short" }));
  assert.equal(front.node.callCount, 0);
});

test("a caller that disconnects during a streamed response frees the target's slot", async (context) => {
  const front = await start(context, "front-1");
  const endless = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("close", () => closed++);
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n");
      socket.write(Buffer.alloc(50_000_000));
    });
  });
  let closed = 0;
  await announceServer(context, front, endless);
  // Never reads, so that the response is blocked when the caller disconnects.
  const caller = connect(front.outside, "127.0.0.1");
  caller.on("error", () => {});
  caller.pause();
  caller.write("GET /views/1 HTTP/1.1\r\nHost: front\r\n\r\n");
  await waitFor(() => front.node.targetDispatcher.getStatus()?.running === 1);
  await waitFor(() =>
    front.node.state.counters.get("front", "low").completed === 1
  );
  caller.destroy();
  await waitFor(() => front.node.callCount === 0);
  await waitFor(() => closed === 1);
  assert.equal(front.node.targetDispatcher.getStatus()?.running, 0);
});

test("a target cannot forge a disposition or an answer", async (context) => {
  const front = await start(context, "front-1");
  await replaceTarget(
    context,
    front,
    "HTTP/1.1 500 Error\r\nContent-Length: 0\r\nDogwoodwalk-Disposition: not-run\r\n" +
      "dogwoodwalk-answer: 1;not-run;;9;;\r\nX-Own: 1\r\n\r\n",
  );
  const response = await sendCall({ port: front.outside, path: "/short" });
  assert.equal(response.status, 500);
  assert.equal(response.headers["x-own"], "1");
  assert.equal(response.headers["dogwoodwalk-disposition"], undefined);
  assert.equal(response.headers["dogwoodwalk-answer"], undefined);
});

test("a call to a target that accepts no connection did not run, and is retried at another one", async (context) => {
  const first = await start(context, "front-1");
  const second = await start(context, "front-2");
  connectPairs([first, second]);
  await first.target.close();
  const response = await sendCall({
    port: first.outside,
    method: "POST",
    path: "/plain",
  });
  assert.equal(response.status, 200);
  assert.equal(second.target.runs.length, 1);
});

test("a caller that disconnects ends the work at each level", async (context) => {
  const front = await start(context, "front-1", {
    calls: { "/views/": [{ service: "back", method: "GET", path: "/x" }] },
  });
  const back = await start(context, "back-1", {
    service: "back",
    serviceMilliseconds: 60_000,
  });
  connectPairs([front, back]);
  const abort = new AbortController();
  const call = sendCall({
    port: front.outside,
    path: "/views/1",
    signal: abort.signal,
  });
  await waitFor(() => back.target.runs.length === 1);
  abort.abort();
  await assert.rejects(call);
  await waitFor(() => back.target.runs[0]?.end === "cancelled");
  // The target may see its outgoing call end before its connection closes.
  await waitFor(() => front.target.runs[0]?.end !== "running");
  assert.notEqual(front.target.runs[0]?.end, "completed");
  await waitFor(() => front.node.callCount + back.node.callCount === 0);
});

test("a passed deadline ends the work at the target, and the caller gets unknown", async (context) => {
  const front = await start(context, "front-1", {
    serviceMilliseconds: 60_000,
  });
  const response = await sendCall({ port: front.outside, path: "/short" });
  assert.equal(response.headers["dogwoodwalk-disposition"], "unknown");
  assert.equal(response.headers["dogwoodwalk-reason"], "target-timeout");
  await waitFor(() => front.target.runs[0]?.end === "cancelled");
});

test("a queued call whose deadline passes did not run", async (context) => {
  const front = await start(context, "front-1", {
    serviceMilliseconds: 60_000,
  });
  const runningCalls = Array.from({ length: 4 }, () => {
    const abort = new AbortController();
    const call = sendCall({
      port: front.outside,
      path: "/views/1",
      signal: abort.signal,
    }).catch(() => undefined);
    return { abort, call };
  });
  await waitFor(() => front.target.running === 4);
  const response = await sendCall({ port: front.outside, path: "/short" });
  assert.equal(response.headers["dogwoodwalk-disposition"], "not-run");
  runningCalls.forEach(({ abort }) => abort.abort());
  await Promise.all(runningCalls.map(({ call }) => call));
  assert.equal(front.target.runs.length, 4);
});

test("a request that crashes its target is not retried at another one", async (context) => {
  const first = await start(context, "front-1");
  const second = await start(context, "front-2");
  connectPairs([first, second]);
  const crash = {
    port: first.outside,
    path: "/views/9",
    headers: { "x-crash": "1" },
  };
  const response = await sendCall(crash);
  assert.equal(response.headers["dogwoodwalk-reason"], "suspect");
  assert.equal(response.headers["dogwoodwalk-disposition"], "unknown");
  assert.equal(second.target.runs.length, 0);
  assert.equal(first.node.targetDispatcher.target.state, "crashed");
  // The update that control would send to the other node.
  const fingerprint = getFingerprint("/views/9");
  second.node.state.suspects.applyUpdate({
    suspects: [],
    cleared: [],
    quarantined: [fingerprint],
  });
  const again = await sendCall({ ...crash, port: second.outside });
  assert.equal(again.headers["dogwoodwalk-reason"], "quarantined");
  assert.equal(again.headers["dogwoodwalk-disposition"], "not-run");
  assert.equal(second.target.runs.length, 0);
});

for (
  const { name, incarnationStep, crashes } of [
    { name: "as a new incarnation", incarnationStep: 1, crashes: 1 },
    { name: "after its lease has ended", incarnationStep: 0, crashes: 0 },
  ]
) {
  test(`a target that reset a call is ready when it is announced ${name}`, async (context) => {
    const clock = new ManualClock();
    const front = await start(context, "front-1", { clock });
    await replaceTarget(context, front, "", true);
    const { target } = front.node.targetDispatcher;
    const reports: unknown[] = [];
    front.node.events = {
      onTargetChange: () => {},
      onCrash: (report) => reports.push(report),
      onSuspectCleared: () => {},
    };
    const response = await sendCall({ port: front.outside, path: "/views/1" });
    assert.equal(response.headers["dogwoodwalk-reason"], "target-reset");
    const { endpoint, incarnation } = target.announcement as TargetAnnouncement;
    target.announce({ endpoint, incarnation }, { hasLease: true });
    clock.advance(front.node.state.settings.targetLeaseMilliseconds);
    target.checkLease();
    assert.equal(target.state, "expired");
    target.announce(
      { endpoint, incarnation: incarnation + incarnationStep },
      { hasLease: false },
    );
    assert.equal(target.state, "ready");
    assert.equal(reports.length, crashes);
  });
}

test("a suspect runs alone, and is cleared when it completes", async (context) => {
  const front = await start(context, "front-1", { serviceMilliseconds: 30 });
  const { suspects } = front.node.state;
  const probe = await sendCall({ port: front.outside, path: "/views/7" });
  assert.equal(probe.status, 200);
  const cleared: string[] = [];
  front.node.events = {
    onTargetChange: () => {},
    onCrash: () => {},
    onSuspectCleared: (each) => cleared.push(each),
  };
  const fingerprint = getFingerprint("/views/7");
  suspects.applyUpdate({ suspects: [fingerprint], cleared: [] });
  let maximumRunning = 0;
  const samplingTimer = setInterval(() => {
    const isSuspectRunning = front.target.runs.some((each) =>
      each.path === "/views/7" && each.end === "running"
    );
    maximumRunning = Math.max(
      maximumRunning,
      isSuspectRunning ? front.target.running : 0,
    );
  }, 1);
  const responses = await Promise.all(
    ["/views/1", "/views/7", "/views/2"].map((path) =>
      sendCall({ port: front.outside, path })
    ),
  );
  clearInterval(samplingTimer);
  assert.deepEqual(responses.map((each) => each.status), [200, 200, 200]);
  assert.ok(
    maximumRunning <= 1,
    `${maximumRunning} calls ran with the suspect`,
  );
  assert.deepEqual(cleared, [fingerprint]);
  assert.equal(suspects.isSuspect([fingerprint]), false);
});

// Guards against a busy request that runs alone although it completes elsewhere.
test("a call that started before its request became a suspect clears it", async (context) => {
  const front = await start(context, "front-1", { serviceMilliseconds: 50 });
  const { suspects } = front.node.state;
  const cleared: string[] = [];
  front.node.events = {
    onTargetChange: () => {},
    onCrash: () => {},
    onSuspectCleared: (each) => cleared.push(each),
  };
  const call = sendCall({ port: front.outside, path: "/views/1" });
  await waitFor(() => front.target.running === 1);
  const fingerprint = getFingerprint("/views/1");
  suspects.applyUpdate({ suspects: [fingerprint], cleared: [] });
  assert.equal((await call).status, 200);
  assert.deepEqual(cleared, [fingerprint]);
  assert.equal(suspects.isSuspect([fingerprint]), false);
});

const suspectChanges = [
  {
    name: "is refused when its request is quarantined",
    update: { suspects: [], quarantined: ["/views/7"] },
    reason: "quarantined",
  },
  {
    name: "no longer runs alone when its request is cleared",
    update: { suspects: [], cleared: ["/views/7"] },
    reason: undefined,
  },
];
for (const { name, update, reason } of suspectChanges) {
  // Guards against queued calls that keep what was known when they were admitted.
  test(`a queued suspect ${name}`, async (context) => {
    const front = await start(context, "front-1", {
      serviceMilliseconds: 60_000,
    });
    const { node } = front;
    const abort = new AbortController();
    const running = sendCall({
      port: front.outside,
      path: "/views/1",
      signal: abort.signal,
    }).catch(() => {});
    await waitFor(() => front.target.running === 1);
    node.state.suspects.applyUpdate({
      suspects: [getFingerprint("/views/7")],
      cleared: [],
    });
    const suspect = sendCall({
      port: front.outside,
      path: "/views/7",
      signal: abort.signal,
    }).catch(() => undefined);
    await waitFor(() => node.targetDispatcher.getStatus()?.queued === 1);
    node.state.suspects.applyUpdate({
      suspects: [],
      cleared: (update.cleared ?? []).map(getFingerprint),
      quarantined: update.quarantined?.map(getFingerprint),
    });
    node.targetDispatcher.onSuspectsChanged();
    if (reason === undefined) {
      await waitFor(() => front.target.running === 2);
    } else {
      const response = await suspect;
      assert.equal(response?.headers["dogwoodwalk-reason"], reason);
      assert.equal(response?.headers["dogwoodwalk-disposition"], "not-run");
    }
    abort.abort();
    await Promise.all([running, suspect]);
  });
}
