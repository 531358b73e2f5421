import {
  emptySnapshotInfo,
  getEntrySize,
  type LogEntry,
  type SnapshotInfo,
} from "./log_entry.ts";
import type { Member } from "./member.ts";

/** The entries in memory that follow the latest discarded one. */
export class EntryLog {
  /** The entry just before the first one held. */
  #base: SnapshotInfo;
  #entries: LogEntry[];
  /** Indexes in the log of entries that change the members. */
  #memberChanges: { index: number; members: readonly Member[] }[] = [];

  /**
   * @param base What precedes the entries.
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

  /** Index before the first entry held. */
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

  /** The members in force: those of the latest entry, committed or not. */
  get members(): readonly Member[] {
    return this.#memberChanges.at(-1)?.members ?? this.#base.members;
  }

  /** Index of the latest entry that changed the members. */
  get membersIndex(): number {
    return this.#memberChanges.at(-1)?.index ?? this.#base.index;
  }

  /** Gets the term of an entry; `undefined` when it is not known here. */
  getTerm(index: number): number | undefined {
    return index === this.#base.index
      ? this.#base.term
      : this.getEntry(index)?.term;
  }

  getEntry(index: number): LogEntry | undefined {
    return this.#entries[index - this.#base.index - 1];
  }

  /**
   * Gets entries in order.
   * @param from First index.
   * @param options Last index, and the size after which to stop.
   * @returns At least one entry when there is one.
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

  /** Adds entries at the end; their indexes must continue the log. */
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

  /** Describes a snapshot of everything up to an index. */
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

  /** Discards the entries up to an index, which a snapshot holds. */
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

  /** Replaces everything by a snapshot; keeps entries that continue it. */
  resetToSnapshot(info: SnapshotInfo): void {
    const isContinuation = this.getTerm(info.index) === info.term;
    const kept = isContinuation ? this.getEntries(info.index + 1) : [];
    this.#base = info;
    this.#entries = [];
    this.#memberChanges = [];
    this.append(kept);
  }
}
