import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createSeededRandom } from "../common/mod.ts";
import {
  type BucketKey,
  Directory,
  type DirectoryBatch,
  isDrained,
  isLiveTarget,
  type KnownTarget,
  type NodeRecord,
  type TargetState,
} from "./mod.ts";

const environment = "trial";
const session = { nodeKey: `${environment}\0n`, sessionSequence: 1 };

function createDirectory(id: number, count: number, now = 0): Directory {
  return new Directory({
    instanceId: `c${id}`,
    boot: 1 + now,
    now,
    getPeers: () =>
      Array.from({ length: count }, (_, index) => `c${index}`)
        .filter((peer) => peer !== `c${id}`),
  });
}

function createNode(
  nodeId: string,
  sessionSequence: number,
): NodeRecord {
  return {
    nodeId,
    environment,
    service: "s",
    region: "r",
    availabilityZone: "z",
    nodeAddress: "a",
    incarnation: 1,
    sessionSequence,
    update: 0,
    revision: 0,
    admissionLevel: 0,
    state: "connected",
  };
}

function createTarget(
  targetId: string,
  attributes: {
    incarnation: number;
    sequence: number;
    state: TargetState;
    nodeId?: string;
  },
): KnownTarget {
  return {
    targetId,
    environment,
    service: "s",
    region: "r",
    availabilityZone: "z",
    nodeAddress: "a",
    nodeId: "n",
    drainedIncarnation: 0,
    readyAtMilliseconds: 0,
    ...attributes,
  };
}

function getStates(directory: Directory): Record<string, string> {
  const targets = [
    ...directory.getTargets({ environment, service: "s" }).values(),
  ];
  return Object.fromEntries(
    targets.map((each) => [
      each.targetId,
      `${each.incarnation} ${each.sequence} ${each.state}`,
    ]).sort(),
  );
}

const announcements: {
  name: string;
  records: readonly (readonly [number, number, TargetState])[];
  expected: string | undefined;
}[] = [
  {
    name: "a delayed announcement does not revive a target that left",
    records: [[1, 5, "left"], [1, 4, "ready"], [1, 9, "ready"]],
    expected: undefined,
  },
  {
    name: "a restarted target is a new one",
    records: [[1, 5, "left"], [2, 1, "ready"], [1, 9, "left"]],
    expected: "2 1 ready",
  },
  {
    name: "a delayed drain of an earlier incarnation is ignored",
    records: [[2, 1, "ready"], [1, 9, "draining"]],
    expected: "2 1 ready",
  },
  {
    name: "a node revives its expired target by a newer announcement",
    records: [[1, 5, "ready"], [1, 5, "expired"], [1, 6, "ready"]],
    expected: "1 6 ready",
  },
  {
    name: "an older announcement does not undo a drain",
    records: [[1, 6, "draining"], [1, 5, "ready"]],
    expected: "1 6 draining",
  },
];
for (const { name, records, expected } of announcements) {
  test(name, () => {
    const directory = createDirectory(0, 1);
    directory.openLease(createNode("n", 1), 0);
    for (const [incarnation, sequence, state] of records) {
      const target = createTarget("t", { incarnation, sequence, state });
      directory.announce(session, { target, now: 0 });
    }
    assert.equal(getStates(directory).t, expected);
  });
}

// Guards against a drain that is lost with the instance that had its session.
test("a drain outlives the instance that had the session of its node", () => {
  const [lost, other] = [createDirectory(0, 2), createDirectory(1, 2)];
  lost.openLease(createNode("n", 1), 0);
  const drained = {
    ...createTarget("t", { incarnation: 1, sequence: 1, state: "draining" }),
    drainedIncarnation: 1,
  };
  lost.announce(session, { target: drained, now: 0 });
  other.mergeBatch(
    lost.createBatch(
      { ...lost.takeOwnChanges(), requestedBuckets: [], hasDigests: true },
      0,
    ),
    0,
  );
  for (let now = 0; now <= 20_000; now += 250) {
    other.expire(now);
  }
  assert.deepEqual(getStates(other), {});
  other.openLease(createNode("n", 1), 20_000);
  const target = createTarget("t", {
    incarnation: 1,
    sequence: 2,
    state: "ready",
  });
  const known = other.announce(session, { target, now: 20_000 });
  assert.ok(typeof known === "object");
  assert.equal(known.drainedIncarnation, 1);
});

// Guards against a target without a start time that is taken for drained.
test("a record without an incarnation is not drained", () => {
  const target = createTarget("t", {
    incarnation: 0,
    sequence: 1,
    state: "ready",
  });
  assert.equal(isDrained(target), false);
  assert.equal(isDrained({ ...target, incarnation: 5 }), false);
  assert.equal(
    isDrained({ ...target, incarnation: 5, drainedIncarnation: 5 }),
    true,
  );
});

