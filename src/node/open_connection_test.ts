import assert from "node:assert/strict";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { waitFor } from "../../tests/support/http_call.ts";
import { startPair } from "../../tests/support/test_pair.ts";
import type { Metrics, MetricTags } from "../common/mod.ts";
import { HttpListener } from "./http_listener.ts";
import type { UnansweredConnection } from "./open_connection.ts";
import { countUnanswered } from "./report_unanswered.ts";

const request = "GET /views/1 HTTP/1.1\r\nHost: front\r\n\r\n";
const requestWithInvalidBody = "POST /views/1 HTTP/1.1\r\nHost: front\r\n" +
  "Transfer-Encoding: chunked\r\n\r\nzz\r\n";
/** More than the socket buffers of both sides hold. */
const largeBody = Buffer.alloc(32 * 1024 * 1024, "x");

/** A connection with open requests, and the listener. */
interface Opened {
  readonly socket: Socket;
  readonly listener: HttpListener;
  readonly responses: readonly ServerResponse[];
}

interface EndCase {
  readonly name: string;
  readonly requests: number;
  end(opened: Opened): unknown;
  readonly closedBy: "caller" | "node";
  readonly reason: string;
  readonly phases: readonly string[];
}

const waiting = ["handling", "handling"];
const endCases: readonly EndCase[] = [
  {
    name: "the caller closes it",
    requests: 2,
    end: ({ socket }) => socket.destroy(),
    closedBy: "caller",
    reason: "closed",
    phases: waiting,
  },
  {
    name: "the caller resets it",
    requests: 2,
    end: ({ socket }) => socket.resetAndDestroy(),
    closedBy: "caller",
    reason: "reset",
    phases: waiting,
  },
  {
    name: "the caller closes its direction",
    requests: 2,
    end: ({ socket }) => socket.end(),
    closedBy: "caller",
    reason: "closed",
    phases: waiting,
  },
  {
    name: "the caller closes it within a further request",
    requests: 2,
    end: ({ socket }) => socket.end("GET /vie"),
    closedBy: "caller",
    reason: "closed",
    phases: waiting,
  },
  {
    name: "the caller resets it while it receives a response",
    requests: 1,
    end: ({ socket, responses }) => {
      responses[0]?.end(largeBody);
      socket.once("data", () => socket.resetAndDestroy());
    },
    closedBy: "caller",
    reason: "reset",
    phases: ["delivering"],
  },
  {
    name: "the caller closes it behind invalid bytes",
    requests: 2,
    end: ({ socket }) => socket.end("\u0000\r\n\r\n"),
    closedBy: "caller",
    reason: "closed",
    phases: waiting,
  },
  {
    name: "the body of a request is invalid",
    requests: 0,
    end: ({ socket }) => socket.write(requestWithInvalidBody),
    closedBy: "node",
    reason: "invalid-request",
    phases: ["handling"],
  },
  {
    name: "the body of a further request is invalid",
    requests: 2,
    end: ({ socket, responses }) => {
      socket.write(requestWithInvalidBody);
      void waitFor(() => responses.length === 3).then(() =>
        responses.slice(0, 2).forEach((each) => each.end("x"))
      );
    },
    closedBy: "node",
    reason: "invalid-request",
    phases: ["handling"],
  },
  {
    name: "an earlier response closes it",
    requests: 3,
    end: ({ responses }) =>
      responses[0]?.setHeader("Connection", "close").end("x"),
    closedBy: "node",
    reason: "response-closes-connection",
    phases: waiting,
  },
  {
    name: "an earlier response closes it in a drain",
    requests: 3,
    end: ({ listener, responses }) => {
      listener.startDraining();
      responses[2]?.end("x");
      responses[0]?.setHeader("Connection", "close").end("x");
    },
    closedBy: "node",
    reason: "draining",
    phases: ["handling", "answered"],
  },
  {
    name: "a response is aborted",
    requests: 2,
    end: ({ responses }) => responses[0]?.destroy(),
    closedBy: "node",
    reason: "response-aborted",
    phases: waiting,
  },
  {
    name: "the stop limit is reached",
    requests: 2,
    end: ({ listener }) => listener.closeConnections(),
    closedBy: "node",
    reason: "stop-limit",
    phases: waiting,
  },
  {
    name: "the listener is closed while a caller receives a response",
    requests: 1,
    end: ({ socket, listener, responses }) => {
      socket.pause();
      responses[0]?.end(largeBody, "latin1");
      void listener.closeImmediately();
    },
    closedBy: "node",
    reason: "listener-closed",
    phases: ["delivering"],
  },
];

