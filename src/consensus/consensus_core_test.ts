import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createSeededRandom, getStableHash } from "../common/mod.ts";
import { ConsensusCore } from "./consensus_core.ts";
import type { ConsensusTiming, CoreEvent } from "./core_types.ts";
import { emptySnapshotInfo, type LogEntry } from "./log_entry.ts";
import { getMajority, type Member } from "./member.ts";
import type { Envelope, RecipientTime } from "./message.ts";
import {
  emptyHardState,
  type PersistedState,
  type StorageRequest,
} from "./persisted_state.ts";

const stepMilliseconds = 25;

/** Short times, so that most partitions last long enough for an election. */
const timing: ConsensusTiming = {
  heartbeatMilliseconds: 50,
  electionMilliseconds: 200,
  isolationMilliseconds: 500,
  outdatedMilliseconds: 150,
  confirmationMilliseconds: 200,
};

/** The disk of one instance. Writes to it are atomic. */
class Disk {
  state: PersistedState;
  snapshotData: Uint8Array = new Uint8Array();

  constructor(id: string) {
    this.state = {
      identity: { id, bootCount: 0, bootId: "", folderMark: "" },
      hardState: emptyHardState,
      snapshot: emptySnapshotInfo,
      entries: [],
      peers: new Map(),
    };
  }

  copy(): Disk {
    const copy = new Disk("");
    copy.state = this.state;
    copy.snapshotData = this.snapshotData;
    return copy;
  }

  get members(): readonly Member[] {
    const last = this.state.entries.findLast((each) =>
      each.content.kind === "members"
    );
    return last?.content.kind === "members"
      ? last.content.members
      : this.state.snapshot.members;
  }

  write(request: StorageRequest): void {
    let { snapshot, entries } = this.state;
    if (request.snapshot !== undefined) {
      snapshot = request.snapshot.info;
      this.snapshotData = request.snapshot.data;
      entries = [];
    }
    const first = request.entries[0]?.index ?? Infinity;
    this.state = {
      ...this.state,
      snapshot,
      hardState: request.hardState ?? this.state.hardState,
      entries: [
        ...entries.filter((each) => each.index < first),
        ...request.entries.filter((each) => each.index > snapshot.index),
      ],
      peers: request.peers ?? this.state.peers,
    };
  }
}

interface Instance {
  readonly address: string;
  disk: Disk;
  core: ConsensusCore | undefined;
  write: StorageRequest | undefined;
  appliedIndex: number;
  hash: number;
}

/** Runs a group in simulated time and checks its invariants at each step. */
class SimulatedGroup {
  readonly instances: Instance[] = [];
  readonly #addresses: string[];
  #now = 0;
  #starts = 0;
  #commands = 0;
  #inFlight: Envelope[] = [];
  readonly #leaders = new Map<number, string>();
  /** Committed entries by index, as first applied by any instance. */
  readonly #committed: string[] = [];
  readonly #hashes: number[] = [0];
  #latestCommittedTime = 0;
  readonly #minimumReadIndexes = new Map<number, number>();
  /** One bit for each instance; messages between unequal bits are lost. */
  partition = 0;

