import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { gzipSync } from "node:zlib";
import { sendCall, waitFor } from "../../tests/support/http_call.ts";
import { startRawPath } from "../../tests/support/raw_path.ts";

const small = gzipSync("hello");
const large = Buffer.alloc(300_000, "x");

function encodeChunks(body: Buffer): Buffer {
  return Buffer.concat([
    Buffer.from(`${body.length.toString(16)}\r\n`),
    body,
    Buffer.from("\r\n0\r\n\r\n"),
  ]);
}

const codings = [
  { coding: "gzip", isChunked: false },
  { coding: "gzip, chunked", isChunked: true },
  { coding: "gzip\r\nTransfer-Encoding: chunked", isChunked: true },
  { coding: "chunked, gzip", isChunked: true },
  { coding: "chunked, identity", isChunked: true },
  { coding: ",chunked,", isChunked: true },
  { coding: "chunked;a=b", isChunked: true },
  { coding: "x", isChunked: false },
];
const bodies = [{ size: "small", body: small }, { size: "large", body: large }];

for (const nodeCount of [1, 2]) {
  for (const { coding, isChunked } of codings) {
    for (const { size, body } of bodies) {
      // Guards against an encoded body that is passed on without its coding.
      test(`a ${size} response with transfer coding ${JSON.stringify(coding)} fails through ${nodeCount} nodes`, async (context) => {
        const { origin, last, call } = await startRawPath(
          context,
          nodeCount,
          (socket) => {
            socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n`);
            socket.end(
              Buffer.concat([
                Buffer.from("\r\n"),
                isChunked ? encodeChunks(body) : body,
              ]),
            );
          },
        );
        const response = await sendCall(call);
        assert.equal(response.status, 502);
        assert.equal(
          response.headers["dogwoodwalk-reason"],
          "answer-incomplete",
        );
        assert.equal(response.headers["dogwoodwalk-disposition"], "unknown");
        assert.ok(
          last.logLines.some((line) =>
            /the transfer coding.*event="target call failed"/.test(line)
          ),
          last.logLines.join(""),
        );
        await waitFor(() => origin.node.callCount + last.node.callCount === 0);
        assert.equal(last.node.state.bodyMemory.usedBytes, 0);
      });
    }
  }
}

const readable = [
  { coding: "Chunked", isChunked: true },
  { coding: "identity, chunked", isChunked: true },
  { coding: "identity", isChunked: false },
  { coding: "", isChunked: false },
];

for (const nodeCount of [1, 2]) {
  for (const { coding, isChunked } of readable) {
    for (const { size, body } of bodies) {
      test(`a ${size} response with transfer coding ${JSON.stringify(coding)} is passed on whole through ${nodeCount} nodes`, async (context) => {
        const { call } = await startRawPath(context, nodeCount, (socket) => {
          socket.write(
            `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n`,
          );
          socket.end(isChunked ? encodeChunks(body) : body);
        });
        const response = await sendCall(call);
        assert.equal(response.status, 200);
        assert.ok(response.bytes.equals(body));
      });
    }
  }
  for (const { size, body } of bodies) {
    test(`a ${size} response with transfer coding identity that is reset never seems complete through ${nodeCount} nodes`, async (context) => {
      const { call } = await startRawPath(context, nodeCount, (socket) => {
        socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n");
        socket.write(body, () => socket.resetAndDestroy());
      });
      const status = await sendCall(call)
        .then((response) => response.status, () => "broken off" as const);
      assert.ok(status === "broken off" || status >= 500, String(status));
    });
  }
}

for (const method of ["HEAD", "GET"]) {
  test(`a response to ${method} without a body is passed on with any transfer coding`, async (context) => {
    const status = method === "HEAD" ? 200 : 304;
    const { call } = await startRawPath(context, 2, (socket) => {
      socket.end(`HTTP/1.1 ${status} A\r\nTransfer-Encoding: gzip\r\n\r\n`);
    });
    const response = await sendCall({ ...call, method });
    assert.equal(response.status, status);
  });
}

for (const host of ["front", "back"]) {
  for (const coding of ["gzip, chunked", "x\r\nTransfer-Encoding: chunked"]) {
    test(`a request for ${host} with transfer coding ${JSON.stringify(coding)} is refused as not run`, async (context) => {
      let hasRun = false;
      const { origin } = await startRawPath(
        context,
        host === "front" ? 1 : 2,
        (socket) => {
          hasRun = true;
          socket.end("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        },
      );
      const socket = connect(origin.outside, "127.0.0.1");
      context.after(() => socket.destroy());
      let received = "";
      socket.on("data", (data) => received += data.toString("latin1"));
      socket.write(
        `POST /views/1 HTTP/1.1\r\nHost: ${host}\r\n` +
          `Transfer-Encoding: ${coding}\r\n\r\n`,
      );
      socket.write(encodeChunks(small));
      await waitFor(() => received.includes("}"));
      assert.match(received, /^HTTP\/1\.1 400 /);
      assert.match(received, /dogwoodwalk-disposition: not-run/);
      assert.equal(hasRun, false);
    });
  }
}
