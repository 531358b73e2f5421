import type { Member } from "./member.ts";

/** What an entry does; only commands reach the state machine. */
export type EntryContent =
  | { readonly kind: "command"; readonly command: Uint8Array }
  | { readonly kind: "members"; readonly members: readonly Member[] }
  /** Appended by a new leader, to commit the entries of earlier terms. */
  | { readonly kind: "empty" };

/** One entry of the replicated log. */
export interface LogEntry {
  /** Position, counted from 1. */
  readonly index: number;
  readonly term: number;
  /** Time of the leader since the epoch; never less than the entry before. */
  readonly timeMilliseconds: number;
  readonly content: EntryContent;
}

/** What a snapshot replaces: all entries up to an index. */
export interface SnapshotInfo {
  readonly index: number;
  readonly term: number;
  readonly timeMilliseconds: number;
  readonly members: readonly Member[];
}

/** The snapshot of an instance that has none. */
export const emptySnapshotInfo: SnapshotInfo = {
  index: 0,
  term: 0,
  timeMilliseconds: 0,
  members: [],
};

/**
 * Gets the approximate size of an entry on the network.
 * @param entry The entry.
 * @returns Bytes.
 */
export function getEntrySize(entry: LogEntry): number {
  switch (entry.content.kind) {
    case "command":
      return entry.content.command.length + 32;
    case "members":
      return entry.content.members.length * 64 + 32;
    case "empty":
      return 32;
  }
}
