import type { LogEntry, SnapshotInfo } from "./log_entry.ts";
import type { PeerState } from "./peer_state.ts";

/** Identity of an instance; `id` is created once for a data folder. */
export interface Identity {
  readonly id: string;
  /** Number of starts, including this one. */
  readonly bootCount: number;
  /** Random identifier of this start. */
  readonly bootId: string;
  /** Mark of the data folder; a copy of the folder gets another one. */
  readonly folderMark: string;
}

/** State that must be durable before a message that depends on it is sent. */
export interface HardState {
  readonly term: number;
  /** Identity of the candidate that got the vote of `term`; empty for none. */
  readonly votedFor: string;
  /** Empty before the instance joined a group. */
  readonly groupId: string;
  /**
   * True after a voter denied a start of this instance, because its disk was
   * older than the state that the voter had recorded.
   */
  readonly isRegressed: boolean;
  /**
   * True while the data folder may be a copy, such as a restored backup, that
   * some voters have not confirmed.
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

/** State that an instance reads from its data folder at the start. */
export interface PersistedState {
  readonly identity: Identity;
  readonly hardState: HardState;
  readonly snapshot: SnapshotInfo;
  /** The entries that follow the snapshot. */
  readonly entries: readonly LogEntry[];
  /** Recorded state of the peers, by their identity. */
  readonly peers: ReadonlyMap<string, PeerState>;
}

/** A request to write to disk; the parts are written in the order below. */
export interface StorageRequest {
  readonly sequence: number;
  readonly hardState?: HardState;
  readonly snapshot?: {
    readonly info: SnapshotInfo;
    readonly data: Uint8Array;
  };
  /** Consecutive entries that replace the log from their first index on. */
  readonly entries: readonly LogEntry[];
  readonly peers?: ReadonlyMap<string, PeerState>;
}
