import assert from "node:assert/strict";
import { createServer } from "node:http";
import { test } from "node:test";
import { announceServer } from "../../tests/support/announce_server.ts";
import { sendCall } from "../../tests/support/http_call.ts";
import { startPair } from "../../tests/support/test_pair.ts";

const cases = [
  { name: "during a request", hasToken: true },
  { name: "by itself", hasToken: false },
];

for (const { name, hasToken } of cases) {
  // Guards against refused calls of a target that cannot be found by its request.
  test(`a call to an unknown service that a target makes ${name} is logged with ${hasToken ? "the identity of that request" : "no identity"}`, async (context) => {
    const front = await startPair("front-1");
    context.after(() => front.close());
    let requestId = "";
    const server = createServer(async ({ headers }, response) => {
      requestId = [...front.node.originDispatcher.calls][0]?.requestId ?? "";
      const token = String(headers["dogwoodwalk-request"]);
      const nested = await sendCall({
        port: front.loopback,
        path: "/views/1",
        headers: {
          Host: "nowhere",
          ...(hasToken && { "dogwoodwalk-request": token }),
        },
      });
      response.end(nested.body);
    });
    await announceServer(context, front, server);
    const response = await sendCall({ port: front.outside, path: "/views/1" });
    const { error } = JSON.parse(response.body);
    assert.equal(error.reason, "unknown-route");
    assert.notEqual(requestId, "");
    const id = hasToken ? requestId : "";
    assert.equal(error.requestId, id);
    const line = front.logLines.find((each) =>
      each.includes("call not accepted")
    );
    assert.ok(line?.includes(` request=${id === "" ? '""' : id} `), line);
  });
}
