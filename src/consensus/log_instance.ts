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
import { getEntrySize, type LogEntry, type SnapshotInfo } from "./log_entry.ts";
import type { MemberChange } from "./member.ts";
import type { Envelope } from "./message.ts";
import type { StorageRequest } from "./persisted_state.ts";
import { snapshotChunkBytes } from "./replication.ts";
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

/** Limits of the entries that are kept after a snapshot for members behind. */
const retainedEntries = 1024;
const retainedBytes = 8 * 1024 * 1024;

/**
 * Limits of the entries after which a snapshot is taken. All of them are in memory,
 * and a start reads them from the disk.
 */
const defaultSnapshotEntries = 4096;
const defaultSnapshotBytes = 32 * 1024 * 1024;
const tickIntervalMilliseconds = 25;

/**
 * Each attempt takes up to 1 s. The first one may fail because the gRPC channel
 * is still in its reconnect backoff.
 */
const maximumIdentifyAttempts = 3;

/** Time that a confirmed read waits for the entries that it must include. */
const applyTimeoutMilliseconds = 1000;

/** Time that a replacement waits for the new instance to catch up. */
const catchUpTimeoutMilliseconds = 60_000;

type ResultCallback<Value> = (result: Result<Value, ProposeError>) => void;

/** Connects the consensus core to disk, network, clock and state machine. */
export class LogInstance implements ReplicatedLog {
  readonly #options: ReplicatedLogOptions;
  readonly #storage: DurableStorage;
  readonly #clock: Clock;
  readonly #core: ConsensusCore;
  #transport: Transport | undefined;
  #timer: NodeJS.Timeout | undefined;
  #isCycleScheduled = false;
  #pendingWrite: Promise<void> | undefined;
  #failure: string | undefined;
  #isStopped = false;

