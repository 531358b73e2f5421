import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createSeededRandom } from "../common/mod.ts";
import {
  getViewDelta,
  getViewDigest,
  type KnownTarget,
  maximumSubsetSize,
  SubsetRing,
  ViewCopy,
} from "./mod.ts";

function createTarget(number: number, zone: number, sequence = 1): KnownTarget {
  return {
    targetId: `t${number}`,
    environment: "trial",
    service: "s",
    region: `r${zone >> 1}`,
    availabilityZone: `z${zone}`,
    nodeAddress: "a",
    nodeId: `n${number}`,
    incarnation: 1,
    sequence,
    state: "ready",
    drainedIncarnation: 0,
    readyAtMilliseconds: 0,
  };
}

function createCallers(count: number) {
  return Array.from({ length: count }, (_, index) => ({
    nodeId: `caller ${index}`,
    availabilityZone: "z0",
  }));
}

function getLocality(zone: number) {
  return { region: `r${zone >> 1}`, availabilityZone: `z${zone}` };
}

const sizes = fc.array(fc.integer({ min: 0, max: 70 }), {
  minLength: 6,
  maxLength: 6,
});

test("subsets are limited, prefer the own zone, span zones, and are even", () => {
  fc.assert(
    fc.property(
      sizes,
      fc.integer({ min: 1, max: 60 }),
      (zones, callerCount) => {
        const targets = zones.flatMap((count, zone) =>
          Array.from(
            { length: count },
            (_, index) => createTarget(zone * 100 + index, zone),
          )
        );
        const callers = createCallers(callerCount);
        const ring = new SubsetRing(targets, callers, getLocality(0));
        const uses = new Map(targets.map((each) => [each.targetId, 0]));
        for (const caller of callers) {
          const view = ring.select(caller.nodeId);
          assert.equal(
            view.length,
            Math.min(targets.length, maximumSubsetSize),
          );
          assert.equal(new Set(view).size, view.length);
          const own = view.filter((each) =>
            each.availabilityZone === "z0"
          ).length;
          const elsewhere = targets.length - (zones[0] ?? 0);
          assert.ok(own >= Math.min(zones[0] ?? 0, maximumSubsetSize / 2));
          assert.ok(elsewhere === 0 || own < view.length, "one zone only");
          view.forEach((each) =>
            uses.set(each.targetId, (uses.get(each.targetId) ?? 0) + 1)
          );
        }
        const tiers = [
          targets.filter((each) => each.availabilityZone === "z0"),
          targets.filter((each) => each.availabilityZone === "z1"),
          targets.filter((each) => each.region !== "r0"),
        ];
        for (const tier of tiers) {
          const counts = tier.map((each) => uses.get(each.targetId) ?? 0);
          // Guards against targets that get more callers than others.
          assert.ok(
            counts.length === 0 ||
              Math.max(...counts) - Math.min(...counts) <= 1,
          );
        }
      },
    ),
    { seed: 20_240_118, numRuns: 200, includeErrorInReport: true },
  );
});

test("one more target or node changes few targets of each subset", () => {
  const targets = Array.from(
    { length: 120 },
    (_, index) => createTarget(index, index % 6),
  );
  const callers = createCallers(40);
  const before = new SubsetRing(targets, callers, getLocality(0));
  const cases = [
    { name: "a target", targets: [...targets, createTarget(500, 0)], callers },
    {
      name: "a node",
      targets,
      callers: [...callers, { nodeId: "x", availabilityZone: "z0" }],
    },
  ];
  for (const { name, ...next } of cases) {
    const after = new SubsetRing(next.targets, next.callers, getLocality(0));
    const changed = callers.map((caller) =>
      getViewDelta(before.select(caller.nodeId), after.select(caller.nodeId))
        ?.changed
        .length ?? 0
    );
    const mean = changed.reduce((sum, count) => sum + count, 0) /
      changed.length;
    // A tenth of the subset; a new random choice would change two thirds.
    assert.ok(
      mean <= maximumSubsetSize / 10,
      `${name} changes ${mean} targets a node`,
    );
  }
});

test("deltas update a copy to the sender's view, and a mismatch is detected", () => {
  fc.assert(
    fc.property(fc.integer({ min: 1 }), (seed) => {
      const random = createSeededRandom(seed);
      const copy = new ViewCopy();
      let sent: KnownTarget[] = [];
      for (let step = 0; step < 20; step++) {
        const next = Array.from(
          { length: 12 },
          (_, number) =>
            sent.find((each) => each.targetId === `t${number}`) ??
              createTarget(number, 0, step + 1),
        ).filter(() => random() < 0.7).map((each) =>
          random() < 0.2 ? { ...each, sequence: each.sequence + 1 } : each
        );
        const delta = getViewDelta(sent, next);
        sent = next;
        if (delta === undefined) {
          continue;
        }
        const isLost = random() < 0.2;
        if (isLost || !copy.apply(delta)) {
          const full = {
            ...delta,
            full: true,
            changed: next,
            removedTargetIds: [],
          };
          assert.ok(copy.apply(full));
        }
        assert.equal(copy.digest, getViewDigest(next));
      }
    }),
    { seed: 20_240_119, numRuns: 200, includeErrorInReport: true },
  );
});

test("an instance that is still collecting removes no target", () => {
  const copy = new ViewCopy();
  const delta = {
    full: true,
    removedTargetIds: [],
    digest: "",
    collecting: false,
  };
  copy.apply({
    ...delta,
    changed: [createTarget(1, 0), createTarget(2, 0, 5)],
  });
  copy.apply({ ...delta, changed: [createTarget(3, 0)], collecting: true });
  // An older record of a target does not replace a newer one either.
  copy.apply({
    ...delta,
    full: false,
    changed: [createTarget(2, 0, 4)],
    removedTargetIds: ["t1"],
    collecting: true,
  });
  assert.deepEqual(
    copy.targets.map((each) => `${each.targetId} ${each.sequence}`),
    ["t1 1", "t2 5", "t3 1"],
  );
});