  constructor(size: number) {
    this.#addresses = Array.from({ length: size }, (_, slot) => `i${slot}:1`);
    for (const address of this.#addresses) {
      this.instances.push({
        address,
        disk: new Disk(this.#createId(address)),
        core: undefined,
        write: undefined,
        appliedIndex: 0,
        hash: 0,
      });
    }
    this.instances.forEach((_, slot) => this.start(slot));
    this.run(2000, { seed: 1 });
  }

  get committedCount(): number {
    return this.#committed.length;
  }

  get leader(): ConsensusCore | undefined {
    return this.instances.map((each) => each.core)
      .filter((core) => core?.isLeader && !core.isIsolated(this.#now))
      .sort((a, b) => (b?.term ?? 0) - (a?.term ?? 0))[0];
  }

  at(slot: number): Instance {
    const instance = this.instances[slot % this.instances.length];
    assert.ok(instance);
    return instance;
  }

  start(slot: number): void {
    const instance = this.at(slot);
    if (instance.core !== undefined) {
      return;
    }
    const { disk } = instance;
    const { identity } = disk.state;
    disk.state = {
      ...disk.state,
      identity: {
        ...identity,
        bootCount: identity.bootCount + 1,
        bootId: String(++this.#starts),
      },
    };
    instance.appliedIndex = 0;
    instance.hash = 0;
    if (disk.state.snapshot.index > 0) {
      this.#restore(instance, disk.state.snapshot.index, disk.snapshotData);
    }
    instance.core = new ConsensusCore(disk.state, {
      address: instance.address,
      initialMembers: this.#addresses,
      random: createSeededRandom(this.#starts),
      time: this.#getTime(instance),
      timing,
    });
  }

  /**
   * Stops an instance.
   * @param slot Position of the instance.
   * @param isWritten Whether its pending write reaches the disk.
   */
  crash(slot: number, isWritten: boolean): void {
    const instance = this.at(slot);
    if (isWritten && instance.write !== undefined) {
      instance.disk.write(instance.write);
    }
    instance.core = undefined;
    instance.write = undefined;
  }

  /** Reports whether every member list keeps a majority without an instance. */
  canLoseDisk(slot: number): boolean {
    const ids = this.instances.filter((_, each) =>
      each !== slot % this.instances.length
    ).map((each) => each.disk.state.identity.id);
    return this.instances.every(({ disk, core }) =>
      [disk.members, core?.members ?? disk.members].every((members) =>
        members.length > 0 &&
        members.filter((each) => each.isVoter && ids.includes(each.id))
            .length >= getMajority(members)
      )
    );
  }

  loseDisk(slot: number): void {
    this.crash(slot, false);
    const instance = this.at(slot);
    instance.disk = new Disk(this.#createId(instance.address));
    this.start(slot);
  }

  /** Proposes on an instance, which may be a stale leader. */
  propose(slot: number, count = 1): void {
    this.#runStep(this.at(slot), (core) =>
      core.propose(
        Array.from(
          { length: count },
          () => Buffer.from(`command ${++this.#commands}`),
        ),
      ));
  }

  requestRead(slot: number): void {
    const token = ++this.#commands;
    this.#minimumReadIndexes.set(token, this.committedCount);
    this.#runStep(this.at(slot), (core) => core.requestRead(token));
  }

  takeSnapshot(slot: number): void {
    const { core, appliedIndex, hash } = this.at(slot);
    const data = Buffer.from(String(hash));
    core?.recordSnapshot(appliedIndex, {
      data,
      retainedEntries: 2,
      retainedBytes: Infinity,
    });
  }

  /**
   * Advances the time in steps. With `loss`, messages are dropped, duplicated,
   * delayed and reordered, writes are slow, and there is load. With `crashes`,
   * instances crash and restart.
   */
  run(
    milliseconds: number,
    options: { seed: number; loss?: number; crashes?: number },
  ): void {
    const random = createSeededRandom(options.seed);
    const { loss = 0, crashes = 0 } = options;
    const isFaulty = loss > 0;
    const end = this.#now + milliseconds;
    while (this.#now < end) {
      this.#now += stepMilliseconds;
      this.#replaceLostMembers();
      const arriving = this.#inFlight
        .map((envelope) => ({ envelope, order: random() }))
        .sort((a, b) => isFaulty ? a.order - b.order : 0);
      this.#inFlight = [];
      for (const { envelope } of arriving) {
        if (isFaulty && random() < 0.1) {
          this.#inFlight.push(envelope);
          continue;
        }
        this.#deliver(envelope);
        if (isFaulty && random() < 0.05) {
          this.#inFlight.push(envelope);
        }
      }
      for (const [slot, instance] of this.instances.entries()) {
        if (random() < crashes) {
          this.crash(slot, random() < 0.5);
        } else if (random() < crashes * 8) {
          this.start(slot);
        }
        if (isFaulty && random() < 0.3) {
          this.propose(slot);
          this.requestRead(slot);
        }
        if (instance.write !== undefined && !(isFaulty && random() < 0.3)) {
          this.#finishWrite(instance);
        }
        this.#runStep(instance, (core) => core.tick());
      }
      this.#inFlight = this.#inFlight.filter(() => random() >= loss);
    }
  }

  /** Reports whether an instance considers itself isolated. */
  isIsolated(slot: number): boolean {
    return this.at(slot).core?.isIsolated(this.#now) ?? false;
  }

  /**
   * Ends all faults, and checks that the group commits again and that all
   * instances have applied all committed entries.
   */
  healAndVerify(): void {
    this.partition = 0;
    this.instances.forEach((_, slot) => this.start(slot));
    const before = this.committedCount;
    this.run(8000, { seed: 3 });
    this.propose(this.instances.findIndex((each) => each.core?.isLeader));
    this.run(1000, { seed: 4 });
    assert.ok(this.committedCount > before, "the group commits again");
    for (const instance of this.instances) {
      assert.equal(instance.appliedIndex, this.committedCount);
      assert.equal(instance.hash, this.#hashes.at(-1));
    }
  }

  #createId(address: string): string {
    return `${address}#${++this.#starts}`;
  }

  /** Gets the time of an instance; wall clocks differ by up to 4 s. */
  #getTime(instance: Instance) {
    const skew = (getStableHash(instance.address) % 5) * 1000;
    return {
      monotonicMilliseconds: this.#now,
      wallMilliseconds: this.#now + skew,
    };
  }

  /** Replaces members that lost their disk, as an operator would. */
  #replaceLostMembers(): void {
    const { leader } = this;
    if (leader === undefined || leader.members.length === 0) {
      return;
    }
    for (const { address, disk } of this.instances) {
      const { id } = disk.state.identity;
      const member = leader.members.find((each) => each.id === id);
      const old = leader.members.find((each) =>
        each.address === address && each.id !== id
      );
      if (member === undefined) {
        leader.changeMembers({ kind: "add", id, address });
      } else if (!member.isVoter) {
        leader.changeMembers({ kind: "promote", id });
      } else if (old !== undefined) {
        leader.changeMembers({ kind: "remove", id: old.id });
      }
    }
  }

  #deliver(envelope: Envelope): void {
    const to = this.#addresses.indexOf(envelope.toAddress);
    const from = this.#addresses.indexOf(envelope.fromAddress);
    if ((this.partition >> to & 1) === (this.partition >> from & 1)) {
      this.#runStep(this.at(to), (core) => core.receive(envelope));
    }
  }

  #finishWrite(instance: Instance): void {
    const { write } = instance;
    if (write !== undefined) {
      instance.write = undefined;
      instance.disk.write(write);
      this.#runStep(instance, (core) => core.onWriteCompleted(write.sequence));
    }
  }

  #runStep(instance: Instance, input: (core: ConsensusCore) => void): void {
    const { core } = instance;
    if (core === undefined) {
      return;
    }
    core.setTime(this.#getTime(instance));
    input(core);
    instance.write ??= core.takeStorageRequest();
    for (const envelope of core.takeMessages()) {
      const { message } = envelope;
      if (message.kind !== "snapshotChunk") {
        this.#inFlight.push(envelope);
      } else if (message.info.index === instance.disk.state.snapshot.index) {
        const chunk = readChunk(instance.disk.snapshotData, message.offset);
        this.#inFlight.push({ ...envelope, message: { ...message, ...chunk } });
      } else {
        core.onDeliveryFailed(envelope);
      }
    }
    for (const event of core.takeEvents()) {
      this.#checkEvent(instance, event);
    }
    if (core.isLeader) {
      const known = this.#leaders.get(core.term) ?? core.identity.id;
      assert.equal(core.identity.id, known, `two leaders of term ${core.term}`);
      this.#leaders.set(core.term, core.identity.id);
    }
  }

  #checkEvent(instance: Instance, event: CoreEvent): void {
    switch (event.kind) {
      case "committed":
        event.entries.forEach((entry) => this.#apply(instance, entry));
        break;
      case "restore":
        this.#restore(instance, event.info.index, event.data);
        break;
      case "read": {
        const floor = this.#minimumReadIndexes.get(event.token) ?? Infinity;
        assert.ok(
          event.index >= floor,
          "a confirmed read misses a committed entry",
        );
        break;
      }
    }
  }

  #restore(instance: Instance, index: number, data: Uint8Array): void {
    instance.appliedIndex = index;
    instance.hash = Number(Buffer.from(data).toString());
    assert.equal(instance.hash, this.#hashes[index], "snapshot differs");
  }

  #apply(instance: Instance, entry: LogEntry): void {
    assert.equal(entry.index, instance.appliedIndex + 1);
    const { content } = entry;
    const text = `${entry.term} ${entry.timeMilliseconds} ` +
      (content.kind === "command"
        ? Buffer.from(content.command).toString()
        : JSON.stringify(content));
    instance.appliedIndex = entry.index;
    instance.hash = getStableHash(text, instance.hash);
    const known = this.#committed[entry.index - 1];
    if (known === undefined) {
      assert.ok(
        entry.timeMilliseconds >= this.#latestCommittedTime,
        "time of entries decreased",
      );
      this.#latestCommittedTime = entry.timeMilliseconds;
      this.#committed.push(text);
      this.#hashes.push(instance.hash);
    }
    assert.equal(text, known ?? text, `entry ${entry.index} changed`);
  }
}

function readChunk(data: Uint8Array, offset: number) {
  const end = offset + 4;
  return { data: data.subarray(offset, end), isLast: end >= data.length };
}

type Model = Record<string, never>;

class Action implements fc.Command<Model, SimulatedGroup> {
  readonly #name: string;
  readonly #run: (group: SimulatedGroup) => void;
  readonly #check: (group: SimulatedGroup) => boolean;