// Guards against a drain that is lost because the node restarts at an instance
// that has not received it yet.
test("a drain outlives a newer announcement at another instance", () => {
  const [first, second] = [createDirectory(0, 2), createDirectory(1, 2)];
  const create = (sequence: number, state: TargetState, drained: number) => ({
    ...createTarget("t", { incarnation: 1, sequence, state }),
    drainedIncarnation: drained,
  });
  first.openLease(createNode("n", 1), 0);
  first.announce(session, { target: create(2, "draining", 1), now: 0 });
  const restarted = { nodeKey: session.nodeKey, sessionSequence: 2 };
  second.openLease(createNode("n", 2), 0);
  second.announce(restarted, { target: create(9, "ready", 0), now: 0 });
  for (const [from, to] of [[second, first], [first, second]] as const) {
    const items = from.takeOwnChanges();
    const batch = { ...items, requestedBuckets: [], hasDigests: false };
    to.mergeBatch(from.createBatch(batch, 0), 0);
  }
  assert.deepEqual(
    [first, second].map((each) => getStates(each).t),
    ["1 2 draining", "1 2 draining"],
  );
  assert.deepEqual(
    second.takeForgottenDrains().map((each) => each.targetId),
    ["t"],
  );
  assert.deepEqual(second.takeForgottenDrains(), []);
});

test("the end of a lease expires its targets, but not those that moved", () => {
  const [first, second] = [createDirectory(0, 2), createDirectory(1, 2)];
  first.openLease(createNode("n", 1), 0);
  const ready = { incarnation: 1, state: "ready" as const };
  first.announce(session, {
    target: createTarget("moved", { ...ready, sequence: 1 }),
    now: 0,
  });
  first.announce(session, {
    target: createTarget("lost", { ...ready, sequence: 1 }),
    now: 0,
  });
  second.openLease(createNode("n", 2), 3000);
  const moved = createTarget("moved", { ...ready, sequence: 2 });
  second.announce({ ...session, sessionSequence: 2 }, {
    target: moved,
    now: 3000,
  });
  const content = {
    ...second.takeOwnChanges(),
    requestedBuckets: [],
    hasDigests: true,
  };
  for (let now = 250; now < 3000; now += 250) {
    first.expire(now);
  }
  first.mergeBatch(second.createBatch(content, 3000), 3000);
  for (let now = 3000; now <= 7000; now += 250) {
    first.expire(now);
  }
  assert.deepEqual(getStates(first), { moved: "1 2 ready" });
  assert.equal(first.getNodes(environment).length, 1);
});

test("a pause of the process does not end the leases of its nodes", () => {
  const directory = createDirectory(0, 1);
  directory.openLease(createNode("n", 1), 0);
  directory.expire(250);
  assert.deepEqual(directory.expire(20_000), []);
  for (let now = 20_250; now < 30_000; now += 250) {
    directory.expire(now);
  }
  assert.equal(directory.hasLease(session), false);
});

test("targets of a lost instance are kept for the grace period", () => {
  const [lost, other] = [createDirectory(0, 2), createDirectory(1, 2)];
  lost.openLease(createNode("n", 1), 0);
  const target = createTarget("t", {
    incarnation: 1,
    sequence: 1,
    state: "ready",
  });
  lost.announce(session, { target, now: 0 });
  other.mergeBatch(
    lost.createBatch(
      { ...lost.takeOwnChanges(), requestedBuckets: [], hasDigests: true },
      0,
    ),
    0,
  );
  // The restarted instance knows no targets; its nodes are still moving.
  const restarted = createDirectory(0, 2, 500);
  const empty = {
    targets: [],
    nodes: [],
    requestedBuckets: [],
    hasDigests: true,
  };
  for (let now = 500; now <= 12_000; now += 250) {
    other.mergeBatch(restarted.createBatch(empty, now), now);
    other.expire(now);
    const isInGrace = now <= 10_000;
    assert.equal(
      Object.keys(getStates(other)).length,
      isInGrace ? 1 : 0,
      `at ${now}`,
    );
  }
  // A digest of the lost process that another instance relays does not revive
  // it.
  const digest = { owner: "c0#1", counter: 1, buckets: Array(16).fill(7) };
  const relayed = {
    ...createDirectory(2, 3).createBatch(empty, 0),
    digests: [digest],
  };
  assert.deepEqual(other.mergeBatch(relayed, 12_000), []);
});

