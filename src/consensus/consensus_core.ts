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

/** Time for which the leader's answer to a read is waited for. */
const forwardedReadMilliseconds = 1000;

type ReadOrigin = Pick<PendingRead, "token" | "fromId" | "fromAddress">;

/**
 * The replication protocol without socket, file or clock: messages, times and
 * finished writes come in; messages, writes and events go out.
 */
export class ConsensusCore {
  readonly identity: Identity;
  readonly #address: string;
  readonly #founding: GroupBootstrap;
  readonly #random: RandomSource;
  readonly #timing: ConsensusTiming;
  #now: number;
  #wall: number;

  #hardState: HardState;
  #snapshot: SnapshotInfo;
  readonly #log: EntryLog;
  readonly #peers: PeerStateTable;
  #commitIndex: number;
  /** Highest index handed out as committed. */
  #deliveredIndex: number;
  #durableIndex: number;

  #role: "follower" | "pre-candidate" | "candidate" | "leader" = "follower";
  #leader: { id: string; address: string } | undefined;
  #heardLeaderAt: number;
  /** Time at which the leader, as far as it told, last heard a majority. */
  #majorityHeardAt: number;
  #electionAt = 0;
  #nextHeartbeatAt = 0;
  #votes = new Set<string>();
  readonly #replication: Replication;
  #leaderSince = 0;
  #firstIndexOfTerm = 0;

  readonly #confirmation: StartConfirmation;
  #isMembershipDenied = false;

  #round = 0;
  /** True when reads wait for the next round to start. */
  #isRoundDue = false;
  readonly #reads = new PendingReads();
  readonly #incoming = new IncomingSnapshot();

  #messages: Envelope[] = [];
  #events: CoreEvent[] = [];
  readonly #writes = new WriteBuffer();