  constructor(
    name: string,
    run: (group: SimulatedGroup) => void,
    check: (group: SimulatedGroup) => boolean = () => true,
  ) {
    this.#name = name;
    this.#run = run;
    this.#check = check;
  }

  check(): boolean {
    return true;
  }

  run(_model: Model, group: SimulatedGroup): void {
    if (this.#check(group)) {
      this.#run(group);
    }
  }

  toString(): string {
    return this.#name;
  }
}

const slot = fc.nat({ max: 4 });
const actions = [
  fc.record({
    milliseconds: fc.integer({ min: 100, max: 3000 }),
    seed: fc.integer(),
    loss: fc.constantFrom(0.01, 0.05, 0.2),
    crashes: fc.constantFrom(0, 0.005, 0.02),
  }).map((options) =>
    new Action(
      `run ${JSON.stringify(options)}`,
      (group) => group.run(options.milliseconds, options),
    )
  ),
  fc.nat({ max: 31 }).map((partition) =>
    new Action(`partition ${partition}`, (group) => {
      group.partition = partition;
    })
  ),
  slot.map((at) =>
    new Action(`snapshot ${at}`, (group) => group.takeSnapshot(at))
  ),
  slot.map((at) =>
    new Action(
      `lose disk ${at}`,
      (group) => group.loseDisk(at),
      (group) => group.canLoseDisk(at),
    )
  ),
];

for (
  const { size, runs, seed } of [
    { size: 1, runs: 30, seed: 11 },
    { size: 3, runs: 300, seed: 12 },
    { size: 5, runs: 200, seed: 13 },
  ]
) {
  test(`a group of ${size} never loses or changes a committed entry`, () => {
    fc.assert(
      fc.property(
        fc.commands(actions, { maxCommands: 30, size: "max" }),
        (commands) => {
          const group = new SimulatedGroup(size);
          fc.modelRun(() => ({ model: {}, real: group }), commands);
          group.healAndVerify();
        },
      ),
      { seed, numRuns: runs, includeErrorInReport: true },
    );
  });
}

// Guards against losing entries when a second disk is lost as soon as the first
// lost instance has been replaced.
test("losing a second instance right after a replacement loses nothing", () => {
  const group = new SimulatedGroup(3);
  for (const lost of [2, 1, 0, 2]) {
    [0, 1, 2].forEach((slot) => group.propose(slot, 20));
    group.run(200, { seed: lost });
    assert.ok(group.canLoseDisk(lost));
    group.loseDisk(lost);
    const { id } = group.at(lost).disk.state.identity;
    while (
      group.leader?.members.some((each) => each.id === id && each.isVoter) !==
        true ||
      group.leader.members.length !== 3 ||
      group.leader.commitIndex < group.leader.lastIndex
    ) {
      group.run(stepMilliseconds, { seed: 1 });
    }
  }
  group.healAndVerify();
});

/**
 * Creates a group in which the disk of instance 2 is restored to a state from
 * before entries that it acknowledged. Only instance 0 has recorded that.
 */
function createGroupWithOlderDisk(isMoved: boolean): SimulatedGroup {
  const group = new SimulatedGroup(3);
  const image = group.at(2).disk.copy();
  group.partition = 0b010;
  group.run(2000, { seed: 1 });
  const before = group.committedCount;
  [0, 2].forEach((slot) => group.propose(slot, 5));
  group.run(1000, { seed: 2 });
  assert.equal(group.committedCount, before + 5);
  group.crash(2, true);
  const { state } = image;
  image.state = { ...state, hardState: { ...state.hardState, isMoved } };
  group.at(2).disk = image;
  return group;
}

// Guards against electing a leader without committed entries, with the vote of
// an instance that lost these entries because its disk is older.
test("an instance on an older disk is denied and does not take part in elections", () => {
  const group = createGroupWithOlderDisk(false);
  group.start(2);
  group.run(1000, { seed: 3 });
  assert.equal(group.at(2).core?.getRole(), "denied");
  group.crash(2, true);
  group.start(2);
  group.partition = 0b001;
  group.run(3000, { seed: 4 });
  assert.equal(group.at(2).core?.getRole(), "denied", "after a restart");
  assert.equal(group.leader, undefined, "1 and 2 lack committed entries");
  group.partition = 0;
  group.run(3000, { seed: 5 });
  group.loseDisk(2);
  group.healAndVerify();
});

// Guards against confirming a copied folder by a majority in which no voter has
// recorded the entries that it lacks.
test("a copied folder is not confirmed without all voters", () => {
  const group = createGroupWithOlderDisk(true);
  group.partition = 0b001;
  group.start(2);
  group.run(3000, { seed: 3 });
  assert.equal(group.at(2).core?.getRole(), "recovering");
  assert.equal(group.leader, undefined, "1 and 2 lack committed entries");
  group.partition = 0;
  group.run(3000, { seed: 4 });
  assert.equal(group.at(2).core?.getRole(), "denied");
  group.loseDisk(2);
  group.healAndVerify();
});

test("a moved folder is accepted once all voters have confirmed it", () => {
  const group = new SimulatedGroup(3);
  group.crash(2, true);
  const { disk } = group.at(2);
  const { hardState } = disk.state;
  disk.state = { ...disk.state, hardState: { ...hardState, isMoved: true } };
  group.healAndVerify();
  assert.equal(disk.state.hardState.isMoved, false);
});

/** Gets the slot of the leader. */
function getLeaderSlot(group: SimulatedGroup): number {
  return group.instances.findIndex((each) => each.core === group.leader);
}

// Guards against losing entries that a leader committed with its own copy:
// after a restart with an older disk it could elect an instance without them.
test("a former leader on an older disk is denied by its follower", () => {
  const group = new SimulatedGroup(3);
  const leader = getLeaderSlot(group);
  const image = group.at(leader).disk.copy();
  group.partition = 1 << (leader + 1) % 3;
  const before = group.committedCount;
  group.propose(leader, 5);
  group.run(200, { seed: 1 });
  assert.equal(group.committedCount, before + 5);
  group.crash(leader, true);
  group.at(leader).disk = image;
  group.start(leader);
  group.partition = 0;
  group.run(1000, { seed: 2 });
  assert.equal(group.at(leader).core?.getRole(), "denied");
  group.loseDisk(leader);
  group.healAndVerify();
});

// Guards against a follower that reports itself isolated later than the leader
// with which it was cut off from the majority. It did so after twice the time,
// and its nodes refused a route that the other instances had already accepted.
test("a follower becomes isolated as early as its leader without a majority", () => {
  const group = new SimulatedGroup(5);
  const leader = getLeaderSlot(group);
  const follower = (leader + 1) % 5;
  group.partition = (1 << leader) | (1 << follower);
  const { isolationMilliseconds, heartbeatMilliseconds } = timing;
  group.run(isolationMilliseconds - 2 * heartbeatMilliseconds, { seed: 1 });
  assert.deepEqual([leader, follower].map((each) => group.isIsolated(each)), [
    false,
    false,
  ]);
  group.run(4 * heartbeatMilliseconds, { seed: 2 });
  assert.deepEqual([leader, follower].map((each) => group.isIsolated(each)), [
    true,
    true,
  ]);
  group.healAndVerify();
});

// Guards against denying an instance whose crash lost a write that was not yet
// durable, as if it had an older disk.
test("a leader that crashes before its write is durable is confirmed again", () => {
  const group = new SimulatedGroup(3);
  const leader = getLeaderSlot(group);
  group.propose(leader, 5);
  group.crash(leader, false);
  group.run(100, { seed: 1 });
  group.start(leader);
  group.run(1000, { seed: 2 });
  const role = group.at(leader).core?.getRole();
  assert.ok(role === "follower" || role === "leader", `${role}`);
  group.healAndVerify();
});

const voters = ["a", "b", "c"].map((id) => ({
  id,
  address: `${id}:1`,
  isVoter: true,
}));

/** Creates the core of voter `a`, whose start both other voters confirmed. */
function createConfirmedCore(term: number, votedFor: string): ConsensusCore {
  const core = new ConsensusCore({
    identity: { id: "a", bootCount: 2, bootId: "a2", folderMark: "" },
    hardState: { ...emptyHardState, term, votedFor, groupId: "g" },
    snapshot: emptySnapshotInfo,
    entries: [{
      index: 1,
      term: 1,
      timeMilliseconds: 0,
      content: { kind: "members", members: voters },
    }],
    peers: new Map(),
  }, {
    address: "a:1",
    initialMembers: [],
    random: createSeededRandom(1),
    time: { monotonicMilliseconds: 0, wallMilliseconds: 0 },
    timing,
  });
  for (const from of ["b", "c"]) {
    const verdict = "confirmed";
    deliver(core, { from, term }, {
      kind: "confirmResponse",
      bootId: "a2",
      verdict,
      reason: "",
    });
  }
  return core;
}

/** Delivers a message, completes its write and gets the response. */
function deliver(
  core: ConsensusCore,
  { from, term, boot = 1 }: { from: string; term: number; boot?: number },
  message: Envelope["message"],
): Envelope["message"] | undefined {
  core.receive({
    groupId: "g",
    fromId: from,
    fromAddress: `${from}:1`,
    fromBootId: `${from}${boot}`,
    toId: "a",
    toAddress: "a:1",
    term,
    message,
  });
  const request = core.takeStorageRequest();
  if (request !== undefined) {
    core.onWriteCompleted(request.sequence);
  }
  return core.takeMessages().at(-1)?.message;
}

function requestConfirmation(
  core: ConsensusCore,
  options: { boot: number; startTerm: number; startLastIndex: number },
): string {
  const { boot, startTerm, startLastIndex } = options;
  const answer = deliver(core, { from: "b", term: startTerm, boot }, {
    kind: "confirmRequest",
    bootCount: boot,
    startTerm,
    startLastIndex,
    startLastTerm: 1,
  });
  assert.ok(answer?.kind === "confirmResponse");
  return answer.verdict;
}

// Guards against waiting a full election timeout after all instances restarted,
// such as after a power failure: nodes refuse all requests without a leader.
test("a start that all voters confirmed leads to an early election", () => {
  const core = createConfirmedCore(5, "");
  const { heartbeatMilliseconds } = timing;
  const tickAt = (now: number) => {
    core.setTime({ monotonicMilliseconds: now, wallMilliseconds: now });
    core.tick();
    return core.takeMessages().map(({ message }) => message.kind);
  };
  // The heartbeat of an existing leader arrives within one interval.
  assert.ok(!tickAt(heartbeatMilliseconds - 1).includes("preVoteRequest"));
  assert.ok(tickAt(2 * heartbeatMilliseconds).includes("preVoteRequest"));
});

const voteRequest = { kind: "voteRequest", lastIndex: 1, lastTerm: 1 } as const;

for (
  const { name, votedFor, term, isKnown, isGranted } of [
    {
      name: "in the term of the start",
      votedFor: "",
      term: 5,
      isKnown: true,
      isGranted: false,
    },
    {
      name: "that is on the disk",
      votedFor: "b",
      term: 5,
      isKnown: true,
      isGranted: true,
    },
    {
      name: "other than the one on the disk",
      votedFor: "c",
      term: 5,
      isKnown: true,
      isGranted: false,
    },
    {
      name: "in a later term",
      votedFor: "",
      term: 6,
      isKnown: true,
      isGranted: true,
    },
    {
      name: "to a candidate whose start it has not confirmed",
      votedFor: "",
      term: 6,
      isKnown: false,
      isGranted: false,
    },
  ]
) {
  // Guards against a second vote in one term after a start with an older disk,
  // and against a candidate whose vote for itself its voters have not recorded.
  test(`a started instance ${isGranted ? "gives" : "refuses"} a vote ${name}`, () => {
    const core = createConfirmedCore(5, votedFor);
    if (isKnown) {
      requestConfirmation(core, { boot: 1, startTerm: 5, startLastIndex: 1 });
    }
    assert.deepEqual(deliver(core, { from: "b", term }, voteRequest), {
      kind: "voteResponse",
      isGranted,
    });
  });
}

// Guards against a candidate that restarts with an older disk and then gives
// another vote in the term in which it voted for itself.
test("a voter records the term of the candidate that got its vote", () => {
  const core = createConfirmedCore(5, "");
  requestConfirmation(core, { boot: 1, startTerm: 5, startLastIndex: 1 });
  deliver(core, { from: "b", term: 6 }, voteRequest);
  const start = { boot: 2, startTerm: 5, startLastIndex: 1 };
  assert.equal(requestConfirmation(core, start), "denied");
});

// Guards against committing entries with a follower that cannot record the
// position of its leader, so that a leader with an older disk is not detected.
test("a follower counts only for a leader whose start it has confirmed", () => {
  const core = createConfirmedCore(5, "");
  const append = () => {
    const answer = deliver(core, { from: "b", term: 6 }, {
      kind: "append",
      previousIndex: 1,
      previousTerm: 1,
      entries: [{
        index: 2,
        term: 6,
        timeMilliseconds: 0,
        content: { kind: "empty" },
      }],
      commitIndex: 1,
      round: 0,
      majorityAgeMilliseconds: 0,
    });
    assert.ok(answer?.kind === "appendResponse" && answer.isSuccess);
    return answer.canVote;
  };
  assert.equal(append(), false);
  requestConfirmation(core, { boot: 1, startTerm: 6, startLastIndex: 1 });
  assert.equal(append(), true);
  const start = { boot: 2, startTerm: 6, startLastIndex: 1 };
  assert.equal(requestConfirmation(core, start), "denied");
});

/** A message of the leader of term 2, whose first entry has index 2. */
interface LeaderMessage {
  readonly atMilliseconds: number;
  /** Index of the last entry that the message adds; none by default. */
  readonly entriesTo?: number;
  readonly commitIndex: number;
  /** When the message was sent at the earliest; by default not recorded. */
  readonly sentAfter?: RecipientTime;
}

const current: LeaderMessage = {
  atMilliseconds: 10,
  entriesTo: 2,
  commitIndex: 2,
};
const missing: LeaderMessage = { atMilliseconds: 60, commitIndex: 3 };
const outdated: LeaderMessage = { atMilliseconds: 220, commitIndex: 3 };

const currentLater: LeaderMessage = { ...current, atMilliseconds: 1000 };
/** Messages that would show a current state if they had just been sent. */
const delayedMessages: LeaderMessage[] = [1100, 1200, 1300].map((
  atMilliseconds,
) => ({
  atMilliseconds,
  commitIndex: 2,
  sentAfter: {
    bootId: "a2",
    milliseconds: atMilliseconds - timing.isolationMilliseconds - 1,
  },
}));

const outdatedCases: {
  name: string;
  messages: LeaderMessage[];
  isOutdated: boolean;
}[] = [
  { name: "just after the start", messages: [], isOutdated: true },
  {
    name: "once it has applied what the leader committed",
    messages: [current],
    isOutdated: false,
  },
  {
    name: "while the leader may not know all that is committed",
    messages: [{ ...current, commitIndex: 1 }],
    isOutdated: true,
  },
  {
    name: "when a committed entry has been missing for a short time",
    messages: [current, missing, { ...outdated, atMilliseconds: 200 }],
    isOutdated: false,
  },
  {
    name: "when a committed entry has been missing for long",
    messages: [current, missing, outdated],
    isOutdated: true,
  },
  {
    name: "when a committed entry is missing after a time without a leader",
    messages: [current, {
      atMilliseconds: current.atMilliseconds + timing.isolationMilliseconds + 1,
      commitIndex: 3,
    }],
    isOutdated: true,
  },
  {
    name: "once the missing entry has arrived",
    messages: [current, missing, outdated, {
      atMilliseconds: 230,
      entriesTo: 3,
      commitIndex: 3,
    }],
    isOutdated: false,
  },
  {
    name: "once a message has been on its way for a short time",
    messages: [{ ...current, sentAfter: { bootId: "a2", milliseconds: 0 } }],
    isOutdated: false,
  },
  {
    name: "before the leader has received a response",
    messages: [{ ...current, sentAfter: { bootId: "", milliseconds: 0 } }],
    isOutdated: true,
  },
  {
    name: "once a message has the time of an earlier start",
    messages: [{
      ...current,
      sentAfter: { bootId: "a1", milliseconds: 10 },
    }],
    isOutdated: true,
  },
  {
    name: "when all messages have been on their way for long",
    messages: [currentLater, ...delayedMessages],
    isOutdated: true,
  },
  {
    name: "when a single message has been on its way for long",
    messages: [currentLater, ...delayedMessages.slice(0, 1), {
      atMilliseconds: 1300,
      commitIndex: 2,
      sentAfter: { bootId: "a2", milliseconds: 1290 },
    }],
    isOutdated: false,
  },
];

/** Creates a core that has received messages of the leader of term 2. */
function createFollower(messages: readonly LeaderMessage[]): ConsensusCore {
  const core = createConfirmedCore(1, "");
  let lastIndex = 1;
  for (const message of messages) {
    const { atMilliseconds, entriesTo, commitIndex, sentAfter } = message;
    core.setTime({
      monotonicMilliseconds: atMilliseconds,
      wallMilliseconds: atMilliseconds,
    });
    const entries: LogEntry[] = [];
    for (let index = lastIndex + 1; index <= (entriesTo ?? 0); index++) {
      entries.push({
        index,
        term: 2,
        timeMilliseconds: 0,
        content: { kind: "empty" },
      });
    }
    deliver(core, { from: "b", term: 2 }, {
      kind: "append",
      previousIndex: lastIndex,
      previousTerm: lastIndex === 1 ? 1 : 2,
      entries,
      commitIndex,
      round: 0,
      majorityAgeMilliseconds: 0,
      sentAfter,
    });
    lastIndex += entries.length;
  }
  return core;
}

// Guards against an instance that passes for current while it lacks entries.
for (const { name, messages, isOutdated } of outdatedCases) {
  test(`the state of an instance is ${isOutdated ? "" : "not "}outdated ${name}`, () => {
    assert.equal(createFollower(messages).isOutdated, isOutdated);
  });
}

// Guards against a leader that passes for current while it may lack what the leader
// before it committed.
test("the state of a new leader is outdated after a time without a leader until its first entry is committed", () => {
  const core = createFollower([current]);
  requestConfirmation(core, { boot: 1, startTerm: 2, startLastIndex: 1 });
  const now = current.atMilliseconds + 2 * timing.isolationMilliseconds;
  core.setTime({ monotonicMilliseconds: now, wallMilliseconds: now });
  core.tick();
  const isGranted = true;
  deliver(core, { from: "b", term: 3 }, { kind: "preVoteResponse", isGranted });
  deliver(core, { from: "b", term: 3 }, { kind: "voteResponse", isGranted });
  assert.equal(core.getRole(), "leader");
  assert.equal(core.isOutdated, true);
  deliver(core, { from: "b", term: 3 }, {
    kind: "appendResponse",
    isSuccess: true,
    index: 3,
    round: 0,
    canVote: true,
  });
  assert.equal(core.commitIndex, 3);
  assert.equal(core.isOutdated, false);
});
