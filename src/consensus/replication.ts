import type { EntryLog } from "./entry_log.ts";
import { getEntrySize, type LogEntry, type SnapshotInfo } from "./log_entry.ts";
import { getMajority, type Member } from "./member.ts";
import type { ConsensusMessage, RecipientTime } from "./message.ts";
import { createProgress, type Progress } from "./progress.ts";
import { getTransferMilliseconds } from "./transfer_time.ts";

/** Maximum number of unacknowledged appends per member. */
const maximumInFlight = 16;

/** Keeps an append well below the default message limit of gRPC, 4 MiB. */
const maximumAppendBytes = 512 * 1024;

/** Entries by which a non-voter may be behind when it is promoted. */
const maximumPromotionLagEntries = 256;

/** Size of unacknowledged appends at which a member gets no further one. */
const maximumInFlightBytes = 1024 * 1024;

/** Time without progress after which a leader sends entries again. */
const resendTimeoutMilliseconds = 1000;

/** Size of a part of a snapshot; only the last part is smaller. */
export const snapshotChunkBytes = 512 * 1024;

/** State of the core that replication depends on. */
export interface ReplicationState {
  readonly now: number;
  readonly members: readonly Member[];
  readonly snapshot: SnapshotInfo;
  readonly durableIndex: number;
  readonly commitIndex: number;
  /** Number of the latest read round. */
  readonly readRound: number;
  /** Monotonic time at which this instance became leader. */
  readonly leaderSince: number;
}

/** Dependencies of {@link Replication}. */
export interface ReplicationOptions {
  readonly ownId: string;
  readonly log: EntryLog;
  getState(): ReplicationState;
  send(to: Member, message: ConsensusMessage): void;
  /** Called when appends were not acknowledged and are sent again. */
  onResend(to: Member, progress: Progress): void;
}

/** Replicates the leader's log to the other members. */
export class Replication {
  readonly #options: ReplicationOptions;
  readonly #progress = new Map<string, Progress>();

  /** @param options The log, access to the core's state, and `send`. */
  constructor(options: ReplicationOptions) {
    this.#options = options;
  }

  /** Discards all progress; used when the leadership begins or ends. */
  clear(): void {
    this.#progress.clear();
  }

  /** Gets the progress of another member; `undefined` if it is not a member. */
  get(id: string): Progress | undefined {
    return this.#progress.get(id);
  }

  /** Gets the progress of all other members. */
  getEntries(): Iterable<readonly [string, Progress]> {
    return this.#progress;
  }

  /** Adds and removes progress after a change of the members. */
  updateMembers(): void {
    const { ownId, log } = this.#options;
    const { members, now } = this.#options.getState();
    const ids = new Set(members.map((each) => each.id));
    for (const id of this.#progress.keys()) {
      if (!ids.has(id)) {
        this.#progress.delete(id);
      }
    }
    for (const id of ids) {
      if (id !== ownId && !this.#progress.has(id)) {
        this.#progress.set(id, createProgress(log.lastIndex + 1, now));
      }
    }
  }

