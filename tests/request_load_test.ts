import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { runUnderLoad } from "./support/request_load.ts";
import { waitUntil } from "./support/wait_until.ts";

test("a load ends when its check fails, so that the test process ends", async () => {
  let sent = 0;
  const load = runUnderLoad(
    () => Promise.resolve(++sent),
    async (results) => {
      await waitUntil(() => results.length > 1, "the load runs");
      throw new Error("the check fails");
    },
  );
  await assert.rejects(load, /the check fails/);
  const sentBefore = sent;
  await sleep(100);
  assert.equal(sent, sentBefore);
});
