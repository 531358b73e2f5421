import assert from "node:assert/strict";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { parseTestDocument } from "../../tests/support/test_node.ts";
import { sendCall, waitFor } from "../../tests/support/http_call.ts";
import {
  connectPairs,
  startPair,
  type TestPair,
} from "../../tests/support/test_pair.ts";
import type { EnvironmentDocument } from "../document/mod.ts";

const before = parseTestDocument();

function withoutService(service: string): EnvironmentDocument {
  return {
    ...before,
    services: new Map(
      [...before.services].filter(([name]) => name !== service),
    ),
    routes: before.routes.filter((route) => route.service !== service),
  };
}

const changes: { name: string; document: EnvironmentDocument }[] = [
  {
    name: "has fewer classes",
    document: {
      ...before,
      classes: ["high"],
      routes: before.routes.map((route) => ({ ...route, classIndex: 0 })),
    },
  },
  {
    name: "has more classes",
    document: { ...before, classes: ["high", "low", "lowest"] },
  },
  {
    name: "lacks the route",
    document: {
      ...before,
      routes: before.routes.filter((route) => route.path !== "/plain"),
    },
  },
  { name: "lacks the service", document: withoutService("front") },
  { name: "lacks another service", document: withoutService("back") },
  {
    name: "has short limits for callers",
    document: {
      ...before,
      callerLimits: {
        headerBytes: 1,
        bodyBytes: 1,
        headerMilliseconds: 1,
        idleMilliseconds: 1,
      },
    },
  },
];

/** Calls in progress: 4 run, and the others wait in the queue. */
const callCount = 10;

/** Starts a node for callers, and one with the target if there are two. */
async function startNodes(
  context: TestContext,
  nodeCount: number,
): Promise<{ origin: TestPair; last: TestPair }> {
  const options = { serviceMilliseconds: 300, slots: 8 };
  const origin = await startPair("front-1", options);
  context.after(() => origin.close());
  if (nodeCount === 1) {
    return { origin, last: origin };
  }
  const last = await startPair("front-2", options);
  context.after(() => last.close());
  origin.node.targetDispatcher.target.drain();
  connectPairs([origin, last]);
  return { origin, last };
}

function getStatus({ node }: TestPair) {
  const { running = 0, queued = 0 } = node.targetDispatcher.getStatus() ?? {};
  return { running, queued };
}

for (const nodeCount of [1, 2]) {
  for (const { name, document } of changes) {
    // Guards against calls that are cut, refused or run twice by a change.
    test(`a document that ${name} ends no running or queued call at ${nodeCount} nodes`, async (context) => {
      const { origin, last } = await startNodes(context, nodeCount);
      const calls = Array.from({ length: callCount }, (_, index) =>
        sendCall({
          port: origin.outside,
          method: "POST",
          path: "/plain",
          headers: { "x-member": `m${index}` },
          body: "a",
        }));
      await waitFor(() => {
        const { running, queued } = getStatus(last);
        return running === 4 && queued === callCount - 4;
      });
      new Set([origin, last]).forEach(({ node }) =>
        node.applyDocument(document, 2)
      );
      const statuses = (await Promise.all(calls)).map((each) => each.status);
      assert.deepEqual(statuses, calls.map(() => 200));
      assert.equal(last.target.runs.length, callCount);
    });
  }
}

test("shorter limits for callers leave no received request without a response", async (context) => {
  const { origin } = await startNodes(context, 1);
  const socket = connect(origin.outside, "127.0.0.1");
  context.after(() => socket.destroy());
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  socket.on("error", () => {});
  const head = "POST /plain HTTP/1.1\r\nHost: front\r\n";
  // The third request is cut in its headers.
  socket.write(
    `${head}Content-Length: 1\r\n\r\na${head}Content-Length: 2\r\n\r\nbc` +
      "POST /plain HT",
  );
  await waitFor(() => origin.target.runs.length === 2);
  for (const milliseconds of [1, 1000, 1]) {
    origin.node.applyDocument({
      ...before,
      callerLimits: {
        headerBytes: 1,
        bodyBytes: 1_000_000,
        headerMilliseconds: milliseconds,
        idleMilliseconds: milliseconds,
      },
    }, 2);
  }
  await waitFor(() => received.split("HTTP/1.1 200").length === 3);
});

test("a document that lacks the route does not end a response that is streamed", async (context) => {
  const { origin, last } = await startNodes(context, 2);
  const bytes = 20_000_000;
  const socket = connect(origin.outside, "127.0.0.1");
  context.after(() => socket.destroy());
  let received = 0;
  socket.on("data", (chunk) => received += chunk.length);
  socket.pause();
  socket.write(
    `POST /plain HTTP/1.1\r\nHost: front\r\nContent-Length: 1\r\nx-filler-bytes: ${bytes}\r\n\r\na`,
  );
  await waitFor(() =>
    [...origin.node.originDispatcher.calls].some((each) =>
      each.phase === "delivering"
    )
  );
  for (const { document } of changes) {
    new Set([origin, last]).forEach(({ node }) =>
      node.applyDocument(document, 2)
    );
  }
  socket.resume();
  await waitFor(() => received >= bytes);
});
