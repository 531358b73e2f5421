import assert from "node:assert/strict";
import { test } from "node:test";
import { sendBytes } from "../../tests/support/send_bytes.ts";
import { connectPairs, startPair } from "../../tests/support/test_pair.ts";

const cases = [
  { name: "HTTP/1.0 without Host", text: "GET /views/1 HTTP/1.0\r\n\r\n" },
  {
    name: "HTTP/1.0 in absolute form without Host",
    text: "GET http://front/views/1 HTTP/1.0\r\n\r\n",
  },
  {
    name: "an empty Host",
    text: "GET /views/1 HTTP/1.1\r\nHost:\r\nConnection: close\r\n\r\n",
  },
];

for (const isRemote of [false, true]) {
  for (const { name, text } of cases) {
    // Guards against a node or target that refuses a proper request without Host.
    test(`a request of ${name} runs at a ${isRemote ? "remote" : "local"} target`, async (context) => {
      const origin = await startPair("front-1");
      context.after(() => origin.close());
      if (isRemote) {
        const peer = await startPair("front-2");
        context.after(() => peer.close());
        origin.node.targetDispatcher.target.drain();
        connectPairs([origin, peer]);
      }
      assert.match(await sendBytes(origin.outside, text), /^HTTP\/1.1 200 /);
    });
  }
}
