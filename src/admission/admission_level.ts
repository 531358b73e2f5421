import { bucketsPerClass } from "./priority.ts";

const windowMilliseconds = 100;
/**
 * Part of the calls that the queue may turn away before the level rises. A
 * short queue turns some away at any high load; a level of 0 tolerance refused
 * 30 calls early for each of them.
 */
const toleratedPart = 0.03;

/** Part of the moments of a window at which an open target is idle. */
const idlePart = 0.5;

/** How much of a target is in use at a moment; idle means free slots. */
export type TargetUse = "idle" | "in-use" | "queue-half-full";

/** How fast a level falls. */
export interface LevelSpeed {
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
  #turnedAway = 0;
  #level = 0;
  #decrease = 1;
  #maximumDecrease: number;
  #idleFactor: number;
  #moments = 0;
  #idleMoments = 0;

  /**
   * @param classCount Number of classes.
   * @param options Start time and largest decrease per window.
   */
  constructor(
    classCount: number,
    options: LevelSpeed & { nowMilliseconds: number },
  ) {
    this.#offered = new Float64Array(classCount * bucketsPerClass);
    this.#windowStart = options.nowMilliseconds;
    this.#maximumDecrease = options.maximumLevelDecrease;
    this.#idleFactor = options.idleLevelFactor;
  }

  /** Changes how fast the level falls. */
  setSpeed(speed: LevelSpeed): void {
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
  onTurnedAway(importance: number): void {
    if (importance <= this.#offered.length - 1 - this.#level) {
      this.#turnedAway++;
    }
  }

  /**
   * Gets the level; 0 is open.
   * @param nowMilliseconds Monotonic time.
   * @param use Use of the target at this moment; most of the moments in a
   * window decide.
   */
  get(nowMilliseconds: number, use: TargetUse): number {
    this.#moments++;
    this.#idleMoments += use === "idle" ? 1 : 0;
    const windows = Math.floor(
      (nowMilliseconds - this.#windowStart) / windowMilliseconds,
    );
    if (windows > 0) {
      this.#closeWindow(use);
      for (let i = 1; i < Math.min(windows, 64) && this.#level > 0; i++) {
        this.#fall();
      }
      this.#windowStart += windows * windowMilliseconds;
    }
    return this.#level;
  }

  #closeWindow(use: TargetUse): void {
    const part = this.#turnedAway / Math.max(1, this.#offeredTotal);
    if (part > toleratedPart) {
      this.#rise(part - toleratedPart);
    } else if (this.#idleMoments > this.#moments * idlePart) {
      this.#level = Math.floor(this.#level * this.#idleFactor);
      this.#fall();
    } else if (part < toleratedPart / 2 && use !== "queue-half-full") {
      this.#fall();
    }
    this.#moments = 0;
    this.#idleMoments = 0;
    this.#offered.fill(0);
    this.#offeredTotal = 0;
    this.#turnedAway = 0;
  }

  /** Cuts the least important steps that held the share turned away. */
  #rise(share: number): void {
    this.#decrease = 1;
    const target = Math.min(share, 0.5) * this.#offeredTotal;
    const steps = this.#offered.length;
    let cut = 0;
    let step = steps - this.#level;
    while (step > 1 && cut < target) {
      step--;
      cut += this.#offered[step] ?? 0;
    }
    this.#level = steps - step;
  }

  #fall(): void {
    this.#level = Math.max(0, this.#level - this.#decrease);
    this.#decrease = Math.min(this.#decrease * 2, this.#maximumDecrease);
  }
}
