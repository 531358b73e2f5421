import type { Clock } from "../common/mod.ts";
import { CrashCorrelator, type CrashDecision } from "../suspects/mod.ts";
import type { CrashReport } from "../protocol/generated/session.ts";

/** Suspects of an environment that new sessions are told of. */
const maximumSuspects = 1000;
const suspectMilliseconds = 600_000;
const retryMilliseconds = 500;
/** Attempts to record a quarantine; an election takes up to 3 s. */
const maximumAttempts = 60;

/** What {@link SuspectCoordinator} needs. */
export interface SuspectCoordinatorOptions {
  readonly clock: Clock;
  readonly isLeader: () => boolean;
  readonly isQuarantined: (
    environment: string,
    fingerprint: string,
  ) => boolean;
  /** Tells the nodes of this instance the whole quarantine. */
  readonly publishQuarantine: (environment: string) => void;
  /** Proposes a quarantine; false when it may not have been recorded. */
  readonly quarantine: (
    environment: string,
    fingerprint: string,
  ) => Promise<boolean>;
  /** Tells the nodes of this instance. */
  readonly publish: (
    environment: string,
    change: { suspects: readonly string[]; cleared: readonly string[] },
  ) => void;
}

interface EnvironmentSuspects {
  readonly correlator: CrashCorrelator;
  /** Time at which each suspect was reported last. */
  readonly suspects: Map<string, number>;
  /** Quarantines that are decided and not yet known to be recorded. */
  readonly pending: Set<string>;
}

/**
 * Turns crash reports into suspects and quarantines. Every instance hears every
 * report; the leader records a quarantine, and the others do so when it is
 * still missing at the first retry.
 */
export class SuspectCoordinator {
  readonly #options: SuspectCoordinatorOptions;
  readonly #environments = new Map<string, EnvironmentSuspects>();
  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(options: SuspectCoordinatorOptions) {
    this.#options = options;
  }

  /** Takes in a crash report of a node of any instance. */
  onCrashReport(environment: string, report: CrashReport): void {
    const known = this.#get(environment);
    const decision: CrashDecision = known.correlator.onReport(report);
    const now = this.#options.clock.monotonicMilliseconds();
    for (const fingerprint of decision.suspects) {
      known.suspects.delete(fingerprint);
      known.suspects.set(fingerprint, now);
    }
    removeOld(known.suspects, now);
    if (decision.suspects.length > 0) {
      this.#options.publish(environment, {
        suspects: decision.suspects,
        cleared: [],
      });
    }
    for (const fingerprint of decision.quarantined) {
      known.suspects.delete(fingerprint);
      known.pending.add(fingerprint);
    }
    // The nodes hear of it before it is in the log, because the request may be
    // sent again within the time of one commit, or while there is no leader.
    if (decision.quarantined.length > 0) {
      this.#options.publishQuarantine(environment);
    }
    for (const fingerprint of decision.quarantined) {
      if (this.#options.isLeader()) {
        void this.#record(environment, fingerprint, maximumAttempts);
      } else {
        this.#retry(environment, fingerprint, maximumAttempts);
      }
    }
  }

  /** Takes in that a suspect completed. */
  onCleared(environment: string, fingerprint: string): void {
    const known = this.#get(environment);
    known.correlator.onCleared(fingerprint);
    known.suspects.delete(fingerprint);
    this.#options.publish(environment, {
      suspects: [],
      cleared: [fingerprint],
    });
  }

  /** Gets the suspects of an environment. */
  getSuspects(environment: string): string[] {
    const { suspects } = this.#get(environment);
    removeOld(suspects, this.#options.clock.monotonicMilliseconds());
    return [...suspects.keys()];
  }

  /** Gets the quarantines that are decided and not yet recorded. */
  getPending(environment: string): readonly string[] {
    return [...this.#get(environment).pending];
  }

  /** Ends the retries. */
  stop(): void {
    this.#timers.forEach(clearTimeout);
    this.#timers.clear();
  }

  async #record(
    environment: string,
    fingerprint: string,
    attemptsLeft: number,
  ): Promise<void> {
    const { isQuarantined, quarantine } = this.#options;
    if (isQuarantined(environment, fingerprint) || attemptsLeft === 0) {
      this.#get(environment).pending.delete(fingerprint);
      return;
    }
    if (await quarantine(environment, fingerprint)) {
      this.#get(environment).pending.delete(fingerprint);
    } else {
      this.#retry(environment, fingerprint, attemptsLeft - 1);
    }
  }

  #retry(environment: string, fingerprint: string, attemptsLeft: number): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      void this.#record(environment, fingerprint, attemptsLeft);
    }, retryMilliseconds);
    this.#timers.add(timer);
  }

  #get(environment: string): EnvironmentSuspects {
    let known = this.#environments.get(environment);
    if (known === undefined) {
      known = {
        correlator: new CrashCorrelator({ clock: this.#options.clock }),
        suspects: new Map(),
        pending: new Set(),
      };
      this.#environments.set(environment, known);
    }
    return known;
  }
}

function removeOld(suspects: Map<string, number>, now: number): void {
  for (const [fingerprint, since] of suspects) {
    const isKept = suspects.size <= maximumSuspects &&
      now - since < suspectMilliseconds;
    if (isKept) {
      break;
    }
    suspects.delete(fingerprint);
  }
}
