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

/** What the replicated state records about a fingerprint. */
export type QuarantineRecord = "none" | "quarantined" | "on-trial";

/** A change of the quarantine that an instance wants to be recorded. */
export type QuarantineChange = "quarantine" | "clear";

/** Options of {@link SuspectCoordinator}. */
export interface SuspectCoordinatorOptions {
  readonly clock: Clock;
  readonly isLeader: () => boolean;
  /** Gets what the replicated state records about a fingerprint. */
  readonly getRecord: (
    environment: string,
    fingerprint: string,
  ) => QuarantineRecord;
  /** Publishes the whole quarantine to the nodes of this instance. */
  readonly publishQuarantine: (environment: string) => void;
  /**
   * Proposes a quarantine or its end; returns false when the proposal was refused
   * or its outcome is unknown.
   */
  readonly propose: (
    change: QuarantineChange,
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
  /** Changes by fingerprint that are not yet known to be recorded. */
  readonly pendingChanges: Map<string, QuarantineChange>;
  /** Fingerprints with a proposal that is not decided yet. */
  readonly proposed: Set<string>;
}

/**
 * Derives suspects and quarantines from crash reports, and clears them when a
 * request completes. Every instance receives every report. The leader records a
 * change at once; the other instances record it if it is still missing after the
 * retry interval.
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
      state.pendingChanges.set(fingerprint, "quarantine");
    }
    // The nodes are notified before the quarantine is committed. The request
    // may be sent again before the commit completes, or while there is no
    // leader.
    if (decision.quarantined.length > 0) {
      this.#options.publishQuarantine(environment);
    }
    for (const fingerprint of decision.quarantined) {
      this.#startRecording(environment, fingerprint);
    }
  }

  /**
   * Handles the completion of a request: it is no longer suspected, and is
   * admitted again if it was quarantined by mistake.
   */
  onCleared(environment: string, fingerprint: string): void {
    const state = this.#getOrCreate(environment);
    state.correlator.onCleared(fingerprint);
    state.suspects.delete(fingerprint);
    this.#options.publishSuspects(environment, {
      suspects: [],
      cleared: [fingerprint],
    });
    const wasPending = state.pendingChanges.get(fingerprint) === "quarantine";
    const record = this.#options.getRecord(environment, fingerprint);
    if (wasPending || record !== "none") {
      state.pendingChanges.set(fingerprint, "clear");
      this.#options.publishQuarantine(environment);
      this.#startRecording(environment, fingerprint);
    }
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

  /** Gets the changes by fingerprint that are not yet known to be recorded. */
  getPendingChanges(
    environment: string,
  ): ReadonlyMap<string, QuarantineChange> {
    return this.#getOrCreate(environment).pendingChanges;
  }

  /** Stops the retries. */
  stop(): void {
    this.#timers.forEach(clearTimeout);
    this.#timers.clear();
  }

  #startRecording(environment: string, fingerprint: string): void {
    if (this.#options.isLeader()) {
      void this.#record(environment, fingerprint, maximumAttempts);
    } else {
      this.#scheduleRetry(environment, fingerprint, maximumAttempts);
    }
  }

  /** Records the pending change of a fingerprint, which may have changed since. */
  async #record(
    environment: string,
    fingerprint: string,
    attemptsLeft: number,
  ): Promise<void> {
    const { getRecord, propose } = this.#options;
    const { pendingChanges, proposed } = this.#getOrCreate(environment);
    if (proposed.has(fingerprint)) {
      // The outcome of that proposal has to be known first.
      this.#scheduleRetry(environment, fingerprint, attemptsLeft);
      return;
    }
    const change = pendingChanges.get(fingerprint);
    const record = getRecord(environment, fingerprint);
    const isRecorded = change === "quarantine"
      ? record === "quarantined"
      : record === "none";
    if (change === undefined || attemptsLeft === 0 || isRecorded) {
      pendingChanges.delete(fingerprint);
      return;
    }
    proposed.add(fingerprint);
    const isDone = await propose(change, environment, fingerprint);
    proposed.delete(fingerprint);
    if (isDone && pendingChanges.get(fingerprint) === change) {
      pendingChanges.delete(fingerprint);
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
      void this.#record(environment, fingerprint, attemptsLeft);
    }, retryIntervalMilliseconds);
    this.#timers.add(timer);
  }

  #getOrCreate(environment: string): EnvironmentSuspects {
    let known = this.#environments.get(environment);
    if (known === undefined) {
      known = {
        correlator: new CrashCorrelator({ clock: this.#options.clock }),
        suspects: new Map(),
        pendingChanges: new Map(),
        proposed: new Set(),
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
