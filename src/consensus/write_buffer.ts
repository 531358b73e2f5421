import type { LogEntry, SnapshotInfo } from "./log_entry.ts";
import type { Envelope } from "./message.ts";
import type { PeerStateTable } from "./peer_state_table.ts";
import type { HardState, StorageRequest } from "./persisted_state.ts";

/** A snapshot with its content. */
export interface SnapshotData {
  readonly info: SnapshotInfo;
  readonly data: Uint8Array;
}

/** A write that was started and is not durable yet. */
export interface PendingWrite {
  readonly sequence: number;
  /** Messages that may be sent once the write is durable. */
  readonly deferredMessages: readonly Envelope[];
  /** Term and last entry of the log when the write was started. */
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Snapshot received from the leader, which replaces the state machine. */
  readonly installedSnapshot: SnapshotData | undefined;
}

/** State of the core from which the next write is created. */
export interface WriteSource {
  readonly hardState: HardState;
  readonly peers: PeerStateTable;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Index before the first entry that the log holds. */
  readonly baseIndex: number;
  getEntries(from: number): readonly LogEntry[];
}

/** Collects unwritten state, and the messages that must wait for the write. */
export class WriteBuffer {
  #deferredMessages: Envelope[] = [];
  #isHardStateChanged = false;
  #firstUnwrittenIndex: number | undefined;
  #snapshot: SnapshotData | undefined;
  #installedSnapshot: SnapshotData | undefined;
  #sequence = 0;
  #pendingWrite: PendingWrite | undefined;

  /** Index of the first entry to be written; `undefined` for none. */
  get firstUnwrittenIndex(): number | undefined {
    return this.#firstUnwrittenIndex;
  }

  /** Reports whether a received snapshot is not durable yet. */
  get isInstallingSnapshot(): boolean {
    return this.#installedSnapshot !== undefined ||
      this.#pendingWrite?.installedSnapshot !== undefined;
  }

  /** Reports whether a write must be started. */
  isWriteRequired(peers: PeerStateTable): boolean {
    return this.#isHardStateChanged ||
      this.#firstUnwrittenIndex !== undefined ||
      this.#snapshot !== undefined || peers.isWriteRequired;
  }

  /** Defers a message until the changes that now require a write are durable. */
  deferMessage(envelope: Envelope): void {
    this.#deferredMessages.push(envelope);
  }

  /** Removes the deferred messages if no write is required or pending. */
  takeReadyMessages(peers: PeerStateTable): readonly Envelope[] {
    if (this.isWriteRequired(peers) || this.#pendingWrite !== undefined) {
      return [];
    }
    const readyMessages = this.#deferredMessages;
    this.#deferredMessages = [];
    return readyMessages;
  }

  /** Marks the hard state as changed. */
  addHardState(): void {
    this.#isHardStateChanged = true;
  }

  /** Marks the entries from an index on as changed. */
  addEntries(from: number): void {
    this.#firstUnwrittenIndex = Math.min(
      this.#firstUnwrittenIndex ?? from,
      from,
    );
  }

  /** Adds a snapshot that was taken of the local state machine. */
  addSnapshot(snapshot: SnapshotData): void {
    this.#snapshot = snapshot;
  }

  /** Adds a snapshot from the leader, which replaces log and state machine. */
  addInstalledSnapshot(snapshot: SnapshotData): void {
    this.#snapshot = snapshot;
    this.#installedSnapshot = snapshot;
    this.#firstUnwrittenIndex = undefined;
  }

  /** Starts the next write; `undefined` if none is needed or one is pending. */
  takeRequest(source: WriteSource): StorageRequest | undefined {
    const { hardState, peers } = source;
    if (this.#pendingWrite !== undefined || !this.isWriteRequired(peers)) {
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

  /** Completes the pending write; throws if the sequence is not its own. */
  completeOrThrow(sequence: number): PendingWrite {
    const write = this.#pendingWrite;
    if (write === undefined || write.sequence !== sequence) {
      throw new Error(`Write ${sequence} was not requested`);
    }
    this.#pendingWrite = undefined;
    return write;
  }
}
