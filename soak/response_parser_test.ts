import assert from "node:assert/strict";
import { test } from "node:test";
import { ResponseParser } from "./response_parser.ts";

const stream = Buffer.from(
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst" +
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" +
    "Content-Length: 0\r\n\r\n",
);

for (const chunkBytes of [1, 7, stream.length]) {
  test(`pipelined responses in chunks of ${chunkBytes} bytes are separated`, () => {
    const parser = new ResponseParser();
    const responses = [];
    for (let start = 0; start < stream.length; start += chunkBytes) {
      responses.push(...parser.push(
        stream.subarray(start, start + chunkBytes),
      ));
    }
    assert.deepEqual(
      responses.map(({ status, body }) => [status, body.toString()]),
      [[200, "first"], [503, ""]],
    );
    assert.equal(responses[1]?.headers.get("connection"), "close");
    assert.equal(parser.hasPartialResponse, false);
  });
}

test("a response that is cut is reported as partial", () => {
  const parser = new ResponseParser();
  assert.deepEqual(parser.push(stream.subarray(0, 42)), []);
  assert.equal(parser.hasPartialResponse, true);
});

test("a response without a length is malformed", () => {
  const parser = new ResponseParser();
  assert.throws(() => parser.push(Buffer.from("HTTP/1.1 200 OK\r\n\r\n")));
});
