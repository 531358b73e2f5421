import assert from "node:assert/strict";
import { test } from "node:test";
import { SimulatedControlGroup } from "./support/simulated_control_group.ts";

/** Time within which operators expect an acknowledgement. */
const acknowledgementMilliseconds = 4000;
const runCount = 20;

function createGroup(options: { size: number; seed: number }) {
  return new SimulatedControlGroup({
    ...options,
    bootstrapSize: 3,
    toleratedLosses: 2,
    snapshotEntries: 1000,
  });
}

/** Proposes a change until it is acknowledged; fails when that is too late. */
async function acknowledgeFirstChange(
  group: SimulatedControlGroup,
  seed: number,
): Promise<void> {
  let isProposed = false;
  assert.ok(
    await group.runUntil(() => {
      isProposed ||= group.propose("first");
      return group.acknowledged.includes("first");
    }, acknowledgementMilliseconds - group.now),
    `seed ${seed}`,
  );
}

// Guards against a group that waits too long for instances before it accepts a
// change, also where fewer exist than two lost disks require.
for (const size of [3, 4, 5, 6, 11, 15]) {
  test(`a new group of ${size} acknowledges its first change in time`, async () => {
    for (let seed = 1; seed <= runCount; seed++) {
      await acknowledgeFirstChange(createGroup({ size, seed }), seed);
    }
  });
}

/** Delays two of five machines once the group is created. */
async function createDelayedGroup(
  seed: number,
  delayMilliseconds: number,
): Promise<SimulatedControlGroup> {
  const group = createGroup({ size: 5, seed });
  await group.runUntil(() => group.isCreated, acknowledgementMilliseconds);
  for (const machine of group.machines.slice(3)) {
    group.delayMessages(machine, delayMilliseconds);
  }
  return group;
}

// Guards against a change that is acknowledged before the voters that have to
// elect the next leader know the group.
test("the first change is acknowledged once all voters of five hold the log", async () => {
  for (let seed = 1; seed <= runCount; seed++) {
    const group = await createDelayedGroup(seed, 1000);
    await acknowledgeFirstChange(group, seed);
    assert.deepEqual(
      group.machines.filter(({ process }) => !process?.core.lastIndex)
        .map(({ address }) => address),
      [],
      `seed ${seed}`,
    );
  }
});

test("the first change does not wait for voters that stay silent", async () => {
  for (let seed = 1; seed <= runCount; seed++) {
    const group = await createDelayedGroup(seed, 60_000);
    await acknowledgeFirstChange(group, seed);
  }
});
