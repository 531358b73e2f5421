import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createSeededRandom } from "../src/common/mod.ts";
import {
  type MachineFault,
  SimulatedControlGroup,
} from "./support/simulated_control_group.ts";

/** Largest number of machines whose disks are lost at once. */
const maximumLostDisks = 2;
/** Time after which a machine that is back no longer counts as lost. */
const catchUpMilliseconds = 4000;
/** Time after which the group serves again once all machines are back. */
const recoveryMilliseconds = 15_000;
const maximumDownMilliseconds = 1000;
/** More than the time after which an unresponsive member is removed. */
const longAbsenceMilliseconds = 12_000;

const runCount = Number(process.env.DISK_LOSS_RUNS ?? 5);
const seed = Number(process.env.DISK_LOSS_SEED ?? 1);

/** A fault of several machines at the same moment. */
interface GroupFault {
  readonly name: string;
  /** Number of machines whose disks are lost. */
  readonly lostDisks: number;
  /** Whether the leader is among the machines whose disks are lost. */
  readonly includesLeader: boolean;
  /** Fault of all other machines. */
  readonly others: MachineFault | "none";
}

const groupFaults: readonly GroupFault[] = [
  { name: "all killed", lostDisks: 0, includesLeader: false, others: "kill" },
  {
    name: "all without power",
    lostDisks: 0,
    includesLeader: false,
    others: "power-loss",
  },
  {
    name: "the leader's disk lost",
    lostDisks: 1,
    includesLeader: true,
    others: "none",
  },
  ...(["none", "kill", "power-loss"] as const).flatMap((others) =>
    [true, false].map((includesLeader) => ({
      name: `two disks lost${includesLeader ? " with the leader's" : ""}, ` +
        `others: ${others}`,
      lostDisks: maximumLostDisks,
      includesLeader,
      others,
    }))
  ),
];

const isWorst = ({ lostDisks, others }: GroupFault) =>
  lostDisks === maximumLostDisks && others === "power-loss";

/** What happens before the final fault. */
const preludes = [
  "first change",
  "growing",
  "calm",
  "lost disks that were replaced",
  "all without power",
  "one absent for long",
  "two absent for long",
  "one replaced at another address",
  "two replaced at other addresses",
  "all replaced in turn at other addresses",
] as const;

type Prelude = typeof preludes[number];

/** Preludes in which no two machines are lost at once. */
const singleLossPreludes: readonly Prelude[] = [
  "first change",
  "growing",
  "calm",
  "all without power",
  "one absent for long",
  "one replaced at another address",
  "all replaced in turn at other addresses",
];

/** A group, and what happens to it before the final fault. */
interface GroupCase {
  readonly size: number;
  /** Number of machines whose disks may be lost at once. */
  readonly toleratedLosses: number;
  readonly prelude: Prelude;
}

const groupCases: readonly GroupCase[] = [
  ...singleLossPreludes.map((prelude) => ({
    size: 3,
    toleratedLosses: 1,
    prelude,
  })),
  ...[5, 6, 11].flatMap((size) =>
    preludes.map((prelude) => ({ size, toleratedLosses: 2, prelude }))
  ),
];

interface Scenario {
  readonly seed: number;
  readonly fault: GroupFault;
  /** Time between sending a change and the fault; `undefined` until its acknowledgement. */
  readonly faultDelay: number | undefined;
  /** Time between the loss of the first disk and everything else. */
  readonly gapMilliseconds: number;
  readonly snapshotEntries: number;
  readonly changes: number;
}

const scenarios = fc.record<Scenario>({
  seed: fc.nat(),
  fault: fc.constantFrom(...groupFaults),
  faultDelay: fc.option(fc.nat(80), { nil: undefined }),
  gapMilliseconds: fc.oneof(fc.constant(0), fc.nat(4000)),
  snapshotEntries: fc.constantFrom(5, 12, 1000),
  changes: fc.nat(12),
});

/** Scenarios that are run before the drawn ones. */
const worstScenarios: readonly [Scenario][] = groupFaults.filter(isWorst)
  .map((fault, index) => [{
    seed: index,
    fault,
    faultDelay: undefined,
    gapMilliseconds: 0,
    snapshotEntries: 5,
    changes: 5,
  }]);

function getDownMilliseconds(random: () => number): number {
  return random() * maximumDownMilliseconds;
}

function shuffle<Value>(values: readonly Value[], random: () => number) {
  return values.map((value) => ({ value, order: random() }))
    .sort((a, b) => a.order - b.order).map(({ value }) => value);
}

async function applyFault(
  group: SimulatedControlGroup,
  { fault, gapMilliseconds }: Scenario,
  { toleratedLosses, random }: {
    toleratedLosses: number;
    random: () => number;
  },
): Promise<void> {
  const { leader } = group;
  const others = shuffle(
    group.machines.filter((each) => each !== leader),
    random,
  );
  const ordered = leader === undefined
    ? others
    : fault.includesLeader
    ? [leader, ...others]
    : [...others, leader];
  const lost = ordered.slice(0, Math.min(fault.lostDisks, toleratedLosses));
  for (const [position, machine] of lost.entries()) {
    await group.fail(machine, "disk-loss", getDownMilliseconds(random));
    if (position === 0 && lost.length > 1) {
      await group.run(gapMilliseconds);
    }
  }
  const second = lost[1];
  for (const machine of group.machines) {
    if (fault.others !== "none" && machine !== second && machine.process) {
      await group.fail(machine, fault.others, getDownMilliseconds(random));
    }
  }
}

