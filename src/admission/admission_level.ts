import { bucketsPerClass } from "./priority.ts";

const windowMilliseconds = 100;
/**
 * Part of the calls that the queue may turn away before the level rises. A
 * short queue turns some away at any high load; a level of 0 tolerance refused
 * 30 calls early for each of them.
 */
const toleratedRefusalShare = 0.03;

/** Part of the moments of a window at which an open target is idle. */
const idleSampleShare = 0.5;

/** How much of a target is in use at a moment; idle means free slots. */
export type TargetUsage = "idle" | "in-use" | "queue-half-full";

/** How fast a level falls. */
export interface LevelDecreaseOptions {
  /** Largest number of steps by which the level falls in one window. */
  readonly maximumLevelDecrease: number;
  /** Factor on the level after a window in which the target was idle. */
  readonly idleLevelFactor: number;
}

/**
 * Computes the admission level of one target from the calls that its queue
 * turned away. Level `n` asks entry nodes to refuse the `n` least important
 * steps.
 */
export class AdmissionLevel {
  readonly #offered: Float64Array;
  #windowStart: number;
  #offeredTotal = 0;
  #capacityRefusals = 0;
  #level = 0;
  #decrease = 1;
  #maximumDecrease: number;
  #idleFactor: number;
  #samples = 0;
  #idleSamples = 0;

  /**
   * @param classCount Number of classes.
   * @param options Start time and largest decrease per window.
   */
  constructor(
    classCount: number,
    options: LevelDecreaseOptions & { nowMilliseconds: number },
  ) {
    this.#offered = new Float64Array(classCount * bucketsPerClass);
    this.#windowStart = options.nowMilliseconds;
    this.#maximumDecrease = options.maximumLevelDecrease;
    this.#idleFactor = options.idleLevelFactor;
  }

  /** Changes how fast the level falls. */
  updateOptions(speed: LevelDecreaseOptions): void {
    this.#maximumDecrease = speed.maximumLevelDecrease;
    this.#idleFactor = speed.idleLevelFactor;
  }

  /**
   * Records an offered call. Calls that the level refuses already, but that
   * entry nodes sent as probes or before they knew, do not count.
   */
  onOffered(importance: number): void {
    const last = this.#offered.length - 1;
    if (importance > last - this.#level) {
      return;
    }
    const step = importance < last ? importance : last;
    this.#offered[step] = (this.#offered[step] ?? 0) + 1;
    this.#offeredTotal++;
  }

  /** Records a call that was refused or evicted for lack of capacity. */
  onCapacityRefusal(importance: number): void {
    if (importance <= this.#offered.length - 1 - this.#level) {
      this.#capacityRefusals++;
    }
  }

  /**
   * Gets the level; 0 is open.
   * @param nowMilliseconds Monotonic time.
   * @param use Use of the target at this moment; most of the moments in a
   * window decide.
   */
  get(nowMilliseconds: number, use: TargetUsage): number {
    this.#samples++;
    this.#idleSamples += use === "idle" ? 1 : 0;
    const windows = Math.floor(
      (nowMilliseconds - this.#windowStart) / windowMilliseconds,
    );
    if (windows > 0) {
      this.#closeWindow(use);
      for (let i = 1; i < Math.min(windows, 64) && this.#level > 0; i++) {
        this.#lower();
      }
      this.#windowStart += windows * windowMilliseconds;
    }
    return this.#level;
  }

  #closeWindow(use: TargetUsage): void {
    const refusedShare = this.#capacityRefusals /
      Math.max(1, this.#offeredTotal);
    if (refusedShare > toleratedRefusalShare) {
      this.#raise(refusedShare - toleratedRefusalShare);
    } else if (this.#idleSamples > this.#samples * idleSampleShare) {
      this.#level = Math.floor(this.#level * this.#idleFactor);
      this.#lower();
    } else if (
      refusedShare < toleratedRefusalShare / 2 && use !== "queue-half-full"
    ) {
      this.#lower();
    }
    this.#samples = 0;
    this.#idleSamples = 0;
    this.#offered.fill(0);
    this.#offeredTotal = 0;
    this.#capacityRefusals = 0;
  }

  /** Cuts the least important steps that held the share turned away. */
  #raise(share: number): void {
    this.#decrease = 1;
    const callsToShed = Math.min(share, 0.5) * this.#offeredTotal;
    const steps = this.#offered.length;
    let shed = 0;
    let step = steps - this.#level;
    while (step > 1 && shed < callsToShed) {
      step--;
      shed += this.#offered[step] ?? 0;
    }
    this.#level = steps - step;
  }

  #lower(): void {
    this.#level = Math.max(0, this.#level - this.#decrease);
    this.#decrease = Math.min(this.#decrease * 2, this.#maximumDecrease);
  }
}
