import assert from "node:assert/strict";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { sendCall } from "../../tests/support/http_call.ts";
import { sendBytes } from "../../tests/support/send_bytes.ts";
import { startPair, type TestPair } from "../../tests/support/test_pair.ts";

async function start(context: TestContext): Promise<TestPair> {
  const pair = await startPair("front-1", { headersMilliseconds: 500 });
  context.after(() => pair.close());
  return pair;
}

const context = "dogwoodwalk-context";
const end = "Host: front\r\nConnection: close\r\n\r\n";
const cases = [
  {
    name: "an unknown route",
    to: "outside",
    text: `GET /nowhere HTTP/1.1\r\n${end}`,
    expected: /404 [^]*not-run[^]*unknown-route/,
  },
  {
    name: "an unknown service on the loopback listener",
    to: "loopback",
    text: "GET /views/1 HTTP/1.1\r\nHost: nowhere\r\nConnection: close\r\n\r\n",
    expected: /404 [^]*unknown-route/,
  },
  {
    name: "an escaped path that could reach another route",
    to: "outside",
    text: `POST /views/%2e%2E/transfers HTTP/1.1\r\n${end}`,
    expected: /400 [^]*malformed-request/,
  },
  {
    name: "bytes that are not HTTP",
    to: "outside",
    text: "\u0000\u0001\u0002 nothing\r\n\r\n",
    expected: /400 [^]*malformed-request/,
  },
  {
    name: "an oversized header",
    to: "outside",
    text: `GET /views/1 HTTP/1.1\r\nX: ${"x".repeat(20_000)}\r\n${end}`,
    expected: /431 [^]*too-large/,
  },
  {
    name: "an oversized body",
    to: "outside",
    text: `POST /views/1 HTTP/1.1\r\nContent-Length: 99999999999999\r\n${end}`,
    expected: /413 [^]*too-large/,
  },
  {
    name: "an oversized body of a call with a key",
    to: "outside",
    text:
      `POST /transfers HTTP/1.1\r\nIdempotency-Key: a\r\nContent-Length: 70000\r\n${end}`,
    // Without a ledger, the outcome of earlier requests is not known.
    expected: /503 [^]*unknown[^]*ledger-unavailable/,
  },
  {
    name: "an oversized key",
    to: "outside",
    text: `POST /transfers HTTP/1.1\r\nIdempotency-Key: ${
      "k".repeat(300)
    }\r\n${end}`,
    expected: /400 [^]*malformed-request/,
  },
  {
    name: "a half-sent request line",
    to: "outside",
    text: "GET /vie",
    expected: /408 [^]*malformed-request/,
  },
  {
    name: "a half-sent body",
    to: "outside",
    text: `GET /short HTTP/1.1\r\nContent-Length: 10\r\n${end}half`,
    expected: /504 [^]*not-run[^]*deadline-exceeded/,
  },
  {
    name: "a missing context",
    to: "node",
    text: `GET /views/1 HTTP/1.1\r\n${end}`,
    expected: /400 [^]*malformed-request/,
  },
  {
    name: "a negative deadline",
    to: "node",
    text:
      `GET /views/1 HTTP/1.1\r\n${context}: 1;r;c;0;-1;1;1;0;front;7\r\n${end}`,
    expected: /400 [^]*deadline is out of range/,
  },
  {
    name: "an allowance of 10^9",
    to: "node",
    text:
      `GET /views/1 HTTP/1.1\r\n${context}: 1;r;c;0;9;1000000000;1;0;front;7\r\n${end}`,
    expected: /400 [^]*allowance is out of range/,
  },
  {
    name: "a class that no document can have",
    to: "node",
    text:
      `GET /views/1 HTTP/1.1\r\n${context}: 1;r;c;16;9;1;1;0;front;7\r\n${end}`,
    expected: /400 [^]*malformed-request/,
  },
  {
    name: "a chain that is too deep",
    to: "node",
    text:
      `GET /views/1 HTTP/1.1\r\n${context}: 1;r;c;0;9;1;60;0;front;7\r\n${end}`,
    expected: /508 [^]*depth-exceeded/,
  },
  {
    name: "an announcement that is not JSON",
    to: "loopback",
    text: `POST /dogwoodwalk/announce HTTP/1.1\r\nContent-Length: 1\r\n${end}{`,
    expected: /400 [^]*not valid JSON/,
  },
  {
    name: "an outcome query without a key",
    to: "outside",
    text: `GET /dogwoodwalk/outcome?service=front HTTP/1.1\r\n${end}`,
    expected: /400 [^]*malformed-request/,
  },
] as const;

for (const { name, to, text, expected } of cases) {
  test(`${name} gets a clear error and the node keeps working`, async (context) => {
    const front = await start(context);
    const received = await sendBytes(front.node[to].port, text);
    assert.match(received, expected);
    assert.match(received, /"error":\{"disposition":/);
    assert.equal(front.target.runs.length, 0);
    const next = await sendCall({ port: front.outside, path: "/views/1" });
    assert.equal(next.status, 200);
    assert.equal(front.node.state.bodyMemory.usedBytes, 0);
  });
}

// Guards against an error response to invalid bytes that the caller reads as
// the response to an earlier request of the connection, or that reports an
// upload as not-run although its bytes may have reached the target.
test("bytes that are not HTTP after an unfinished request get no response", async (context) => {
  const pair = await startPair("front-1", { headersMilliseconds: 500 });
  context.after(() => pair.close());
  const received = await new Promise<string>((resolve) => {
    const socket = connect(pair.outside, "127.0.0.1");
    let text = "";
    socket.on("data", (chunk) => text += chunk);
    socket.on("error", () => {});
    socket.on("close", () => resolve(text));
    socket.write(
      "POST /plain HTTP/1.1\r\nHost: front\r\nTransfer-Encoding: chunked\r\n\r\n" +
        "not a chunk\r\n\r\n",
    );
  });
  assert.equal(received, "");
});
