import type { Envelope } from "./message.ts";
import type { LogEntry, SnapshotInfo } from "./log_entry.ts";
import type { PeerState } from "./peer_state.ts";

/** Who an instance is; made once for a data folder. */
export interface Identity {
  readonly id: string;
  /** Number of starts, this one included. */
  readonly bootCount: number;
  /** Random number of this start. */
  readonly bootId: string;
  /** Mark of the folder, which a copy of it does not have. */
  readonly folderMark: string;
}

/** State that must be durable before a message depends on it. */
export interface HardState {
  readonly term: number;
  /** Identity voted for in `term`; empty for none. */
  readonly votedFor: string;
  /** Empty before the instance joined a group. */
  readonly groupId: string;
  /** True after a voter found this instance behind its own past. */
  readonly isRegressed: boolean;
  /**
   * True while the folder may be a copy, such as a restored backup, that not
   * all voters have confirmed.
   */
  readonly isMoved: boolean;
}

/** The hard state of an empty folder. */
export const emptyHardState: HardState = {
  term: 0,
  votedFor: "",
  groupId: "",
  isRegressed: false,
  isMoved: false,
};

/** Everything that an instance finds in its data folder. */
export interface PersistedState {
  readonly identity: Identity;
  readonly hardState: HardState;
  readonly snapshot: SnapshotInfo;
  /** What precedes `entries`: the snapshot, or an entry before it. */
  readonly entries: readonly LogEntry[];
  readonly peers: ReadonlyMap<string, PeerState>;
}

/** One durable write; its parts are written in the order of the members. */
export interface StorageRequest {
  readonly sequence: number;
  readonly hardState?: HardState;
  readonly snapshot?: {
    readonly info: SnapshotInfo;
    readonly data: Uint8Array;
  };
  /** Continuous entries; they replace all from the first index on. */
  readonly entries: readonly LogEntry[];
  readonly peers?: ReadonlyMap<string, PeerState>;
}

/** What a stored request lets go. */
export interface HeldMessages {
  readonly sequence: number;
  readonly envelopes: readonly Envelope[];
}
