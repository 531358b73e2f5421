import type { LogEntry, SnapshotInfo } from "./log_entry.ts";
import type { Envelope } from "./message.ts";
import type { PeerStateTable } from "./peer_state_table.ts";
import type { HardState, StorageRequest } from "./persisted_state.ts";

/** A snapshot with its bytes. */
export interface SnapshotData {
  readonly info: SnapshotInfo;
  readonly data: Uint8Array;
}

/** A write that was handed out and is not durable yet. */
export interface PendingWrite {
  readonly sequence: number;
  /** Messages that may go out when it is durable. */
  readonly deferredMessages: readonly Envelope[];
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** A snapshot of the leader that replaces the state machine. */
  readonly installedSnapshot: SnapshotData | undefined;
}

/** What the next write is made from. */
export interface WriteSource {
  readonly hardState: HardState;
  readonly peers: PeerStateTable;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** First index that the log holds, less one. */
  readonly baseIndex: number;
  getEntries(from: number): readonly LogEntry[];
}

/** Collects what must be durable, and the messages that wait for it. */
export class WriteBuffer {
  #deferredMessages: Envelope[] = [];
  #isHardStateChanged = false;
  #firstUnwrittenIndex: number | undefined;
  #snapshot: SnapshotData | undefined;
  #installedSnapshot: SnapshotData | undefined;
  #sequence = 0;
  #pendingWrite: PendingWrite | undefined;

  /** Gets the first log index that is to be written. */
  get firstUnwrittenIndex(): number | undefined {
    return this.#firstUnwrittenIndex;
  }

  /** Reports whether the state machine is about to be replaced. */
  get isInstallingSnapshot(): boolean {
    return this.#installedSnapshot !== undefined ||
      this.#pendingWrite?.installedSnapshot !== undefined;
  }

  /** Reports whether something must be written. */
  hasUnwrittenChanges(peers: PeerStateTable): boolean {
    return this.#isHardStateChanged ||
      this.#firstUnwrittenIndex !== undefined ||
      this.#snapshot !== undefined || peers.isWriteRequired;
  }

  /** Adds a message that waits for what must be durable now. */
  deferMessage(envelope: Envelope): void {
    this.#deferredMessages.push(envelope);
  }

  /** Takes the held messages when nothing is left to be written. */
  takeReadyMessages(peers: PeerStateTable): readonly Envelope[] {
    if (this.hasUnwrittenChanges(peers) || this.#pendingWrite !== undefined) {
      return [];
    }
    const held = this.#deferredMessages;
    this.#deferredMessages = [];
    return held;
  }

  /** Makes a write of the hard state necessary. */
  addHardState(): void {
    this.#isHardStateChanged = true;
  }

  /** Makes a write of the log from an index on necessary. */
  addEntries(from: number): void {
    this.#firstUnwrittenIndex = Math.min(
      this.#firstUnwrittenIndex ?? from,
      from,
    );
  }

  /** Adds a snapshot of the own state machine. */
  addSnapshot(snapshot: SnapshotData): void {
    this.#snapshot = snapshot;
  }

  /** Adds a snapshot of the leader, which replaces log and state machine. */
  addInstalledSnapshot(snapshot: SnapshotData): void {
    this.#snapshot = snapshot;
    this.#installedSnapshot = snapshot;
    this.#firstUnwrittenIndex = undefined;
  }

  /** Takes the next write; `undefined` while one is under way. */
  takeRequest(source: WriteSource): StorageRequest | undefined {
    const { hardState, peers } = source;
    if (this.#pendingWrite !== undefined || !this.hasUnwrittenChanges(peers)) {
      return undefined;
    }
    const sequence = ++this.#sequence;
    const snapshot = this.#snapshot;
    const from = snapshot !== undefined
      ? source.baseIndex + 1
      : this.#firstUnwrittenIndex;
    const request: StorageRequest = {
      sequence,
      entries: from === undefined ? [] : source.getEntries(from),
      ...(this.#isHardStateChanged ? { hardState } : {}),
      ...(snapshot === undefined ? {} : { snapshot }),
      ...(peers.hasUnwrittenChanges || snapshot !== undefined
        ? { peers: peers.takeForWrite() }
        : {}),
    };
    this.#pendingWrite = {
      sequence,
      deferredMessages: this.#deferredMessages,
      term: hardState.term,
      lastIndex: source.lastIndex,
      lastTerm: source.lastTerm,
      installedSnapshot: this.#installedSnapshot,
    };
    this.#deferredMessages = [];
    this.#isHardStateChanged = false;
    this.#firstUnwrittenIndex = undefined;
    this.#snapshot = undefined;
    this.#installedSnapshot = undefined;
    return request;
  }

  /** Ends the write under way. */
  completeOrThrow(sequence: number): PendingWrite {
    const write = this.#pendingWrite;
    if (write === undefined || write.sequence !== sequence) {
      throw new Error(`Write ${sequence} was not requested`);
    }
    this.#pendingWrite = undefined;
    return write;
  }
}
