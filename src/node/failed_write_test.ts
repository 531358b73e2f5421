import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { sendCall, waitFor } from "../../tests/support/http_call.ts";
import { startTestNode, type TestNode } from "../../tests/support/test_node.ts";
import type { CallProtocol } from "./call_protocol.ts";
import { defaultProtocol } from "./default_protocol.ts";

/** A header that Node.js refuses to write. */
const unwritable = ["X-Unwritable", "a\u0001b"];
/** More than the errors after which a process ends. */
const requestCount = 25;

/** Starts a node with a target, whose messages get an unwritable header. */
async function startNode(
  context: TestContext,
  options: { message: "request" | "response"; bodyBytes: number },
): Promise<TestNode> {
  const server = createServer((request, response) => {
    request.resume();
    response.end("x".repeat(options.bodyBytes));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const protocol: CallProtocol = {
    ...defaultProtocol,
    addTargetHeaders: (headers, call) => {
      defaultProtocol.addTargetHeaders(headers, call);
      headers.push(...options.message === "request" ? unwritable : []);
    },
    classifyResponse: (head, details) => {
      head.headers.push(...options.message === "response" ? unwritable : []);
      return defaultProtocol.classifyResponse(head, details);
    },
  };
  const back = await startTestNode("back-1", { service: "back", protocol });
  const { target } = back.node.targetDispatcher;
  target.announce({
    endpoint: {
      host: "127.0.0.1",
      port: (server.address() as AddressInfo).port,
    },
    incarnation: 1,
  }, { hasLease: false });
  context.after(async () => {
    await back.node.stop({ limitMilliseconds: 0 });
    server.close();
    server.closeAllConnections();
  });
  return back;
}

const messages = [
  {
    name: "a request",
    message: "request",
    bodyBytes: 4,
    disposition: "not-run",
  },
  {
    name: "a buffered response",
    message: "response",
    bodyBytes: 4,
    disposition: "ran",
  },
  {
    name: "a streamed response",
    message: "response",
    bodyBytes: 200_000,
    disposition: "ran",
  },
] as const;

for (const isRemote of [false, true]) {
  for (const { name, message, bodyBytes, disposition } of messages) {
    // Guards against requests without a response, and against the end of the
    // process, after a write that Node.js refuses.
    test(`${name} that cannot be written ${isRemote ? "by another node" : "by the node of the caller"} fails its own call only`, async (context) => {
      const back = await startNode(context, { message, bodyBytes });
      let { outside } = back;
      if (isRemote) {
        const front = await startTestNode("front-1");
        context.after(() => front.node.stop({ limitMilliseconds: 0 }));
        front.node.updateView("back", [back.getTarget()]);
        ({ outside } = front);
      }
      for (let index = 0; index < requestCount; index++) {
        const response = await sendCall({
          port: outside,
          path: "/any",
          headers: { Host: "back" },
        });
        assert.equal(response.status, 502, response.body);
        const found = response.headers["dogwoodwalk-disposition"];
        assert.equal(found, disposition, response.body);
      }
      await waitFor(() => back.node.callCount === 0);
      assert.equal(back.node.targetDispatcher.getStatus()?.running, 0);
      assert.equal(back.node.targetDispatcher.target.state, "ready");
    });
  }
}