  /**
   * @param state What the data folder holds.
   * @param options Address, initial members, randomness and time.
   */
  constructor(state: PersistedState, options: CoreOptions) {
    this.identity = state.identity;
    this.#address = options.address;
    this.#random = options.random;
    this.#timing = options.timing ?? defaultTiming;
    this.#now = options.time.monotonicMilliseconds;
    this.#wall = options.time.wallMilliseconds;
    this.#hardState = state.hardState;
    this.#snapshot = state.snapshot;
    this.#log = new EntryLog(state.snapshot, state.entries);
    this.#peers = new PeerStateTable(state.peers);
    this.#commitIndex = state.snapshot.index;
    this.#deliveredIndex = state.snapshot.index;
    this.#durableIndex = this.#log.lastIndex;
    this.#heardLeaderAt = this.#now;
    this.#majorityHeardAt = this.#now;
    this.#founding = new GroupBootstrap({
      identity: state.identity,
      address: options.address,
      initialMembers: options.initialMembers,
      helloMilliseconds: this.#timing.isolationMilliseconds,
    });
    this.#confirmation = new StartConfirmation({
      start: {
        term: state.hardState.term,
        lastTerm: this.#log.lastTerm,
        lastIndex: this.#log.lastIndex,
      },
      isNewIdentity: state.hardState.groupId === "" &&
        state.identity.bootCount === 1,
      nowMilliseconds: this.#now,
      waitMilliseconds: this.#timing.confirmationMilliseconds,
    });
    this.#replication = new Replication({
      ownId: state.identity.id,
      log: this.#log,
      getState: () => ({
        now: this.#now,
        members: this.members,
        snapshot: this.#snapshot,
        durableIndex: this.#durableIndex,
        commitIndex: this.#commitIndex,
        round: this.#round,
        leaderSince: this.#leaderSince,
      }),
      send: (to, message) => this.#send(to, message),
    });
    this.#resetElectionTimer();
    this.#updateConfirmation();
  }

  // --- State that others may look at ---

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
  /** True when a hello was refused because the group has other members. */
  get isMembershipDenied(): boolean {
    return this.#isMembershipDenied;
  }

  /** Gets the part that this instance plays. */
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
    if (!this.#confirmation.isConfirmed) {
      return "recovering";
    }
    return this.#role === "follower" ? "follower" : "candidate";
  }

  /**
   * Reports whether this instance heard too little to call its state current.
   * @param nowMilliseconds Monotonic time.
   */
  isIsolated(nowMilliseconds: number): boolean {
    const heardAt = this.#role === "leader"
      ? Math.max(this.#replication.getMajorityHeardAt(), this.#leaderSince)
      : this.#majorityHeardAt;
    return nowMilliseconds - heardAt > this.#timing.isolationMilliseconds;
  }

  /** Gets how far each member is, as known to a leader. */
  getMatchIndexes(): ReadonlyMap<string, number> {
    const indexes = new Map<string, number>();
    for (const [id, progress] of this.#replication.getEntries()) {
      indexes.set(id, progress.matchIndex);
    }
    indexes.set(this.identity.id, this.#durableIndex);
    return indexes;
  }

  /**
   * Gets how long each other member has been silent, as known to a leader. One
   * that was never heard counts from the start of the leadership.
   * @param nowMilliseconds Monotonic time.
   */
  getSilences(nowMilliseconds: number): ReadonlyMap<string, number> {
    const silences = new Map<string, number>();
    for (
      const [id, { heardAtMilliseconds }] of this.#replication.getEntries()
    ) {
      const since = Math.max(heardAtMilliseconds, this.#leaderSince);
      silences.set(id, nowMilliseconds - since);
    }
    silences.delete(this.identity.id);
    return silences;
  }

  // --- Inputs ---

  /** Sets the time of the inputs that follow. */
  setTime(time: CoreTime): void {
    this.#now = Math.max(this.#now, time.monotonicMilliseconds);
    this.#wall = time.wallMilliseconds;
  }

  /** Starts what is due: elections, heartbeats, resends, questions. */
  tick(): void {
    if (this.#hardState.groupId === "") {
      this.#tickUnformed();
      return;
    }
    this.#tickConfirmation();
    if (this.#role === "leader") {
      this.#tickLeader();
    } else if (
      this.#now >= this.#electionAt && this.#canVote() &&
      isVoter(this.members, this.identity.id)
    ) {
      this.#startPreVote();
    }
    for (const token of this.#reads.takeExpired(this.#now)) {
      this.#events.push({ kind: "readFailed", token });
    }
  }

  /**
   * Appends commands on the leader.
   * @returns The first index and the term, or a refusal.
   */
  propose(
    commands: readonly Uint8Array[],
  ): { kind: "appended"; index: number; term: number } | CoreRefusal {
    if (this.#role !== "leader") {
      return { kind: "not-leader" };
    }
    const index = this.#log.lastIndex + 1;
    for (const command of commands) {
      this.#appendOwn({ kind: "command", command });
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
    // Without an entry of its own term committed, a leader does not know
    // whether an earlier change is still under way.
    if (
      this.#commitIndex < this.#firstIndexOfTerm ||
      this.#log.membersIndex > this.#commitIndex
    ) {
      return refuse("another change of members is under way");
    }
    const changed = applyMemberChange(
      this.members,
      change,
      (id) => this.#replication.hasCaughtUp(id, this.#firstIndexOfTerm),
    );
    if (changed.kind === "error") {
      return refuse(changed.error);
    }
    const members = changed.value;
    const index = this.#appendOwn({ kind: "members", members });
    this.#replication.updateMembers();
    return { kind: "appended", index, term: this.term };
  }

  /**
   * Starts a read; a `read` or `readFailed` event with the token follows.
   * @param token Chosen by the caller, unique in this start.
   */
  requestRead(token: number): void {
    if (this.#role === "leader") {
      this.#startRead({ token, fromId: "", fromAddress: "" });
    } else if (this.#leader === undefined) {
      this.#events.push({ kind: "readFailed", token });
    } else {
      this.#reads.addForwarded(token, this.#now + forwardedReadMilliseconds);
      this.#send(this.#leader, { kind: "readRequest", token });
    }
  }

  /**
   * Records that the state machine wrote its state at an applied index.
   * @param index An index not above the applied one.
   * @param options The bytes, and how many entries to keep for slow members.
   */
  recordSnapshot(
    index: number,
    options: { data: Uint8Array; keepEntries: number },
  ): void {
    if (index <= this.#snapshot.index || index > this.#commitIndex) {
      return;
    }
    const info = this.#log.describeSnapshot(index);
    this.#snapshot = info;
    this.#writes.addSnapshot({ info, data: options.data });
    this.#log.discardTo(Math.max(0, index - options.keepEntries));
  }

  /** Takes a message in. */
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
        this.#founding.onHello(envelope, this.#now);
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
        if (this.#reads.removeForwarded(message.token)) {
          this.#events.push(
            message.isConfirmed
              ? { kind: "read", token: message.token, index: message.index }
              : { kind: "readFailed", token: message.token },
          );
        }
        return;
    }
  }

  /** Takes in that a write is durable. */
  onStored(sequence: number): void {
    const write = this.#writes.finishOrThrow(sequence);
    if (this.#log.getTerm(write.lastIndex) === write.lastTerm) {
      this.#durableIndex = Math.max(
        this.#snapshot.index,
        Math.min(write.lastIndex, (this.#writes.from ?? Infinity) - 1),
      );
    }
    if (write.restore !== undefined) {
      this.#events.push({ kind: "restore", ...write.restore });
      this.#deliveredIndex = Math.max(
        this.#deliveredIndex,
        write.restore.info.index,
      );
    }
    // A message of an earlier term would speak for a state that this
    // instance has left.
    for (const envelope of write.held) {
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

  /** Takes the messages that may be sent now. */
  takeMessages(): Envelope[] {
    if (this.#role === "leader") {
      this.#replication.replicate();
      if (this.#isRoundDue) {
        this.#round++;
        this.#replication.sendHeartbeats();
        this.#completeReads();
      }
    }
    this.#isRoundDue = false;
    this.#messages.push(...this.#writes.takeHeld(this.#peers));
    const messages = this.#messages;
    this.#messages = [];
    return messages;
  }

  /** Takes the events since the last time. */
  takeEvents(): CoreEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }

  /** Takes the next write; none while one is under way. */
  takeStorageRequest(): StorageRequest | undefined {
    return this.#writes.take({
      hardState: this.#hardState,
      peers: this.#peers,
      lastIndex: this.#log.lastIndex,
      lastTerm: this.#log.lastTerm,
      baseIndex: this.#log.baseIndex,
      getEntries: (from) => this.#log.getEntries(from),
    });
  }

  // --- Terms and roles ---

  #setHardState(change: Partial<HardState>): void {
    this.#hardState = { ...this.#hardState, ...change };
    this.#writes.addHardState();
  }

  #canVote(): boolean {
    return this.#confirmation.isConfirmed && !this.#hardState.isRegressed;
  }

  #resetElectionTimer(): void {
    const { electionMilliseconds } = this.#timing;
    this.#electionAt = this.#now + electionMilliseconds +
      this.#random() * electionMilliseconds;
  }

  /** Follows the term of a message; false when it must be dropped. */
  #acceptTerm({ term, message, ...envelope }: Envelope): boolean {
    const isQuestion = message.kind === "preVoteRequest" ||
      message.kind === "confirmRequest" ||
      message.kind === "confirmResponse" ||
      (message.kind === "preVoteResponse" && message.isGranted);
    if (isQuestion) {
      return true;
    }
    if (term > this.term) {
      if (message.kind === "voteRequest" && this.#hearsLeader()) {
        return false;
      }
      const leads = message.kind === "append" ||
        message.kind === "snapshotChunk";
      this.#becomeFollower(
        term,
        leads
          ? { id: envelope.fromId, address: envelope.fromAddress }
          : undefined,
      );
      return true;
    }
    if (term < this.term) {
      // The response carries the newer term, so that a stale leader or
      // candidate stops.
      if (message.kind === "append" || message.kind === "snapshotChunk") {
        this.#hold(envelope, {
          kind: "appendResponse",
          isSuccess: false,
          index: 0,
          round: 0,
          canVote: this.#canVote(),
        });
      } else if (message.kind === "voteRequest") {
        this.#hold(envelope, { kind: "voteResponse", isGranted: false });
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
      this.#incoming.clear();
    }
    this.#role = "follower";
    this.#leader = leader;
    if (wasLeader) {
      this.#reads.takeAll().forEach((read) => this.#failRead(read));
      this.#majorityHeardAt = Math.max(
        this.#majorityHeardAt,
        this.#replication.getMajorityHeardAt(),
      );
      this.#replication.clear();
      this.#resetElectionTimer();
      this.#events.push({ kind: "leadershipLost" });
    }
  }

  #hearsLeader(): boolean {
    return this.#role === "leader" ||
      (this.#leader !== undefined &&
        this.#now - this.#heardLeaderAt < this.#timing.electionMilliseconds);
  }

  #isUpToDate(message: { lastIndex: number; lastTerm: number }): boolean {
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
      this.#campaign();
      return;
    }
    for (const member of this.#otherVoters()) {
      this.#send(member, {
        kind: "preVoteRequest",
        lastIndex: this.#log.lastIndex,
        lastTerm: this.#log.lastTerm,
      }, this.term + 1);
    }
  }

  #campaign(): void {
    this.#role = "candidate";
    this.#leader = undefined;
    this.#votes = new Set();
    this.#setHardState({ term: this.term + 1, votedFor: this.identity.id });
    this.#resetElectionTimer();
    for (const member of this.#otherVoters()) {
      this.#hold(member, {
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
      !this.#hearsLeader() && this.#isUpToDate(message);
    if (isGranted) {
      // The candidate may be a new voter that this log does not know yet.
      this.#askConfirmation(this.#senderOf(envelope));
    }
    this.#send(
      this.#senderOf(envelope),
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
        this.#campaign();
      }
    }
  }

  #onVoteRequest(
    envelope: Envelope,
    message: { lastIndex: number; lastTerm: number },
  ): void {
    const { votedFor } = this.#hardState;
    // A vote of the start's term that is not on the disk may have been given
    // before the disk went back, so a new one could be the second.
    const isFree = votedFor === "" && this.term > this.#confirmation.start.term;
    const isGranted = this.#canVote() && this.#role !== "leader" &&
      (isFree || votedFor === envelope.fromId) &&
      this.#isUpToDate(message) &&
      // A candidate votes for itself, which must be held against it when it
      // starts again with an older disk.
      this.#rememberNow(envelope, emptyPosition);
    if (isGranted) {
      if (votedFor === "") {
        this.#setHardState({ votedFor: envelope.fromId });
      }
      this.#resetElectionTimer();
    }
    this.#hold(this.#senderOf(envelope), { kind: "voteResponse", isGranted });
  }

  #onVoteResponse(envelope: Envelope, message: { isGranted: boolean }): void {
    if (this.#role !== "candidate" || !message.isGranted) {
      return;
    }
    // A vote counts only if it can be held against the voter when it starts
    // again with an older disk.
    if (this.#remember(envelope, emptyPosition)) {
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
    this.#leaderSince = this.#now;
    this.#replication.clear();
    this.#reads.takeAll();
    this.#replication.updateMembers();
    this.#firstIndexOfTerm = this.#appendOwn({ kind: "empty" });
    this.#nextHeartbeatAt = this.#now;
    this.#events.push({
      kind: "notice",
      text: "became leader",
      detail: `term ${this.term}`,
    });
    this.#tickLeader();
  }

  #otherVoters(): Member[] {
    return this.members.filter((each) =>
      each.isVoter && each.id !== this.identity.id
    );
  }

  // --- Messages ---

  #senderOf(envelope: Envelope): { id: string; address: string } {
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

  /** Sends once everything that is now in memory is durable. */
  #hold(
    to: { id: string; address: string } | {
      fromId: string;
      fromAddress: string;
    },
    message: ConsensusMessage,
  ): void {
    this.#writes.hold(this.#createEnvelope(to, message, this.term));
  }

  // --- Leader ---

  #appendOwn(content: EntryContent): number {
    const index = this.#log.lastIndex + 1;
    this.#log.append([{
      index,
      term: this.term,
      timeMilliseconds: Math.max(this.#wall, this.#log.lastTimeMilliseconds),
      content,
    }]);
    this.#writes.addEntries(index);
    return index;
  }

  #tickLeader(): void {
    if (
      this.#now -
          Math.max(this.#replication.getMajorityHeardAt(), this.#leaderSince) >
        this.#timing.isolationMilliseconds
    ) {
      this.#events.push({
        kind: "notice",
        text: "leader hears no majority",
        detail: `term ${this.term}`,
      });
      this.#becomeFollower(this.term, undefined);
      return;
    }
    if (this.#now < this.#nextHeartbeatAt) {
      return;
    }
    this.#nextHeartbeatAt = this.#now + this.#timing.heartbeatMilliseconds;
    this.#peers.makeDue();
    this.#replication.sendHeartbeats();
  }

  #onAppendResponse(
    envelope: Envelope,
    message: {
      isSuccess: boolean;
      index: number;
      round: number;
      canVote: boolean;
    },
  ): void {
    const progress = this.#onFollowerResponse(envelope, message.canVote);
    if (progress === undefined) {
      return;
    }
    progress.round = Math.max(progress.round, message.round);
    this.#completeReads();
    if (message.isSuccess) {
      this.#rememberAcknowledged(envelope, progress, message.index);
    }
    this.#replication.onAppendResponse(progress, message);
    if (message.isSuccess) {
      this.#advanceCommit();
    }
  }

  /** Records that a member responded; `undefined` when it is of no concern. */
  #onFollowerResponse(
    envelope: Envelope,
    canVote: boolean,
  ): Progress | undefined {
    const progress = this.#replication.get(envelope.fromId);
    if (this.#role !== "leader" || progress === undefined) {
      return undefined;
    }
    progress.heardAtMilliseconds = this.#now;
    progress.isTrusted = canVote &&
      this.#peers.knowsStart(envelope);
    return progress;
  }

  /** Keeps that a member acknowledged the entries up to an index. */
  #rememberAcknowledged(
    envelope: Envelope,
    progress: Progress,
    index: number,
  ): void {
    if (progress.isTrusted) {
      // An entry whose term is not held any more is committed without this
      // acknowledgement.
      const lastTerm = this.#log.getTerm(index);
      this.#remember(
        envelope,
        lastTerm === undefined ? emptyPosition : { lastTerm, lastIndex: index },
      );
    }
  }

  #advanceCommit(): void {
    const index = this.#replication.getMajorityIndex();
    if (
      index > this.#commitIndex && this.#log.getTerm(index) === this.term
    ) {
      this.#commitIndex = index;
      this.#deliverCommitted();
      this.#completeReads();
      const isMember = this.members.some((each) =>
        each.id === this.identity.id && each.isVoter
      );
      if (!isMember && this.#log.membersIndex <= index) {
        // Sends the commit index to the others before it steps down.
        this.#nextHeartbeatAt = this.#now;
        this.#tickLeader();
        this.#becomeFollower(this.term, undefined);
      }
    }
  }

  #deliverCommitted(): void {
    if (this.#writes.isRestoring) {
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

  // --- Follower ---

  #followLeader(envelope: Envelope): void {
    this.#role = "follower";
    this.#leader = this.#senderOf(envelope);
    this.#heardLeaderAt = this.#now;
    this.#resetElectionTimer();
  }

  #onAppend(
    envelope: Envelope,
    message: Extract<ConsensusMessage, { kind: "append" }>,
  ): void {
    this.#followLeader(envelope);
    this.#majorityHeardAt = Math.max(
      this.#majorityHeardAt,
      this.#now - message.majorityAgeMilliseconds,
    );
    const respond = (isSuccess: boolean, index: number) =>
      this.#hold(envelope, {
        kind: "appendResponse",
        isSuccess,
        index,
        round: message.round,
        canVote: this.#canVote() && this.#peers.knowsStart(envelope),
      });
    let { previousIndex, previousTerm, entries } = message;
    // Entries up to the base are committed and in a snapshot.
    if (previousIndex < this.#log.baseIndex) {
      entries = entries.filter((each) => each.index > this.#log.baseIndex);
      if (previousIndex + message.entries.length < this.#log.baseIndex) {
        return respond(true, previousIndex + message.entries.length);
      }
      previousIndex = this.#log.baseIndex;
      previousTerm = this.#log.getTerm(previousIndex) ?? 0;
    }
    if (this.#log.getTerm(previousIndex) !== previousTerm) {
      return respond(false, this.#getHint(previousIndex));
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
      this.#writes.addEntries(first.index);
      this.#durableIndex = Math.min(this.#durableIndex, first.index - 1);
      this.#updateConfirmation();
    }
    const match = previousIndex + entries.length;
    this.#rememberNow(envelope, {
      lastTerm: entries.at(-1)?.term ?? previousTerm,
      lastIndex: match,
    });
    this.#commitIndex = Math.max(
      this.#commitIndex,
      Math.min(message.commitIndex, match),
    );
    this.#deliverCommitted();
    respond(true, match);
  }

  /** Gets an index before the entries of the term that conflicts. */
  #getHint(previousIndex: number): number {
    const term = this.#log.getTerm(previousIndex);
    if (term === undefined) {
      return Math.min(this.#log.lastIndex, previousIndex - 1);
    }
    let hint = previousIndex - 1;
    while (hint > this.#commitIndex && this.#log.getTerm(hint) === term) {
      hint--;
    }
    return hint;
  }

  // --- Snapshots ---

  #onSnapshotChunk(
    envelope: Envelope,
    message: Extract<ConsensusMessage, { kind: "snapshotChunk" }>,
  ): void {
    this.#followLeader(envelope);
    const { info } = message;
    const respond = (nextOffset: number, isInstalled: boolean) =>
      this.#hold(envelope, {
        kind: "snapshotResponse",
        index: info.index,
        nextOffset,
        isInstalled,
        canVote: this.#canVote() && this.#peers.knowsStart(envelope),
      });
    if (info.index <= this.#commitIndex) {
      return respond(0, true);
    }
    const { nextOffset, data } = this.#incoming.add(message);
    if (data === undefined) {
      return respond(nextOffset, false);
    }
    this.#log.reset(info);
    this.#snapshot = info;
    this.#commitIndex = info.index;
    this.#durableIndex = info.index;
    this.#writes.addRestore({ info, data });
    this.#rememberNow(envelope, {
      lastTerm: info.term,
      lastIndex: info.index,
    });
    this.#updateConfirmation();
    respond(nextOffset, true);
  }

  #onSnapshotResponse(
    envelope: Envelope,
    message: Extract<ConsensusMessage, { kind: "snapshotResponse" }>,
  ): void {
    const progress = this.#onFollowerResponse(envelope, message.canVote);
    const member = this.members.find((each) => each.id === envelope.fromId);
    if (
      progress === undefined || member === undefined ||
      progress.mode !== "snapshot" || message.index !== progress.snapshotIndex
    ) {
      return;
    }
    if (message.isInstalled) {
      this.#rememberAcknowledged(envelope, progress, message.index);
      this.#replication.onSnapshotInstalled(progress, message.index);
      this.#advanceCommit();
    } else {
      const { nextOffset } = message;
      this.#replication.sendSnapshotFrom(member, progress, nextOffset);
    }
  }

  // --- Reads ---

  #startRead(read: ReadOrigin): void {
    this.#reads.add({
      ...read,
      // Until an entry of this term is committed, earlier leaders may have
      // committed more than this one knows.
      index: Math.max(this.#commitIndex, this.#firstIndexOfTerm),
      round: this.#round + 1,
    });
    this.#isRoundDue = true;
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
    if (this.#reads.isEmpty || this.#commitIndex < this.#firstIndexOfTerm) {
      return;
    }
    const round = this.#replication.getMajorityRound();
    for (
      const { token, fromId, fromAddress, index } of this.#reads.takeDone(round)
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

  /** Keeps what a peer promised; false when its start is not confirmed here. */
  #remember(envelope: Envelope, position: LogPosition): boolean {
    return this.#peers.remember(envelope, { term: this.term, ...position });
  }

  /**
   * Keeps what a leader or candidate promised. The messages held from now on
   * wait until it is durable: the peer counts itself together with them.
   */
  #rememberNow(envelope: Envelope, position: LogPosition): boolean {
    const isKnown = this.#remember(envelope, position);
    this.#peers.makeDue();
    return isKnown;
  }

  #tickConfirmation(): void {
    this.#updateConfirmation();
    const { heartbeatMilliseconds } = this.#timing;
    if (
      this.#hardState.isRegressed ||
      !this.#confirmation.takeQuestion(this.#now, heartbeatMilliseconds)
    ) {
      return;
    }
    // Non-voters too: one that does not know this start cannot be promoted by
    // this instance as leader.
    for (const member of this.members) {
      if (member.id !== this.identity.id) {
        this.#askConfirmation(member);
      }
    }
    if (this.#leader !== undefined && !this.isLeader) {
      this.#askConfirmation(this.#leader);
    }
  }

  /**
   * Asks for confirmation of this start unless it was given. Every member is
   * asked, also after the majority: one that answers late may still deny, and
   * candidates and leaders count only starts that they confirmed themselves.
   */
  #askConfirmation(peer: { id: string; address: string }): void {
    if (!this.#confirmation.has(peer.id)) {
      const { start } = this.#confirmation;
      this.#send(peer, {
        kind: "confirmRequest",
        bootCount: this.identity.bootCount,
        startTerm: start.term,
        startLastIndex: start.lastIndex,
        startLastTerm: start.lastTerm,
      });
    }
  }

  #updateConfirmation(): void {
    if (this.groupId === "") {
      return;
    }
    const { isMoved } = this.#hardState;
    const decided = this.#confirmation.decide({
      members: this.members,
      ownId: this.identity.id,
      isMoved,
      nowMilliseconds: this.#now,
    });
    if (decided === undefined) {
      return;
    }
    if (isMoved) {
      this.#setHardState({ isMoved: false });
    }
    this.#events.push({
      kind: "notice",
      text: "start confirmed",
      detail: `by ${decided.confirmed} of ${decided.others} other voters`,
    });
    if (decided.others === 0) {
      this.#electionAt = this.#now;
    } else if (decided.confirmed === decided.others) {
      this.#hurryElection();
    }
  }

  /**
   * All voters are there. A leader among them is heard within a heartbeat, and
   * without one there is no reason to wait for the election timeout.
   */
  #hurryElection(): void {
    const { heartbeatMilliseconds } = this.#timing;
    this.#electionAt = Math.min(
      this.#electionAt,
      this.#now + heartbeatMilliseconds * (1 + this.#random()),
    );
  }

  #onConfirmRequest(
    envelope: Envelope,
    message: Extract<ConsensusMessage, { kind: "confirmRequest" }>,
  ): void {
    // A member that this instance has not heard of yet is judged like any
    // other: its vote counts only where it is known as a voter, and refusing
    // it here could leave a group without a majority of confirmed starts.
    const { verdict, reason } = this.#peers.judge(envelope.fromId, {
      bootCount: message.bootCount,
      bootId: envelope.fromBootId,
      term: message.startTerm,
      lastIndex: message.startLastIndex,
      lastTerm: message.startLastTerm,
    }, (id) => this.#isMember(id));
    this.#hold(envelope, {
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
    this.#confirmation.add(envelope.fromId);
    this.#updateConfirmation();
  }

  // --- Forming a group ---

  #tickUnformed(): void {
    if (this.#isMembershipDenied) {
      return;
    }
    if (this.#now >= this.#nextHeartbeatAt) {
      this.#nextHeartbeatAt = this.#now + this.#timing.heartbeatMilliseconds;
      for (const address of this.#founding.getOtherAddresses()) {
        this.#send({ id: "", address }, { kind: "hello" });
      }
    }
    const members = this.#founding.getMembers(this.#now);
    if (members !== undefined) {
      this.#join(createGroupId(this.#random), {
        index: 1,
        term: 1,
        timeMilliseconds: this.#wall,
        content: { kind: "members", members },
      });
    }
  }

  #join(groupId: string, firstEntry: LogEntry | undefined): void {
    this.#setHardState({ groupId, term: Math.max(this.term, 1) });
    if (firstEntry !== undefined) {
      this.#log.append([firstEntry]);
      this.#writes.addEntries(1);
    }
    this.#heardLeaderAt = this.#now;
    this.#majorityHeardAt = this.#now;
    this.#resetElectionTimer();
    this.#updateConfirmation();
    if (this.#otherVoters().length === 0) {
      this.#electionAt = this.#now;
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
          text: "group has other members",
          detail: envelope.fromAddress,
        });
      } else if (isMember) {
        this.#join(envelope.groupId, firstEntry);
      }
    } else if (
      // Only a leader that has this identity as a member sends these to it.
      envelope.toId === this.identity.id &&
      (message.kind === "append" || message.kind === "snapshotChunk")
    ) {
      this.#join(envelope.groupId, undefined);
      this.receive(envelope);
    }
  }

  #onHello(envelope: Envelope): void {
    const isMember = this.#isMember(envelope.fromId);
    const firstEntry = this.#log.getEntry(1);
    this.#hold(envelope, {
      kind: "helloResponse",
      isDenied: !isMember,
      ...(isMember && firstEntry !== undefined ? { firstEntry } : {}),
    });
  }
}
