import assert from "node:assert/strict";
import { once } from "node:events";
import { request } from "node:http";
import { connect } from "node:net";
import { test } from "node:test";
import { HttpListener } from "./http_listener.ts";

/** More than the socket buffers of a loopback connection hold. */
const largeBytes = 32 * 1024 * 1024;
const limitMilliseconds = 60_000;

// Guards against a close that cuts an answer which its caller is still reading.
test("a graceful close delivers an answer to a caller that reads late", async (context) => {
  let closed: Promise<void> | undefined;
  const listener = new HttpListener({
    endpoint: { host: "127.0.0.1", port: 0 },
    handle: (_request, response) => response.end(Buffer.alloc(largeBytes)),
  });
  await listener.listen();
  context.after(() => listener.closeImmediately());
  const received = await new Promise<number>((resolve, reject) => {
    const outgoing = request(
      { host: "127.0.0.1", port: listener.port, agent: false },
      (response) => {
        let size = 0;
        closed = listener.closeGracefully(limitMilliseconds);
        response.on("data", (chunk: Buffer) => size += chunk.length);
        response.on("error", () => resolve(size));
        response.on("end", () => resolve(size));
      },
    );
    outgoing.on("error", reject);
    outgoing.end();
  });
  assert.equal(received, largeBytes);
  await closed;
});

test("a connection without a request does not delay a graceful close to its limit", async (context) => {
  const listener = new HttpListener({
    endpoint: { host: "127.0.0.1", port: 0 },
    handle: (_request, response) => response.end(),
  });
  await listener.listen();
  context.after(() => listener.closeImmediately());
  const socket = connect(listener.port, "127.0.0.1");
  context.after(() => socket.destroy());
  socket.on("error", () => {});
  await once(socket, "connect");
  const start = performance.now();
  await listener.closeGracefully(limitMilliseconds);
  assert.ok(performance.now() - start < limitMilliseconds / 2);
});
