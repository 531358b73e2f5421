import assert from "node:assert/strict";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { announceServer } from "../../tests/support/announce_server.ts";
import { waitFor } from "../../tests/support/http_call.ts";
import {
  connectPairs,
  startPair,
  type TestPair,
} from "../../tests/support/test_pair.ts";
import { type Clock, systemClock } from "../common/mod.ts";

/** More than the socket buffers of all connections on the way hold. */
const bodyBytes = 32 * 1024 * 1024;
const request = "GET /views/1 HTTP/1.1\r\nHost: front\r\n";
/** Deadline of the route. */
const deadlineMilliseconds = 20_000;
/** Time before the deadline at which a caller stops reading. */
const marginMilliseconds = 4000;
/** Time from then to a moment after the deadline; shorter than the limit. */
const pauseMilliseconds = 8000;
/** Consecutive looks at a response that takes no bytes. */
const blockedLooks = 20;

/** Nodes whose clock can be set forward. */
class LateNodes {
  readonly pairs: TestPair[] = [];
  #advancedMilliseconds = 0;
  readonly #clock: Clock = {
    ...systemClock,
    monotonicMilliseconds: () =>
      systemClock.monotonicMilliseconds() + this.#advancedMilliseconds,
  };

  /** Starts a node whose calls go to its own target, or to that of another. */
  static async start(
    context: TestContext,
    options: { isRemote: boolean },
  ): Promise<LateNodes> {
    const nodes = new LateNodes();
    const front = await nodes.#startPair(context, "front-1");
    if (options.isRemote) {
      const other = await nodes.#startPair(context, "front-2");
      connectPairs([front, other]);
      front.node.targetDispatcher.target.drain();
      front.node.updateView("front", [other.getTarget()]);
    }
    return nodes;
  }

  get front(): TestPair {
    return this.pairs[0] as TestPair;
  }

  /** Gets the node whose target runs the calls. */
  get last(): TestPair {
    return this.pairs.at(-1) as TestPair;
  }

  get callCount(): number {
    return this.pairs.reduce((sum, { node }) => sum + node.callCount, 0);
  }

  /** Sets the clock forward. */
  advance(milliseconds: number): void {
    this.#advancedMilliseconds += milliseconds;
    for (const { node } of this.pairs) {
      node.state.timers.add(0, { onDeadline: () => {} });
    }
  }

  async #startPair(context: TestContext, nodeId: string): Promise<TestPair> {
    const pair = await startPair(nodeId, { clock: this.#clock });
    context.after(() => pair.close());
    this.pairs.push(pair);
    return pair;
  }
}

function openCaller(context: TestContext, { outside }: TestPair): Socket {
  const socket = connect(outside, "127.0.0.1");
  socket.on("error", () => {});
  context.after(() => socket.destroy());
  return socket;
}

/** Gets the response to the next request that a listener receives. */
function watchResponse(port: number): Promise<ServerResponse> {
  const name = "http.server.request.start";
  return new Promise((resolve) => {
    const onStart = (message: unknown): void => {
      const { request, response } = message as {
        request: IncomingMessage;
        response: ServerResponse;
      };
      if (request.socket.localPort === port) {
        unsubscribe(name, onStart);
        resolve(response);
      }
    };
    subscribe(name, onStart);
  });
}

/** Sends requests, and stops reading before the first deadline passes. */
async function stopReading(
  caller: Socket,
  nodes: LateNodes,
  requests: string,
): Promise<void> {
  // The clock must not be set forward while a node still waits for its target.
  const ports = [nodes.front.outside];
  if (nodes.last !== nodes.front) {
    ports.push(nodes.last.node.node.port);
  }
  const watched = ports.map((port) => watchResponse(port));
  caller.write(requests);
  await new Promise((resolve) => caller.once("data", resolve));
  caller.pause();
  nodes.advance(deadlineMilliseconds - marginMilliseconds);
  const responses = await Promise.all(watched);
  let looks = 0;
  await waitFor(() => {
    looks = responses.every((each) => each.writableNeedDrain) ? looks + 1 : 0;
    return looks === blockedLooks;
  });
}

/** Replaces the target by a server that answers each connection once. */
async function replaceTarget(
  context: TestContext,
  pair: TestPair,
  answer: (socket: Socket) => void,
): Promise<void> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await announceServer(context, pair, server);
}

function hasLine(pair: TestPair, ...patterns: RegExp[]): boolean {
  return pair.logLines.some((line) =>
    patterns.every((each) => each.test(line))
  );
}

function getLog({ pairs }: LateNodes): string {
  return pairs.flatMap((each) => each.logLines).join("");
}

const undelivered = /event="response not delivered"/;