async function open(
  context: TestContext,
  requests: number,
): Promise<Opened & { readonly unanswered: UnansweredConnection[] }> {
  const responses: ServerResponse[] = [];
  const unanswered: UnansweredConnection[] = [];
  const listener = new HttpListener({
    endpoint: { host: "127.0.0.1", port: 0 },
    handle: (_, response) => responses.push(response),
    onUnanswered: (each) => unanswered.push(each),
    headersMilliseconds: 500,
  });
  await listener.listen();
  context.after(() => listener.closeImmediately());
  const socket = connect(listener.port, "127.0.0.1");
  context.after(() => socket.destroy());
  socket.on("error", () => {});
  socket.on("data", () => {});
  socket.write(request.repeat(requests));
  await waitFor(() => responses.length === requests);
  return { socket, listener, responses, unanswered };
}

for (const { name, requests, end, closedBy, reason, phases } of endCases) {
  // Guards against a connection that the node closed being taken for a caller
  // that left, and against unanswered requests that no line mentions.
  test(`the end of a connection with open requests has its cause: ${name}`, async (context) => {
    const opened = await open(context, requests);
    end(opened);
    const { unanswered } = opened;
    await waitFor(() => unanswered.length > 0);
    assert.deepEqual(unanswered.map((each) => each.end), [
      { closedBy, reason },
    ]);
    assert.deepEqual(
      unanswered[0]?.responses.map(({ phase }) => phase),
      phases,
    );
  });
}

// Guards against alarms for callers that leave after their responses.
test("a connection whose requests are all answered ends without a report", async (context) => {
  const { socket, responses, unanswered, listener } = await open(context, 2);
  for (const response of responses) {
    response.end("x");
  }
  await waitFor(() => responses.every((each) => each.closed));
  socket.end();
  await listener.close();
  assert.deepEqual(unanswered, []);
});

// Guards against requests behind the last response of a connection that leave
// no trace: their callers saw a closed connection.
test("requests that are not read are reported with the end of their connection", async (context) => {
  const { socket, responses, unanswered, listener } = await open(context, 1);
  listener.startDraining();
  socket.write(request.repeat(3));
  await waitFor(() => responses.length === 2);
  for (const response of responses) {
    response.end("x");
  }
  await waitFor(() => unanswered.length > 0);
  const [first] = unanswered;
  assert.deepEqual(first?.responses, []);
  assert.deepEqual(first?.end, { closedBy: "node", reason: "draining" });
  assert.equal(first?.unread, 2);
});

// Guards against counters that grow by connection where requests are meant.
test("unanswered requests are counted by listener, end and reason", async (context) => {
  const { socket, unanswered } = await open(context, 3);
  socket.resetAndDestroy();
  await waitFor(() => unanswered.length > 0);
  const increments: [string, MetricTags, number][] = [];
  const metrics: Pick<Metrics, "increment"> = {
    increment: (name, tags, by = 1) => increments.push([name, tags, by]),
  };
  countUnanswered(
    metrics as Metrics,
    "outside",
    unanswered[0] as UnansweredConnection,
  );
  const tags = { listener: "outside", closedBy: "caller", reason: "reset" };
  assert.deepEqual(increments, [
    ["connections.unanswered", tags, 1],
    ["requests.unanswered", tags, 3],
  ]);
});

const logCases = [
  {
    name: "the caller leaves",
    end: ({ socket }: { socket: Socket }) => socket.destroy(),
    line:
      /listener=outside closedBy=caller reason=closed open=1 passedOn=1 requests=\S+:at-target event="connection ended/,
    callLine: /reason=closed phase=at-target .*event="caller left"/,
    otherLine: /event="response not delivered"/,
  },
  {
    name: "the connections are closed at the stop limit",
    end: ({ stop }: { stop(): void }) => stop(),
    line:
      /listener=outside closedBy=node reason=stop-limit open=1 passedOn=1 requests=\S+:at-target event="connection ended/,
    callLine:
      /reason=stop-limit phase=at-target .*event="response not delivered"/,
    otherLine: /event="caller left"/,
  },
] as const;
for (const { name, end, line, callLine, otherLine } of logCases) {
  // Guards against calls that the node aborts being logged as callers that left.
  test(`a call without a response is logged with its cause: ${name}`, async (context) => {
    const front = await startPair("front-1", { serviceMilliseconds: 60_000 });
    context.after(() => front.close());
    const socket = connect(front.outside, "127.0.0.1");
    socket.on("error", () => {});
    context.after(() => socket.destroy());
    await once(socket, "connect");
    socket.write(request);
    await waitFor(() => front.target.running === 1);
    end({
      socket,
      stop: () => front.node.outside.closeConnections(),
    });
    const hasLine = (pattern: RegExp) =>
      front.logLines.some((each) => pattern.test(each));
    await waitFor(() => hasLine(/event="connection ended/));
    assert.ok(hasLine(line), front.logLines.join(""));
    assert.ok(hasLine(callLine), front.logLines.join(""));
    assert.ok(!hasLine(otherLine), front.logLines.join(""));
  });
}
