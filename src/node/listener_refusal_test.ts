import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { waitFor } from "../../tests/support/http_call.ts";
import { startTestNode } from "../../tests/support/test_node.ts";
import { disabledMetrics, type MetricTags } from "../common/mod.ts";

const cases = [
  {
    name: "are not HTTP",
    bytes: "\u0000\r\n\r\n",
    status: 400,
    reason: "malformed-request",
    line: / message="Parse Error: [^"]+" code=HPE_INVALID_METHOD /,
  },
  {
    name: "are a request without Host",
    bytes: "GET /views/1 HTTP/1.1\r\n\r\n",
    status: 400,
    reason: "malformed-request",
    line: / message="The request has no Host header" /,
  },
  {
    name: "are a request for a tunnel",
    bytes: "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n",
    status: 400,
    reason: "malformed-request",
    line: / message="CONNECT is not supported" /,
  },
  {
    name: "are too large headers",
    bytes: `GET / HTTP/1.1\r\nHost: a\r\nx: ${"x".repeat(300_000)}\r\n\r\n`,
    status: 431,
    reason: "too-large",
    line: / message="Parse Error: Header overflow" code=HPE_HEADER_OVERFLOW /,
  },
  {
    name: "are an incomplete request",
    bytes: "GET /vie",
    status: 408,
    reason: "malformed-request",
    line: / code=ERR_HTTP_REQUEST_TIMEOUT .* received=8 /,
  },
  {
    name: "never come",
    bytes: "",
    status: 408,
    reason: "malformed-request",
    line: / code=ERR_HTTP_REQUEST_TIMEOUT .* received=0 /,
  },
];

for (const listener of ["outside", "node", "loopback"] as const) {
  for (const { name, bytes, status, reason, line } of cases) {
    // Guards against refusals that no line and no counter mentions.
    test(`a refusal by the listener ${listener} is logged and counted when the bytes of its caller ${name}`, async (context) => {
      const counts: [string, MetricTags][] = [];
      const front = await startTestNode("front-1", {
        headersMilliseconds: 300,
        metrics: {
          ...disabledMetrics,
          increment: (counter, tags) => counts.push([counter, tags]),
        },
      });
      context.after(() => front.node.stop({ limitMilliseconds: 0 }));
      const socket = connect(front.node[listener].port, "127.0.0.1");
      context.after(() => socket.destroy());
      let received = "";
      socket.on("error", () => {});
      socket.on("data", (chunk) => received += chunk);
      if (bytes !== "") {
        socket.write(bytes);
      }
      await waitFor(() => received.includes("\r\n\r\n"));
      assert.match(received, new RegExp(`^HTTP/1.1 ${status} `));
      const refusals = front.logLines.filter((each) =>
        each.includes('event="request refused"')
      );
      assert.equal(refusals.length, 1, front.logLines.join(""));
      const fields = ` listener=${listener} status=${status} reason=${reason} `;
      assert.ok(refusals[0]?.includes(fields), refusals[0]);
      assert.match(refusals[0] ?? "", line);
      assert.match(refusals[0] ?? "", / sender=127\.0\.0\.1 /);
      assert.deepEqual(counts, [
        ["requests.refused", { listener, status: String(status), reason }],
      ]);
    });
  }
}
