import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { sendCall } from "../../tests/support/http_call.ts";
import {
  connectPairs,
  type PairOptions,
  startPair,
  type TestPair,
} from "../../tests/support/test_pair.ts";
import { parseTestDocument } from "../../tests/support/test_node.ts";
import {
  type Disposition,
  encodeAnswer,
  type RefusalReason,
} from "../request/mod.ts";
import { PeerCredential } from "./peer_credential.ts";

/** Starts a node whose own target drains, so that it calls other nodes. */
async function startOrigin(context: TestContext): Promise<TestPair> {
  const origin = await startPair("front-1");
  context.after(() => origin.close());
  origin.node.targetDispatcher.target.drain();
  return origin;
}

function sendView(origin: TestPair) {
  return sendCall({ port: origin.outside, path: "/views/1" });
}

const document = parseTestDocument();

const rejections: {
  name: string;
  options?: PairOptions;
  change?(peer: TestPair): void;
}[] = [
  {
    name: "lacks the service in its document",
    change: ({ node }) =>
      node.applyDocument({
        ...document,
        services: new Map(),
        routes: [],
      }, 2),
  },
  {
    name: "lacks the route in its document",
    change: ({ node }) =>
      node.applyDocument({
        ...document,
        routes: document.routes.filter(({ path }) => path !== "/views/*"),
      }, 2),
  },
  {
    name: "has another token",
    options: { peerCredential: new PeerCredential("another secret") },
  },
];

for (const { name, options, change } of rejections) {
  // Guards against a proper request that is refused as if its caller were wrong.
  test(`a caller gets not-run and 503 when the node of the target ${name}`, async (context) => {
    const origin = await startOrigin(context);
    const peer = await startPair("front-2", options);
    context.after(() => peer.close());
    connectPairs([origin, peer]);
    change?.(peer);
    const response = await sendView(origin);
    assert.equal(response.status, 503, response.body);
    assert.equal(response.headers["dogwoodwalk-disposition"], "not-run");
    assert.equal(peer.target.runs.length, 0);
  });
}

const answers: { reason: RefusalReason; disposition: Disposition }[] = [
  { reason: "unknown-route", disposition: "not-run" },
  { reason: "malformed-request", disposition: "not-run" },
  { reason: "malformed-request", disposition: "unknown" },
  { reason: "too-large", disposition: "not-run" },
  { reason: "key-required", disposition: "not-run" },
];

for (const { reason, disposition } of answers) {
  // Guards against a proper request that is refused as if its caller were wrong.
  test(`a caller gets no 4xx when another node answers ${reason} and ${disposition}`, async (context) => {
    const origin = await startOrigin(context);
    const answer = encodeAnswer({
      disposition,
      reason,
      unusedAttempts: 0,
      levels: [],
    });
    const peer = createServer((_, response) => {
      response.writeHead(400, { "dogwoodwalk-answer": answer }).end();
    });
    await new Promise<void>((resolve) =>
      peer.listen(0, "127.0.0.1", () => resolve())
    );
    context.after(() => peer.close());
    const { port } = peer.address() as AddressInfo;
    origin.node.updateView("front", [{
      ...origin.getTarget(),
      targetId: "front-2",
      nodeAddress: `127.0.0.1:${port}`,
    }]);
    const response = await sendView(origin);
    assert.ok(response.status >= 500, `${response.status} ${response.body}`);
    assert.equal(response.headers["dogwoodwalk-disposition"], disposition);
  });
}
