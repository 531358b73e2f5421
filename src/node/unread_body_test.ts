import assert from "node:assert/strict";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect } from "node:net";
import { Writable } from "node:stream";
import { test, type TestContext } from "node:test";
import { waitFor } from "../../tests/support/http_call.ts";
import { HttpListener } from "./http_listener.ts";
import { pipeBody } from "./pipe_body.ts";

/** More than the buffers of a connection hold. */
const bodyBytes = 32 * 1024 * 1024;

/** Sends a request with a large body and a second request behind it. */
async function sendUpload(
  context: TestContext,
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<{ getReceived(): string; closed: Promise<unknown> }> {
  const listener = new HttpListener({
    endpoint: { host: "127.0.0.1", port: 0 },
    handle: (request, response) => {
      if (request.method === "POST") {
        handle(request, response);
      } else {
        response.end("second");
      }
    },
  });
  await listener.listen();
  context.after(() => listener.closeImmediately());
  const socket = connect(listener.port, "127.0.0.1");
  socket.on("error", () => {});
  context.after(() => socket.destroy());
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  const closed = once(socket, "close");
  socket.write(
    `POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: ${bodyBytes}\r\n\r\n`,
  );
  socket.write(Buffer.alloc(bodyBytes));
  socket.write("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  return { getReceived: () => received, closed };
}

test("a request behind an upload that was answered early gets a response", async (context) => {
  const { getReceived } = await sendUpload(context, (request, response) => {
    // A target that stops reading, and is closed after its response.
    const target = new Writable({ write: () => {} });
    const options = { chunks: [], limit: Infinity, onEnd: () => {} };
    pipeBody(request, target, options);
    setTimeout(() => {
      response.end("first");
      target.destroy();
    }, 50);
  });
  await waitFor(() => getReceived().endsWith("second"));
  assert.ok(getReceived().includes("first"));
});

test("a refusal reaches the caller of an upload that is not read", async (context) => {
  const { getReceived, closed } = await sendUpload(
    context,
    (request, response) => {
      request.once("data", () => {
        request.pause();
        response.shouldKeepAlive = false;
        response.end("refused");
      });
    },
  );
  await closed;
  assert.ok(getReceived().endsWith("refused"));
});