async function propose(
  group: SimulatedControlGroup,
  text: string,
): Promise<void> {
  assert.ok(
    await group.runUntil(() => group.propose(text), recoveryMilliseconds),
    `a leader for ${text}`,
  );
  await group.runUntil(() => group.acknowledged.includes(text), 2000);
}

async function runPrelude(
  group: SimulatedControlGroup,
  prelude: Prelude,
  random: () => number,
): Promise<void> {
  if (prelude === "first change") {
    await group.runUntil(() => group.isCreated, recoveryMilliseconds);
    for (const machine of shuffle(group.machines, random).slice(0, 2)) {
      group.delayMessages(machine, random() * maximumDownMilliseconds);
    }
    return;
  }
  if (prelude === "growing") {
    await propose(group, "first");
    await group.run(random() * 4000);
    return;
  }
  assert.ok(await group.runUntil(() => group.isComplete, 12_000), "it grows");
  const others = shuffle(
    group.machines.filter((each) => each !== group.leader),
    random,
  );
  switch (prelude) {
    case "calm":
      return;
    case "lost disks that were replaced":
      await propose(group, "before the first loss");
      for (const machine of shuffle(group.machines, random).slice(0, 2)) {
        await group.fail(machine, "disk-loss", getDownMilliseconds(random));
      }
      await group.run(maximumDownMilliseconds + catchUpMilliseconds);
      return;
    case "all without power":
      for (const machine of group.machines) {
        await group.fail(machine, "power-loss", getDownMilliseconds(random));
      }
      await group.run(maximumDownMilliseconds + catchUpMilliseconds);
      return;
    case "one absent for long":
    case "two absent for long":
      for (
        const machine of others.slice(0, prelude.startsWith("one") ? 1 : 2)
      ) {
        await group.fail(machine, "kill", longAbsenceMilliseconds);
      }
      await group.run(longAbsenceMilliseconds - 500);
      return;
    case "one replaced at another address":
    case "two replaced at other addresses": {
      const removed = shuffle(group.machines, random)
        .slice(0, prelude.startsWith("one") ? 1 : 2);
      const delay = random() * 2000;
      for (const machine of removed) {
        await group.removeMachine(machine);
        group.addSuccessor(delay);
      }
      await group.run(delay + catchUpMilliseconds);
      return;
    }
    case "all replaced in turn at other addresses":
      await propose(group, "before the first replacement");
      for (const machine of shuffle(group.machines, random)) {
        const delay = random() * 2000;
        await group.removeMachine(machine);
        group.addSuccessor(delay);
        await group.run(delay + catchUpMilliseconds);
      }
      return;
  }
}

async function assertReadsAcknowledged(
  group: SimulatedControlGroup,
  machine: SimulatedControlGroup["machines"][number],
  limitMilliseconds: number,
): Promise<void> {
  const texts = await group.read(machine, limitMilliseconds);
  assert.ok(texts, `${machine.address} confirms a read`);
  assert.deepEqual(
    group.acknowledged.filter((each) => !texts.includes(each)),
    [],
    "acknowledged and not read",
  );
}

async function runScenario(
  { size, toleratedLosses, prelude }: GroupCase,
  scenario: Scenario,
): Promise<void> {
  const { faultDelay, changes, snapshotEntries } = scenario;
  const random = createSeededRandom(scenario.seed);
  const group = new SimulatedControlGroup({
    size,
    bootstrapSize: 3,
    toleratedLosses,
    seed: scenario.seed + 1,
    snapshotEntries,
  });
  await runPrelude(group, prelude, random);
  for (let change = 0; change < changes; change++) {
    await propose(group, `change ${change}`);
  }
  assert.ok(
    await group.runUntil(() => group.propose("last"), recoveryMilliseconds),
    "a leader before the fault",
  );
  if (faultDelay === undefined) {
    await group.runUntil(() => group.acknowledged.includes("last"), 2000);
  } else {
    await group.run(faultDelay);
  }
  await applyFault(group, scenario, { toleratedLosses, random });
  await group.runUntil(
    () => group.machines.every((each) => each.startsAt === undefined),
    longAbsenceMilliseconds,
  );
  const recoveredBy = group.now + recoveryMilliseconds;
  await group.runUntil(() => group.leader !== undefined, recoveryMilliseconds);
  const { leader } = group;
  assert.ok(leader, "the group forms again");
  await assertReadsAcknowledged(group, leader, recoveredBy - group.now);
  assert.ok(
    await group.runUntil(() => group.isComplete, recoveryMilliseconds),
    "all machines are voters again",
  );
  for (const machine of group.machines) {
    await assertReadsAcknowledged(group, machine, recoveryMilliseconds);
  }
}

// Guards against losing an acknowledged change, and against a group that does
// not form again, when disks are lost while all others lose power.
for (const groupCase of groupCases) {
  const { size, prelude } = groupCase;
  test(`a group of ${size} keeps every acknowledged change, ${prelude}`, async () => {
    await fc.assert(
      fc.asyncProperty(
        scenarios,
        (scenario) => runScenario(groupCase, scenario),
      ),
      {
        seed,
        numRuns: runCount,
        examples: [...worstScenarios],
        endOnFailure: true,
        includeErrorInReport: true,
      },
    );
  });
}
