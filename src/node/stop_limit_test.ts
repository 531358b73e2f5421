import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import {
  type HttpResponse,
  sendCall,
  waitFor,
} from "../../tests/support/http_call.ts";
import {
  connectPairs,
  startPair,
  type TestPair,
} from "../../tests/support/test_pair.ts";
import { type LedgerPort, unavailableLedger } from "./ledger_port.ts";

/** Slots of the services in the test document. */
const slots = 4;
const neverMilliseconds = 600_000;

/** Disposition and reason of an answer, or `cut` when there was none. */
async function getOutcome(answer: Promise<HttpResponse>): Promise<string> {
  try {
    const { status, headers } = await answer;
    return `${status} ${headers["dogwoodwalk-disposition"]} ${
      headers["dogwoodwalk-reason"]
    }`;
  } catch {
    return "cut";
  }
}

/** Sends calls that the target holds; resolves when they are at work. */
async function holdCalls(
  pair: TestPair,
  options: { count: number; at?: TestPair },
): Promise<Promise<string>[]> {
  const { count, at = pair } = options;
  const outcomes = Array.from(
    { length: count },
    () =>
      getOutcome(
        sendCall({ port: pair.outside, method: "POST", path: "/plain" }),
      ),
  );
  await waitFor(() => at.target.running === count);
  return outcomes;
}

/** Sends a request whose body stays incomplete; gets the response's bytes. */
function sendIncompleteBody(port: number): Promise<string> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const socket = connect(port, "127.0.0.1", () =>
      socket.write(
        "POST /plain HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\npart",
      ));
    socket.on("data", (chunk) => chunks.push(chunk));
    socket.on("error", () => {});
    socket.on("close", () => resolve(Buffer.concat(chunks).toString()));
  });
}

const waitingCalls: {
  name: string;
  start(pair: TestPair): Promise<{ outcome: Promise<string> }>;
}[] = [
  {
    name: "waits in the admission queue",
    start: async (pair) => {
      await holdCalls(pair, { count: slots });
      const outcome = getOutcome(
        sendCall({ port: pair.outside, path: "/views/queued" }),
      );
      await waitFor(() => pair.node.targetDispatcher.callCount > slots);
      return { outcome };
    },
  },
  {
    name: "waits for the rest of its body",
    start: async (pair) => {
      const answer = sendIncompleteBody(pair.outside);
      await waitFor(() => pair.node.originDispatcher.callCount === 1);
      const outcome = answer.then((text) => {
        const reason = /dogwoodwalk-reason: (.*)\r\n/.exec(text)?.[1];
        return `${text.slice(9, 12)} not-run ${reason}`;
      });
      return { outcome };
    },
  },
];
for (const { name, start } of waitingCalls) {
  test(`a stop refuses a call that ${name} and does not cut it`, async (context) => {
    const pair = await startPair("front-1", {
      serviceMilliseconds: neverMilliseconds,
    });
    context.after(() => pair.close());
    const { outcome } = await start(pair);
    await pair.node.stop({ limitMilliseconds: 300 });
    assert.equal(await outcome, "503 not-run stopping");
  });
}

test("a stop answers calls that are still at work at their targets", async (context) => {
  const front = await startPair("front-1", {
    serviceMilliseconds: neverMilliseconds,
  });
  const other = await startPair("front-2", {
    serviceMilliseconds: neverMilliseconds,
  });
  context.after(() => Promise.all([front.close(), other.close()]));
  const atLocal = await holdCalls(front, { count: 1 });
  connectPairs([front, other]);
  front.node.targetDispatcher.target.drain();
  front.node.updateView("front", [other.getTarget()]);
  const atRemote = await holdCalls(front, { count: 1, at: other });
  const { abortedCalls } = await front.node.stop({ limitMilliseconds: 300 });
  assert.ok(abortedCalls > 0);
  assert.deepEqual(await Promise.all([...atLocal, ...atRemote]), [
    "504 unknown target-timeout",
    "504 unknown target-timeout",
  ]);
});

test("a stop answers the calls of other nodes, so that they can send them elsewhere", async (context) => {
  const front = await startPair("front-1");
  const other = await startPair("front-2", {
    serviceMilliseconds: neverMilliseconds,
  });
  context.after(() => Promise.all([front.close(), other.close()]));
  front.node.targetDispatcher.target.drain();
  front.node.updateView("front", [other.getTarget()]);
  const held = await holdCalls(front, { count: slots, at: other });
  const queued = getOutcome(
    sendCall({ port: front.outside, path: "/views/queued" }),
  );
  await waitFor(() => other.node.targetDispatcher.callCount > slots);
  front.node.updateView("front", []);
  await other.node.stop({ limitMilliseconds: 300 });
  assert.deepEqual(await Promise.all([...held, queued]), [
    ...held.map(() => "504 unknown target-timeout"),
    "503 not-run target-draining",
  ]);
});

test("a call with a key that arrives at the stop limit is answered", async (context) => {
  const ledger = {
    ...unavailableLedger,
    fence: () => new Promise<never>(() => {}),
  };
  const pair = await startPair("front-1", { ledger });
  context.after(() => pair.close());
  pair.node.state.isStopping = true;
  pair.node.state.isStopLimitReached = true;
  const outcome = getOutcome(sendCall({
    port: pair.outside,
    method: "POST",
    path: "/transfers",
    headers: { "Idempotency-Key": "key-1" },
    signal: AbortSignal.timeout(5000),
  }));
  assert.equal(await outcome, "504 unknown target-timeout");
});

const pendingOperations: {
  name: string;
  /** Operations of the ledger that do not end. */
  pending: readonly ("claim" | "fence" | "release")[];
  callers?: number;
  target?: { slots: number; queueLimit: number };
  /** Whether the node refuses calls before the stop begins. */
  isStopping?: true;
  expected: string;
}[] = [
  {
    name: "is being fenced",
    pending: ["fence"],
    isStopping: true,
    expected: "504 unknown target-timeout",
  },
  {
    name: "is being claimed",
    pending: ["claim"],
    expected: "503 unknown ledger-unavailable",
  },
  {
    name: "is being fenced for two callers after its claim",
    pending: ["claim", "fence"],
    callers: 2,
    expected: "504 unknown target-timeout",
  },
  {
    name: "is being released",
    pending: ["release"],
    target: { slots: 0, queueLimit: 0 },
    expected: "504 unknown target-timeout",
  },
];
for (const operation of pendingOperations) {
  const { name, pending, callers = 1, target, isStopping = false } = operation;
  test(`a stop answers a call whose key ${name}`, async (context) => {
    const started: string[] = [];
    const ledger: LedgerPort = {
      ...unavailableLedger,
      claim: () => Promise.resolve({ kind: "granted" }),
    };
    for (const each of pending) {
      ledger[each] = () => {
        started.push(each);
        return new Promise<never>(() => {});
      };
    }
    const pair = await startPair("front-1", { ledger, ...target });
    context.after(() => pair.close());
    pair.node.state.isStopping = isStopping;
    const outcomes = Array.from({ length: callers }, () =>
      getOutcome(sendCall({
        port: pair.outside,
        method: "POST",
        path: "/transfers",
        headers: { "Idempotency-Key": "key-1" },
      })));
    await waitFor(() =>
      started[0] === pending[0] &&
      pair.node.outside.openResponseCount === callers
    );
    await pair.node.stop({ limitMilliseconds: 700 });
    assert.deepEqual(started, pending);
    assert.deepEqual(
      await Promise.all(outcomes),
      outcomes.map(() => operation.expected),
    );
  });
}
