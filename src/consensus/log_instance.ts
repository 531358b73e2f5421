import {
  type Clock,
  failed,
  ok,
  type Result,
  systemClock,
} from "../common/mod.ts";
import { ConsensusCore } from "./consensus_core.ts";
import type {
  CoreEvent,
  CoreRefusal,
  SingleMemberChange,
} from "./core_types.ts";
import type { DurableStorage } from "./durable_storage.ts";
import { createGrpcTransport } from "./grpc_transport.ts";
import type { LogEntry, SnapshotInfo } from "./log_entry.ts";
import type { MemberChange } from "./member.ts";
import type { Envelope } from "./message.ts";
import type { StorageRequest } from "./persisted_state.ts";
import type {
  ConsensusStatus,
  ProposeError,
  ReplicatedLog,
  ReplicatedLogOptions,
} from "./replicated_log_types.ts";
import type {
  PeerIdentity,
  Transport,
  TransportReceiver,
} from "./transport.ts";

/** Entries kept in memory after a snapshot, for members that are behind. */
const keptEntries = 1024;

const defaultSnapshotEntries = 4096;
const tickMilliseconds = 25;
const chunkBytes = 512 * 1024;

/** Each takes up to 1 s; the channel's back-off may outlast the first. */
const identifyAttempts = 3;

/** How long a replacement waits for the new instance to catch up. */
const catchUpMilliseconds = 60_000;

type Waiter<Value> = (result: Result<Value, ProposeError>) => void;

/** Connects the core to the disk, the network and the state machine. */
export class LogInstance implements ReplicatedLog {
  readonly #options: ReplicatedLogOptions;
  readonly #storage: DurableStorage;
  readonly #clock: Clock;
  readonly #core: ConsensusCore;
  #transport: Transport | undefined;
  #timer: NodeJS.Timeout | undefined;
  #isPumpDue = false;
  #write: Promise<void> | undefined;
  #failure: string | undefined;
  #isStopped = false;

  #appliedIndex: number;
  #queued: { command: Uint8Array; resolve: Waiter<Uint8Array> }[] = [];
  readonly #proposals = new Map<
    number,
    { term: number; resolve: Waiter<Uint8Array> }
  >();
  #nextToken = 1;
  readonly #reads = new Map<number, Waiter<{ index: number }>>();
  #appliedWaiters: { index: number; resolve: () => void }[] = [];

