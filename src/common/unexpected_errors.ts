import type { Clock } from "./clock.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** Number of errors within the window after which the process must end. */
const maximumErrors = 20;
/** Length of the window in which errors are counted. */
const windowMilliseconds = 60_000;

/** What a process does after an error that no code handled. */
export type ErrorReaction = "continue" | "end";

/** Settings of {@link UnexpectedErrors}. */
export interface UnexpectedErrorsOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /**
   * Whether the process continues after a single error. One whose state outlasts
   * its calls, such as a member of the consensus group, ends instead and recovers
   * from its disk.
   */
  readonly mayContinue: boolean;
}

/**
 * Decides whether a process continues after an error that no code handled. Such
 * an error ends at most the call in which it happened, but a process in which
 * they repeat is better started anew.
 */
export class UnexpectedErrors {
  readonly #options: UnexpectedErrorsOptions;
  #times: number[] = [];

  /** @param options Log, metrics, clock and whether the process may continue. */
  constructor(options: UnexpectedErrorsOptions) {
    this.#options = options;
  }

  /**
   * Logs and counts an error.
   * @param error What was thrown, or the reason of a rejected promise.
   * @returns What the process is to do.
   */
  record(error: unknown): ErrorReaction {
    const { log, metrics, clock, mayContinue } = this.#options;
    const now = clock.monotonicMilliseconds();
    this.#times = this.#times.filter((each) => now - each < windowMilliseconds);
    this.#times.push(now);
    const reaction = mayContinue && this.#times.length <= maximumErrors
      ? "continue"
      : "end";
    metrics.increment("process.unexpected_errors", {});
    log.error("unexpected error", {
      reason: error instanceof Error ? error.message : String(error),
      stack: error instanceof Error ? error.stack : undefined,
      reaction,
      errors: this.#times.length,
    });
    return reaction;
  }
}
