import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { waitFor } from "../../tests/support/http_call.ts";
import { startPair } from "../../tests/support/test_pair.ts";

// Guards against targets that work on for callers that have left. Node.js emits
// "close" only for the response that is being sent, not for those behind it.
test("a caller that leaves cancels all of its pipelined calls", async (context) => {
  const front = await startPair("front-1", { serviceMilliseconds: 3000 });
  context.after(() => front.close());
  const socket = connect(front.outside, "127.0.0.1");
  context.after(() => socket.destroy());
  socket.write("GET /views/1 HTTP/1.1\r\nHost: front\r\n\r\n".repeat(3));
  await waitFor(() => front.target.running === 3);
  socket.destroy();
  await waitFor(() => front.target.running === 0);
  assert.deepEqual(
    front.target.runs.map((each) => each.end),
    ["cancelled", "cancelled", "cancelled"],
  );
});
