import assert from "node:assert/strict";
import { test } from "node:test";
import { connectPairs, startPair } from "../../tests/support/test_pair.ts";
import { type AddressInfo, connect, createServer } from "node:net";

/** More headers than Node.js passes on by default, below the limit of 16 KiB. */
const manyHeaders = "A: 1\r\n".repeat(1500);
const body = "amount=5";

// Guards against a body that is lost, or whose end is not known, because the
// header with its length was omitted.
for (const nodeCount of [1, 2]) {
  test(`a request and its response with many headers in front of their lengths pass ${nodeCount} nodes whole`, async (context) => {
    const front = await startPair("front-1");
    const back = await startPair("back-1", { service: "back" });
    context.after(() => Promise.all([front.close(), back.close()]));
    connectPairs([front, back]);
    let text = "";
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", (data) => {
        text += data;
        if (text.endsWith(`\r\n\r\n${body}`)) {
          socket.write(
            `HTTP/1.1 200 OK\r\n${manyHeaders}Content-Length: 4\r\n\r\ndone`,
          );
        }
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    context.after(() => server.close());
    const { port } = server.address() as AddressInfo;
    const last = nodeCount === 1 ? front : back;
    last.node.targetDispatcher.target.announce({
      endpoint: { host: "127.0.0.1", port },
      incarnation: Date.now() + 1000,
    }, { hasLease: false });
    const socket = connect(front.outside, "127.0.0.1");
    context.after(() => socket.destroy());
    const host = nodeCount === 1 ? "front" : "back";
    socket.write(
      `POST /plain HTTP/1.1\r\nHost: ${host}\r\nConnection: close\r\n` +
        `${manyHeaders}Content-Length: ${body.length}\r\n\r\n${body}`,
    );
    let received = "";
    for await (const data of socket) {
      received += data;
    }
    assert.match(received, /^HTTP\/1\.1 200 /);
    assert.ok(received.endsWith("\r\n\r\ndone"), received.slice(-100));
    assert.equal(text.split("A: 1\r\n").length, 1501);
    assert.equal(received.split("A: 1\r\n").length, 1501);
  });
}
