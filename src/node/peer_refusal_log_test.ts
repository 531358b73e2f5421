import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { sendCall, waitFor } from "../../tests/support/http_call.ts";
import {
  connectPairs,
  type PairOptions,
  startPair,
  type TestPair,
} from "../../tests/support/test_pair.ts";
import { PeerCredential } from "./peer_credential.ts";

function findLine(pair: TestPair, event: string): string | undefined {
  return pair.logLines.find((each) => each.includes(`event="${event}"`));
}

const rejections: {
  name: string;
  options?: PairOptions;
  change?(peer: TestPair): void;
  attempt: RegExp;
  refusal: RegExp;
}[] = [
  {
    name: "lacks the route",
    change: ({ node }) => {
      const { document } = node.state.view ?? {};
      assert.ok(document);
      node.applyDocument({ ...document, routes: [] }, 2);
    },
    attempt: /reason=peer-rejected message="[^"]*: unknown-route"/,
    refusal:
      /service=front disposition=not-run reason=unknown-route .*revision=2/,
  },
  {
    name: "allows shorter chains",
    change: ({ node }) => {
      const { document } = node.state.view ?? {};
      assert.ok(document);
      node.applyDocument({ ...document, maximumDepth: 0 }, 2);
    },
    attempt: /reason=depth-exceeded/,
    refusal: /reason=depth-exceeded .*revision=2/,
  },
  {
    name: "has another token",
    options: { peerCredential: new PeerCredential("another secret") },
    attempt: /reason=peer-rejected message="[^"]*: malformed-request"/,
    refusal: /reason=malformed-request message="[^"]*another token"/,
  },
  {
    name: "belongs to another service",
    options: { service: "back" },
    attempt: /reason=no-target/,
    refusal:
      /service=front .*message="The target of this node belongs to back"/,
  },
];

for (const { name, options, change, attempt, refusal } of rejections) {
  // Guards against refusals for which no line says which of two nodes refused.
  test(`both nodes log the identity and cause when the node of the target ${name}`, async (context) => {
    const origin = await startPair("front-1");
    const peer = await startPair("peer-1", options);
    context.after(() => Promise.all([origin.close(), peer.close()]));
    origin.node.targetDispatcher.target.drain();
    connectPairs([origin, peer]);
    origin.node.updateView("front", [peer.getTarget()]);
    change?.(peer);
    const response = await sendCall({ port: origin.outside, path: "/views/1" });
    const id: string = JSON.parse(response.body).error.requestId;
    const attemptLine = findLine(origin, "attempt failed") ?? "";
    assert.match(attemptLine, attempt);
    assert.match(attemptLine, new RegExp(` request=${id} .*target=peer-1 `));
    const refusalLine = findLine(peer, "peer call refused") ?? "";
    assert.match(refusalLine, refusal);
    assert.match(refusalLine, new RegExp(` request=${id} `));
    assert.match(refusalLine, / sender=127\.0\.0\.1 /);
  });
}

const messages = [
  {
    name: "without a context",
    context: "",
    line:
      / request="" disposition=not-run reason=malformed-request message="dogwoodwalk-context/,
  },
  {
    name: "whose body is late",
    context: "1;aa11;c;0;50;1;1;0;front;7",
    line: / request=aa11 service=front .*reason=deadline-exceeded/,
  },
];

for (const { name, context: value, line } of messages) {
  // Guards against calls that a node refuses before its target without a line.
  test(`a call of another node ${name} is logged and counted when it is refused`, async (context) => {
    const peer = await startPair("front-1");
    context.after(() => peer.close());
    const socket = connect(peer.node.node.port, "127.0.0.1");
    context.after(() => socket.destroy());
    socket.write(
      "POST /views/1 HTTP/1.1\r\nHost: front\r\nContent-Length: 10\r\n" +
        `dogwoodwalk-context: ${value}\r\n\r\n`,
    );
    await waitFor(() => findLine(peer, "peer call refused") !== undefined);
    assert.match(findLine(peer, "peer call refused") ?? "", line);
    const counts = peer.node.state.counters.getStatus()
      .map(({ failedAttempts }) => Object.values(failedAttempts as object));
    assert.deepEqual(counts.flat(), [1]);
  });
}
