import {
  emptySnapshotInfo,
  getEntrySize,
  type LogEntry,
  type SnapshotInfo,
} from "./log_entry.ts";
import type { Member } from "./member.ts";

/** The part of the log that is kept in memory, after the discarded entries. */
export class EntryLog {
  /** Describes the entry before the first one that is kept. */
  #base: SnapshotInfo;
  #entries: LogEntry[];
  /** Entries that change the members, in the order of their indexes. */
  #memberChanges: { index: number; members: readonly Member[] }[] = [];

  /**
   * @param base Describes the entry that precedes `entries`.
   * @param entries Entries from `base.index + 1` on.
   */
  constructor(
    base: SnapshotInfo = emptySnapshotInfo,
    entries: readonly LogEntry[] = [],
  ) {
    this.#base = base;
    this.#entries = [];
    this.append(entries);
  }

  /** Index before the first entry that is kept. */
  get baseIndex(): number {
    return this.#base.index;
  }

  get lastIndex(): number {
    return this.#base.index + this.#entries.length;
  }

  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#base.term;
  }

  get lastTimeMilliseconds(): number {
    return this.#entries.at(-1)?.timeMilliseconds ??
      this.#base.timeMilliseconds;
  }

  /** The current members: those of the latest entry, committed or not. */
  get members(): readonly Member[] {
    return this.#memberChanges.at(-1)?.members ?? this.#base.members;
  }

  /** Index of the latest entry that changed the members. */
  get membersIndex(): number {
    return this.#memberChanges.at(-1)?.index ?? this.#base.index;
  }

  /** Reports whether an entry that is kept contains a command. */
  get hasCommand(): boolean {
    return this.#entries.some(({ content }) => content.kind === "command");
  }

  /** Gets the term of an entry; `undefined` when the entry is not kept. */
  getTerm(index: number): number | undefined {
    return index === this.#base.index
      ? this.#base.term
      : this.getEntry(index)?.term;
  }

  getEntry(index: number): LogEntry | undefined {
    return this.#entries[index - this.#base.index - 1];
  }

  /**
   * Gets consecutive entries.
   * @param from First index.
   * @param options Last index, and maximum total size.
   * @returns The entries; the first one even if it exceeds the maximum size.
   */
  getEntries(
    from: number,
    options: { to?: number; maximumBytes?: number } = {},
  ): LogEntry[] {
    const start = from - this.#base.index - 1;
    const end = (options.to ?? this.lastIndex) - this.#base.index;
    if (options.maximumBytes === undefined) {
      return this.#entries.slice(start, end);
    }
    let bytes = 0;
    let stop = start;
    while (stop < Math.min(end, this.#entries.length)) {
      const entry = this.#entries[stop];
      bytes += entry === undefined ? 0 : getEntrySize(entry);
      if (stop > start && bytes > options.maximumBytes) {
        break;
      }
      stop++;
    }
    return this.#entries.slice(start, stop);
  }

  /** Appends entries, whose indexes must continue the log. */
  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      if (entry.index !== this.lastIndex + 1) {
        throw new Error(
          `Entry ${entry.index} does not follow entry ${this.lastIndex}`,
        );
      }
      this.#entries.push(entry);
      if (entry.content.kind === "members") {
        this.#memberChanges.push({
          index: entry.index,
          members: entry.content.members,
        });
      }
    }
  }

  /** Removes the entries from an index on. */
  truncateFrom(index: number): void {
    this.#entries.length = Math.max(
      0,
      Math.min(this.#entries.length, index - this.#base.index - 1),
    );
    this.#memberChanges = this.#memberChanges.filter((each) =>
      each.index < index
    );
  }

  /** Gets the description of a snapshot of all entries up to an index. */
  getSnapshotInfo(index: number): SnapshotInfo {
    const entry = this.getEntry(index);
    const members =
      this.#memberChanges.findLast((each) => each.index <= index)?.members ??
        this.#base.members;
    return index === this.#base.index || entry === undefined ? this.#base : {
      index,
      term: entry.term,
      timeMilliseconds: entry.timeMilliseconds,
      members,
    };
  }

  /**
   * Gets the index through which entries can be discarded after a snapshot.
   * @param index Index up to which the snapshot includes all entries.
   * @param kept Maximum number and total size of the entries to keep before it,
   * for members that are behind.
   */
  getDiscardIndex(
    index: number,
    kept: { entries: number; bytes: number },
  ): number {
    let discard = index;
    let bytes = 0;
    while (discard > this.#base.index && index - discard < kept.entries) {
      const entry = this.getEntry(discard);
      bytes += entry === undefined ? 0 : getEntrySize(entry);
      if (bytes > kept.bytes) {
        break;
      }
      discard--;
    }
    return discard;
  }

  /** Discards the entries up to an index that a snapshot covers. */
  discardThrough(index: number): void {
    if (index <= this.#base.index) {
      return;
    }
    const base = this.getSnapshotInfo(index);
    this.#entries.splice(0, index - this.#base.index);
    this.#base = base;
    this.#memberChanges = this.#memberChanges.filter((each) =>
      each.index > index
    );
  }

  /** Replaces the log by a snapshot, and keeps entries that continue it. */
  resetToSnapshot(info: SnapshotInfo): void {
    const isContinuation = this.getTerm(info.index) === info.term;
    const kept = isContinuation ? this.getEntries(info.index + 1) : [];
    this.#base = info;
    this.#entries = [];
    this.#memberChanges = [];
    this.append(kept);
  }
}
