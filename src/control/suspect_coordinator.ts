import type { Clock } from "../common/mod.ts";
import { CrashCorrelator, type CrashDecision } from "../suspects/mod.ts";
import type { CrashReport } from "../protocol/generated/session.ts";

/** Maximum number of suspects that are kept per environment for new sessions. */
const maximumSuspects = 1000;
const suspectLifetimeMilliseconds = 600_000;
const retryIntervalMilliseconds = 500;
/**
 * Maximum attempts to record a quarantine. They span about 30 s, while an
 * election takes up to 3 s.
 */
const maximumAttempts = 60;

/** Options of {@link SuspectCoordinator}. */
export interface SuspectCoordinatorOptions {
  readonly clock: Clock;
  readonly isLeader: () => boolean;
  /** Checks whether a quarantine is recorded in the replicated state. */
  readonly isQuarantined: (
    environment: string,
    fingerprint: string,
  ) => boolean;
  /** Publishes the whole quarantine to the nodes of this instance. */
  readonly publishQuarantine: (environment: string) => void;
  /**
   * Proposes a quarantine; returns false when the proposal was refused or its
   * outcome is unknown.
   */
  readonly proposeQuarantine: (
    environment: string,
    fingerprint: string,
  ) => Promise<boolean>;
  /** Publishes changes of suspects to the nodes of this instance. */
  readonly publishSuspects: (
    environment: string,
    change: { suspects: readonly string[]; cleared: readonly string[] },
  ) => void;
}

interface EnvironmentSuspects {
  readonly correlator: CrashCorrelator;
  /** Monotonic time of the last report of each suspect, oldest first. */
  readonly suspects: Map<string, number>;
  /** Quarantined fingerprints that are not yet known to be recorded. */
  readonly pendingQuarantines: Set<string>;
}

/**
 * Derives suspects and quarantines from crash reports. Every instance receives
 * every report. The leader records a quarantine at once; the other instances
 * record it if it is still missing after the retry interval.
 */
export class SuspectCoordinator {
  readonly #options: SuspectCoordinatorOptions;
  readonly #environments = new Map<string, EnvironmentSuspects>();
  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(options: SuspectCoordinatorOptions) {
    this.#options = options;
  }

  /** Handles a crash report from a node of any instance. */
  onCrashReport(environment: string, report: CrashReport): void {
    const state = this.#getOrCreate(environment);
    const decision: CrashDecision = state.correlator.onReport(report);
    const now = this.#options.clock.monotonicMilliseconds();
    for (const fingerprint of decision.suspects) {
      state.suspects.delete(fingerprint);
      state.suspects.set(fingerprint, now);
    }
    removeExpiredSuspects(state.suspects, now);
    if (decision.suspects.length > 0) {
      this.#options.publishSuspects(environment, {
        suspects: decision.suspects,
        cleared: [],
      });
    }
    for (const fingerprint of decision.quarantined) {
      state.suspects.delete(fingerprint);
      state.pendingQuarantines.add(fingerprint);
    }
    // The nodes are notified before the quarantine is committed. The request
    // may be sent again before the commit completes, or while there is no
    // leader.
    if (decision.quarantined.length > 0) {
      this.#options.publishQuarantine(environment);
    }
    for (const fingerprint of decision.quarantined) {
      if (this.#options.isLeader()) {
        void this.#recordQuarantine(environment, fingerprint, maximumAttempts);
      } else {
        this.#scheduleRetry(environment, fingerprint, maximumAttempts);
      }
    }
  }

  /** Handles the completion of a suspect: it is no longer suspected. */
  onCleared(environment: string, fingerprint: string): void {
    const state = this.#getOrCreate(environment);
    state.correlator.onCleared(fingerprint);
    state.suspects.delete(fingerprint);
    this.#options.publishSuspects(environment, {
      suspects: [],
      cleared: [fingerprint],
    });
  }

  /** Gets the suspects of an environment. */
  getSuspects(environment: string): string[] {
    const { suspects } = this.#getOrCreate(environment);
    removeExpiredSuspects(
      suspects,
      this.#options.clock.monotonicMilliseconds(),
    );
    return [...suspects.keys()];
  }

  /** Gets the quarantined fingerprints that are not yet known to be recorded. */
  getPendingQuarantines(environment: string): readonly string[] {
    return [...this.#getOrCreate(environment).pendingQuarantines];
  }

  /** Stops the retries. */
  stop(): void {
    this.#timers.forEach(clearTimeout);
    this.#timers.clear();
  }

  async #recordQuarantine(
    environment: string,
    fingerprint: string,
    attemptsLeft: number,
  ): Promise<void> {
    const { isQuarantined, proposeQuarantine } = this.#options;
    if (isQuarantined(environment, fingerprint) || attemptsLeft === 0) {
      this.#getOrCreate(environment).pendingQuarantines.delete(fingerprint);
      return;
    }
    if (await proposeQuarantine(environment, fingerprint)) {
      this.#getOrCreate(environment).pendingQuarantines.delete(fingerprint);
    } else {
      this.#scheduleRetry(environment, fingerprint, attemptsLeft - 1);
    }
  }

  #scheduleRetry(
    environment: string,
    fingerprint: string,
    attemptsLeft: number,
  ): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      void this.#recordQuarantine(environment, fingerprint, attemptsLeft);
    }, retryIntervalMilliseconds);
    this.#timers.add(timer);
  }

  #getOrCreate(environment: string): EnvironmentSuspects {
    let known = this.#environments.get(environment);
    if (known === undefined) {
      known = {
        correlator: new CrashCorrelator({ clock: this.#options.clock }),
        suspects: new Map(),
        pendingQuarantines: new Set(),
      };
      this.#environments.set(environment, known);
    }
    return known;
  }
}

/** Removes expired suspects, and the oldest ones beyond the maximum number. */
function removeExpiredSuspects(
  suspects: Map<string, number>,
  now: number,
): void {
  for (const [fingerprint, reportedMilliseconds] of suspects) {
    const isKept = suspects.size <= maximumSuspects &&
      now - reportedMilliseconds < suspectLifetimeMilliseconds;
    if (isKept) {
      break;
    }
    suspects.delete(fingerprint);
  }
}
