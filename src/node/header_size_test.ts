import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import { announceServer } from "../../tests/support/announce_server.ts";
import { sendCall } from "../../tests/support/http_call.ts";
import { connectPairs, startPair } from "../../tests/support/test_pair.ts";

/** Close to the 16 KiB that listeners and targets accept. */
const large = "a".repeat(16_290);
const cases: {
  message: "request" | "response";
  sent: Record<string, string>;
  received: string;
}[] = [
  { message: "request", sent: { "X-Own": large }, received: "" },
  { message: "response", sent: {}, received: `X-Own: ${large}\r\n` },
];

// Guards against messages that another node does not accept, because a node has
// added headers.
for (const nodeCount of [1, 2]) {
  for (const { message, sent, received } of cases) {
    test(`a ${message} with headers close to the limit passes ${nodeCount} nodes`, async (context) => {
      const front = await startPair("front-1");
      const back = await startPair("back-1", { service: "back" });
      context.after(() => Promise.all([front.close(), back.close()]));
      connectPairs([front, back]);
      let text = "";
      const server = createServer((socket) => {
        socket.on("error", () => {});
        socket.on("data", (data) => {
          text += data;
          if (text.endsWith("\r\n\r\n")) {
            socket.write(
              `HTTP/1.1 200 OK\r\n${received}Content-Length: 4\r\n\r\ndone`,
            );
          }
        });
      });
      await announceServer(context, nodeCount === 1 ? front : back, server);
      const response = await sendCall({
        port: front.outside,
        path: "/views/1",
        headers: { Host: nodeCount === 1 ? "front" : "back", ...sent },
      });
      assert.equal(response.status, 200);
      assert.equal(response.body, "done");
      assert.ok(message === "response" || text.includes(large));
      assert.ok(message === "request" || response.headers["x-own"] === large);
    });
  }
}
