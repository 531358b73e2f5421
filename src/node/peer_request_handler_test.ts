import assert from "node:assert/strict";
import { test } from "node:test";
import { sendCall } from "../../tests/support/http_call.ts";
import { startPair } from "../../tests/support/test_pair.ts";
import { contextHeader, encodeContext } from "../request/mod.ts";

const cases = [
  { service: "front", classIndex: 1, status: 200 },
  // The sender has a document with more classes.
  { service: "front", classIndex: 9, status: 200 },
  { service: "back", classIndex: 1, status: 503 },
];

// Guards against calls that run at a target of another service, because the
// address of their node was reassigned to that service.
for (const { service, classIndex, status } of cases) {
  test(`a call for ${service} of class ${classIndex} at a node of front gets ${status}`, async (context) => {
    const pair = await startPair("front-1");
    context.after(() => pair.close());
    const response = await sendCall({
      port: pair.node.node.port,
      path: "/views/1",
      headers: {
        [contextHeader]: encodeContext({
          requestId: "r-1",
          caller: "",
          classIndex,
          remainingMilliseconds: 5000,
          allowance: 0,
          depth: 1,
          entryIndex: 0,
          service,
          hash: 7,
        }),
      },
    });
    assert.equal(response.status, status);
    if (status === 503) {
      assert.match(response.body, /not-run.*no-target/);
    }
  });
}
