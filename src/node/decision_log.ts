import type { Clock, Log, LogFields } from "../common/mod.ts";
import type { LoadHint, ServiceLevel } from "../request/mod.ts";

/** Lines a second that are written on average. */
const linesPerSecond = 40;
/** Lines that are written at once after a quiet time. */
const burstLines = 200;
/** Part of the burst that is kept for refusals and failures. */
const reservedLines = 100;
/** One of so many requests is followed through all of its decisions. */
const samplingInterval = 64;
/** Interval at which the number of dropped lines is told. */
const dropReportIntervalMilliseconds = 10_000;

/** How much a decision matters afterwards. */
export type DecisionPriority =
  /** Written while the rate allows. */
  | "failure"
  /** Written for sampled requests only. */
  | "routine";

/** A decision that touches a request. */
export interface Decision {
  /** Identity of the request. */
  readonly requestId: string;
  /** Stable hash of the identity, by which all nodes sample alike. */
  readonly hash: number;
  readonly priority: DecisionPriority;
  readonly event: string;
  readonly fields: LogFields;
}

/**
 * Writes decisions that touch requests, at a bounded rate. Every node follows
 * the same requests; refusals and failures go before them.
 */
export class DecisionLog {
  readonly #log: Log;
  readonly #clock: Clock;
  #availableLines = burstLines;
  #refilledAt: number;
  #reportedAt: number;
  #dropped = 0;

  /**
   * @param log Where the lines go.
   * @param clock Limits their rate.
   */
  constructor(log: Log, clock: Clock) {
    this.#log = log;
    this.#clock = clock;
    this.#refilledAt = clock.monotonicMilliseconds();
    this.#reportedAt = this.#refilledAt;
  }

  /** Writes a decision, or counts it as dropped. */
  record(decision: Decision): void {
    const { requestId, priority: weight, event, fields } = decision;
    const isFailure = weight === "failure";
    if (!isFailure && decision.hash % samplingInterval !== 0) {
      return;
    }
    this.#refill();
    if (this.#availableLines < (isFailure ? 1 : reservedLines)) {
      this.#dropped++;
      return;
    }
    this.#availableLines--;
    const line = { request: requestId, ...fields };
    if (isFailure) {
      this.#log.warn(event, line);
    } else {
      this.#log.info(event, line);
    }
  }

  #refill(): void {
    const now = this.#clock.monotonicMilliseconds();
    const elapsed = now - this.#refilledAt;
    this.#refilledAt = now;
    this.#availableLines = Math.min(
      burstLines,
      this.#availableLines + elapsed * linesPerSecond / 1000,
    );
    if (
      this.#dropped > 0 &&
      now - this.#reportedAt >= dropReportIntervalMilliseconds
    ) {
      this.#log.warn("decisions dropped", { count: this.#dropped });
      this.#dropped = 0;
      this.#reportedAt = now;
    }
  }
}

/** Formats the load of a target as `running+queued/limit`. */
export function formatLoad(load: LoadHint | undefined): string | undefined {
  return load && `${load.running}+${load.queued}/${load.limit}`;
}

/** Formats admission levels as `service:level`, separated by commas. */
export function formatLevels(levels: readonly ServiceLevel[]): string {
  return levels.map(({ service, level }) => `${service}:${level}`).join(",");
}
