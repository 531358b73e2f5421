import assert from "node:assert/strict";
import {
  createSeededRandom,
  type Log,
  type RandomSource,
} from "../../src/common/mod.ts";
import { ConsensusCore } from "../../src/consensus/consensus_core.ts";
import type { CoreEvent } from "../../src/consensus/core_types.ts";
import { DurableStorage } from "../../src/consensus/durable_storage.ts";
import type { LogEntry } from "../../src/consensus/log_entry.ts";
import { isVoter } from "../../src/consensus/member.ts";
import type { Envelope } from "../../src/consensus/message.ts";
import type { StorageRequest } from "../../src/consensus/persisted_state.ts";
import {
  chooseMemberToRemove,
  getJoinStep,
  memberRemovalTimeoutMilliseconds,
} from "../../src/control/membership_rules.ts";
import { PowerLossFileSystem } from "./power_loss_file_system.ts";

const stepMilliseconds = 10;
const checkIntervalMilliseconds = 500;
const rejoinDelayMilliseconds = 3000;
const snapshotChunkBytes = 64;
/** More than the operations of any write. */
const maximumWriteOperations = 16;

const log: Log = { info: () => {}, warn: () => {}, error: () => {} };

/** How a machine fails. */
export type MachineFault = "kill" | "power-loss" | "disk-loss";

/** Settings of a {@link SimulatedControlGroup}. */
export interface SimulatedControlGroupOptions {
  readonly size: number;
  /** Number of machines whose addresses all machines know at the first start. */
  readonly bootstrapSize: number;
  /** Number of disks that may be lost at once. */
  readonly toleratedLosses: number;
  readonly seed: number;
  /** Number of entries after which a snapshot is taken. */
  readonly snapshotEntries: number;
}

/** A running process of a machine. */
interface Process {
  readonly core: ConsensusCore;
  readonly storage: DurableStorage;
  readonly texts: string[];
  appliedIndex: number;
  write:
    | { readonly request: StorageRequest; readonly endsAt: number }
    | undefined;
  /** Proposals by the index of their entries. */
  readonly proposals: Map<number, { term: number; text: string }>;
  readonly confirmedReads: Map<number, number>;
  lastConnectedAt: number;
  lastPromotionAt: number;
  nextCheckAt: number;
}

interface Machine {
  readonly address: string;
  disk: PowerLossFileSystem;
  process: Process | undefined;
  /** Time at which the process starts; `undefined` while it is not to start. */
  startsAt: number | undefined;
  initialMembers: readonly string[];
  /** Time before which no message from or to the machine arrives. */
  messagesArriveFrom: number;
}

/**
 * A control group in simulated time: the consensus core with its storage, on
 * disks that lose unsynced data, and the rules for its members.
 */
export class SimulatedControlGroup {
  readonly machines: Machine[] = [];
  /** Texts whose proposals succeeded, in order. */
  readonly acknowledged: string[] = [];
  readonly #options: SimulatedControlGroupOptions;
  readonly #random: RandomSource;
  /** Committed entries by index, as first applied by any instance. */
  readonly #committed: string[] = [];
  #now = 0;
  #idCount = 0;
  #tokenCount = 0;
  #successorCount = 0;
  #inFlight: { readonly envelope: Envelope; readonly arrivesAt: number }[] = [];

  /** @param options Size, seed and snapshots. */
  constructor(options: SimulatedControlGroupOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    const addresses = Array.from(
      { length: options.size },
      (_, index) => `m${index}:1`,
    );
    const initialMembers = addresses.slice(0, options.bootstrapSize);
    for (const address of addresses) {
      this.#addMachine(address, initialMembers);
    }
  }

  get now(): number {
    return this.#now;
  }

