import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer } from "node:net";
import { test } from "node:test";
import { startPair } from "../../tests/support/test_pair.ts";
import { waitUntil } from "../../tests/support/wait_until.ts";

const manyHeaders = "A: 1\r\n".repeat(1500);
const cases = [
  { name: "Content-Length", framing: "Content-Length: 7", body: "payload" },
  {
    name: "Transfer-Encoding",
    framing: "Transfer-Encoding: chunked",
    body: "7\r\npayload\r\n0\r\n\r\n",
  },
];

for (const { name, framing, body } of cases) {
  // Guards against a request that reaches a target without its body.
  test(`a request keeps its body when ${name} is behind many headers`, async (context) => {
    const pair = await startPair("front-1");
    context.after(() => pair.close());
    let received = "";
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", (chunk) => {
        received += chunk;
        if (received.includes("\r\n\r\n")) {
          setTimeout(
            () => socket.end("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
            100,
          );
        }
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    context.after(() => server.close());
    pair.node.targetDispatcher.target.announce({
      endpoint: {
        host: "127.0.0.1",
        port: (server.address() as AddressInfo).port,
      },
      incarnation: Date.now() + 1000,
    }, { hasLease: false });
    const socket = connect(pair.outside, "127.0.0.1");
    context.after(() => socket.destroy());
    let response = "";
    socket.on("data", (chunk) => response += chunk);
    socket.write(
      `POST /plain HTTP/1.1\r\nHost: front\r\n${manyHeaders}${framing}\r\n\r\n${body}`,
    );
    await waitUntil(() => response !== "", "the response arrives");
    assert.match(response, /^HTTP\/1\.1 200 /);
    assert.match(received, /payload/);
    assert.equal(received.match(/^A: 1\r$/gm)?.length, 1500);
  });
}
