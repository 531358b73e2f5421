import { bucketsPerClass } from "./priority.ts";

const windowMilliseconds = 100;
/**
 * Share of calls that may be refused in a window before the level rises. A
 * short queue refuses some calls at any high load. With a tolerance of 0, entry
 * nodes refused 30 calls early for each call that the queue refused.
 */
const toleratedRefusalShare = 0.03;

/** A target was idle in a window if more than this share of samples was idle. */
const idleSampleShare = 0.5;
/**
 * Idle windows after which the level falls faster with each further one. With
 * 4, a level that was too high for a moment under a steady load fell too far.
 */
const steadyIdleWindows = 5;

/** Utilization of a target; an idle one has free slots. */
export type TargetUsage = "idle" | "in-use" | "queue-half-full";

/** Settings of how fast a level falls. */
export interface LevelDecreaseOptions {
  /** Largest decrease of the level in one window. */
  readonly maximumLevelDecrease: number;
  /** Factor that the level is multiplied by after an idle window. */
  readonly idleLevelFactor: number;
}

/** Settings of an {@link AdmissionLevel}. */
export interface AdmissionLevelOptions extends LevelDecreaseOptions {
  readonly nowMilliseconds: number;
  /** Most important priority of a call; the level never refuses it. */
  readonly firstPriority: number;
  /**
   * Whether nested calls have classes of their own, which come first in the
   * queue. Those of requests that the level excludes are then not refused, and
   * take slots from other calls until their requests have ended.
   */
  readonly hasNestedClasses: boolean;
}

/**
 * Computes the admission level of one target from the share of its calls that
 * are refused for lack of capacity. At level `n`, entry nodes refuse the calls
 * of the `n` lowest priorities (see `getPriority`).
 */
export class AdmissionLevel {
  readonly #offeredByPriority: Float64Array;
  readonly #firstPriority: number;
  readonly #hasNestedClasses: boolean;
  #windowStart: number;
  #offeredTotal = 0;
  /** Calls that arrived although the level excludes them. */
  #excludedTotal = 0;
  #capacityRefusals = 0;
  #level = 0;
  #decrease = 1;
  #maximumDecrease: number;
  #idleFactor: number;
  #samples = 0;
  #idleSamples = 0;
  /** Consecutive windows in which the target was idle, the current included. */
  #idleWindows = 0;

  /**
   * @param classCount Number of classes.
   * @param options Start time, priorities, and how fast the level falls.
   */
  constructor(classCount: number, options: AdmissionLevelOptions) {
    this.#firstPriority = options.firstPriority;
    this.#hasNestedClasses = options.hasNestedClasses;
    this.#offeredByPriority = new Float64Array(classCount * bucketsPerClass);
    this.#windowStart = options.nowMilliseconds;
    this.#maximumDecrease = options.maximumLevelDecrease;
    this.#idleFactor = options.idleLevelFactor;
  }

  /** Changes how fast the level falls in later windows. */
  updateOptions(options: LevelDecreaseOptions): void {
    this.#maximumDecrease = options.maximumLevelDecrease;
    this.#idleFactor = options.idleLevelFactor;
  }

  /**
   * Records a call that arrived at the target. Calls that the level already
   * excludes do not count: entry nodes send them as probes or before they
   * receive the level.
   */
  onOffered(priority: number): void {
    const last = this.#offeredByPriority.length - 1;
    if (priority > last - this.#level) {
      this.#excludedTotal++;
      return;
    }
    const index = priority < last ? priority : last;
    this.#offeredByPriority[index] = (this.#offeredByPriority[index] ?? 0) + 1;
    this.#offeredTotal++;
  }

  /** Records a call that was refused or evicted for lack of capacity. */
  onCapacityRefusal(priority: number): void {
    if (priority <= this.#offeredByPriority.length - 1 - this.#level) {
      this.#capacityRefusals++;
    }
  }

  /**
   * Gets the level, and updates it when a window has ended.
   * @param nowMilliseconds Monotonic time.
   * @param usage Utilization now. Each call of this method takes a sample, and
   * the majority of the samples in a window decides whether the target was idle.
   */
  get(nowMilliseconds: number, usage: TargetUsage): number {
    this.#samples++;
    this.#idleSamples += usage === "idle" ? 1 : 0;
    const windows = Math.floor(
      (nowMilliseconds - this.#windowStart) / windowMilliseconds,
    );
    if (windows > 0) {
      this.#closeWindow(usage);
      for (let i = 1; i < Math.min(windows, 64) && this.#level > 0; i++) {
        this.#lower();
      }
      this.#windowStart += windows * windowMilliseconds;
    }
    return this.#level;
  }

  #closeWindow(usage: TargetUsage): void {
    const offered = Math.max(1, this.#offeredTotal);
    const refusedShare = this.#capacityRefusals / offered;
    // Nested calls of excluded requests end soon and leave their slots to the
    // calls that were refused, so that the level need not rise for these.
    const endingShare = this.#hasNestedClasses
      ? this.#excludedTotal / offered
      : 0;
    const isIdle = this.#idleSamples > this.#samples * idleSampleShare;
    this.#idleWindows = isIdle ? this.#idleWindows + 1 : 0;
    const excessShare = refusedShare - toleratedRefusalShare;
    if (excessShare > 0) {
      if (excessShare > endingShare) {
        this.#raise(excessShare - endingShare);
      }
    } else if (isIdle) {
      this.#lowerIdle();
    } else if (
      refusedShare < toleratedRefusalShare / 2 && usage !== "queue-half-full"
    ) {
      this.#lower();
    }
    this.#samples = 0;
    this.#idleSamples = 0;
    this.#offeredByPriority.fill(0);
    this.#offeredTotal = 0;
    this.#excludedTotal = 0;
    this.#capacityRefusals = 0;
  }

  /**
   * Raises the level so that the lowest priorities whose calls add up to a
   * share of all calls are refused.
   */
  #raise(share: number): void {
    this.#decrease = 1;
    const callsToShed = Math.min(share, 0.5) * this.#offeredTotal;
    const priorityCount = this.#offeredByPriority.length;
    let shed = 0;
    let firstShed = priorityCount - this.#level;
    while (firstShed > this.#firstPriority + 1 && shed < callsToShed) {
      firstShed--;
      shed += this.#offeredByPriority[firstShed] ?? 0;
    }
    this.#level = priorityCount - firstShed;
  }

  /**
   * Lowers the level after an idle window. With nested classes, the level spans
   * many priorities that no call has. A factor would then exempt a large part of
   * the calls at once, and the level would swing.
   */
  #lowerIdle(): void {
    if (this.#hasNestedClasses) {
      const doublings = Math.max(0, this.#idleWindows - steadyIdleWindows);
      const decrease = this.#maximumDecrease * 2 ** Math.min(doublings, 4);
      this.#level = Math.max(0, this.#level - decrease);
    } else {
      this.#level = Math.floor(this.#level * this.#idleFactor);
      this.#lower();
    }
  }

  #lower(): void {
    this.#level = Math.max(0, this.#level - this.#decrease);
    this.#decrease = Math.min(this.#decrease * 2, this.#maximumDecrease);
  }
}