  /** The machine whose process leads the group; `undefined` if none does. */
  get leader(): Machine | undefined {
    return this.machines
      .filter(({ process }) =>
        process?.core.isLeader && !process.core.isIsolated(this.#now)
      )
      .sort((a, b) =>
        (b.process?.core.term ?? 0) - (a.process?.core.term ?? 0)
      )[0];
  }

  /** Reports whether every machine is a voter of the leader's group. */
  get isComplete(): boolean {
    const core = this.leader?.process?.core;
    return core !== undefined && core.commitIndex === core.lastIndex &&
      core.members.length === this.machines.length &&
      this.machines.every(({ process }) =>
        process !== undefined && isVoter(core.members, process.core.identity.id)
      );
  }

  /** Reports whether a machine has created the group. */
  get isCreated(): boolean {
    return this.machines.some(({ process }) =>
      process !== undefined && process.core.groupId !== ""
    );
  }

  /** Delays the messages that are sent from now on from or to a machine. */
  delayMessages(machine: Machine, delayMilliseconds: number): void {
    machine.messagesArriveFrom = this.#now + delayMilliseconds;
  }

  /** Adds a machine with an empty disk and a new address. */
  addSuccessor(delayMilliseconds: number): void {
    const machine = this.#addMachine(`s${++this.#successorCount}:1`, []);
    machine.startsAt = this.#now + delayMilliseconds;
  }

  /** Removes a machine for good. */
  async removeMachine(machine: Machine): Promise<void> {
    await this.fail(machine, "kill", Infinity);
    this.machines.splice(this.machines.indexOf(machine), 1);
  }

  /**
   * Proposes a text on the leader.
   * @returns Whether there was a leader that appended it.
   */
  propose(text: string): boolean {
    const process = this.leader?.process;
    const appended = process?.core.propose([Buffer.from(text)]);
    if (process === undefined || appended?.kind !== "appended") {
      return false;
    }
    const { term, index } = appended;
    process.proposals.set(index, { term, text });
    return true;
  }

  /**
   * Ends the process of a machine, possibly in the middle of a write.
   * @param downMilliseconds Time until the process starts again.
   */
  async fail(
    machine: Machine,
    fault: MachineFault,
    downMilliseconds: number,
  ): Promise<void> {
    const { process, disk } = machine;
    machine.startsAt = this.#now + downMilliseconds;
    machine.initialMembers = [];
    machine.process = undefined;
    if (process?.write !== undefined) {
      disk.limitOperations(Math.floor(this.#random() * maximumWriteOperations));
      void process.storage.write(process.write.request);
      await new Promise((resolve) => setImmediate(resolve));
    }
    if (fault === "kill") {
      disk.endProcess();
    } else if (fault === "power-loss") {
      disk.losePower(this.#random);
    } else {
      disk.endProcess();
      machine.disk = new PowerLossFileSystem(machine.address);
    }
  }

  /** Advances the time until a condition holds; false after the limit. */
  async runUntil(
    isDone: () => boolean,
    limitMilliseconds: number,
  ): Promise<boolean> {
    const end = this.#now + limitMilliseconds;
    while (!isDone()) {
      if (this.#now >= end) {
        return false;
      }
      await this.#step();
    }
    return true;
  }

  /** Advances the time. */
  async run(milliseconds: number): Promise<void> {
    await this.runUntil(() => false, milliseconds);
  }

  /**
   * Reads the texts on a machine once the read is confirmed.
   * @returns The texts; `undefined` if no read was confirmed in time.
   */
  async read(
    machine: Machine,
    limitMilliseconds: number,
  ): Promise<readonly string[] | undefined> {
    const end = this.#now + limitMilliseconds;
    while (this.#now < end) {
      const { process } = machine;
      const token = ++this.#tokenCount;
      process?.core.requestRead(token);
      const isRead = await this.runUntil(() => {
        const index = process?.confirmedReads.get(token);
        return index !== undefined && process !== undefined &&
          index <= process.appliedIndex;
      }, checkIntervalMilliseconds);
      if (isRead) {
        return process?.texts;
      }
    }
    return undefined;
  }

  #addMachine(address: string, initialMembers: readonly string[]): Machine {
    const machine: Machine = {
      address,
      disk: new PowerLossFileSystem(address),
      process: undefined,
      startsAt: this.#now + this.#random() * 300,
      initialMembers,
      messagesArriveFrom: 0,
    };
    this.machines.push(machine);
    return machine;
  }

  async #start(machine: Machine): Promise<void> {
    machine.startsAt = undefined;
    const storage = await DurableStorage.open(machine.disk.createView(), {
      log,
      mayBeCopy: false,
      createId: () => `${machine.address}#${++this.#idCount}`,
    });
    const core = new ConsensusCore(storage.state, {
      address: machine.address,
      initialMembers: machine.initialMembers,
      toleratedLosses: this.#options.toleratedLosses,
      random: this.#random,
      time: this.#getTime(),
    });
    const process: Process = {
      core,
      storage,
      texts: [],
      appliedIndex: 0,
      write: undefined,
      proposals: new Map(),
      confirmedReads: new Map(),
      lastConnectedAt: this.#now,
      lastPromotionAt: -Infinity,
      nextCheckAt: this.#now + this.#random() * checkIntervalMilliseconds,
    };
    if (storage.state.snapshot.index > 0) {
      restore(process, storage.state.snapshot.index, storage.snapshotData);
    }
    machine.process = process;
  }

  #getTime() {
    return {
      monotonicMilliseconds: this.#now,
      wallMilliseconds: this.#now,
    };
  }

  async #step(): Promise<void> {
    this.#now += stepMilliseconds;
    for (const machine of this.machines) {
      if (machine.startsAt !== undefined && machine.startsAt <= this.#now) {
        await this.#start(machine);
      }
    }
    const arriving = this.#inFlight.filter((each) =>
      each.arrivesAt <= this.#now
    );
    this.#inFlight = this.#inFlight.filter((each) =>
      each.arrivesAt > this.#now
    );
    for (const { envelope } of arriving) {
      const to = this.machines.find((each) =>
        each.address === envelope.toAddress
      );
      this.#runProcess(to?.process, (core) => core.receive(envelope));
    }
    for (const { process } of this.machines) {
      if (process?.write !== undefined && process.write.endsAt <= this.#now) {
        const { request } = process.write;
        process.write = undefined;
        await process.storage.write(request);
        this.#runProcess(
          process,
          (core) => core.onWriteCompleted(request.sequence),
        );
      }
    }
    for (const machine of this.machines) {
      this.#runProcess(machine.process, (core) => core.tick());
      this.#checkMembership(machine);
    }
  }

  #runProcess(
    process: Process | undefined,
    input: (core: ConsensusCore) => void,
  ): void {
    if (process === undefined) {
      return;
    }
    const { core } = process;
    core.setTime(this.#getTime());
    input(core);
    if (process.write === undefined) {
      const request = core.takeStorageRequest();
      if (request !== undefined) {
        const endsAt = this.#now + this.#random() * 20;
        process.write = { request, endsAt };
      }
    }
    for (const envelope of core.takeMessages()) {
      this.#send(process, envelope);
    }
    for (const event of core.takeEvents()) {
      this.#handleEvent(process, event);
    }
    if (
      process.appliedIndex - core.snapshotIndex >= this.#options.snapshotEntries
    ) {
      core.recordSnapshot(process.appliedIndex, {
        data: Buffer.from(JSON.stringify(process.texts)),
        retainedEntries: 2,
        retainedBytes: Infinity,
      });
    }
  }

  #send({ core, storage }: Process, envelope: Envelope): void {
    const { message, fromAddress, toAddress } = envelope;
    const sendableAt = this.machines
      .filter(({ address }) => address === fromAddress || address === toAddress)
      .map(({ messagesArriveFrom }) => messagesArriveFrom);
    const arrivesAt = Math.max(this.#now, ...sendableAt) + this.#random() * 25;
    if (message.kind !== "snapshotChunk") {
      this.#inFlight.push({ envelope, arrivesAt });
      return;
    }
    const chunk = storage.readSnapshotChunk(message.info.index, {
      offset: message.offset,
      length: snapshotChunkBytes,
    });
    if (chunk === undefined) {
      core.onDeliveryFailed(envelope);
      return;
    }
    const filled = { ...envelope, message: { ...message, ...chunk } };
    this.#inFlight.push({ envelope: filled, arrivesAt });
  }

  #handleEvent(process: Process, event: CoreEvent): void {
    switch (event.kind) {
      case "committed":
        event.entries.forEach((entry) => this.#apply(process, entry));
        break;
      case "restore":
        restore(process, event.info.index, event.data);
        break;
      case "read":
        process.confirmedReads.set(event.token, event.index);
        break;
      case "leadershipLost":
        process.proposals.clear();
        break;
    }
  }

  #apply(process: Process, entry: LogEntry): void {
    assert.equal(entry.index, process.appliedIndex + 1);
    const { content, index, term } = entry;
    const description = JSON.stringify([term, content]);
    this.#committed[index] ??= description;
    assert.equal(description, this.#committed[index], `entry ${index} changed`);
    process.appliedIndex = index;
    if (content.kind === "command") {
      process.texts.push(Buffer.from(content.command).toString());
    }
    const proposal = process.proposals.get(index);
    if (proposal?.term === term) {
      this.acknowledged.push(proposal.text);
    }
    process.proposals.delete(index);
  }

  /** Acts as the membership manager of a machine. */
  #checkMembership({ process, address }: Machine): void {
    if (process === undefined) {
      return;
    }
    const { core } = process;
    if (!core.isIsolated(this.#now)) {
      process.lastConnectedAt = this.#now;
    }
    if (process.nextCheckAt > this.#now) {
      return;
    }
    process.nextCheckAt = this.#now + checkIntervalMilliseconds;
    if (core.isLeader) {
      const id = chooseMemberToRemove(
        this.#getGroup(core),
        {
          toleratedLosses: this.#options.toleratedLosses,
          hasNewVoter: this.#now - process.lastPromotionAt <
            memberRemovalTimeoutMilliseconds,
        },
      );
      if (id !== undefined) {
        this.#runProcess(
          process,
          () => core.changeMembers({ kind: "remove", id }),
        );
      }
      return;
    }
    const { id } = core.identity;
    const isConnected =
      this.#now - process.lastConnectedAt <= rejoinDelayMilliseconds;
    const leader = this.leader?.process;
    if ((isVoter(core.members, id) && isConnected) || leader === undefined) {
      return;
    }
    const step = getJoinStep(this.#getGroup(leader.core), { id, address });
    if (step.kind !== "none") {
      this.#runProcess(leader, () => {
        const { kind } = leader.core.changeMembers(step);
        if (step.kind === "promote" && kind === "appended") {
          leader.lastPromotionAt = this.#now;
        }
      });
    }
  }

  #getGroup(core: ConsensusCore) {
    return {
      id: core.identity.id,
      members: core.members,
      lastContactAgesMilliseconds: core.getLastContactAgesMilliseconds(
        this.#now,
      ),
    };
  }
}

function restore(process: Process, index: number, data: Uint8Array): void {
  process.appliedIndex = index;
  process.texts.splice(
    0,
    process.texts.length,
    ...JSON.parse(Buffer.from(data).toString()) as string[],
  );
}
