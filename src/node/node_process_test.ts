import assert from "node:assert/strict";
import { after, test } from "node:test";
import { sendCall } from "../../tests/support/http_call.ts";
import { StandInTarget } from "../../tests/support/stand_in_target.ts";
import { startTestNode } from "../../tests/support/test_node.ts";

test("a call at the outside listener gets the complete response of the node's own target", async () => {
  const front = await startTestNode("front-1");
  const target = new StandInTarget({
    service: "front",
    nodePort: front.loopback,
  });
  await target.listen();
  await target.announce();
  after(async () => {
    await target.close();
    await front.node.stop(0);
  });
  const response = await sendCall({
    port: front.outside,
    path: "/views/1?x=2",
    headers: { "x-call": "a", "dogwoodwalk-request": "forged" },
  });
  assert.equal(response.status, 200);
  assert.deepEqual(JSON.parse(response.body), {
    call: "a",
    path: "/views/1?x=2",
  });
  assert.equal(target.runs.length, 1);
  assert.notEqual(target.runs[0]?.request, "forged");
  assert.equal(response.headers["dogwoodwalk-answer"], undefined);
});
