import assert from "node:assert/strict";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { test } from "node:test";
import { waitFor } from "../../tests/support/http_call.ts";
import { HttpListener } from "./http_listener.ts";

/** A request that the listener passed to its handler. */
interface HandledRequest {
  readonly path: string;
  readonly response: ServerResponse;
}

/** Formats requests that are sent in one piece. */
function formatRequests(paths: readonly string[]): string {
  return paths.map((path) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`).join(
    "",
  );
}

const pipelines = [
  {
    name: "sent together after the drain began",
    before: [],
    after: ["/1", "/2", "/3"],
  },
  {
    name: "sent behind one that was accepted before the drain",
    before: ["/1"],
    after: ["/2", "/3"],
  },
  {
    name: "sent together before the drain",
    before: ["/1", "/2"],
    after: [],
  },
];
for (const { name, before, after } of pipelines) {
  test(
    `a draining listener answers all pipelined requests that it passes on: ${name}`,
    async (context) => {
      const handled: HandledRequest[] = [];
      const listener = new HttpListener({
        endpoint: { host: "127.0.0.1", port: 0 },
        handle: (request, response) =>
          handled.push({ path: request.url ?? "", response }),
      });
      await listener.listen();
      context.after(() => listener.closeImmediately());
      const socket = connect(listener.port, "127.0.0.1");
      context.after(() => socket.destroy());
      let received = "";
      socket.on("data", (chunk) => received += chunk);
      const closed = new Promise((resolve) => socket.once("close", resolve));
      socket.write(formatRequests(before));
      await waitFor(() => handled.length === before.length);
      listener.startDraining();
      socket.write(formatRequests(after));
      await waitFor(() => handled.length > before.length || after.length === 0);
      for (const { path, response } of handled) {
        response.end(`body of ${path};`);
      }
      if (after.length > 0) {
        await closed;
      } else {
        await waitFor(() => received.split("body of").length > before.length);
      }
      const answered = [...received.matchAll(/body of (\S+);/g)].map((
        [, path],
      ) => path);
      assert.deepEqual(answered, handled.map(({ path }) => path));
      assert.equal(received.includes("Connection: close"), after.length > 0);
    },
  );
}

test("no request is passed on behind a response that closes its connection", async (context) => {
  const handled: HandledRequest[] = [];
  const listener = new HttpListener({
    endpoint: { host: "127.0.0.1", port: 0 },
    handle: (request, response) => {
      handled.push({ path: request.url ?? "", response });
      if (request.method === "POST") {
        response.shouldKeepAlive = false;
        response.end("refused;");
      }
    },
  });
  await listener.listen();
  context.after(() => listener.closeImmediately());
  const socket = connect(listener.port, "127.0.0.1");
  context.after(() => socket.destroy());
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  const closed = new Promise((resolve) => socket.once("close", resolve));
  const headers = "Host: a\r\nContent-Length: 4";
  socket.write(
    `${formatRequests(["/1"])}POST /2 HTTP/1.1\r\n${headers}\r\n\r\n`,
  );
  await waitFor(() => handled.length === 2);
  socket.write(`body${formatRequests(["/3"])}`);
  await waitFor(() => handled[1]?.response.req.complete === true);
  handled[0]?.response.end("body of /1;");
  await closed;
  assert.match(received, /body of \/1;[^]*refused;$/);
  assert.deepEqual(handled.map(({ path }) => path), ["/1", "/2"]);
});

test("all pipelined requests of a caller that leaves end", async (context) => {
  const closedPaths: (string | undefined)[] = [];
  let handled = 0;
  const listener = new HttpListener({
    endpoint: { host: "127.0.0.1", port: 0 },
    handle: (request, response) => {
      handled++;
      response.on("close", () => closedPaths.push(request.url));
    },
  });
  await listener.listen();
  context.after(() => listener.closeImmediately());
  const socket = connect(listener.port, "127.0.0.1");
  socket.write(formatRequests(["/1", "/2", "/3"]));
  await waitFor(() => handled === 3);
  socket.destroy();
  await waitFor(() => closedPaths.includes("/1"));
  assert.deepEqual(closedPaths.sort(), ["/1", "/2", "/3"]);
});

const invalidBytes = [
  { name: "are not HTTP", waitMilliseconds: 20, bytes: "\u0000\r\n\r\n" },
  {
    name: "are an incomplete request",
    waitMilliseconds: 2500,
    bytes: "GET /vie",
  },
  {
    name: "have too large headers",
    waitMilliseconds: 20,
    bytes: `GET / HTTP/1.1\r\nx: ${"x".repeat(20_000)}\r\n\r\n`,
  },
  {
    name: "are a request with an invalid body",
    waitMilliseconds: 20,
    bytes:
      "POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
  },
];
for (const { name, waitMilliseconds, bytes } of invalidBytes) {
  // Guards against an error that cuts the responses to the requests before it.
  test(`requests are answered although the bytes behind them ${name}`, async (context) => {
    const handled: HandledRequest[] = [];
    const listener = new HttpListener({
      endpoint: { host: "127.0.0.1", port: 0 },
      handle: (request, response) => {
        request.resume();
        handled.push({ path: request.url ?? "", response });
      },
      headersMilliseconds: 300,
    });
    await listener.listen();
    context.after(() => listener.closeImmediately());
    const socket = connect(listener.port, "127.0.0.1");
    context.after(() => socket.destroy());
    let received = "";
    socket.on("error", () => {});
    socket.on("data", (chunk) => received += chunk);
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.write(formatRequests(["/1", "/2"]) + bytes);
    await waitFor(() => handled.length >= 2);
    await Promise.race([
      new Promise((resolve) => setTimeout(resolve, waitMilliseconds)),
      closed,
    ]);
    for (const { path, response } of handled.slice(0, 2).reverse()) {
      response.end(path);
    }
    await closed;
    const responses = received.split("HTTP/1.1 ").slice(1);
    assert.deepEqual(
      responses.map((each) => `${each.slice(0, 3)} ${each.slice(-2)}`),
      ["200 /1", "200 /2"],
    );
  });
}
