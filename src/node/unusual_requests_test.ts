import assert from "node:assert/strict";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { Readable } from "node:stream";
import { test } from "node:test";
import { waitUntil } from "../../tests/support/wait_until.ts";
import { HttpListener } from "./http_listener.ts";

const valid = "GET /valid HTTP/1.1\r\nHost: a\r\n\r\n";
const last = "GET /valid HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
const tunnel = "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n";
const cases = [
  {
    name: "without Host",
    bytes: "GET /unusual HTTP/1.1\r\n\r\n",
    statuses: [200, 400],
  },
  {
    name: "with an unknown expectation",
    bytes: "GET /unusual HTTP/1.1\r\nHost: a\r\nExpect: x\r\n\r\n",
    statuses: [200, 200, 200],
  },
  {
    name: "of HTTP/1.0",
    bytes: "GET /unusual HTTP/1.0\r\n\r\n",
    statuses: [200, 200],
  },
  {
    name: "of HTTP/1.0 with a kept connection",
    bytes: "GET /unusual HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    statuses: [200, 200],
  },
  {
    name: "with CONNECT",
    bytes: tunnel,
    statuses: [200],
  },
  {
    name: "with an upgrade",
    bytes:
      "GET /unusual HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
    statuses: [200, 200],
  },
];

const chunk = Buffer.alloc(64 * 1024, "x");
const chunkCount = 64;

/** Sends bytes and gets everything that the listener sends until it closes. */
function exchangeBytes(port: number, bytes: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, "127.0.0.1", () => socket.write(bytes));
    let received = "";
    socket.setEncoding("latin1");
    socket.on("data", (data: string) => received += data);
    socket.on("error", reject);
    socket.on("end", () => {
      socket.end();
      resolve(received);
    });
  });
}

for (const { name, bytes, statuses } of cases) {
  test(`a request ${name} leaves no request of its connection without a response`, async (context) => {
    const handled: ServerResponse[] = [];
    const unanswered: unknown[] = [];
    const listener = new HttpListener({
      endpoint: { host: "127.0.0.1", port: 0 },
      handle: (_, response) => {
        handled.push(response);
        setTimeout(() => response.end("done"), 50);
      },
      onUnanswered: ({ responses }) => unanswered.push(...responses),
    });
    await listener.listen();
    context.after(() => listener.closeImmediately());
    const received = await exchangeBytes(
      listener.port,
      valid + bytes + last,
    );
    const found = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)];
    assert.deepEqual(found.map((each) => Number(each[1])), statuses);
    assert.equal(
      handled.length,
      statuses.filter((each) => each === 200).length,
    );
    assert.deepEqual(unanswered, []);
  });
}

const tunnelCases = [
  { name: "gets a response", bytes: tunnel, length: 0, status: 400 },
  {
    name: "cuts no streamed response in front of it",
    bytes: valid + tunnel,
    length: chunk.length * chunkCount,
    status: 200,
  },
];
for (const { name, bytes, length, status } of tunnelCases) {
  test(`a request with CONNECT ${name}, and does not delay the close of its listener`, async (context) => {
    const listener = new HttpListener({
      endpoint: { host: "127.0.0.1", port: 0 },
      handle: (_, response) =>
        Readable.from(Array<Buffer>(chunkCount).fill(chunk)).pipe(response),
    });
    await listener.listen();
    context.after(() => listener.closeImmediately());
    const received = await exchangeBytes(listener.port, bytes);
    assert.match(received, new RegExp(`^HTTP/1\\.1 ${status} `));
    assert.ok(received.length > length, `${received.length} bytes`);
    await listener.close();
  });
}

test("a body that arrives behind an ignored upgrade is not read as a request", async (context) => {
  const paths: (string | undefined)[] = [];
  const listener = new HttpListener({
    endpoint: { host: "127.0.0.1", port: 0 },
    handle: ({ url }, response) => {
      paths.push(url);
      response.end();
    },
  });
  await listener.listen();
  context.after(() => listener.closeImmediately());
  const upgrade =
    "GET /upgrade HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n";
  const body = "POST /body HTTP/1.1\r\nHost: a\r\n\r\n";
  const outer =
    `POST /outer HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n`;
  const socket = connect(listener.port, "127.0.0.1");
  context.after(() => socket.destroy());
  socket.on("error", () => {});
  const ended = new Promise((resolve) => socket.once("end", resolve));
  socket.resume();
  socket.write(upgrade + outer);
  await waitUntil(() => paths.length > 0, "the upgrade is read");
  socket.write(body);
  await ended;
  assert.deepEqual(paths, ["/upgrade"]);
});
