import assert from "node:assert/strict";
import { test } from "node:test";
import { pipelineRequests } from "../../tests/support/pipeline_requests.ts";
import { startPair } from "../../tests/support/test_pair.ts";

const refusals = [
  { name: "an unknown route", path: "/none", status: 404 },
  { name: "a malformed target", path: "/views/../short", status: 400 },
];
for (const { name, path, status } of refusals) {
  test(`a refusal for ${name} leaves no pipelined request without a response`, async (context) => {
    const pair = await startPair("front-1", { serviceMilliseconds: 100 });
    context.after(() => pair.close());
    const statuses = await pipelineRequests(pair.outside, [
      { path: "/views/1" },
      { path },
      { path: "/views/1" },
    ]);
    assert.deepEqual(statuses, [200, status, 200]);
    assert.equal(pair.target.runs.length, 2);
  });
}