  /**
   * @param storage The opened data folder.
   * @param options Address, members and state machine.
   */
  constructor(storage: DurableStorage, options: ReplicatedLogOptions) {
    this.#options = options;
    this.#storage = storage;
    this.#clock = options.clock ?? systemClock;
    this.#appliedIndex = storage.state.snapshot.index;
    this.#core = new ConsensusCore(storage.state, {
      address: options.address,
      initialMembers: options.initialMembers,
      random: options.random ?? Math.random,
      time: this.#getTime(),
      ...(options.timing === undefined ? {} : { timing: options.timing }),
    });
  }

  /** Starts to listen and to take part in the group. */
  async start(): Promise<void> {
    const receiver: TransportReceiver = {
      receive: (envelope) => this.#receive(envelope),
      getIdentity: () => ({
        id: this.#core.identity.id,
        groupId: this.#core.groupId,
      }),
    };
    this.#transport = await (this.#options.createTransport?.(receiver) ??
      createGrpcTransport({ ...this.#options, receiver }));
    this.#timer = setInterval(() => this.#schedulePump(), tickMilliseconds);
    this.#pump();
  }

  propose(command: Uint8Array): Promise<Result<Uint8Array, ProposeError>> {
    const error = this.#getRefusal();
    if (error !== undefined) {
      return Promise.resolve(failed(error));
    }
    return new Promise((resolve) => {
      this.#queued.push({ command, resolve });
      this.#schedulePump();
    });
  }

  async confirmRead(): Promise<Result<{ index: number }, ProposeError>> {
    if (this.#failure !== undefined || this.#isStopped) {
      return failed(this.#getStoppedError());
    }
    const result = await new Promise<Result<{ index: number }, ProposeError>>(
      (resolve) => {
        const token = this.#nextToken++;
        this.#reads.set(token, resolve);
        this.#core.setTime(this.#getTime());
        this.#core.requestRead(token);
        this.#schedulePump();
      },
    );
    if (result.kind === "ok" && result.value.index > this.#appliedIndex) {
      await new Promise<void>((resolve) =>
        this.#appliedWaiters.push({ index: result.value.index, resolve })
      );
      if (this.#isStopped || this.#failure !== undefined) {
        return failed(this.#getStoppedError());
      }
    }
    return result;
  }

  getStatus(): ConsensusStatus {
    const core = this.#core;
    const { stateMachine } = this.#options;
    return {
      id: core.identity.id,
      address: this.#options.address,
      groupId: core.groupId,
      bootCount: core.identity.bootCount,
      role: core.getRole(),
      term: core.term,
      ...(core.leader === undefined ? {} : { leader: core.leader }),
      isolated: this.#isIsolated(),
      members: core.members,
      matchIndexes: core.isLeader ? core.getMatchIndexes() : new Map(),
      silences: core.isLeader
        ? core.getSilences(this.#clock.monotonicMilliseconds())
        : new Map(),
      snapshotIndex: core.snapshotIndex,
      appliedIndex: this.#appliedIndex,
      commitIndex: core.commitIndex,
      lastIndex: core.lastIndex,
      get digest() {
        return stateMachine.getDigest();
      },
      ...(this.#failure === undefined ? {} : { failure: this.#failure }),
    };
  }

  async changeMembers(
    change: MemberChange,
  ): Promise<Result<void, ProposeError>> {
    switch (change.kind) {
      case "promote":
      case "remove":
        return await this.#changeMember(change);
      case "add": {
        const added = await this.#add(change);
        return added.kind === "ok" ? ok(undefined) : added;
      }
      case "replace":
        return await this.#replace(change);
    }
  }

  async stop(): Promise<void> {
    if (this.#isStopped) {
      return;
    }
    this.#isStopped = true;
    clearInterval(this.#timer);
    this.#failAll(this.#getStoppedError());
    await this.#transport?.stop();
    await this.#write;
    await this.#storage.close();
  }

  // --- Members ---

  async #add(
    change: { address: string; id?: string },
  ): Promise<Result<string, ProposeError>> {
    let { id } = change;
    if (id === undefined) {
      const peer = await this.#identify(change.address);
      if (peer === undefined) {
        return refuseChange(`nobody responds at ${change.address}`);
      }
      if (peer.groupId !== "" && peer.groupId !== this.#core.groupId) {
        return refuseChange(`${change.address} belongs to another group`);
      }
      id = peer.id;
    }
    if (this.#core.members.some((each) => each.id === id)) {
      return ok(id);
    }
    const result = await this.#changeMember({
      kind: "add",
      id,
      address: change.address,
    });
    return result.kind === "ok" ? ok(id) : result;
  }

  async #identify(address: string): Promise<PeerIdentity | undefined> {
    for (let attempt = 0; attempt < identifyAttempts; attempt++) {
      const peer = await this.#transport?.identify(address);
      if (peer !== undefined) {
        return peer;
      }
    }
    return undefined;
  }

  async #replace(
    change: { oldId: string; address: string; id?: string },
  ): Promise<Result<void, ProposeError>> {
    const isOldMember = () =>
      this.#core.members.some((each) => each.id === change.oldId);
    if (!isOldMember()) {
      return refuseChange(`${change.oldId} is not a member`);
    }
    const added = await this.#add(change);
    if (added.kind === "error") {
      return added;
    }
    const id = added.value;
    if (id === change.oldId) {
      return refuseChange(`${id} cannot replace itself`);
    }
    const deadline = this.#clock.monotonicMilliseconds() + catchUpMilliseconds;
    while (!this.#core.members.some((each) => each.id === id && each.isVoter)) {
      const promoted = await this.#changeMember({ kind: "promote", id });
      if (promoted.kind === "ok") {
        break;
      }
      if (
        promoted.error.kind !== "member-change-refused" ||
        this.#clock.monotonicMilliseconds() > deadline
      ) {
        return promoted;
      }
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    return await this.#changeMember({ kind: "remove", id: change.oldId });
  }

  #changeMember(
    change: SingleMemberChange,
  ): Promise<Result<void, ProposeError>> {
    const error = this.#getRefusal();
    if (error !== undefined) {
      return Promise.resolve(failed(error));
    }
    this.#core.setTime(this.#getTime());
    const appended = this.#core.changeMembers(change);
    if (appended.kind !== "appended") {
      return Promise.resolve(failed(this.#toError(appended)));
    }
    this.#schedulePump();
    return new Promise((resolve) => {
      this.#proposals.set(appended.index, {
        term: appended.term,
        resolve: (result) =>
          resolve(result.kind === "ok" ? ok(undefined) : result),
      });
    });
  }

  // --- Pump ---

  #getTime() {
    return {
      monotonicMilliseconds: this.#clock.monotonicMilliseconds(),
      wallMilliseconds: this.#clock.now().getTime(),
    };
  }

  #receive(envelope: Envelope): void {
    if (this.#failure !== undefined || this.#isStopped) {
      return;
    }
    this.#core.setTime(this.#getTime());
    this.#core.receive(envelope);
    this.#schedulePump();
  }

  /** Runs the pump once for everything that arrives in this turn. */
  #schedulePump(): void {
    if (!this.#isPumpDue) {
      this.#isPumpDue = true;
      setImmediate(() => {
        this.#isPumpDue = false;
        this.#pump();
      });
    }
  }

  #pump(): void {
    if (this.#failure !== undefined || this.#isStopped) {
      return;
    }
    this.#core.setTime(this.#getTime());
    this.#core.tick();
    this.#proposeQueued();
    this.#startWrite();
    this.#sendMessages();
    this.#handleEvents();
  }

  #proposeQueued(): void {
    const queued = this.#queued;
    if (queued.length === 0) {
      return;
    }
    this.#queued = [];
    const appended = this.#core.propose(queued.map((each) => each.command));
    if (appended.kind !== "appended") {
      const error = this.#toError(appended);
      queued.forEach(({ resolve }) => resolve(failed(error)));
      return;
    }
    queued.forEach(({ resolve }, position) =>
      this.#proposals.set(appended.index + position, {
        term: appended.term,
        resolve,
      })
    );
  }

  #startWrite(): void {
    const request = this.#write === undefined
      ? this.#core.takeStorageRequest()
      : undefined;
    if (request !== undefined) {
      this.#write = this.#runWrite(request);
    }
  }

  async #runWrite(request: StorageRequest): Promise<void> {
    try {
      await this.#storage.write(request);
    } catch (error) {
      this.#fail((error as Error).message);
      return;
    } finally {
      this.#write = undefined;
    }
    if (!this.#isStopped) {
      this.#core.setTime(this.#getTime());
      this.#core.onStored(request.sequence);
      this.#pump();
    }
  }

  #sendMessages(): void {
    const envelopes = this.#core.takeMessages().flatMap((envelope) =>
      this.#fillChunk(envelope)
    );
    if (envelopes.length > 0) {
      this.#transport?.send(envelopes);
    }
  }

  /** Adds the bytes of the snapshot file to a chunk. */
  #fillChunk(envelope: Envelope): Envelope[] {
    const { message } = envelope;
    if (message.kind !== "snapshotChunk") {
      return [envelope];
    }
    const chunk = this.#storage.readSnapshotChunk(message.info.index, {
      offset: message.offset,
      length: chunkBytes,
    });
    return chunk === undefined
      ? []
      : [{ ...envelope, message: { ...message, ...chunk } }];
  }

  #handleEvents(): void {
    for (const event of this.#core.takeEvents()) {
      this.#handleEvent(event);
    }
    this.#appliedWaiters = this.#appliedWaiters.filter(({ index, resolve }) => {
      if (index <= this.#appliedIndex) {
        resolve();
        return false;
      }
      return true;
    });
    this.#takeSnapshotIfDue();
  }

  #handleEvent(event: CoreEvent): void {
    const { log } = this.#options;
    switch (event.kind) {
      case "committed":
        event.entries.forEach((entry) => this.#apply(entry));
        return;
      case "restore":
        this.#restore(event.info, event.data);
        return;
      case "read":
        this.#settleRead(event.token, ok({ index: event.index }));
        return;
      case "readFailed":
        this.#settleRead(
          event.token,
          failed(
            this.#isIsolated()
              ? { kind: "isolated" }
              : this.#getNotLeaderError(),
          ),
        );
        return;
      case "leadershipLost": {
        const proposals = [...this.#proposals.values()];
        this.#proposals.clear();
        proposals.forEach(({ resolve }) =>
          resolve(failed({ kind: "outcome-unknown" }))
        );
        log.warn("leadership lost", { term: this.#core.term });
        return;
      }
      case "notice":
        log.info(event.text, { detail: event.detail });
        return;
    }
  }

  #apply(entry: LogEntry): void {
    const { index, content } = entry;
    const result = content.kind === "command"
      ? this.#options.stateMachine.apply({
        index,
        time: new Date(entry.timeMilliseconds),
        command: content.command,
      })
      : new Uint8Array();
    this.#appliedIndex = index;
    const proposal = this.#proposals.get(index);
    if (proposal !== undefined) {
      this.#proposals.delete(index);
      proposal.resolve(
        proposal.term === entry.term
          ? ok(result)
          : failed({ kind: "outcome-unknown" }),
      );
    }
  }

  #restore(info: SnapshotInfo, data: Uint8Array): void {
    this.#options.stateMachine.restoreSnapshot(data);
    this.#appliedIndex = info.index;
    this.#options.log.info("snapshot installed", { index: info.index });
  }

  #settleRead(token: number, result: Result<{ index: number }, ProposeError>) {
    this.#reads.get(token)?.(result);
    this.#reads.delete(token);
  }

  #takeSnapshotIfDue(): void {
    const limit = this.#options.snapshotEntries ?? defaultSnapshotEntries;
    if (this.#appliedIndex - this.#core.snapshotIndex < limit) {
      return;
    }
    this.#core.recordSnapshot(this.#appliedIndex, {
      data: this.#options.stateMachine.takeSnapshot(),
      keepEntries: Math.min(keptEntries, limit),
    });
    this.#schedulePump();
  }

  // --- Errors ---

  #isIsolated(): boolean {
    return this.#failure !== undefined ||
      this.#core.isIsolated(this.#clock.monotonicMilliseconds());
  }

  #getRefusal(): ProposeError | undefined {
    if (this.#failure !== undefined || this.#isStopped) {
      return this.#getStoppedError();
    }
    if (this.#isIsolated()) {
      return { kind: "isolated" };
    }
    return this.#core.isLeader ? undefined : this.#getNotLeaderError();
  }

  #getNotLeaderError(): ProposeError {
    const { leader } = this.#core;
    return leader === undefined
      ? { kind: "not-leader" }
      : { kind: "not-leader", leaderAddress: leader.address };
  }

  #getStoppedError(): ProposeError {
    return this.#failure === undefined
      ? { kind: "not-leader" }
      : { kind: "storage-failed", message: this.#failure };
  }

  #toError(refusal: CoreRefusal): ProposeError {
    return refusal.kind === "not-leader" ? this.#getNotLeaderError() : refusal;
  }

  /** Stops acknowledging: what a failed write left on the disk is unknown. */
  #fail(message: string): void {
    if (this.#failure !== undefined) {
      return;
    }
    this.#failure = message;
    clearInterval(this.#timer);
    this.#options.log.error("storage failed", { reason: message });
    this.#failAll({ kind: "storage-failed", message });
    this.#options.onFailure?.(message);
  }

  #failAll(error: ProposeError): void {
    const proposals = [...this.#proposals.values()];
    this.#proposals.clear();
    proposals.forEach(({ resolve }) =>
      resolve(failed({ kind: "outcome-unknown" }))
    );
    this.#queued.splice(0).forEach(({ resolve }) => resolve(failed(error)));
    const reads = [...this.#reads.values()];
    this.#reads.clear();
    reads.forEach((resolve) => resolve(failed(error)));
    this.#appliedWaiters.splice(0).forEach(({ resolve }) => resolve());
  }
}

function refuseChange(message: string): Result<never, ProposeError> {
  return failed({ kind: "member-change-refused", message });
}
