import type { Clock } from "../common/mod.ts";

/** Report to control of the requests that were in flight when a target crashed. */
export interface CrashReport {
  /**
   * Fingerprints of the requests. Those of one request stand from the widest to
   * the narrowest.
   */
  readonly fingerprints: readonly string[];
  /** True when the only request was a suspect that ran alone. */
  readonly wasAlone: boolean;
}

/** An update from control. */
export interface SuspectUpdate {
  readonly suspects: readonly string[];
  readonly cleared: readonly string[];
  /** Complete list of quarantined fingerprints; absent when it is unchanged. */
  readonly quarantined?: readonly string[] | undefined;
}

/** Options of a suspect list. */
export interface SuspectListOptions {
  readonly clock: Clock;
  /** Maximum number of suspects; the oldest are dropped first. */
  readonly maximumSuspects?: number;
  /** Time after which a suspect is cleared even if it has not completed. */
  readonly suspectLifetimeMilliseconds?: number;
}

/** Keeps the suspects and the quarantined fingerprints that a node knows. */
export class SuspectList {
  readonly #clock: Clock;
  readonly #maximumSuspects: number;
  readonly #suspectLifetimeMilliseconds: number;
  /** Monotonic time at which each suspect expires, earliest first. */
  readonly #suspects = new Map<string, number>();
  #quarantined: ReadonlySet<string> = new Set();

  /** @param options Clock and limits. */
  constructor(options: SuspectListOptions) {
    this.#clock = options.clock;
    this.#maximumSuspects = options.maximumSuspects ?? 4096;
    this.#suspectLifetimeMilliseconds = options.suspectLifetimeMilliseconds ??
      600_000;
  }

  /**
   * Checks whether a request must run alone.
   * @param fingerprints Its fingerprints.
   */
  isSuspect(fingerprints: readonly string[]): boolean {
    return fingerprints.some((each) => this.#isSuspect(each));
  }

  /**
   * Checks whether a request must not run at all.
   * @param fingerprints Its fingerprints.
   */
  isQuarantined(fingerprints: readonly string[]): boolean {
    return fingerprints.some((each) => this.#quarantined.has(each));
  }

  #isSuspect(fingerprint: string): boolean {
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

  /** Checks whether no fingerprint is a suspect or quarantined. */
  get isEmpty(): boolean {
    this.#removeExpiredSuspects();
    return this.#suspects.size === 0 && this.#quarantined.size === 0;
  }

  /**
   * Handles a crash of the target: every call in flight becomes a suspect.
   * @param inFlight Fingerprints of each call in flight at the crash.
   * @param wasAlone Whether the only call in flight was a suspect that ran alone.
   * @returns The report for control.
   */
  onCrash(
    inFlight: readonly (readonly string[])[],
    wasAlone: boolean,
  ): CrashReport {
    const fingerprints = [...new Set(inFlight.flat())];
    fingerprints.forEach((each) => this.#addSuspect(each));
    return { fingerprints, wasAlone: wasAlone && inFlight.length === 1 };
  }

  /**
   * Handles a completed call. A request that crashes targets never completes, so
   * none of its fingerprints is that of one: suspects among them are cleared, and
   * those in quarantine are admitted again.
   * @param fingerprints Its fingerprints.
   * @returns The fingerprints that were cleared.
   */
  onCompleted(fingerprints: readonly string[]): string[] {
    const cleared = fingerprints.filter((each) =>
      this.#suspects.has(each) || this.#quarantined.has(each)
    );
    cleared.forEach((each) => this.#suspects.delete(each));
    if (cleared.some((each) => this.#quarantined.has(each))) {
      this.#quarantined = new Set(
        [...this.#quarantined].filter((each) => !cleared.includes(each)),
      );
    }
    return cleared;
  }

  /** Applies an update from control. */
  applyUpdate(update: SuspectUpdate): void {
    update.suspects.forEach((each) => this.#addSuspect(each));
    update.cleared.forEach((each) => this.#suspects.delete(each));
    if (update.quarantined !== undefined) {
      this.#quarantined = new Set(update.quarantined);
    }
  }

  #removeExpiredSuspects(): void {
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
      this.#clock.monotonicMilliseconds() + this.#suspectLifetimeMilliseconds,
    );
    if (this.#suspects.size > this.#maximumSuspects) {
      const [oldest] = this.#suspects.keys();
      this.#suspects.delete(oldest ?? "");
    }
  }
}