for (const isRemote of [false, true]) {
  const place = isRemote ? "another node" : "this node";
  test(`a deadline does not cut a response of ${place} that is being read, nor those behind it`, async (context) => {
    const nodes = await LateNodes.start(context, { isRemote });
    const caller = openCaller(context, nodes.front);
    let receivedBytes = 0;
    let end = "";
    caller.on("data", (chunk: Buffer) => {
      receivedBytes += chunk.length;
      end = (end + chunk.toString("latin1")).slice(-1000);
    });
    await stopReading(
      caller,
      nodes,
      `${request}X-Filler-Bytes: ${bodyBytes}\r\n\r\n` +
        "GET /views/behind HTTP/1.1\r\nHost: front\r\n\r\n",
    );
    nodes.advance(pauseMilliseconds);
    await sleep(100);
    caller.resume();
    await waitFor(() => end.endsWith('"path":"/views/behind"}'));
    assert.ok(receivedBytes > bodyBytes);
    assert.ok(!hasLine(nodes.front, undelivered), getLog(nodes));
  });
}

const endlessTargets: { name: string; answer(socket: Socket): void }[] = [
  {
    name: "sends a few bytes now and then",
    answer: (socket) => {
      socket.write(
        `HTTP/1.1 200 OK\r\nContent-Length: ${bodyBytes}\r\n\r\n` +
          "x".repeat(100_000),
      );
      const timer = setInterval(() => socket.write("x"), 20);
      socket.on("close", () => clearInterval(timer));
    },
  },
  {
    name: "never ends its body",
    answer: (socket) => {
      const chunk = `10000\r\n${"x".repeat(0x10000)}\r\n`;
      const send = () => {
        while (socket.writable && socket.write(chunk));
      };
      socket.on("drain", send);
      socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      send();
    },
  },
  {
    name: "stops within its body",
    answer: (socket) =>
      socket.write(
        `HTTP/1.1 200 OK\r\nContent-Length: ${bodyBytes}\r\n\r\n` +
          "x".repeat(100_000),
      ),
  },
];
for (const { name, answer } of endlessTargets) {
  test(`a response is ended soon after its deadline when its target ${name}`, async (context) => {
    const nodes = await LateNodes.start(context, { isRemote: true });
    const { front } = nodes;
    await replaceTarget(context, nodes.last, answer);
    const caller = openCaller(context, front);
    const start = performance.now();
    caller.write(`${request}\r\n`);
    await new Promise((resolve) => caller.once("data", resolve));
    caller.resume();
    nodes.advance(deadlineMilliseconds - (performance.now() - start));
    await waitFor(() => caller.destroyed);
    await waitFor(() => nodes.callCount === 0);
    assert.ok(
      hasLine(front, undelivered, /disposition=ran reason=deadline /),
      getLog(nodes),
    );
    assert.ok(
      hasLine(front, /closedBy=node reason=deadline .*event="connection ended/),
      getLog(nodes),
    );
    const { undelivered: counts, refused } = front.node.state.counters.get(
      "front",
      "low",
    );
    assert.deepEqual([...counts], [["deadline", 1]]);
    assert.equal(refused.size, 0);
  });
}

/** Passes the deadline of a response that its caller does not read. */
async function startUnreadResponse(
  context: TestContext,
): Promise<{ nodes: LateNodes; caller: Socket }> {
  const nodes = await LateNodes.start(context, { isRemote: true });
  const caller = openCaller(context, nodes.front);
  await stopReading(
    caller,
    nodes,
    `${request}X-Filler-Bytes: ${bodyBytes}\r\n\r\n`,
  );
  nodes.advance(pauseMilliseconds);
  await sleep(100);
  assert.equal(nodes.front.node.callCount, 1);
  return { nodes, caller };
}

test("a caller that stops reading does not hold a response for ever", async (context) => {
  const { nodes } = await startUnreadResponse(context);
  nodes.advance(10_000);
  await waitFor(() => nodes.callCount === 0);
  assert.ok(
    hasLine(
      nodes.front,
      undelivered,
      /disposition=ran reason=no-progress /,
    ),
    getLog(nodes),
  );
});

test("a caller that leaves after its deadline cancels its response at both nodes", async (context) => {
  const { nodes, caller } = await startUnreadResponse(context);
  caller.destroy();
  await waitFor(() => nodes.callCount === 0);
  assert.ok(hasLine(nodes.front, /event="caller left"/), getLog(nodes));
});

test("a stop ends a response that is being read, and does not claim that it did not run", async (context) => {
  const { nodes } = await startUnreadResponse(context);
  const { front } = nodes;
  const { abortedCalls } = await front.node.stop({ limitMilliseconds: 300 });
  assert.equal(abortedCalls, 1);
  assert.ok(
    hasLine(front, undelivered, /disposition=ran reason=stop-limit /),
    getLog(nodes),
  );
  assert.ok(!hasLine(front, /disposition=not-run/), getLog(nodes));
});
