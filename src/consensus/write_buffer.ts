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
export interface WriteUnderWay {
  readonly sequence: number;
  /** Messages that may go out when it is durable. */
  readonly held: readonly Envelope[];
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** A snapshot of the leader that replaces the state machine. */
  readonly restore: SnapshotData | undefined;
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
  #held: Envelope[] = [];
  #isHardStateDue = false;
  #from: number | undefined;
  #snapshot: SnapshotData | undefined;
  #restore: SnapshotData | undefined;
  #sequence = 0;
  #underWay: WriteUnderWay | undefined;

  /** Gets the first log index that is to be written. */
  get from(): number | undefined {
    return this.#from;
  }

  /** Reports whether the state machine is about to be replaced. */
  get isRestoring(): boolean {
    return this.#restore !== undefined ||
      this.#underWay?.restore !== undefined;
  }

  /** Reports whether something must be written. */
  isDue(peers: PeerStateTable): boolean {
    return this.#isHardStateDue || this.#from !== undefined ||
      this.#snapshot !== undefined || peers.isDue;
  }

  /** Adds a message that waits for what must be durable now. */
  hold(envelope: Envelope): void {
    this.#held.push(envelope);
  }

  /** Takes the held messages when nothing is left to be written. */
  takeHeld(peers: PeerStateTable): readonly Envelope[] {
    if (this.isDue(peers) || this.#underWay !== undefined) {
      return [];
    }
    const held = this.#held;
    this.#held = [];
    return held;
  }

  /** Makes a write of the hard state necessary. */
  addHardState(): void {
    this.#isHardStateDue = true;
  }

  /** Makes a write of the log from an index on necessary. */
  addEntries(from: number): void {
    this.#from = Math.min(this.#from ?? from, from);
  }

  /** Adds a snapshot of the own state machine. */
  addSnapshot(snapshot: SnapshotData): void {
    this.#snapshot = snapshot;
  }

  /** Adds a snapshot of the leader, which replaces log and state machine. */
  addRestore(snapshot: SnapshotData): void {
    this.#snapshot = snapshot;
    this.#restore = snapshot;
    this.#from = undefined;
  }

  /** Takes the next write; `undefined` while one is under way. */
  take(source: WriteSource): StorageRequest | undefined {
    const { hardState, peers } = source;
    if (this.#underWay !== undefined || !this.isDue(peers)) {
      return undefined;
    }
    const sequence = ++this.#sequence;
    const snapshot = this.#snapshot;
    const from = snapshot !== undefined ? source.baseIndex + 1 : this.#from;
    const request: StorageRequest = {
      sequence,
      entries: from === undefined ? [] : source.getEntries(from),
      ...(this.#isHardStateDue ? { hardState } : {}),
      ...(snapshot === undefined ? {} : { snapshot }),
      ...(peers.isDirty || snapshot !== undefined
        ? { peers: peers.take() }
        : {}),
    };
    this.#underWay = {
      sequence,
      held: this.#held,
      term: hardState.term,
      lastIndex: source.lastIndex,
      lastTerm: source.lastTerm,
      restore: this.#restore,
    };
    this.#held = [];
    this.#isHardStateDue = false;
    this.#from = undefined;
    this.#snapshot = undefined;
    this.#restore = undefined;
    return request;
  }

  /** Ends the write under way. */
  finishOrThrow(sequence: number): WriteUnderWay {
    const write = this.#underWay;
    if (write === undefined || write.sequence !== sequence) {
      throw new Error(`Write ${sequence} was not requested`);
    }
    this.#underWay = undefined;
    return write;
  }
}