// A target moves from one instance to another. A third instance that receives
// the old owner's bucket before the new record must not remove the target.
test("a moved target is kept by an instance that only knows its old owner", () => {
  const [old, next, other] = [0, 1, 2].map((id) => createDirectory(id, 3));
  assert.ok(old !== undefined && next !== undefined && other !== undefined);
  const send = (
    from: Directory,
    to: Directory,
    requestedBuckets: BucketKey[],
  ) =>
    to.mergeBatch(
      from.createBatch({
        ...from.takeOwnChanges(),
        requestedBuckets,
        hasDigests: true,
      }, 0),
      0,
    );
  const attributes = { incarnation: 1, state: "ready" as const };
  old.openLease(createNode("n", 1), 0);
  const target = createTarget("t", { ...attributes, sequence: 1 });
  old.announce(session, { target, now: 0 });
  send(old, other, []);
  next.openLease(createNode("n", 2), 0);
  next.announce({ ...session, sessionSequence: 2 }, {
    target: createTarget("t", { ...attributes, sequence: 2 }),
    now: 0,
  });
  send(next, old, []);
  // Only the old owner's buckets: the others would contain the moved target.
  const oldBuckets = send(old, other, [])
    .filter((bucket) => bucket.owner.startsWith("c0"));
  assert.ok(oldBuckets.length > 0);
  send(old, other, oldBuckets);
  assert.deepEqual(getStates(other), { t: "1 1 ready" });
});

const cuts: {
  name: string;
  isCut: (from: number, to: number) => boolean;
  targetsOfSecond: readonly string[];
}[] = [
  {
    name:
      "instances receive targets through a third one when their link is cut",
    isCut: (from, to) => from + to === 1,
    targetsOfSecond: ["a", "b"],
  },
  {
    name: "each side of a partition keeps its own targets",
    isCut: (from, to) => (from === 0) !== (to === 0),
    targetsOfSecond: ["b"],
  },
];
for (const { name, isCut, targetsOfSecond } of cuts) {
  test(name, () => {
    const directories = [0, 1, 2].map((id) => createDirectory(id, 3));
    const requests = new Map<string, BucketKey[]>();
    const announce = (id: number, targetId: string, now: number) => {
      const sequence = 10 * now + id + 1;
      const nodeId = `n${id}`;
      const attributes = { incarnation: 1, sequence, state: "ready" as const };
      const target = createTarget(targetId, { ...attributes, nodeId });
      directories[id]?.openLease(createNode(nodeId, sequence), now);
      const nodeSession = {
        nodeKey: `${environment}\0${nodeId}`,
        sessionSequence: sequence,
      };
      directories[id]?.announce(nodeSession, { target, now });
    };
    for (let now = 0; now <= 30_000; now += 250) {
      if (now % 1000 === 0) {
        announce(0, "a", now);
        announce(1, "b", now);
      }
      directories.forEach((directory, from) => {
        directory.expire(now);
        const changes = directory.takeOwnChanges();
        directories.forEach((other, to) => {
          // All links work again in the last second.
          if (from !== to && (now > 29_000 || !isCut(from, to))) {
            const batch = directory.createBatch({
              ...changes,
              requestedBuckets: requests.get(`${from} ${to}`) ?? [],
              hasDigests: now % 2000 === 0 || now > 29_000,
            }, now);
            requests.set(`${from} ${to}`, other.mergeBatch(batch, now));
          }
        });
      });
      if (now === 28_000) {
        const second = directories[1];
        assert.ok(second !== undefined);
        assert.deepEqual(Object.keys(getStates(second)), targetsOfSecond);
      }
    }
    for (const directory of directories) {
      assert.deepEqual(Object.keys(getStates(directory)), ["a", "b"]);
    }
  });
}

/** Directories whose messages are lost, repeated and reordered. */
class Fleet {
  readonly directories: Directory[];
  readonly #pending = new Map<string, Map<string, KnownTarget>>();
  readonly #nodes = new Map<string, Map<string, NodeRecord>>();
  readonly #requestedBuckets = new Map<string, BucketKey[]>();
  readonly #inFlight: { to: number; from: number; batch: DirectoryBatch }[] =
    [];
  readonly #left = new Map<string, Set<string>>();
  now = 0;

  constructor(count: number) {
    this.directories = Array.from(
      { length: count },
      (_, id) => createDirectory(id, count),
    );
  }

