import assert from "node:assert/strict";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { test } from "node:test";
import { waitUntil } from "../../tests/support/wait_until.ts";
import { HttpListener } from "./http_listener.ts";

const bodyBytes = 300_000;
/** Time for the listener to write a response that its caller does not read yet. */
const writeMilliseconds = 300;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

const furtherBytes = [
  { name: "a request", bytes: "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n" },
  { name: "bytes that are no request", bytes: "\r\nno request\r\n\r\n" },
  { name: "nothing", bytes: "" },
];
for (const { name, bytes } of furtherBytes) {
  test(`the last response of a connection is not cut when its caller sends ${name} behind it`, async (context) => {
    const listener = new HttpListener({
      endpoint: { host: "127.0.0.1", port: 0 },
      handle: (_request, response) => response.end(Buffer.alloc(bodyBytes)),
    });
    await listener.listen();
    context.after(() => listener.closeImmediately());
    listener.startDraining();
    const socket = connect(listener.port, "127.0.0.1");
    socket.on("error", () => {});
    await once(socket, "connect");
    socket.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    await sleep(writeMilliseconds);
    socket.write(bytes);
    await sleep(writeMilliseconds);
    let received = 0;
    socket.on("data", (chunk) => received += chunk.length);
    await once(socket, "close");
    assert.ok(received > bodyBytes, `${received} bytes`);
  });
}

test("a response that breaks off does not cut the one in front of it, which its caller reads late", async (context) => {
  const responses: ServerResponse[] = [];
  const listener = new HttpListener({
    endpoint: { host: "127.0.0.1", port: 0 },
    handle: (_request, response) => responses.push(response),
  });
  await listener.listen();
  context.after(() => listener.closeImmediately());
  const socket = connect(listener.port, "127.0.0.1");
  socket.on("error", () => {});
  socket.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n".repeat(2));
  await waitUntil(() => responses.length === 2, "both requests are read");
  const [front, broken] = responses;
  broken?.writeHead(200, { "content-length": bodyBytes });
  broken?.write("begin");
  broken?.destroy();
  front?.end(Buffer.alloc(bodyBytes));
  await sleep(writeMilliseconds);
  socket.write("GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
  await sleep(writeMilliseconds);
  let received = "";
  socket.on("data", (chunk) => received += chunk.toString("latin1"));
  await once(socket, "close");
  assert.ok(received.length > bodyBytes, `${received.length} bytes`);
  assert.ok(!received.includes("begin"));
  assert.equal(responses.length, 2);
});

test("a graceful close waits for the caller of a last response", async (context) => {
  const listener = new HttpListener({
    endpoint: { host: "127.0.0.1", port: 0 },
    handle: (_request, response) => response.end("whole"),
  });
  await listener.listen();
  const socket = connect({
    host: "127.0.0.1",
    port: listener.port,
    allowHalfOpen: true,
  });
  context.after(() => socket.destroy());
  listener.startDraining();
  socket.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  socket.resume();
  await once(socket, "end");
  let isClosed = false;
  const closed = listener.closeGracefully(60_000).then(() => isClosed = true);
  await sleep(writeMilliseconds);
  assert.equal(isClosed, false);
  socket.end();
  await closed;
});
