import type { CallerUsage } from "./caller_table.ts";

/** A call at the target, queued or running. */
export interface AdmissionEntry {
  readonly id: string;
  readonly callerUsage: CallerUsage;
  readonly classIndex: number;
  readonly depth: number;
  readonly hash: number;
  isSuspect: boolean;
  /** Monotonic time of the call's deadline. */
  readonly deadlineMilliseconds: number;
  /** Order of arrival; breaks ties between calls that are otherwise equal. */
  readonly sequence: number;
  readonly offeredMilliseconds: number;
  /** Monotonic time at which the call started; undefined while queued. */
  startedMilliseconds: number | undefined;
}

/**
 * Queued calls, ordered by class, then suspects after other calls, then depth
 * (deeper first), then hash, then arrival. The queue is a sorted array: with a
 * few hundred entries, moving the tail costs less than a tree.
 */
export class AdmissionQueue {
  /** Most important first. */
  readonly #entries: AdmissionEntry[] = [];
  readonly #classCounts: Uint32Array;

  /** @param classCount Number of classes. */
  constructor(classCount: number) {
    this.#classCounts = new Uint32Array(classCount);
  }

  get length(): number {
    return this.#entries.length;
  }

  /** Gets the number of queued calls of a class. */
  getClassCount(classIndex: number): number {
    return this.#classCounts[classIndex] ?? 0;
  }

  /** Gets the entry at a position; 0 is the most important. */
  at(index: number): AdmissionEntry | undefined {
    return this.#entries[index];
  }

  /** Gets the position that an entry has, or would have if it were inserted. */
  getIndex(entry: AdmissionEntry): number {
    let low = 0;
    let high = this.#entries.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.#entries[middle];
      if (other !== undefined && compareEntries(other, entry) < 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /** Inserts an entry in order. */
  insert(entry: AdmissionEntry): void {
    this.#entries.splice(this.getIndex(entry), 0, entry);
    this.#classCounts[entry.classIndex] = this.getClassCount(entry.classIndex) +
      1;
    entry.callerUsage.queued++;
  }

  /** Removes an entry that is in the queue. */
  remove(entry: AdmissionEntry): void {
    const index = this.getIndex(entry);
    if (this.#entries[index] !== entry) {
      throw new Error(`Call "${entry.id}" is not in the queue`);
    }
    this.#entries.splice(index, 1);
    this.#classCounts[entry.classIndex] = this.getClassCount(entry.classIndex) -
      1;
    entry.callerUsage.queued--;
  }

  /** Gets the entries, most important first. */
  getEntries(): readonly AdmissionEntry[] {
    return this.#entries;
  }
}

/** Compares two entries by queue order; negative when `a` runs first. */
export function compareEntries(a: AdmissionEntry, b: AdmissionEntry): number {
  return a.classIndex - b.classIndex ||
    Number(a.isSuspect) - Number(b.isSuspect) ||
    b.depth - a.depth ||
    a.hash - b.hash ||
    a.sequence - b.sequence;
}
