import type { Member } from "./member.ts";

/** Content of an entry. Only commands are applied to the state machine. */
export type EntryContent =
  | { readonly kind: "command"; readonly command: Uint8Array }
  | { readonly kind: "members"; readonly members: readonly Member[] }
  /**
   * Appended by a new leader, which can commit entries of earlier terms only
   * together with an entry of its own term.
   */
  | { readonly kind: "empty" };

/** One entry of the replicated log. */
export interface LogEntry {
  /** Position in the log, starting at 1. */
  readonly index: number;
  readonly term: number;
  /**
   * Wall-clock time of the leader since the epoch; never less than that of the
   * previous entry.
   */
  readonly timeMilliseconds: number;
  readonly content: EntryContent;
}

/** Describes a snapshot, which replaces all entries up to `index`. */
export interface SnapshotInfo {
  readonly index: number;
  readonly term: number;
  readonly timeMilliseconds: number;
  readonly members: readonly Member[];
}

/** Used by an instance that has no snapshot. */
export const emptySnapshotInfo: SnapshotInfo = {
  index: 0,
  term: 0,
  timeMilliseconds: 0,
  members: [],
};

/**
 * Gets the approximate encoded size of an entry.
 * @param entry The entry.
 * @returns The size in bytes.
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
