/** Running and queued calls of one caller in one class. */
export interface CallerUsage {
  readonly caller: string;
  readonly classIndex: number;
  running: number;
  queued: number;
}

/** Counts the calls of each caller; removes callers without calls. */
export class CallerTable {
  readonly #classes: Map<string, CallerUsage>[];

  /** @param classCount Number of classes. */
  constructor(classCount: number) {
    this.#classes = Array.from({ length: classCount }, () => new Map());
  }

  /** Gets the counts of a caller in a class; creates them when missing. */
  get(caller: string, classIndex: number): CallerUsage {
    const usages = this.#classes[classIndex];
    const known = usages?.get(caller);
    if (known !== undefined) {
      return known;
    }
    const usage = { caller, classIndex, running: 0, queued: 0 };
    usages?.set(caller, usage);
    return usage;
  }

  /** Deletes the counts of a caller without calls. */
  deleteIfUnused(usage: CallerUsage): void {
    if (usage.running === 0 && usage.queued === 0) {
      this.#classes[usage.classIndex]?.delete(usage.caller);
    }
  }
}
