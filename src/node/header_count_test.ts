import assert from "node:assert/strict";
import { connect, createServer } from "node:net";
import { test } from "node:test";
import { announceServer } from "../../tests/support/announce_server.ts";
import { connectPairs, startPair } from "../../tests/support/test_pair.ts";

/** More headers than Node.js passes on by default, below the limit of 16 KiB. */
const headerCount = 1500;
const manyHeaders = "A: 1\r\n".repeat(headerCount);

const framings = [
  { name: "Content-Length", framing: "Content-Length: 8", body: "amount=5" },
  {
    name: "Transfer-Encoding",
    framing: "Transfer-Encoding: chunked",
    body: "8\r\namount=5\r\n0\r\n\r\n",
  },
];

function countHeaders(text: string): number {
  return text.split("A: 1\r\n").length - 1;
}

// Guards against a body that is lost, or whose end is not known, because the
// header that frames it was omitted.
for (const nodeCount of [1, 2]) {
  for (const { name, framing, body } of framings) {
    test(`a request and its response with ${name} behind many headers pass ${nodeCount} nodes whole`, async (context) => {
      const front = await startPair("front-1");
      const back = await startPair("back-1", { service: "back" });
      context.after(() => Promise.all([front.close(), back.close()]));
      connectPairs([front, back]);
      let received = "";
      const server = createServer((socket) => {
        socket.on("error", () => {});
        socket.on("data", (data) => {
          received += data;
          if (/\r\n\r\n(.*\r\n)?amount=5(\r\n0\r\n\r\n)?$/.test(received)) {
            socket.write(
              `HTTP/1.1 200 OK\r\n${manyHeaders}${framing}\r\n\r\n${body}`,
            );
          }
        });
      });
      await announceServer(context, nodeCount === 1 ? front : back, server);
      const socket = connect(front.outside, "127.0.0.1");
      context.after(() => socket.destroy());
      const host = nodeCount === 1 ? "front" : "back";
      socket.write(
        `POST /plain HTTP/1.1\r\nHost: ${host}\r\nConnection: close\r\n` +
          `${manyHeaders}${framing}\r\n\r\n${body}`,
      );
      let response = "";
      for await (const data of socket) {
        response += data;
      }
      assert.match(response, /^HTTP\/1\.1 200 /);
      assert.match(response, /\r\n\r\n(.*\r\n)?amount=5(\r\n0\r\n\r\n)?$/);
      assert.equal(countHeaders(received), headerCount);
      assert.equal(countHeaders(response), headerCount);
    });
  }
}
