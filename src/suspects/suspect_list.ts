import type { Clock } from "../common/mod.ts";

/** Tells control which requests were in flight when a target died. */
export interface CrashReport {
  readonly fingerprints: readonly string[];
  /** True when the only fingerprint was a suspect that ran alone. */
  readonly wasAlone: boolean;
}

/** News from control. */
export interface SuspectUpdate {
  readonly suspects: readonly string[];
  readonly cleared: readonly string[];
  /** Whole list of quarantined fingerprints; absent when it is unchanged. */
  readonly quarantined?: readonly string[] | undefined;
}

/** Options of a suspect list. */
export interface SuspectListOptions {
  readonly clock: Clock;
  /** Suspects that are remembered at most; the oldest are dropped first. */
  readonly maximumSuspects?: number;
  /** Time after which a suspect is cleared without having completed. */
  readonly suspectMilliseconds?: number;
}

/** Suspects and quarantined fingerprints that a node knows. */
export class SuspectList {
  readonly #clock: Clock;
  readonly #maximumSuspects: number;
  readonly #suspectMilliseconds: number;
  /** Monotonic time at which each suspicion ends, oldest first. */
  readonly #suspects = new Map<string, number>();
  #quarantined: ReadonlySet<string> = new Set();

  /** @param options Clock and bounds. */
  constructor(options: SuspectListOptions) {
    this.#clock = options.clock;
    this.#maximumSuspects = options.maximumSuspects ?? 4096;
    this.#suspectMilliseconds = options.suspectMilliseconds ?? 600_000;
  }

  /** Checks whether a request must run alone. */
  isSuspect(fingerprint: string): boolean {
    const end = this.#suspects.get(fingerprint);
    if (end === undefined) {
      return false;
    }
    if (end <= this.#clock.monotonicMilliseconds()) {
      this.#suspects.delete(fingerprint);
      return false;
    }
    return true;
  }

  /** Checks whether a request must not run at all. */
  isQuarantined(fingerprint: string): boolean {
    return this.#quarantined.has(fingerprint);
  }

  /** Checks whether no fingerprint is a suspect or quarantined. */
  get isEmpty(): boolean {
    this.#forgetExpired();
    return this.#suspects.size === 0 && this.#quarantined.size === 0;
  }

  /**
   * Records that the target died.
   * @param inFlight Fingerprints of the calls that ran at that moment.
   * @param wasAlone Whether the only one was a suspect that ran alone.
   * @returns The report for control.
   */
  onCrash(inFlight: readonly string[], wasAlone: boolean): CrashReport {
    const fingerprints = [...new Set(inFlight)];
    fingerprints.forEach((each) => this.#addSuspect(each));
    return { fingerprints, wasAlone: wasAlone && fingerprints.length === 1 };
  }

  /**
   * Records that a call completed.
   * @param fingerprint Its fingerprint.
   * @returns Whether it was a suspect and is cleared now.
   */
  onCompleted(fingerprint: string): boolean {
    return this.#suspects.size > 0 && this.#suspects.delete(fingerprint);
  }

  /** Applies news from control. */
  applyUpdate(update: SuspectUpdate): void {
    update.suspects.forEach((each) => this.#addSuspect(each));
    update.cleared.forEach((each) => this.#suspects.delete(each));
    if (update.quarantined !== undefined) {
      this.#quarantined = new Set(update.quarantined);
    }
  }

  #forgetExpired(): void {
    const now = this.#clock.monotonicMilliseconds();
    for (const [fingerprint, end] of this.#suspects) {
      if (end > now) {
        return;
      }
      this.#suspects.delete(fingerprint);
    }
  }

  #addSuspect(fingerprint: string): void {
    this.#suspects.delete(fingerprint);
    this.#suspects.set(
      fingerprint,
      this.#clock.monotonicMilliseconds() + this.#suspectMilliseconds,
    );
    if (this.#suspects.size > this.#maximumSuspects) {
      const [oldest] = this.#suspects.keys();
      this.#suspects.delete(oldest ?? "");
    }
  }
}
