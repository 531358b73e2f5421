import type { Clock } from "../common/mod.ts";
import type { CrashReport } from "../protocol/generated/session.ts";
import type { ControlHost } from "./session_services.ts";

/** Judges the crashes of one environment; the same on every instance. */
export interface CrashRules {
  onReport(report: CrashReport): {
    readonly suspects: readonly string[];
    readonly quarantined: readonly string[];
  };
  onCleared(fingerprint: string): void;
}

/** Settings of {@link CrashNewsroom}. */
export interface CrashNewsroomOptions {
  readonly control: Pick<ControlHost, "getQuarantined" | "quarantine">;
  readonly clock: Clock;
  createCrashRules(): CrashRules;
  publish(
    environment: string,
    change: { suspects: readonly string[]; cleared: readonly string[] },
  ): void;
}

interface Environment {
  readonly rules: CrashRules;
  /** Monotonic time at which each suspect was reported last. */
  readonly suspects: Map<string, number>;
}

// As long as crash reports are remembered.
const suspectMilliseconds = 600_000;
const maximumSuspects = 1000;
const retryMilliseconds = 500;
const maximumRetries = 120;

/**
 * Turns crash reports of all instances into suspects and quarantine requests.
 * Every instance gets every report, so each tells its own nodes of suspects.
 */
export class CrashNewsroom {
  readonly #options: CrashNewsroomOptions;
  readonly #environments = new Map<string, Environment>();
  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(options: CrashNewsroomOptions) {
    this.#options = options;
  }

  getSuspects(environment: string): string[] {
    const limit = this.#options.clock.monotonicMilliseconds() -
      suspectMilliseconds;
    return [...this.#environments.get(environment)?.suspects ?? []]
      .filter(([, reportedAt]) => reportedAt > limit)
      .map(([fingerprint]) => fingerprint);
  }

  onReport(
    environment: string,
    report: CrashReport,
    options: { isLocal: boolean },
  ): void {
    const { rules, suspects } = this.#getEnvironment(environment);
    const decision = rules.onReport(report);
    const now = this.#options.clock.monotonicMilliseconds();
    for (const fingerprint of decision.suspects) {
      suspects.delete(fingerprint);
      suspects.set(fingerprint, now);
    }
    for (const fingerprint of suspects.keys()) {
      if (suspects.size <= maximumSuspects) {
        break;
      }
      suspects.delete(fingerprint);
    }
    decision.quarantined.forEach((each) => suspects.delete(each));
    if (decision.suspects.length > 0) {
      this.#options.publish(environment, {
        suspects: decision.suspects,
        cleared: [],
      });
    }
    for (const fingerprint of decision.quarantined) {
      // The instance that has the node's session proposes; the others do if
      // that did not work.
      this.#quarantine(
        { environment, fingerprint, report },
        options.isLocal ? 0 : 2 * retryMilliseconds,
      );
    }
  }

  onCleared(environment: string, fingerprint: string): void {
    const { rules, suspects } = this.#getEnvironment(environment);
    rules.onCleared(fingerprint);
    if (suspects.delete(fingerprint)) {
      this.#options.publish(environment, {
        suspects: [],
        cleared: [fingerprint],
      });
    }
  }

  stop(): void {
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#timers.clear();
  }

  #quarantine(
    decision: {
      environment: string;
      fingerprint: string;
      report: CrashReport;
    },
    delayMilliseconds: number,
    retries = maximumRetries,
  ): void {
    const { environment, fingerprint, report } = decision;
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      const { control } = this.#options;
      if (
        retries === 0 ||
        control.getQuarantined(environment).includes(fingerprint)
      ) {
        return;
      }
      control.quarantine({
        environment,
        fingerprint,
        reason: report.wasAlone
          ? "crashed a target while it ran alone"
          : "only request common to two crashes",
        reportedBy: report.targetId,
      }).then((isDone) => {
        if (!isDone) {
          this.#quarantine(decision, retryMilliseconds, retries - 1);
        }
      }, () => this.#quarantine(decision, retryMilliseconds, retries - 1));
    }, delayMilliseconds);
    this.#timers.add(timer);
  }

  #getEnvironment(name: string): Environment {
    let environment = this.#environments.get(name);
    if (environment === undefined) {
      environment = {
        rules: this.#options.createCrashRules(),
        suspects: new Map(),
      };
      this.#environments.set(name, environment);
    }
    return environment;
  }
}
