import type { EntryLog } from "./entry_log.ts";
import type { LogEntry, SnapshotInfo } from "./log_entry.ts";
import { getMajority, type Member } from "./member.ts";
import type { ConsensusMessage } from "./message.ts";
import { createProgress, type Progress } from "./progress.ts";

/** Appends that may be unacknowledged per member. */
const maximumInFlight = 16;

/** Keeps an append with its headers well below the 4 MiB default of gRPC. */
const maximumAppendBytes = 512 * 1024;

/** A non-voter this close to the leader's log may become a voter. */
const maximumPromotionLagEntries = 256;

/** Time without progress after which a leader sends again. */
const resendTimeoutMilliseconds = 1000;

/** State of the core that replication reads. */
export interface ReplicationState {
  readonly now: number;
  readonly members: readonly Member[];
  readonly snapshot: SnapshotInfo;
  readonly durableIndex: number;
  readonly commitIndex: number;
  /** Current round of reads. */
  readonly readRound: number;
  /** Time at which the leadership began. */
  readonly leaderSince: number;
}

/** What {@link Replication} works with. */
export interface ReplicationOptions {
  readonly ownId: string;
  readonly log: EntryLog;
  getState(): ReplicationState;
  send(to: Member, message: ConsensusMessage): void;
}

/** Brings the logs of the other members in line with the leader's. */
export class Replication {
  readonly #options: ReplicationOptions;
  readonly #progress = new Map<string, Progress>();

  /** @param options The log, the core's state and how to send. */
  constructor(options: ReplicationOptions) {
    this.#options = options;
  }

  /** Forgets all progress, when a leadership begins or ends. */
  clear(): void {
    this.#progress.clear();
  }

  /** Gets the progress of another member; `undefined` for others. */
  get(id: string): Progress | undefined {
    return this.#progress.get(id);
  }

  /** Gets the progress of all other members. */
  getEntries(): Iterable<readonly [string, Progress]> {
    return this.#progress;
  }

  /** Follows a change of the members. */
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

  /** Gets the time since which a majority, itself included, was heard. */
  getMajorityContactAt(): number {
    return this.#getMajorityValue({
      ownValue: this.#options.getState().now,
      getValue: (progress) => progress.lastContactAtMilliseconds,
      unconfirmedValue: -Infinity,
    });
  }

  /** Gets the highest index that a majority holds durably. */
  getMajorityMatchIndex(): number {
    return this.#getMajorityValue({
      ownValue: this.#options.getState().durableIndex,
      getValue: (progress) => progress.matchIndex,
      unconfirmedValue: 0,
    });
  }

  /** Gets the highest round of reads that a majority echoed. */
  getMajorityReadRound(): number {
    return this.#getMajorityValue({
      ownValue: Infinity,
      getValue: (progress) => progress.readRound,
      unconfirmedValue: 0,
    });
  }

  /**
   * Reports whether a member is close enough to become a voter.
   * @param id The member.
   * @param firstIndexOfTerm Index that it must hold at least.
   */
  hasCaughtUp(id: string, firstIndexOfTerm: number): boolean {
    const progress = this.#progress.get(id);
    return progress !== undefined && progress.isStartConfirmed &&
      progress.matchIndex + maximumPromotionLagEntries >=
        this.#options.log.lastIndex &&
      progress.matchIndex >= firstIndexOfTerm;
  }

  /** Sends a heartbeat to all members, and again what got lost. */
  sendHeartbeats(): void {
    for (const member of this.#options.getState().members) {
      const progress = this.#progress.get(member.id);
      if (progress !== undefined) {
        this.#sendHeartbeat(member, progress);
      }
    }
  }

  /** Sends what the members lack, as far as their modes allow. */
  replicate(): void {
    for (const member of this.#options.getState().members) {
      this.#replicateTo(member);
    }
  }

  /** Takes in whether a member took an append, and what it holds. */
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
      progress.mode !== "snapshot" && response.index + 1 < progress.nextIndex
    ) {
      const last = Math.max(progress.matchIndex, response.index);
      this.#setMode(progress, "probe", last);
    }
  }

  /** Takes in that a member installed the snapshot that it was sent. */
  onSnapshotInstalled(progress: Progress, index: number): void {
    progress.mode = "probe";
    this.#advance(progress, index);
    progress.nextIndex = progress.matchIndex + 1;
  }

  /** Sends the chunk of the snapshot that a member needs next. */
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

  /** Gets the highest value that a majority of the voters reached. */
  #getMajorityValue(options: {
    readonly ownValue: number;
    getValue(progress: Progress): number;
    /** Value of a member whose start is not confirmed. */
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
      progress.lastAdvanceAtMilliseconds = this.#options.getState().now;
    }
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    progress.inFlight = progress.inFlight.filter((last) => last > index);
  }

  #sendHeartbeat(member: Member, progress: Progress): void {
    const { now } = this.#options.getState();
    const isStalled =
      now - progress.lastAdvanceAtMilliseconds > resendTimeoutMilliseconds;
    if (
      isStalled && progress.mode === "replicate" && progress.inFlight.length > 0
    ) {
      this.#setMode(progress, "probe", progress.matchIndex);
      progress.lastAdvanceAtMilliseconds = now;
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
    this.#sendAppend(member, { from: progress.nextIndex, entries: [] });
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
      // A probe is empty: the member may lack what precedes the entries, or
      // be unable to take them at all.
      if (progress.inFlight.length === 0) {
        this.#sendAppend(member, { from: progress.nextIndex, entries: [] });
        progress.inFlight.push(progress.nextIndex - 1);
      }
      return;
    }
    while (
      progress.inFlight.length < maximumInFlight &&
      progress.nextIndex <= durableIndex
    ) {
      // Members remember what they were sent as a promise of this leader, so
      // an entry that a crash could take away must not be sent.
      const entries = log.getEntries(progress.nextIndex, {
        to: durableIndex,
        maximumBytes: maximumAppendBytes,
      });
      this.#sendAppend(member, { from: progress.nextIndex, entries });
      if (progress.inFlight.length === 0) {
        progress.lastAdvanceAtMilliseconds = now;
      }
      progress.nextIndex += entries.length;
      progress.inFlight.push(progress.nextIndex - 1);
    }
  }

  #sendAppend(
    member: Member,
    options: { from: number; entries: readonly LogEntry[] },
  ): void {
    const { log, send } = this.#options;
    const { commitIndex, readRound: round, now, leaderSince } = this.#options
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
      round,
      majorityAgeMilliseconds: Math.max(0, Math.round(now - majorityContactAt)),
    });
  }

  #sendSnapshotChunk(member: Member, progress: Progress): void {
    const { now, snapshot } = this.#options.getState();
    if (progress.snapshotIndex !== snapshot.index) {
      progress.snapshotIndex = snapshot.index;
      progress.snapshotOffset = 0;
    }
    progress.lastAdvanceAtMilliseconds = now;
    this.#options.send(member, {
      kind: "snapshotChunk",
      info: snapshot,
      offset: progress.snapshotOffset,
      data: new Uint8Array(),
      isLast: false,
    });
  }
}
