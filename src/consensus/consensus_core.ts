import type { RandomSource } from "../common/mod.ts";
import { createGroupId, GroupBootstrap } from "./group_bootstrap.ts";
import { IncomingSnapshot } from "./incoming_snapshot.ts";
import {
  type ConsensusTiming,
  type CoreEvent,
  type CoreOptions,
  type CoreRefusal,
  type CoreTime,
  defaultTiming,
  type ProposalResult,
  type Role,
  type SingleMemberChange,
} from "./core_types.ts";
import { EntryLog } from "./entry_log.ts";
import type { EntryContent, LogEntry, SnapshotInfo } from "./log_entry.ts";
import { getMajority, isVoter, type Member } from "./member.ts";
import { applyMemberChange } from "./member_change.ts";
import type { ConsensusMessage, Envelope } from "./message.ts";
import { PeerStateTable } from "./peer_state_table.ts";
import { emptyPosition, type LogPosition } from "./peer_state.ts";
import { type PendingRead, PendingReads } from "./pending_reads.ts";
import type {
  HardState,
  Identity,
  PersistedState,
  StorageRequest,
} from "./persisted_state.ts";
import type { Progress } from "./progress.ts";
import { Replication } from "./replication.ts";
import { StartConfirmation } from "./start_confirmation.ts";
import { WriteBuffer } from "./write_buffer.ts";

/** Time after which a forwarded read fails if the leader has not responded. */
const forwardedReadTimeoutMilliseconds = 1000;

type ReadOrigin = Pick<PendingRead, "token" | "fromId" | "fromAddress">;

/**
 * Implements the replication protocol without access to network, disk or clock.
 * The owner passes in received messages, the time and completed writes. It then
 * takes messages to send, writes to perform and events to handle.
 */
export class ConsensusCore {
  readonly identity: Identity;
  readonly #address: string;
  readonly #bootstrap: GroupBootstrap;
  readonly #random: RandomSource;
  readonly #timing: ConsensusTiming;
  readonly #toleratedLosses: number;
  #monotonicNow: number;
  #wallNow: number;

  #hardState: HardState;
  #snapshot: SnapshotInfo;
  readonly #log: EntryLog;
  readonly #peerStates: PeerStateTable;
  #commitIndex: number;
  /** Highest index that was passed out in a `committed` or `restore` event. */
  #deliveredIndex: number;
  /** Highest index up to which the log on this instance's disk is current. */
  #durableIndex: number;

  #role: "follower" | "pre-candidate" | "candidate" | "leader" = "follower";
  #leader: { id: string; address: string } | undefined;
  #lastLeaderContactAt: number;
  /** Latest known time at which the leader had contact with a majority. */
  #lastMajorityContactAt: number;
  /** Latest time at which all that was committed is known to be applied here. */
  #currentAt = -Infinity;
  /** Time since when that could not be confirmed, despite contact. */
  #unconfirmedSince: number | undefined;
  #electionTimeoutAt = 0;
  #nextHeartbeatAt = 0;
  #votes = new Set<string>();
  readonly #replication: Replication;
  #leaderSince = 0;
  /** On the leader, the latest time of contact with its predecessor. */
  #electionStartedAt = 0;
  /** Index of the first entry that this leader appended in its term. */
  #firstIndexOfTerm = 0;

  readonly #startConfirmation: StartConfirmation;
  #isMembershipDenied = false;
  /** Index up to which the log is equal to that of the leader of a term. */
  #verified = { term: 0, index: 0 };

  /** Number of the latest heartbeat round that confirms reads. */
  #readRound = 0;
  /** True when a new round must start, because reads wait for it. */
  #isReadRoundRequested = false;
  readonly #pendingReads = new PendingReads();
  readonly #incomingSnapshot = new IncomingSnapshot();

  #messages: Envelope[] = [];
  #events: CoreEvent[] = [];
  readonly #writeBuffer = new WriteBuffer();