  /** Sends from one directory to another without delivering yet. */
  send(from: number, to: number, hasDigests: boolean): void {
    this.#collect(from);
    const link = `${from} ${to}`;
    const batch = this.directories[from]?.createBatch({
      targets: [...this.#pending.get(link)?.values() ?? []],
      nodes: [...this.#nodes.get(link)?.values() ?? []],
      requestedBuckets: this.#requestedBuckets.get(link) ?? [],
      hasDigests,
    }, this.now);
    assert.ok(batch !== undefined);
    // Sent items count as delivered even if the message is lost later.
    this.#pending.delete(link);
    this.#nodes.delete(link);
    this.#requestedBuckets.delete(link);
    this.#inFlight.push({ to, from, batch });
  }

  deliver(position: number, delivery: "once" | "twice" | "lost"): void {
    if (this.#inFlight.length === 0) {
      return;
    }
    const index = Math.floor(position * this.#inFlight.length);
    const [message] = this.#inFlight.splice(index, 1);
    if (message === undefined || delivery === "lost") {
      return;
    }
    for (let count = 0; count < (delivery === "twice" ? 2 : 1); count++) {
      const requested = this.directories[message.to]?.mergeBatch(
        message.batch,
        this.now,
      );
      this.#requestedBuckets.set(
        `${message.from} ${message.to}`,
        requested ?? [],
      );
    }
    this.check();
  }

  /** Delivers all messages, then exchanges digests and the items that differ. */
  synchronize(): void {
    while (this.#inFlight.length > 0) {
      this.deliver(0, "once");
    }
    // Long enough that items that are missing at their owner are removed.
    for (let round = 0; round < 6; round++) {
      this.now += 2000;
      this.directories.forEach((_, from) =>
        this.directories.forEach((_, to) => {
          if (from !== to) {
            this.send(from, to, true);
            this.deliver(0, "once");
          }
        })
      );
    }
  }

  #collect(from: number): void {
    const changes = this.directories[from]?.takeOwnChanges();
    this.directories.forEach((_, to) => {
      const link = `${from} ${to}`;
      const targets = this.#pending.get(link) ?? new Map();
      const nodes = this.#nodes.get(link) ?? new Map();
      changes?.targets.forEach((each) => targets.set(each.targetId, each));
      changes?.nodes.forEach((each) => nodes.set(each.nodeId, each));
      this.#pending.set(link, targets);
      this.#nodes.set(link, nodes);
    });
  }

  /** Checks that no directory revives a target that it knew had left. */
  check(): void {
    this.directories.forEach((directory, id) => {
      for (let number = 0; number < 4; number++) {
        const record = directory.getRecord({
          environment,
          targetId: `t${number}`,
        });
        if (record === undefined) {
          continue;
        }
        const key = `${id} ${number} ${record.incarnation}`;
        const left = this.#left.get(key);
        assert.ok(
          left === undefined || !isLiveTarget(record),
          `${key} was revived`,
        );
        if (record.state === "left") {
          this.#left.set(key, new Set());
        }
      }
    });
  }
}

test("directories converge over lost, repeated and reordered messages", () => {
  const states: TargetState[] = ["ready", "draining", "left"];
  fc.assert(
    fc.property(fc.integer({ min: 1 }), (seed) => {
      const random = createSeededRandom(seed);
      const pick = (count: number) => Math.floor(random() * count);
      const fleet = new Fleet(3);
      const newest = new Map<number, KnownTarget>();
      let sequence = 0;
      for (let step = 0; step < 60; step++) {
        fleet.now += 50;
        const action = random();
        if (action < 0.4) {
          // A node announces its target, maybe to another instance than before.
          const number = pick(4);
          const known = newest.get(number);
          const isRestart = known?.state === "left" || random() < 0.1;
          sequence++;
          const target = createTarget(`t${number}`, {
            incarnation: (known?.incarnation ?? 1) + (isRestart ? 1 : 0),
            sequence,
            state: states[pick(3)] ?? "ready",
            nodeId: `n${number}`,
          });
          newest.set(number, target);
          const directory = fleet.directories[pick(3)];
          directory?.openLease(createNode(`n${number}`, sequence), fleet.now);
          const nodeSession = {
            nodeKey: `${environment}\0n${number}`,
            sessionSequence: sequence,
          };
          directory?.announce(nodeSession, { target, now: fleet.now });
          fleet.check();
        } else if (action < 0.7) {
          const from = pick(3);
          fleet.send(from, (from + 1 + pick(2)) % 3, random() < 0.3);
        } else {
          const deliveries = ["once", "once", "twice", "lost"] as const;
          fleet.deliver(random(), deliveries[pick(4)] ?? "once");
        }
      }
      fleet.synchronize();
      const expected = Object.fromEntries(
        [...newest.values()].filter(isLiveTarget).map((each) => [
          each.targetId,
          `${each.incarnation} ${each.sequence} ${each.state}`,
        ]).sort(),
      );
      for (const directory of fleet.directories) {
        assert.deepEqual(getStates(directory), expected);
        assert.equal(directory.getNodes(environment).length, newest.size);
      }
    }),
    { seed: 20_240_117, numRuns: 300, includeErrorInReport: true },
  );
});