  /**
   * Gets the latest time since which a majority, including this instance, has
   * responded.
   */
  getMajorityContactAt(): number {
    return this.#getMajorityValue({
      ownValue: this.#options.getState().now,
      getValue: (progress) => progress.lastContactAtMilliseconds,
      unconfirmedValue: -Infinity,
    });
  }

  /** Gets the highest index that a majority has made durable. */
  getMajorityMatchIndex(): number {
    return this.#getMajorityValue({
      ownValue: this.#options.getState().durableIndex,
      getValue: (progress) => progress.matchIndex,
      unconfirmedValue: 0,
    });
  }

  /** Gets the latest read round that a majority has echoed. */
  getMajorityReadRound(): number {
    return this.#getMajorityValue({
      ownValue: Infinity,
      getValue: (progress) => progress.readRound,
      unconfirmedValue: 0,
    });
  }

  /**
   * Reports whether the log of a non-voter is close enough for a promotion.
   * @param id Identity of the member.
   * @param firstIndexOfTerm First index of the leader's term, which the member
   * must already hold.
   */
  hasCaughtUp(id: string, firstIndexOfTerm: number): boolean {
    const progress = this.#progress.get(id);
    return progress !== undefined && progress.isStartConfirmed &&
      progress.matchIndex + maximumPromotionLagEntries >=
        this.#options.log.lastIndex &&
      progress.matchIndex >= firstIndexOfTerm;
  }

  /** Sends a heartbeat to all members, and repeats what may be lost. */
  sendHeartbeats(): void {
    for (const member of this.#options.getState().members) {
      const progress = this.#progress.get(member.id);
      if (progress !== undefined) {
        this.#sendHeartbeat(member, progress);
      }
    }
  }

  /** Sends missing entries to all members, as far as their modes allow. */
  replicate(): void {
    for (const member of this.#options.getState().members) {
      this.#replicateTo(member);
    }
  }

  /** Updates the progress of a member from its response to an append. */
  onAppendResponse(
    progress: Progress,
    response: { readonly isSuccess: boolean; readonly index: number },
  ): void {
    if (response.isSuccess) {
      this.#advance(progress, response.index);
      if (progress.mode === "probe") {
        this.#setMode(progress, "replicate", progress.matchIndex);
      }
    } else if (
      progress.mode !== "snapshot" &&
      response.index + 1 < progress.nextIndex &&
      !isAwaitingEntries(progress, response.index)
    ) {
      const last = Math.max(progress.matchIndex, response.index);
      this.#setMode(progress, "probe", last);
    }
  }

  /**
   * Sends entries again with the next heartbeats, or a part of a snapshot later.
   * @param progress Progress of the member.
   * @param message What was not delivered; ignored unless it is in flight.
   */
  onDeliveryFailed(progress: Progress, message: ConsensusMessage): void {
    if (message.kind === "snapshotChunk" && progress.mode === "snapshot") {
      // The member may be down, and each attempt reads and encodes the part.
      progress.resendTimerStartedAtMilliseconds = this.#options.getState().now -
        getTransferMilliseconds(getInFlightBytes(progress));
    }
    if (message.kind === "append") {
      const lastIndex = message.previousIndex + message.entries.length;
      const isInFlight = progress.inFlight.some((each) =>
        each.lastIndex === lastIndex
      );
      if (progress.mode === "replicate" && isInFlight) {
        this.#setMode(progress, "probe", progress.matchIndex);
      }
    }
  }

  /** Sends again what a member may have lost when it restarted. */
  onRestarted(progress: Progress): void {
    if (progress.mode === "replicate") {
      this.#setMode(progress, "probe", progress.matchIndex);
    }
    progress.resendTimerStartedAtMilliseconds = -Infinity;
  }

  /** Continues with appends after a member has installed the snapshot. */
  onSnapshotInstalled(progress: Progress, index: number): void {
    progress.mode = "probe";
    this.#advance(progress, index);
    progress.nextIndex = progress.matchIndex + 1;
  }

  /** Sends the next chunk of the snapshot that a member needs. */
  sendSnapshotFrom(
    member: Member,
    progress: Progress,
    nextOffset: number,
  ): void {
    if (nextOffset !== progress.snapshotOffset) {
      progress.snapshotOffset = nextOffset;
      this.#sendSnapshotChunk(member, progress);
    }
  }

  /** Gets the highest value that a majority of the voters has reached. */
  #getMajorityValue(options: {
    readonly ownValue: number;
    getValue(progress: Progress): number;
    /** Value to use for a voter whose start is not confirmed. */
    readonly unconfirmedValue: number;
  }): number {
    const { ownId } = this.#options;
    const { members } = this.#options.getState();
    const values = members.filter((each) => each.isVoter).map(({ id }) => {
      const progress = this.#progress.get(id);
      if (id === ownId) {
        return options.ownValue;
      }
      return progress?.isStartConfirmed
        ? options.getValue(progress)
        : options.unconfirmedValue;
    }).sort((a, b) => b - a);
    return values[getMajority(members) - 1] ?? -Infinity;
  }

  #setMode(
    progress: Progress,
    mode: "probe" | "replicate",
    lastIndex: number,
  ): void {
    progress.mode = mode;
    progress.inFlight = [];
    progress.nextIndex = lastIndex + 1;
  }

  #advance(progress: Progress, index: number): void {
    if (index > progress.matchIndex) {
      progress.matchIndex = index;
      progress.resendTimerStartedAtMilliseconds = this.#options.getState().now;
    }
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    progress.inFlight = progress.inFlight.filter((each) =>
      each.lastIndex > index
    );
  }

  #sendHeartbeat(member: Member, progress: Progress): void {
    const { log } = this.#options;
    const { now } = this.#options.getState();
    const isStalled = now - progress.resendTimerStartedAtMilliseconds >
      resendTimeoutMilliseconds +
        getTransferMilliseconds(getInFlightBytes(progress));
    if (
      isStalled && progress.mode === "replicate" && progress.inFlight.length > 0
    ) {
      this.#options.onResend(member, progress);
      this.#setMode(progress, "probe", progress.matchIndex);
      progress.resendTimerStartedAtMilliseconds = now;
    }
    if (progress.mode === "snapshot") {
      this.#sendAppend(member, { from: 1, entries: [] });
      if (isStalled) {
        this.#sendSnapshotChunk(member, progress);
      }
      return;
    }
    if (progress.mode === "probe") {
      progress.inFlight = [];
      this.#replicateTo(member);
      return;
    }
    // Entries in flight may arrive later than this message, so it follows the
    // entries that the member is known to hold.
    const previousIndex = Math.max(progress.matchIndex, log.baseIndex);
    this.#sendAppend(member, { from: previousIndex + 1, entries: [] });
  }

  #replicateTo(member: Member): void {
    const { log } = this.#options;
    const { now, snapshot, durableIndex } = this.#options.getState();
    const progress = this.#progress.get(member.id);
    if (progress === undefined || progress.mode === "snapshot") {
      return;
    }
    if (progress.nextIndex <= log.baseIndex) {
      progress.mode = "snapshot";
      progress.snapshotIndex = snapshot.index;
      progress.snapshotOffset = 0;
      progress.inFlight = [];
      this.#sendSnapshotChunk(member, progress);
      return;
    }
    if (progress.mode === "probe") {
      // A probe carries no entries: the member rejects them if it lacks the
      // preceding ones, and may be unable to process them, for example if its
      // release does not support the kind of an entry.
      if (progress.inFlight.length === 0) {
        this.#sendAppend(member, { from: progress.nextIndex, entries: [] });
        progress.inFlight.push({ lastIndex: progress.nextIndex - 1, bytes: 0 });
      }
      return;
    }
    while (
      progress.inFlight.length < maximumInFlight &&
      getInFlightBytes(progress) < maximumInFlightBytes &&
      progress.nextIndex <= durableIndex
    ) {
      // Only durable entries are sent. Followers record the position that the
      // leader sent, so if a crash of the leader lost such an entry, they would
      // deny its next start as one with an older disk.
      const entries = log.getEntries(progress.nextIndex, {
        to: durableIndex,
        maximumBytes: maximumAppendBytes,
      });
      this.#sendAppend(member, { from: progress.nextIndex, entries });
      if (progress.inFlight.length === 0) {
        progress.resendTimerStartedAtMilliseconds = now;
      }
      progress.nextIndex += entries.length;
      progress.inFlight.push({
        lastIndex: progress.nextIndex - 1,
        bytes: entries.reduce((sum, each) => sum + getEntrySize(each), 0),
      });
    }
  }

  #sendAppend(
    member: Member,
    options: { from: number; entries: readonly LogEntry[] },
  ): void {
    const { log, send } = this.#options;
    const { commitIndex, readRound, now, leaderSince } = this.#options
      .getState();
    const majorityContactAt = Math.max(
      this.getMajorityContactAt(),
      leaderSince,
    );
    const previousIndex = options.from - 1;
    send(member, {
      kind: "append",
      previousIndex,
      previousTerm: previousIndex === 0 ? 0 : log.getTerm(previousIndex) ?? 0,
      entries: options.entries,
      commitIndex,
      round: readRound,
      majorityAgeMilliseconds: Math.max(0, Math.round(now - majorityContactAt)),
      sentAfter: this.#getRecipientTime(member),
    });
  }

  /**
   * Gets a time that the clock of a member has passed. The clock is ahead of it by
   * the time that the last response of the member was on its way.
   */
  #getRecipientTime({ id }: Member): RecipientTime {
    const response = this.#progress.get(id)?.lastResponse;
    if (response === undefined) {
      return { bootId: "", milliseconds: 0 };
    }
    const { sentAt, receivedAtMilliseconds } = response;
    const { now } = this.#options.getState();
    const elapsed = Math.floor(now - receivedAtMilliseconds);
    return { ...sentAt, milliseconds: sentAt.milliseconds + elapsed };
  }

  #sendSnapshotChunk(member: Member, progress: Progress): void {
    const { now, snapshot } = this.#options.getState();
    if (progress.snapshotIndex !== snapshot.index) {
      progress.snapshotIndex = snapshot.index;
      progress.snapshotOffset = 0;
    }
    progress.resendTimerStartedAtMilliseconds = now;
    this.#options.send(member, {
      kind: "snapshotChunk",
      info: snapshot,
      offset: progress.snapshotOffset,
      data: new Uint8Array(),
      isLast: false,
    });
  }
}

function getInFlightBytes({ mode, inFlight }: Progress): number {
  return mode === "snapshot"
    ? snapshotChunkBytes
    : inFlight.reduce((sum, { bytes }) => sum + bytes, 0);
}

/**
 * Reports whether a rejection is explained by appends that have not arrived yet.
 * @param progress Progress of the member.
 * @param lastIndex Last index that the member holds, from its response.
 */
function isAwaitingEntries(progress: Progress, lastIndex: number): boolean {
  return progress.mode === "replicate" && progress.inFlight.length > 0 &&
    lastIndex >= progress.matchIndex;
}