  /**
   * @param state State from the data folder.
   * @param options Address, initial members, randomness and time.
   */
  constructor(state: PersistedState, options: CoreOptions) {
    this.identity = state.identity;
    this.#address = options.address;
    this.#random = options.random;
    this.#timing = options.timing ?? defaultTiming;
    this.#toleratedLosses = options.toleratedLosses ?? 0;
    this.#monotonicNow = options.time.monotonicMilliseconds;
    this.#wallNow = options.time.wallMilliseconds;
    this.#hardState = state.hardState;
    this.#snapshot = state.snapshot;
    this.#log = new EntryLog(state.snapshot, state.entries);
    this.#peerStates = new PeerStateTable(state.peers);
    this.#commitIndex = state.snapshot.index;
    this.#deliveredIndex = state.snapshot.index;
    this.#durableIndex = this.#log.lastIndex;
    this.#lastLeaderContactAt = this.#monotonicNow;
    this.#lastMajorityContactAt = this.#monotonicNow;
    this.#bootstrap = new GroupBootstrap({
      identity: state.identity,
      address: options.address,
      initialMembers: options.initialMembers,
      minimumMembers: 2 * this.#toleratedLosses + 1,
      waitMilliseconds: this.#timing.isolationMilliseconds,
      helloValidityMilliseconds: this.#timing.isolationMilliseconds,
    });
    this.#startConfirmation = new StartConfirmation({
      start: {
        term: state.hardState.term,
        lastTerm: this.#log.lastTerm,
        lastIndex: this.#log.lastIndex,
      },
      isNewIdentity: state.hardState.groupId === "" &&
        state.identity.bootCount === 1,
      nowMilliseconds: this.#monotonicNow,
      majorityWaitMilliseconds: this.#timing.confirmationMilliseconds,
    });
    this.#replication = new Replication({
      ownId: state.identity.id,
      log: this.#log,
      getState: () => ({
        now: this.#monotonicNow,
        members: this.members,
        snapshot: this.#snapshot,
        durableIndex: this.#durableIndex,
        commitIndex: this.#commitIndex,
        readRound: this.#readRound,
        leaderSince: this.#leaderSince,
      }),
      send: (to, message) => this.#send(to, message),
      onResend: (to, { matchIndex, inFlight }) =>
        this.#events.push({
          kind: "notice",
          text: "entries not acknowledged in time",
          detail:
            `${to.address}: ${inFlight.length} appends after ${matchIndex}`,
        }),
    });
    this.#resetElectionTimer();
    this.#updateStartConfirmation();
  }

  // --- Status ---

  get groupId(): string {
    return this.#hardState.groupId;
  }
  get term(): number {
    return this.#hardState.term;
  }
  get commitIndex(): number {
    return this.#commitIndex;
  }
  get lastIndex(): number {
    return this.#log.lastIndex;
  }
  get snapshotIndex(): number {
    return this.#snapshot.index;
  }
  get members(): readonly Member[] {
    return this.#log.members;
  }
  get leader(): { readonly id: string; readonly address: string } | undefined {
    return this.#leader;
  }
  get isLeader(): boolean {
    return this.#role === "leader";
  }
  /** True after a group refused this instance, because it is not a member. */
  get isMembershipDenied(): boolean {
    return this.#isMembershipDenied;
  }

  /** Gets the role of this instance. */
  getRole(): Role {
    if (this.#hardState.groupId === "") {
      return "unformed";
    }
    if (this.#hardState.isRegressed) {
      return "denied";
    }
    if (this.#role === "leader") {
      return "leader";
    }
    if (!isVoter(this.members, this.identity.id)) {
      return "non-voter";
    }
    if (!this.#startConfirmation.isConfirmed) {
      return "recovering";
    }
    return this.#role === "follower" ? "follower" : "candidate";
  }

  /**
   * Reports whether the state may be outdated, because the leader, or this
   * instance as leader, has had no recent contact with a majority.
   * @param nowMilliseconds Monotonic time.
   */
  isIsolated(nowMilliseconds: number): boolean {
    return nowMilliseconds - this.#getMajorityContactAt() >
      this.#timing.isolationMilliseconds;
  }

  #getMajorityContactAt(): number {
    return this.#role === "leader"
      ? Math.max(this.#replication.getMajorityContactAt(), this.#leaderSince)
      : this.#lastMajorityContactAt;
  }

  /**
   * Gets the time since the applied state was last known to include everything
   * that the group had committed.
   * @param nowMilliseconds Monotonic time.
   * @returns The time; `Infinity` if that was not known since the start.
   */
  getStateAgeMilliseconds(nowMilliseconds: number): number {
    return nowMilliseconds - this.#currentAt;
  }

  /**
   * Reports whether the applied state lacks entries that are committed, or may do
   * so because this instance has just started or was isolated.
   */
  get isOutdated(): boolean {
    const since = this.#unconfirmedSince;
    if (since === undefined) {
      return this.#currentAt === -Infinity;
    }
    const { outdatedMilliseconds, isolationMilliseconds } = this.#timing;
    return since - this.#currentAt > isolationMilliseconds ||
      this.#getMajorityContactAt() - since > outdatedMilliseconds;
  }

  /** On the leader, gets the index up to which each member holds the log. */
  getMatchIndexes(): ReadonlyMap<string, number> {
    const indexes = new Map<string, number>();
    for (const [id, progress] of this.#replication.getEntries()) {
      indexes.set(id, progress.matchIndex);
    }
    indexes.set(this.identity.id, this.#durableIndex);
    return indexes;
  }

  /**
   * On the leader, gets the time since the last response of each other member.
   * For a member that has not responded yet, it is the time since the contact
   * with the previous leader, but not more than that of an election before the
   * time as leader.
   * @param nowMilliseconds Monotonic time.
   */
  getLastContactAgesMilliseconds(
    nowMilliseconds: number,
  ): ReadonlyMap<string, number> {
    const ages = new Map<string, number>();
    for (
      const [id, { lastContactAtMilliseconds }] of this.#replication
        .getEntries()
    ) {
      const since = Math.max(
        lastContactAtMilliseconds,
        this.#electionStartedAt,
      );
      ages.set(id, nowMilliseconds - since);
    }
    ages.delete(this.identity.id);
    return ages;
  }

  // --- Inputs ---

  /** Sets the time for the inputs that follow. */
  setTime(time: CoreTime): void {
    this.#monotonicNow = Math.max(
      this.#monotonicNow,
      time.monotonicMilliseconds,
    );
    this.#wallNow = time.wallMilliseconds;
  }

  /** Performs the actions that are due, such as elections and heartbeats. */
  tick(): void {
    if (this.#hardState.groupId === "") {
      this.#tickBootstrap();
      return;
    }
    this.#tickStartConfirmation();
    if (this.#role === "leader") {
      this.#tickLeader();
    } else if (
      this.#monotonicNow >= this.#electionTimeoutAt && this.#canVote() &&
      isVoter(this.members, this.identity.id)
    ) {
      this.#startPreVote();
    }
    for (const token of this.#pendingReads.takeExpired(this.#monotonicNow)) {
      this.#events.push({ kind: "readFailed", token });
    }
  }

  /**
   * Appends commands on the leader.
   * @returns The first index and the term; `forming` when the owner has to
   * propose them again later; or a refusal.
   */
  propose(commands: readonly Uint8Array[]): ProposalResult {
    if (this.#role !== "leader") {
      return { kind: "not-leader" };
    }
    if (this.#isForming()) {
      return { kind: "forming" };
    }
    const index = this.#log.lastIndex + 1;
    for (const command of commands) {
      this.#appendToOwnLog({ kind: "command", command });
    }
    return { kind: "appended", index, term: this.term };
  }

  /** Appends one change of the members on the leader. */
  changeMembers(
    change: SingleMemberChange,
  ): { kind: "appended"; index: number; term: number } | CoreRefusal {
    if (this.#role !== "leader") {
      return { kind: "not-leader" };
    }
    const refuse = (message: string): CoreRefusal => ({
      kind: "member-change-refused",
      message,
    });
    // Until it has committed an entry of its own term, a leader cannot know
    // whether an earlier change is still in progress.
    if (
      this.#commitIndex < this.#firstIndexOfTerm ||
      this.#log.membersIndex > this.#commitIndex
    ) {
      return refuse("another change of members is in progress");
    }
    const result = applyMemberChange(
      this.members,
      change,
      (id) => this.#replication.hasCaughtUp(id, this.#firstIndexOfTerm),
    );
    if (result.kind === "error") {
      return refuse(result.error);
    }
    const members = result.value;
    const index = this.#appendToOwnLog({ kind: "members", members });
    this.#replication.updateMembers();
    return { kind: "appended", index, term: this.term };
  }

  /**
   * Starts a read; a `read` or `readFailed` event with the token follows.
   * @param token Chosen by the caller; unique for the lifetime of the core.
   */
  requestRead(token: number): void {
    if (this.#role === "leader") {
      this.#startRead({ token, fromId: "", fromAddress: "" });
    } else if (this.#leader === undefined) {
      this.#events.push({ kind: "readFailed", token });
    } else {
      this.#pendingReads.addForwarded(
        token,
        this.#monotonicNow + forwardedReadTimeoutMilliseconds,
      );
      this.#send(this.#leader, { kind: "readRequest", token });
    }
  }

  /**
   * Adds a snapshot of the state machine and discards entries that it covers.
   * @param index Index up to which the snapshot includes all entries.
   * @param options Content, and maximum number and size of the entries to keep
   * for members that are behind.
   */
  recordSnapshot(
    index: number,
    options: {
      data: Uint8Array;
      retainedEntries: number;
      retainedBytes: number;
    },
  ): void {
    if (index <= this.#snapshot.index || index > this.#commitIndex) {
      return;
    }
    const info = this.#log.getSnapshotInfo(index);
    this.#snapshot = info;
    this.#writeBuffer.addSnapshot({ info, data: options.data });
    this.#log.discardThrough(this.#log.getDiscardIndex(index, {
      entries: options.retainedEntries,
      bytes: options.retainedBytes,
    }));
  }

  /** Handles a received message. */
  receive(envelope: Envelope): void {
    const { message } = envelope;
    if (envelope.toId !== "" && envelope.toId !== this.identity.id) {
      return;
    }
    if (envelope.groupId !== this.groupId) {
      this.#receiveFromOtherGroup(envelope);
      return;
    }
    if (this.groupId === "") {
      if (message.kind === "hello") {
        this.#bootstrap.onHello(envelope, this.#monotonicNow);
      }
      return;
    }
    if (!this.#acceptTerm(envelope)) {
      return;
    }
    switch (message.kind) {
      case "hello":
      case "helloResponse":
        return;
      case "confirmRequest":
        return this.#onConfirmRequest(envelope, message);
      case "confirmResponse":
        return this.#onConfirmResponse(envelope, message);
      case "preVoteRequest":
        return this.#onPreVoteRequest(envelope, message);
      case "preVoteResponse":
        return this.#onPreVoteResponse(envelope, message);
      case "voteRequest":
        return this.#onVoteRequest(envelope, message);
      case "voteResponse":
        return this.#onVoteResponse(envelope, message);
      case "append":
        return this.#onAppend(envelope, message);
      case "appendResponse":
        return this.#onAppendResponse(envelope, message);
      case "snapshotChunk":
        return this.#onSnapshotChunk(envelope, message);
      case "snapshotResponse":
        return this.#onSnapshotResponse(envelope, message);
      case "readRequest":
        return this.#onReadRequest(envelope, message.token);
      case "readResponse":
        if (this.#pendingReads.removeForwarded(message.token)) {
          this.#events.push(
            message.isConfirmed
              ? { kind: "read", token: message.token, index: message.index }
              : { kind: "readFailed", token: message.token },
          );
        }
        return;
    }
  }

  /** Handles a message of this instance that was not delivered. */
  onDeliveryFailed({ toId, term, message }: Envelope): void {
    const progress = this.#replication.get(toId);
    if (
      this.#role === "leader" && term === this.term && progress !== undefined
    ) {
      this.#replication.onDeliveryFailed(progress, message);
    }
  }

  /** Handles the completion of a write. */
  onWriteCompleted(sequence: number): void {
    const write = this.#writeBuffer.completeOrThrow(sequence);
    if (this.#log.getTerm(write.lastIndex) === write.lastTerm) {
      this.#durableIndex = Math.max(
        this.#snapshot.index,
        Math.min(
          write.lastIndex,
          (this.#writeBuffer.firstUnwrittenIndex ?? Infinity) - 1,
        ),
      );
    }
    if (write.installedSnapshot !== undefined) {
      this.#events.push({ kind: "restore", ...write.installedSnapshot });
      this.#deliveredIndex = Math.max(
        this.#deliveredIndex,
        write.installedSnapshot.info.index,
      );
    }
    // Messages of an earlier term are dropped, because they describe a state
    // that is no longer current.
    for (const envelope of write.deferredMessages) {
      if (envelope.term === this.term) {
        this.#messages.push(envelope);
      }
    }
    if (this.#role === "candidate" && write.term === this.term) {
      this.#countVote(this.identity.id);
    }
    if (this.#role === "leader") {
      this.#advanceCommit();
    }
    this.#deliverCommitted();
  }

  // --- Outputs ---

  /** Removes and returns the messages that may be sent now. */
  takeMessages(): Envelope[] {
    if (this.#role === "leader") {
      this.#replication.replicate();
      if (this.#isReadRoundRequested) {
        this.#readRound++;
        this.#replication.sendHeartbeats();
        this.#completeReads();
      }
    }
    this.#isReadRoundRequested = false;
    this.#messages.push(
      ...this.#writeBuffer.takeReadyMessages(this.#peerStates),
    );
    const outgoingMessages = this.#messages.map((each) =>
      this.#addSendTime(each)
    );
    this.#messages = [];
    return outgoingMessages;
  }

  /** Adds the current time to a response, which may have waited for a write. */
  #addSendTime(envelope: Envelope): Envelope {
    const { message } = envelope;
    return message.kind === "appendResponse"
      ? {
        ...envelope,
        message: {
          ...message,
          sentAtMilliseconds: Math.floor(this.#monotonicNow),
        },
      }
      : envelope;
  }

  /** Removes and returns the events since the previous call. */
  takeEvents(): CoreEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }

  /** Starts the next write; `undefined` if none is needed or one is pending. */
  takeStorageRequest(): StorageRequest | undefined {
    return this.#writeBuffer.takeRequest({
      hardState: this.#hardState,
      peers: this.#peerStates,
      lastIndex: this.#log.lastIndex,
      lastTerm: this.#log.lastTerm,
      baseIndex: this.#log.baseIndex,
      getEntries: (from) => this.#log.getEntries(from),
    });
  }

  // --- Terms and roles ---

  #setHardState(change: Partial<HardState>): void {
    this.#hardState = { ...this.#hardState, ...change };
    this.#writeBuffer.addHardState();
  }

  #canVote(): boolean {
    return this.#startConfirmation.isConfirmed && !this.#hardState.isRegressed;
  }

  #resetElectionTimer(): void {
    const { electionMilliseconds } = this.#timing;
    this.#electionTimeoutAt = this.#monotonicNow + electionMilliseconds +
      this.#random() * electionMilliseconds;
  }

  /** Updates the term from a message; false when it must be dropped. */
  #acceptTerm({ term, message, ...envelope }: Envelope): boolean {
    // These messages must not change the term: confirmations only compare
    // recorded states, and pre-votes carry a term that may never begin.
    const isTermIndependent = message.kind === "preVoteRequest" ||
      message.kind === "confirmRequest" ||
      message.kind === "confirmResponse" ||
      (message.kind === "preVoteResponse" && message.isGranted);
    if (isTermIndependent) {
      return true;
    }
    if (term > this.term) {
      if (message.kind === "voteRequest" && this.#hasRecentLeaderContact()) {
        return false;
      }
      const isFromLeader = message.kind === "append" ||
        message.kind === "snapshotChunk";
      this.#becomeFollower(
        term,
        isFromLeader
          ? { id: envelope.fromId, address: envelope.fromAddress }
          : undefined,
      );
      return true;
    }
    if (term < this.term) {
      // The response carries the current term, which makes a stale leader or
      // candidate step down.
      if (message.kind === "append" || message.kind === "snapshotChunk") {
        this.#sendWhenDurable(envelope, {
          kind: "appendResponse",
          isSuccess: false,
          index: 0,
          round: 0,
          canVote: this.#canVote(),
        });
      } else if (message.kind === "voteRequest") {
        this.#sendWhenDurable(envelope, {
          kind: "voteResponse",
          isGranted: false,
        });
      }
      return false;
    }
    return true;
  }

  #becomeFollower(
    term: number,
    leader: { id: string; address: string } | undefined,
  ): void {
    const wasLeader = this.#role === "leader";
    if (term > this.term) {
      this.#setHardState({ term, votedFor: "" });
      this.#incomingSnapshot.clear();
    }
    this.#role = "follower";
    this.#leader = leader;
    if (wasLeader) {
      this.#pendingReads.takeAll().forEach((read) => this.#failRead(read));
      this.#lastMajorityContactAt = Math.max(
        this.#lastMajorityContactAt,
        this.#replication.getMajorityContactAt(),
      );
      this.#replication.clear();
      this.#resetElectionTimer();
      this.#events.push({ kind: "leadershipLost" });
    }
  }

  #hasRecentLeaderContact(): boolean {
    return this.#role === "leader" ||
      (this.#leader !== undefined &&
        this.#monotonicNow - this.#lastLeaderContactAt <
          this.#timing.electionMilliseconds);
  }

  #isCandidateUpToDate(
    message: { lastIndex: number; lastTerm: number },
  ): boolean {
    return message.lastTerm > this.#log.lastTerm ||
      (message.lastTerm === this.#log.lastTerm &&
        message.lastIndex >= this.#log.lastIndex);
  }

  #startPreVote(): void {
    this.#role = "pre-candidate";
    this.#leader = undefined;
    this.#votes = new Set([this.identity.id]);
    this.#resetElectionTimer();
    if (this.#votes.size >= getMajority(this.members)) {
      this.#startElection();
      return;
    }
    for (const member of this.#getOtherVoters()) {
      this.#send(member, {
        kind: "preVoteRequest",
        lastIndex: this.#log.lastIndex,
        lastTerm: this.#log.lastTerm,
      }, this.term + 1);
    }
  }

  #startElection(): void {
    this.#role = "candidate";
    this.#leader = undefined;
    this.#votes = new Set();
    this.#setHardState({ term: this.term + 1, votedFor: this.identity.id });
    this.#resetElectionTimer();
    for (const member of this.#getOtherVoters()) {
      this.#sendWhenDurable(member, {
        kind: "voteRequest",
        lastIndex: this.#log.lastIndex,
        lastTerm: this.#log.lastTerm,
      });
    }
  }

  #onPreVoteRequest(
    envelope: Envelope,
    message: { lastIndex: number; lastTerm: number },
  ): void {
    const isGranted = this.#canVote() && envelope.term > this.term &&
      !this.#hasRecentLeaderContact() && this.#isCandidateUpToDate(message);
    if (isGranted) {
      // The candidate may be a new voter whose addition this log does not
      // contain yet, so it was not included in the regular requests.
      this.#requestConfirmation(this.#getSender(envelope));
    }
    this.#send(
      this.#getSender(envelope),
      { kind: "preVoteResponse", isGranted },
      isGranted ? envelope.term : this.term,
    );
  }

  #onPreVoteResponse(
    envelope: Envelope,
    message: { isGranted: boolean },
  ): void {
    if (
      this.#role === "pre-candidate" && message.isGranted &&
      envelope.term === this.term + 1 &&
      isVoter(this.members, envelope.fromId)
    ) {
      this.#votes.add(envelope.fromId);
      if (this.#votes.size >= getMajority(this.members)) {
        this.#startElection();
      }
    }
  }

  #onVoteRequest(
    envelope: Envelope,
    message: { lastIndex: number; lastTerm: number },
  ): void {
    const { votedFor } = this.#hardState;
    // In the term of the start, an older disk may lack a vote that this
    // instance has already given, so a new vote could be the second one.
    const isVoteAvailable = votedFor === "" &&
      this.term > this.#startConfirmation.start.term;
    const isGranted = this.#canVote() && this.#role !== "leader" &&
      (isVoteAvailable || votedFor === envelope.fromId) &&
      this.#isCandidateUpToDate(message) &&
      // The candidate has voted for itself. Recording its term allows this
      // instance to detect that it restarts with an older disk.
      this.#recordProgressDurably(envelope, emptyPosition);
    if (isGranted) {
      if (votedFor === "") {
        this.#setHardState({ votedFor: envelope.fromId });
      }
      this.#resetElectionTimer();
    }
    this.#sendWhenDurable(this.#getSender(envelope), {
      kind: "voteResponse",
      isGranted,
    });
  }

  #onVoteResponse(envelope: Envelope, message: { isGranted: boolean }): void {
    if (this.#role !== "candidate" || !message.isGranted) {
      return;
    }
    // A vote counts only if it can be recorded, so that this instance detects
    // when the voter restarts with an older disk and could vote again.
    if (this.#recordProgress(envelope, emptyPosition)) {
      this.#countVote(envelope.fromId);
    }
  }

  #countVote(id: string): void {
    if (isVoter(this.members, id)) {
      this.#votes.add(id);
    }
    if (this.#votes.size >= getMajority(this.members)) {
      this.#becomeLeader();
    }
  }

  #becomeLeader(): void {
    this.#role = "leader";
    this.#leader = { id: this.identity.id, address: this.#address };
    this.#leaderSince = this.#monotonicNow;
    // Earlier leaders may have committed entries that are not applied here.
    this.#unconfirmedSince ??= this.#monotonicNow;
    this.#electionStartedAt = Math.max(
      this.#lastLeaderContactAt,
      this.#monotonicNow - 2 * this.#timing.electionMilliseconds,
    );
    this.#replication.clear();
    this.#pendingReads.takeAll();
    this.#replication.updateMembers();
    this.#firstIndexOfTerm = this.#appendToOwnLog({ kind: "empty" });
    this.#nextHeartbeatAt = this.#monotonicNow;
    this.#events.push({
      kind: "notice",
      text: "became leader",
      detail: `term ${this.term}`,
    });
    this.#tickLeader();
  }

  #getOtherVoters(): Member[] {
    return this.members.filter((each) =>
      each.isVoter && each.id !== this.identity.id
    );
  }

  /**
   * Reports whether the first command has to wait until so many voters hold the
   * log that a majority of them remains after the tolerated losses. A voter that
   * has never received the log cannot take part in an election without a leader.
   */
  #isForming(): boolean {
    const isNew = this.#toleratedLosses > 0 && this.#snapshot.index === 0 &&
      !this.#log.hasCommand;
    // A voter that does not respond for this time counts as one of the losses.
    const hasWaited = this.#monotonicNow - this.#leaderSince >=
      this.#timing.isolationMilliseconds;
    if (!isNew || hasWaited) {
      return false;
    }
    const voters = this.members.filter((each) => each.isVoter);
    const holders = voters.filter(({ id }) =>
      id === this.identity.id
        ? this.#durableIndex >= this.#firstIndexOfTerm
        : this.#replication.hasCaughtUp(id, this.#firstIndexOfTerm)
    );
    const requiredHolders = getMajority(this.members) + this.#toleratedLosses;
    return holders.length < Math.min(voters.length, requiredHolders);
  }

  // --- Messages ---

  #getSender(envelope: Envelope): { id: string; address: string } {
    return { id: envelope.fromId, address: envelope.fromAddress };
  }

  #createEnvelope(
    to: { id: string; address: string } | {
      fromId: string;
      fromAddress: string;
    },
    message: ConsensusMessage,
    term: number,
  ): Envelope {
    return {
      groupId: this.groupId,
      fromId: this.identity.id,
      fromAddress: this.#address,
      fromBootId: this.identity.bootId,
      toId: "id" in to ? to.id : to.fromId,
      toAddress: "id" in to ? to.address : to.fromAddress,
      term,
      message,
    };
  }

  #send(
    to: { id: string; address: string },
    message: ConsensusMessage,
    term: number = this.term,
  ): void {
    this.#messages.push(this.#createEnvelope(to, message, term));
  }

  /** Sends a message once the changes that now require a write are durable. */
  #sendWhenDurable(
    to: { id: string; address: string } | {
      fromId: string;
      fromAddress: string;
    },
    message: ConsensusMessage,
  ): void {
    this.#writeBuffer.deferMessage(
      this.#createEnvelope(to, message, this.term),
    );
  }

  // --- Leader ---

  #appendToOwnLog(content: EntryContent): number {
    const index = this.#log.lastIndex + 1;
    this.#log.append([{
      index,
      term: this.term,
      timeMilliseconds: Math.max(this.#wallNow, this.#log.lastTimeMilliseconds),
      content,
    }]);
    this.#writeBuffer.addEntries(index);
    return index;
  }

  #tickLeader(): void {
    if (
      this.#monotonicNow -
          Math.max(
            this.#replication.getMajorityContactAt(),
            this.#leaderSince,
          ) >
        this.#timing.isolationMilliseconds
    ) {
      this.#events.push({
        kind: "notice",
        text: "leader lost contact with majority",
        detail: `term ${this.term}`,
      });
      this.#becomeFollower(this.term, undefined);
      return;
    }
    if (this.#monotonicNow < this.#nextHeartbeatAt) {
      return;
    }
    this.#nextHeartbeatAt = this.#monotonicNow +
      this.#timing.heartbeatMilliseconds;
    this.#recordCommitIndex(this.#commitIndex, this.#getMajorityContactAt());
    this.#peerStates.requireWrite();
    this.#replication.sendHeartbeats();
  }

  #onAppendResponse(
    envelope: Envelope,
    message: Extract<ConsensusMessage, { kind: "appendResponse" }>,
  ): void {
    const progress = this.#recordFollowerContact(envelope, message.canVote);
    if (progress === undefined) {
      return;
    }
    progress.lastResponse = {
      sentAt: {
        bootId: envelope.fromBootId,
        milliseconds: message.sentAtMilliseconds ?? 0,
      },
      receivedAtMilliseconds: this.#monotonicNow,
    };
    progress.readRound = Math.max(progress.readRound, message.round);
    this.#completeReads();
    if (message.isSuccess) {
      this.#recordAcknowledgement(envelope, progress, message.index);
    }
    this.#replication.onAppendResponse(progress, message);
    if (message.isSuccess) {
      this.#advanceCommit();
    }
  }

  /** Records a response; `undefined` unless this leader tracks the member. */
  #recordFollowerContact(
    envelope: Envelope,
    canVote: boolean,
  ): Progress | undefined {
    const progress = this.#replication.get(envelope.fromId);
    if (this.#role !== "leader" || progress === undefined) {
      return undefined;
    }
    if (progress.bootId !== envelope.fromBootId) {
      if (progress.bootId !== "") {
        this.#replication.onRestarted(progress);
      }
      progress.bootId = envelope.fromBootId;
    }
    progress.lastContactAtMilliseconds = this.#monotonicNow;
    progress.isStartConfirmed = canVote &&
      this.#peerStates.hasConfirmedStart(envelope);
    return progress;
  }

  /** Records that a member acknowledged the entries up to an index. */
  #recordAcknowledgement(
    envelope: Envelope,
    progress: Progress,
    index: number,
  ): void {
    if (progress.isStartConfirmed) {
      // An entry that was discarded here is already committed, without this
      // acknowledgement, so its position need not be recorded.
      const lastTerm = this.#log.getTerm(index);
      this.#recordProgress(
        envelope,
        lastTerm === undefined ? emptyPosition : { lastTerm, lastIndex: index },
      );
    }
  }

  #advanceCommit(): void {
    const index = this.#replication.getMajorityMatchIndex();
    if (
      index > this.#commitIndex && this.#log.getTerm(index) === this.term
    ) {
      if (this.#commitIndex < this.#firstIndexOfTerm) {
        // From now on, the other instances can know that they are current.
        this.#nextHeartbeatAt = this.#monotonicNow;
      }
      this.#commitIndex = index;
      this.#deliverCommitted();
      this.#recordCommitIndex(index, this.#getMajorityContactAt());
      this.#completeReads();
      const isStillVoter = this.members.some((each) =>
        each.id === this.identity.id && each.isVoter
      );
      if (!isStillVoter && this.#log.membersIndex <= index) {
        // This leader is no longer a voter. It sends the commit index to the
        // other members before it steps down.
        this.#nextHeartbeatAt = this.#monotonicNow;
        this.#tickLeader();
        this.#becomeFollower(this.term, undefined);
      }
    }
  }

  #deliverCommitted(): void {
    if (this.#writeBuffer.isInstallingSnapshot) {
      return;
    }
    if (this.#commitIndex > this.#deliveredIndex) {
      const entries = this.#log.getEntries(this.#deliveredIndex + 1, {
        to: this.#commitIndex,
      });
      this.#deliveredIndex = this.#commitIndex;
      this.#events.push({ kind: "committed", entries });
    }
  }

  /**
   * Records whether the applied state includes all that was committed at a time.
   * @param commitIndex Commit index of the leader of the current term.
   * @param atMilliseconds Monotonic time at which the leader had contact with a
   * majority.
   */
  #recordCommitIndex(commitIndex: number, atMilliseconds: number): void {
    // A leader that has committed no entry of its own term may not know of all
    // entries that are committed.
    const isTrusted = this.#log.getTerm(commitIndex) === this.term;
    if (isTrusted && commitIndex <= this.#deliveredIndex) {
      this.#currentAt = Math.max(this.#currentAt, atMilliseconds);
      this.#unconfirmedSince = undefined;
    } else {
      this.#unconfirmedSince ??= atMilliseconds;
    }
  }

  // --- Follower ---

  #followLeader(envelope: Envelope): void {
    this.#role = "follower";
    this.#leader = this.#getSender(envelope);
    this.#lastLeaderContactAt = this.#monotonicNow;
    this.#resetElectionTimer();
  }

  #onAppend(
    envelope: Envelope,
    message: Extract<ConsensusMessage, { kind: "append" }>,
  ): void {
    this.#followLeader(envelope);
    const majorityContactAt = this.#monotonicNow -
      message.majorityAgeMilliseconds;
    this.#lastMajorityContactAt = Math.max(
      this.#lastMajorityContactAt,
      majorityContactAt,
    );
    this.#addEntries(envelope, message);
    if (this.#isDelayed(message)) {
      this.#unconfirmedSince ??= this.#monotonicNow;
    } else {
      this.#recordCommitIndex(message.commitIndex, majorityContactAt);
    }
  }

  /**
   * Reports whether a message may have been on its way for so long, for example
   * behind large entries, that it does not show what is committed now.
   */
  #isDelayed(
    { sentAfter }: Extract<ConsensusMessage, { kind: "append" }>,
  ): boolean {
    if (sentAfter === undefined) {
      return false;
    }
    return sentAfter.bootId !== this.identity.bootId ||
      this.#monotonicNow - sentAfter.milliseconds >
        this.#timing.isolationMilliseconds;
  }

  /** Appends the entries of a message to the log, and responds to it. */
  #addEntries(
    envelope: Envelope,
    message: Extract<ConsensusMessage, { kind: "append" }>,
  ): void {
    const respond = (isSuccess: boolean, index: number) =>
      this.#sendWhenDurable(envelope, {
        kind: "appendResponse",
        isSuccess,
        index,
        round: message.round,
        canVote: this.#canVote() &&
          this.#peerStates.hasConfirmedStart(envelope),
      });
    let { previousIndex, previousTerm, entries } = message;
    // Entries up to the base index are committed and covered by a snapshot.
    if (previousIndex < this.#log.baseIndex) {
      entries = entries.filter((each) => each.index > this.#log.baseIndex);
      if (previousIndex + message.entries.length < this.#log.baseIndex) {
        return respond(true, previousIndex + message.entries.length);
      }
      previousIndex = this.#log.baseIndex;
      previousTerm = this.#log.getTerm(previousIndex) ?? 0;
    }
    if (this.#log.getTerm(previousIndex) !== previousTerm) {
      return respond(false, this.#getRetryIndex(previousIndex));
    }
    const firstNew = entries.findIndex((each) =>
      this.#log.getTerm(each.index) !== each.term
    );
    const added = firstNew < 0 ? [] : entries.slice(firstNew);
    const first = added[0];
    if (first !== undefined) {
      if (first.index <= this.#commitIndex) {
        throw new Error(
          `Entry ${first.index} differs from a committed entry`,
        );
      }
      this.#log.truncateFrom(first.index);
      this.#log.append(added);
      this.#writeBuffer.addEntries(first.index);
      this.#durableIndex = Math.min(this.#durableIndex, first.index - 1);
      this.#updateStartConfirmation();
    }
    const match = previousIndex + entries.length;
    this.#recordProgressDurably(envelope, {
      lastTerm: entries.at(-1)?.term ?? previousTerm,
      lastIndex: match,
    });
    this.#commitIndex = Math.max(
      this.#commitIndex,
      Math.min(message.commitIndex, match),
    );
    this.#deliverCommitted();
    // Includes earlier appends of this leader, whose responses may be lost.
    const index = this.#verified.term === this.term
      ? Math.max(this.#verified.index, match)
      : match;
    this.#verified = { term: this.term, index };
    respond(true, index);
  }

  /**
   * Gets the highest index at which the logs may match. It skips all entries of
   * the conflicting term, so that the leader need not probe each of them.
   */
  #getRetryIndex(previousIndex: number): number {
    const term = this.#log.getTerm(previousIndex);
    if (term === undefined) {
      return Math.min(this.#log.lastIndex, previousIndex - 1);
    }
    let retryIndex = previousIndex - 1;
    while (
      retryIndex > this.#commitIndex && this.#log.getTerm(retryIndex) === term
    ) {
      retryIndex--;
    }
    return retryIndex;
  }

  // --- Snapshots ---

  #onSnapshotChunk(
    envelope: Envelope,
    message: Extract<ConsensusMessage, { kind: "snapshotChunk" }>,
  ): void {
    this.#followLeader(envelope);
    const { info } = message;
    const respond = (nextOffset: number, isInstalled: boolean) =>
      this.#sendWhenDurable(envelope, {
        kind: "snapshotResponse",
        index: info.index,
        nextOffset,
        isInstalled,
        canVote: this.#canVote() &&
          this.#peerStates.hasConfirmedStart(envelope),
      });
    if (info.index <= this.#commitIndex) {
      return respond(0, true);
    }
    const { nextOffset, data } = this.#incomingSnapshot.add(message);
    if (data === undefined) {
      return respond(nextOffset, false);
    }
    this.#log.resetToSnapshot(info);
    this.#snapshot = info;
    this.#commitIndex = info.index;
    this.#durableIndex = info.index;
    this.#writeBuffer.addInstalledSnapshot({ info, data });
    this.#recordProgressDurably(envelope, {
      lastTerm: info.term,
      lastIndex: info.index,
    });
    this.#updateStartConfirmation();
    respond(nextOffset, true);
  }

  #onSnapshotResponse(
    envelope: Envelope,
    message: Extract<ConsensusMessage, { kind: "snapshotResponse" }>,
  ): void {
    const progress = this.#recordFollowerContact(envelope, message.canVote);
    const member = this.members.find((each) => each.id === envelope.fromId);
    if (
      progress === undefined || member === undefined ||
      progress.mode !== "snapshot" || message.index !== progress.snapshotIndex
    ) {
      return;
    }
    if (message.isInstalled) {
      this.#recordAcknowledgement(envelope, progress, message.index);
      this.#replication.onSnapshotInstalled(progress, message.index);
      this.#advanceCommit();
    } else {
      const { nextOffset } = message;
      this.#replication.sendSnapshotFrom(member, progress, nextOffset);
    }
  }

  // --- Reads ---

  #startRead(read: ReadOrigin): void {
    this.#pendingReads.add({
      ...read,
      // Earlier leaders may have committed entries that this leader holds
      // without knowing that they are committed. It knows all of them once an
      // entry of its own term is committed.
      requiredIndex: Math.max(this.#commitIndex, this.#firstIndexOfTerm),
      readRound: this.#readRound + 1,
    });
    this.#isReadRoundRequested = true;
  }

  #onReadRequest(envelope: Envelope, token: number): void {
    const { fromId, fromAddress } = envelope;
    if (this.#role === "leader") {
      this.#startRead({ token, fromId, fromAddress });
    } else {
      this.#failRead({ token, fromId, fromAddress });
    }
  }

  #completeReads(): void {
    if (
      this.#pendingReads.isEmpty || this.#commitIndex < this.#firstIndexOfTerm
    ) {
      return;
    }
    const round = this.#replication.getMajorityReadRound();
    for (
      const { token, fromId, fromAddress, requiredIndex: index } of this
        .#pendingReads.takeConfirmed(round)
    ) {
      if (fromId === "") {
        this.#events.push({ kind: "read", token, index });
      } else {
        this.#send({ id: fromId, address: fromAddress }, {
          kind: "readResponse",
          token,
          isConfirmed: true,
          index,
        });
      }
    }
  }

  #failRead(read: ReadOrigin): void {
    if (read.fromId === "") {
      this.#events.push({ kind: "readFailed", token: read.token });
      return;
    }
    this.#send({ id: read.fromId, address: read.fromAddress }, {
      kind: "readResponse",
      token: read.token,
      isConfirmed: false,
      index: 0,
    });
  }

  // --- Confirmation of a start ---

  /** Records the progress of a peer; false unless its start is confirmed. */
  #recordProgress(envelope: Envelope, position: LogPosition): boolean {
    return this.#peerStates.recordProgress(envelope, {
      term: this.term,
      ...position,
    });
  }

  /**
   * Records the progress of a leader or candidate and requires a write.
   * Messages deferred from now on wait for that write, because the peer counts
   * its own vote or entries as soon as it receives the response.
   */
  #recordProgressDurably(envelope: Envelope, position: LogPosition): boolean {
    const isRecorded = this.#recordProgress(envelope, position);
    this.#peerStates.requireWrite();
    return isRecorded;
  }

  #tickStartConfirmation(): void {
    this.#updateStartConfirmation();
    const { heartbeatMilliseconds } = this.#timing;
    if (
      this.#hardState.isRegressed ||
      !this.#startConfirmation.tryStartRequestRound(
        this.#monotonicNow,
        heartbeatMilliseconds,
      )
    ) {
      return;
    }
    // Non-voters are included, because a leader can promote only a non-voter
    // that has confirmed the leader's start.
    for (const member of this.members) {
      if (member.id !== this.identity.id) {
        this.#requestConfirmation(member);
      }
    }
    if (this.#leader !== undefined && !this.isLeader) {
      this.#requestConfirmation(this.#leader);
    }
  }

  /**
   * Requests the confirmation of this start from a peer that has not given it.
   * Requests continue after enough voters have confirmed, because a late
   * response may still deny the start, and because a candidate or leader counts
   * only instances whose start it has confirmed itself.
   */
  #requestConfirmation(peer: { id: string; address: string }): void {
    if (!this.#startConfirmation.hasConfirmationFrom(peer.id)) {
      const { start } = this.#startConfirmation;
      this.#send(peer, {
        kind: "confirmRequest",
        bootCount: this.identity.bootCount,
        startTerm: start.term,
        startLastIndex: start.lastIndex,
        startLastTerm: start.lastTerm,
      });
    }
  }

  #updateStartConfirmation(): void {
    if (this.groupId === "") {
      return;
    }
    const { isMoved } = this.#hardState;
    const confirmation = this.#startConfirmation.tryConfirm({
      members: this.members,
      ownId: this.identity.id,
      isMoved,
      nowMilliseconds: this.#monotonicNow,
    });
    if (confirmation === undefined) {
      return;
    }
    if (isMoved) {
      this.#setHardState({ isMoved: false });
    }
    this.#events.push({
      kind: "notice",
      text: "start confirmed",
      detail:
        `by ${confirmation.confirmed} of ${confirmation.others} other voters`,
    });
    if (confirmation.others === 0) {
      this.#electionTimeoutAt = this.#monotonicNow;
    } else if (confirmation.confirmed === confirmation.others) {
      this.#shortenElectionTimeout();
    }
  }

  /**
   * Shortens the election timeout after all voters have confirmed this start, or
   * after this instance has created the group. If one of them is the leader, its
   * heartbeat arrives within one interval. Otherwise the full timeout would only
   * prolong the time without a leader.
   */
  #shortenElectionTimeout(): void {
    const { heartbeatMilliseconds } = this.#timing;
    this.#electionTimeoutAt = Math.min(
      this.#electionTimeoutAt,
      this.#monotonicNow + heartbeatMilliseconds * (1 + this.#random()),
    );
  }

  #onConfirmRequest(
    envelope: Envelope,
    message: Extract<ConsensusMessage, { kind: "confirmRequest" }>,
  ): void {
    // An unknown sender may be a member whose addition is not in this log yet,
    // so it is not refused: that could leave the group without a majority of
    // confirmed starts. Its vote counts only where it is known as a voter.
    const { verdict, reason } = this.#peerStates.verifyStart(envelope.fromId, {
      bootCount: message.bootCount,
      bootId: envelope.fromBootId,
      term: message.startTerm,
      lastIndex: message.startLastIndex,
      lastTerm: message.startLastTerm,
    }, (id) => this.#isMember(id));
    this.#sendWhenDurable(envelope, {
      kind: "confirmResponse",
      bootId: envelope.fromBootId,
      verdict,
      reason,
    });
  }

  #isMember(id: string): boolean {
    return this.members.some((each) => each.id === id);
  }

  #onConfirmResponse(
    envelope: Envelope,
    message: Extract<ConsensusMessage, { kind: "confirmResponse" }>,
  ): void {
    if (message.bootId !== this.identity.bootId) {
      return;
    }
    if (message.verdict === "denied") {
      if (!this.#hardState.isRegressed) {
        this.#setHardState({ isRegressed: true });
        this.#events.push({
          kind: "notice",
          text: "start denied",
          detail: `${envelope.fromAddress}: ${message.reason}`,
        });
        this.#becomeFollower(this.term, undefined);
      }
      return;
    }
    this.#startConfirmation.recordConfirmation(envelope.fromId);
    this.#updateStartConfirmation();
  }

  // --- Bootstrap of a group ---

  #tickBootstrap(): void {
    if (this.#isMembershipDenied) {
      return;
    }
    if (this.#monotonicNow >= this.#nextHeartbeatAt) {
      this.#nextHeartbeatAt = this.#monotonicNow +
        this.#timing.heartbeatMilliseconds;
      for (const address of this.#bootstrap.getOtherAddresses()) {
        this.#send({ id: "", address }, { kind: "hello" });
      }
    }
    const members = this.#bootstrap.getMembers(this.#monotonicNow);
    if (members !== undefined) {
      this.#createGroup(members);
    }
  }

  #createGroup(members: readonly Member[]): void {
    const firstEntry: LogEntry = {
      index: 1,
      term: 1,
      timeMilliseconds: this.#wallNow,
      content: { kind: "members", members },
    };
    this.#joinGroup(createGroupId(this.#random), firstEntry);
    for (const member of this.#getOtherVoters()) {
      this.#sendWhenDurable(member, {
        kind: "helloResponse",
        isDenied: false,
        firstEntry,
      });
    }
    this.#shortenElectionTimeout();
  }

  #joinGroup(groupId: string, firstEntry: LogEntry | undefined): void {
    this.#setHardState({ groupId, term: Math.max(this.term, 1) });
    if (firstEntry !== undefined) {
      this.#log.append([firstEntry]);
      this.#writeBuffer.addEntries(1);
    }
    this.#lastLeaderContactAt = this.#monotonicNow;
    this.#lastMajorityContactAt = this.#monotonicNow;
    this.#resetElectionTimer();
    this.#updateStartConfirmation();
    if (this.#getOtherVoters().length === 0) {
      this.#electionTimeoutAt = this.#monotonicNow;
    }
    this.#events.push({
      kind: "notice",
      text: "joined group",
      detail: groupId,
    });
  }

  #receiveFromOtherGroup(envelope: Envelope): void {
    const { message } = envelope;
    if (this.groupId !== "") {
      if (message.kind === "hello") {
        this.#onHello(envelope);
      }
      return;
    }
    if (message.kind === "helloResponse") {
      const { firstEntry } = message;
      const isMember = firstEntry?.content.kind === "members" &&
        firstEntry.content.members.some((each) => each.id === this.identity.id);
      if (message.isDenied) {
        this.#isMembershipDenied = true;
        this.#events.push({
          kind: "notice",
          text: "refused by group: not a member",
          detail: envelope.fromAddress,
        });
      } else if (isMember) {
        this.#joinGroup(envelope.groupId, firstEntry);
      }
    } else if (
      // Only a leader whose members include this identity sends these messages.
      envelope.toId === this.identity.id &&
      (message.kind === "append" || message.kind === "snapshotChunk")
    ) {
      this.#joinGroup(envelope.groupId, undefined);
      this.receive(envelope);
    }
  }

  #onHello(envelope: Envelope): void {
    const isMember = this.#isMember(envelope.fromId);
    const firstEntry = this.#log.getEntry(1);
    this.#sendWhenDurable(envelope, {
      kind: "helloResponse",
      isDenied: !isMember,
      ...(isMember && firstEntry !== undefined ? { firstEntry } : {}),
    });
  }
}
