import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createSeededRandom, type RandomSource } from "../common/mod.ts";
import {
  getLinkKey,
  LinkBudgetRounds,
  type LinkDemandReport,
  LinkShareAllocator,
} from "./mod.ts";

const budget = 1_000_000;
const leaseMilliseconds = 6000;
const link = { environment: "trial", fromRegion: "a", toRegion: "b" };
const nodeLocation = { environment: "trial", region: "a" };
const names = ["c0", "c1", "c2"];

interface Node {
  instance: number;
  rate: number;
  share: number;
  floor: number;
  renewedAt: number;
  renewAt: number;
  hasMissedShares: boolean;
}

/** Instances and nodes whose messages are lost or delayed. */
class Fleet {
  readonly #random: RandomSource;
  readonly #instances: {
    rounds: LinkBudgetRounds;
    allocator: LinkShareAllocator;
    startedAt: number;
  }[];
  readonly #reports: { to: number; from: number; report: LinkDemandReport }[] =
    [];
  readonly nodes: Node[];
  readonly #isHealthy: boolean;
  now = 0;

  constructor(random: RandomSource, isHealthy: boolean) {
    this.#random = random;
    this.#isHealthy = isHealthy;
    this.#instances = names.map(() => this.#createInstance());
    this.nodes = Array.from({ length: 8 }, () => ({
      instance: this.#pick(3),
      rate: 0,
      share: 0,
      floor: 0,
      renewedAt: -Infinity,
      renewAt: this.#pick(2000),
      hasMissedShares: false,
    }));
  }

  #pick(count: number): number {
    return Math.floor(this.#random() * count);
  }

  #createInstance() {
    const rounds = new LinkBudgetRounds({ boot: 1 + this.now, now: this.now });
    const allocator = new LinkShareAllocator({
      getPortion: (key) => rounds.getPortion(key),
      getInstanceCount: () => names.length,
    });
    allocator.setLinks("trial", [{
      from: "a",
      to: "b",
      bytesPerSecond: budget,
    }]);
    return { rounds, allocator, startedAt: this.now };
  }

  step(): void {
    this.now += 500;
    this.#instances.forEach((instance, from) => {
      instance.rounds.advance({
        peers: names.filter((_, index) => index !== from),
        getEntries: () => instance.allocator.getDemand(),
        now: this.now,
      });
      for (let to = 0; to < names.length; to++) {
        if (to !== from && (this.#isHealthy || this.#random() < 0.5)) {
          this.#reports.push({
            to,
            from,
            report: instance.rounds.createReport(),
          });
        }
      }
    });
    for (const { to, from, report } of this.#reports.splice(0)) {
      const isLost = !this.#isHealthy && this.#random() < 0.3;
      if (!isLost) {
        this.#instances[to]?.rounds.receive(names[from] ?? "", report);
      }
    }
    this.nodes.forEach((node, index) => this.#stepNode(node, `node ${index}`));
    if (!this.#isHealthy) {
      this.#applyRandomChanges();
    }
  }

  #stepNode(node: Node, key: string): void {
    if (this.now - node.renewedAt >= leaseMilliseconds) {
      node.share = Math.min(node.share, node.floor);
    }
    for (const [index, { allocator }] of this.#instances.entries()) {
      // The instance that holds the lease ends it later than the node does.
      if (
        index !== node.instance && this.now - node.renewedAt > leaseMilliseconds
      ) {
        allocator.removeNode(key);
      }
    }
    const instance = this.#instances[node.instance];
    if (instance === undefined || this.now < node.renewAt) {
      return;
    }
    node.renewAt = this.now + 2000;
    instance.allocator.addNode(key, nodeLocation);
    const bytes = Math.min(node.rate, node.share + budget / 100) * 2;
    instance.allocator.receiveReport(key, {
      linkBytes: [{ fromRegion: "a", toRegion: "b", bytes }],
      hasLastShares: !node.hasMissedShares,
      now: this.now,
    });
    const shares = instance.allocator.updateShares(key, { isForced: true });
    const share = shares?.find((each) => each.fromRegion === "a");
    assert.ok(share !== undefined);
    node.hasMissedShares = !this.#isHealthy && this.#random() < 0.2;
    if (!node.hasMissedShares) {
      node.share = share.bytesPerSecond;
      node.floor = share.floorBytesPerSecond;
      node.renewedAt = this.now;
    }
  }

  /** Changes rates, moves nodes and restarts instances at random. */
  #applyRandomChanges(): void {
    const node = this.nodes[this.#pick(this.nodes.length)];
    if (node !== undefined && this.#random() < 0.3) {
      node.rate = this.#random() < 0.3 ? 0 : this.#random() * budget;
    }
    if (node !== undefined && this.#random() < 0.05) {
      node.instance = this.#pick(3);
      node.hasMissedShares = false;
    }
    if (this.#random() < 0.01) {
      const restarted = this.#pick(3);
      this.#instances[restarted] = this.#createInstance();
    }
  }

  getSum(): number {
    return this.nodes.reduce((sum, node) => sum + node.share, 0);
  }
}

test("the shares in use never exceed the budget of a link", () => {
  fc.assert(
    fc.property(fc.integer({ min: 1 }), (seed) => {
      const fleet = new Fleet(createSeededRandom(seed), false);
      for (let step = 0; step < 400; step++) {
        fleet.step();
        const sum = fleet.getSum();
        assert.ok(sum <= budget, `${sum} of ${budget} at ${fleet.now} ms`);
      }
    }),
    { seed: 20_240_120, numRuns: 100, includeErrorInReport: true },
  );
});

test("shares follow demand, and each node has a floor", () => {
  const fleet = new Fleet(createSeededRandom(7), true);
  fleet.nodes.forEach((node, index) => {
    node.instance = index % 3;
    node.rate = index === 0 ? budget / 2 : index === 1 ? budget / 4 : 0;
  });
  for (let step = 0; step < 200; step++) {
    fleet.step();
  }
  const [first, second, ...idle] = fleet.nodes.map((node) => node.share);
  assert.ok(first !== undefined && second !== undefined);
  assert.ok(first >= budget / 2, `the largest got ${first}`);
  assert.ok(second >= budget / 4 && second < first, `the second got ${second}`);
  assert.ok(idle.every((share) => share > 0));
  assert.ok(fleet.getSum() <= budget);
});

test("portions stay as they are while a member is unreachable", () => {
  const key = getLinkKey(link);
  const entries = [{
    ...link,
    demandBytesPerSecond: 1,
    budgetBytesPerSecond: budget,
  }];
  const [a, b] = [
    new LinkBudgetRounds({ boot: 1, now: 0 }),
    new LinkBudgetRounds({ boot: 1, now: 0 }),
  ];
  const step = (now: number, isConnected: boolean) => {
    a.advance({ peers: ["b"], getEntries: () => entries, now });
    b.advance({ peers: ["a"], getEntries: () => entries, now });
    if (isConnected) {
      a.receive("b", b.createReport());
      b.receive("a", a.createReport());
    }
  };
  for (let now = 0; now < 60_000; now += 1000) {
    step(now, true);
  }
  const portion = a.getPortion(key);
  assert.equal(portion, 0.4 * budget);
  const { round } = a;
  for (let now = 60_000; now < 160_000; now += 1000) {
    step(now, false);
  }
  assert.equal(a.getPortion(key), portion);
  assert.ok(a.round <= round + 1);
});
