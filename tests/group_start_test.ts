import assert from "node:assert/strict";
import { test } from "node:test";
import { SimulatedControlGroup } from "./support/simulated_control_group.ts";

/** Time within which operators expect an acknowledgement. */
const acknowledgementMilliseconds = 4000;
const runCount = 20;

// Guards against a group that waits too long for instances before it accepts a
// change, also where fewer exist than two lost disks require.
for (const size of [3, 4, 5, 6, 11, 15]) {
  test(`a new group of ${size} acknowledges its first change in time`, async () => {
    for (let seed = 1; seed <= runCount; seed++) {
      const group = new SimulatedControlGroup({
        size,
        bootstrapSize: 3,
        toleratedLosses: 2,
        seed,
        snapshotEntries: 1000,
      });
      let isProposed = false;
      assert.ok(
        await group.runUntil(() => {
          isProposed ||= group.propose("first");
          return group.acknowledged.includes("first");
        }, acknowledgementMilliseconds),
        `seed ${seed}`,
      );
    }
  });
}