  #appliedIndex: number;
  /** Size of the entries that were applied since the latest snapshot. */
  #appliedBytes = 0;
  /** Commands that the next cycle proposes. */
  #queuedProposals: {
    command: Uint8Array;
    resolve: ResultCallback<Uint8Array>;
  }[] = [];
  /** Proposals that are not applied yet, by the index of their entry. */
  readonly #pendingProposals = new Map<
    number,
    { term: number; resolve: ResultCallback<Uint8Array> }
  >();
  #nextToken = 1;
  readonly #pendingReads = new Map<number, ResultCallback<{ index: number }>>();
  #appliedWaiters: { index: number; resolve: () => void }[] = [];

  /**
   * @param storage Storage of the opened data folder.
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
      toleratedLosses: options.toleratedLosses ?? 0,
      ...(options.timing === undefined ? {} : { timing: options.timing }),
    });
  }

  /** Starts the transport and the participation in the group. */
  async start(): Promise<void> {
    const receiver: TransportReceiver = {
      receive: (envelope) => this.#receive(envelope),
      onDeliveryFailed: (envelope) => this.#core.onDeliveryFailed(envelope),
      getIdentity: () => ({
        id: this.#core.identity.id,
        groupId: this.#core.groupId,
      }),
    };
    this.#transport = await (this.#options.createTransport?.(receiver) ??
      createGrpcTransport({ ...this.#options, receiver }));
    this.#timer = setInterval(
      () => this.#scheduleCycle(),
      tickIntervalMilliseconds,
    );
    this.#runCycle();
  }

  propose(command: Uint8Array): Promise<Result<Uint8Array, ProposeError>> {
    const error = this.#getProposeError();
    if (error !== undefined) {
      return Promise.resolve(failed(error));
    }
    return new Promise((resolve) => {
      this.#queuedProposals.push({ command, resolve });
      this.#scheduleCycle();
    });
  }

  async confirmRead(): Promise<Result<{ index: number }, ProposeError>> {
    if (this.#failure !== undefined || this.#isStopped) {
      return failed(this.#getStoppedError());
    }
    const result = await new Promise<Result<{ index: number }, ProposeError>>(
      (resolve) => {
        const token = this.#nextToken++;
        this.#pendingReads.set(token, resolve);
        this.#core.setTime(this.#getTime());
        this.#core.requestRead(token);
        this.#scheduleCycle();
      },
    );
    if (result.kind === "ok" && result.value.index > this.#appliedIndex) {
      await this.#waitUntilApplied(result.value.index);
      if (this.#isStopped || this.#failure !== undefined) {
        return failed(this.#getStoppedError());
      }
      if (result.value.index > this.#appliedIndex) {
        return failed({ kind: "outdated" });
      }
    }
    return result;
  }

  /** Waits until an entry is applied, for a limited time. */
  async #waitUntilApplied(index: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const waiter = {
        index,
        resolve: () => {
          clearTimeout(timer);
          resolve();
        },
      };
      const timer = setTimeout(() => {
        this.#appliedWaiters = this.#appliedWaiters.filter((each) =>
          each !== waiter
        );
        resolve();
      }, applyTimeoutMilliseconds);
      this.#appliedWaiters.push(waiter);
    });
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
      outdated: core.isOutdated,
      stateAgeMilliseconds: core.getStateAgeMilliseconds(
        this.#clock.monotonicMilliseconds(),
      ),
      members: core.members,
      matchIndexes: core.isLeader ? core.getMatchIndexes() : new Map(),
      lastContactAgesMilliseconds: core.isLeader
        ? core.getLastContactAgesMilliseconds(
          this.#clock.monotonicMilliseconds(),
        )
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
        return await this.#proposeMemberChange(change);
      case "add": {
        const added = await this.#addMember(change);
        return added.kind === "ok" ? ok(undefined) : added;
      }
      case "replace":
        return await this.#replaceMember(change);
    }
  }

  async stop(): Promise<void> {
    if (this.#isStopped) {
      return;
    }
    this.#isStopped = true;
    clearInterval(this.#timer);
    this.#rejectPending(this.#getStoppedError());
    await this.#transport?.stop();
    await this.#pendingWrite;
    await this.#storage.close();
  }

  // --- Members ---

  async #addMember(
    change: { address: string; id?: string },
  ): Promise<Result<string, ProposeError>> {
    let { id } = change;
    if (id === undefined) {
      const peer = await this.#identify(change.address);
      if (peer === undefined) {
        return refuseMemberChange(`no instance responds at ${change.address}`);
      }
      if (peer.groupId !== "" && peer.groupId !== this.#core.groupId) {
        return refuseMemberChange(`${change.address} belongs to another group`);
      }
      id = peer.id;
    }
    if (this.#core.members.some((each) => each.id === id)) {
      return ok(id);
    }
    const result = await this.#proposeMemberChange({
      kind: "add",
      id,
      address: change.address,
    });
    return result.kind === "ok" ? ok(id) : result;
  }

  async #identify(address: string): Promise<PeerIdentity | undefined> {
    for (let attempt = 0; attempt < maximumIdentifyAttempts; attempt++) {
      const peer = await this.#transport?.identify(address);
      if (peer !== undefined) {
        return peer;
      }
    }
    return undefined;
  }

  async #replaceMember(
    change: { oldId: string; address: string; id?: string },
  ): Promise<Result<void, ProposeError>> {
    const isOldMember = () =>
      this.#core.members.some((each) => each.id === change.oldId);
    if (!isOldMember()) {
      return refuseMemberChange(`${change.oldId} is not a member`);
    }
    const added = await this.#addMember(change);
    if (added.kind === "error") {
      return added;
    }
    const id = added.value;
    if (id === change.oldId) {
      return refuseMemberChange(`${id} cannot replace itself`);
    }
    const deadline = this.#clock.monotonicMilliseconds() +
      catchUpTimeoutMilliseconds;
    while (!this.#core.members.some((each) => each.id === id && each.isVoter)) {
      const promoted = await this.#proposeMemberChange({ kind: "promote", id });
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
    return await this.#proposeMemberChange({
      kind: "remove",
      id: change.oldId,
    });
  }

  #proposeMemberChange(
    change: SingleMemberChange,
  ): Promise<Result<void, ProposeError>> {
    const error = this.#getProposeError();
    if (error !== undefined) {
      return Promise.resolve(failed(error));
    }
    this.#core.setTime(this.#getTime());
    const appended = this.#core.changeMembers(change);
    if (appended.kind !== "appended") {
      return Promise.resolve(failed(this.#toProposeError(appended)));
    }
    this.#scheduleCycle();
    return new Promise((resolve) => {
      this.#pendingProposals.set(appended.index, {
        term: appended.term,
        resolve: (result) =>
          resolve(result.kind === "ok" ? ok(undefined) : result),
      });
    });
  }

  // --- Processing cycle ---

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
    this.#scheduleCycle();
  }

  /** Schedules one cycle for all input of this turn of the event loop. */
  #scheduleCycle(): void {
    if (!this.#isCycleScheduled) {
      this.#isCycleScheduled = true;
      setImmediate(() => {
        this.#isCycleScheduled = false;
        this.#runCycle();
      });
    }
  }

  #runCycle(): void {
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
    const queued = this.#queuedProposals;
    if (queued.length === 0) {
      return;
    }
    const appended = this.#core.propose(queued.map((each) => each.command));
    if (appended.kind === "forming") {
      return;
    }
    this.#queuedProposals = [];
    if (appended.kind !== "appended") {
      const error = this.#toProposeError(appended);
      queued.forEach(({ resolve }) => resolve(failed(error)));
      return;
    }
    queued.forEach(({ resolve }, position) =>
      this.#pendingProposals.set(appended.index + position, {
        term: appended.term,
        resolve,
      })
    );
  }

  #startWrite(): void {
    const request = this.#pendingWrite === undefined
      ? this.#core.takeStorageRequest()
      : undefined;
    if (request !== undefined) {
      this.#pendingWrite = this.#runWrite(request);
    }
  }

  async #runWrite(request: StorageRequest): Promise<void> {
    try {
      await this.#storage.write(request);
    } catch (error) {
      this.#handleStorageFailure((error as Error).message);
      return;
    } finally {
      this.#pendingWrite = undefined;
    }
    if (!this.#isStopped) {
      this.#core.setTime(this.#getTime());
      this.#core.onWriteCompleted(request.sequence);
      this.#runCycle();
    }
  }

  #sendMessages(): void {
    const envelopes = this.#core.takeMessages().flatMap((envelope) =>
      this.#fillSnapshotChunk(envelope)
    );
    if (envelopes.length > 0) {
      this.#transport?.send(envelopes);
    }
  }

  /** Adds content to a snapshot chunk; empty if the snapshot is not on disk. */
  #fillSnapshotChunk(envelope: Envelope): Envelope[] {
    const { message } = envelope;
    if (message.kind !== "snapshotChunk") {
      return [envelope];
    }
    const chunk = this.#storage.readSnapshotChunk(message.info.index, {
      offset: message.offset,
      length: snapshotChunkBytes,
    });
    if (chunk === undefined) {
      this.#core.onDeliveryFailed(envelope);
      return [];
    }
    return [{ ...envelope, message: { ...message, ...chunk } }];
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
        this.#installSnapshot(event.info, event.data);
        return;
      case "read":
        this.#completeRead(event.token, ok({ index: event.index }));
        return;
      case "readFailed":
        this.#completeRead(
          event.token,
          failed(
            this.#isIsolated()
              ? { kind: "isolated" }
              : this.#getNotLeaderError(),
          ),
        );
        return;
      case "leadershipLost": {
        const proposals = [...this.#pendingProposals.values()];
        this.#pendingProposals.clear();
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
    this.#appliedBytes += getEntrySize(entry);
    const proposal = this.#pendingProposals.get(index);
    if (proposal !== undefined) {
      this.#pendingProposals.delete(index);
      proposal.resolve(
        proposal.term === entry.term
          ? ok(result)
          : failed({ kind: "outcome-unknown" }),
      );
    }
  }

  #installSnapshot(info: SnapshotInfo, data: Uint8Array): void {
    this.#options.stateMachine.restoreSnapshot(data);
    this.#appliedIndex = info.index;
    this.#appliedBytes = 0;
    this.#options.log.info("snapshot installed", { index: info.index });
  }

  #completeRead(
    token: number,
    result: Result<{ index: number }, ProposeError>,
  ) {
    this.#pendingReads.get(token)?.(result);
    this.#pendingReads.delete(token);
  }

  #takeSnapshotIfDue(): void {
    const {
      snapshotEntries = defaultSnapshotEntries,
      snapshotBytes = defaultSnapshotBytes,
      log,
    } = this.#options;
    const entries = this.#appliedIndex - this.#core.snapshotIndex;
    if (entries < snapshotEntries && this.#appliedBytes < snapshotBytes) {
      return;
    }
    const data = this.#options.stateMachine.takeSnapshot();
    log.info("snapshot taken", {
      index: this.#appliedIndex,
      entries,
      entryBytes: this.#appliedBytes,
      bytes: data.length,
    });
    this.#appliedBytes = 0;
    this.#core.recordSnapshot(this.#appliedIndex, {
      data,
      retainedEntries: Math.min(retainedEntries, snapshotEntries),
      retainedBytes: Math.min(retainedBytes, snapshotBytes),
    });
    this.#scheduleCycle();
  }

  // --- Errors ---

  #isIsolated(): boolean {
    return this.#failure !== undefined ||
      this.#core.isIsolated(this.#clock.monotonicMilliseconds());
  }

  /** Gets the reason why proposals cannot be accepted now. */
  #getProposeError(): ProposeError | undefined {
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

  #toProposeError(refusal: CoreRefusal): ProposeError {
    return refusal.kind === "not-leader" ? this.#getNotLeaderError() : refusal;
  }

  /** Stops the instance: after a failed write, the disk content is unknown. */
  #handleStorageFailure(message: string): void {
    if (this.#failure !== undefined) {
      return;
    }
    this.#failure = message;
    clearInterval(this.#timer);
    this.#options.log.error("storage failed", { reason: message });
    this.#rejectPending({ kind: "storage-failed", message });
    this.#options.onFailure?.(message);
  }

  /** Completes all pending proposals and reads with an error. */
  #rejectPending(error: ProposeError): void {
    const proposals = [...this.#pendingProposals.values()];
    this.#pendingProposals.clear();
    proposals.forEach(({ resolve }) =>
      resolve(failed({ kind: "outcome-unknown" }))
    );
    this.#queuedProposals.splice(0).forEach(({ resolve }) =>
      resolve(failed(error))
    );
    const reads = [...this.#pendingReads.values()];
    this.#pendingReads.clear();
    reads.forEach((resolve) => resolve(failed(error)));
    this.#appliedWaiters.splice(0).forEach(({ resolve }) => resolve());
  }
}

function refuseMemberChange(message: string): Result<never, ProposeError> {
  return failed({ kind: "member-change-refused", message });
}
