import type { Clock, Log, LogFields } from "../common/mod.ts";
import type { LoadHint, ServiceLevel } from "../request/mod.ts";

/** Maximum average number of lines written per second. */
const linesPerSecond = 40;
/** Maximum number of lines written at once. */
const burstLines = 200;
/** Part of the burst that is reserved for refusals and failures. */
const reservedLines = 100;
/** One in this many requests is logged with all of its decisions. */
const samplingInterval = 64;
/** Minimum interval between reports of the number of dropped lines. */
const dropReportIntervalMilliseconds = 10_000;

/** Maximum length of an ID or other text of a caller in a line. */
const maximumTextLength = 256;

/** Priority with which a decision is logged. */
export type DecisionPriority =
  /** Logged for all requests, within the limit of the rate. */
  | "failure"
  /** Logged for sampled requests only. */
  | "routine";

/** A decision about a request. */
export interface Decision {
  /** ID of the request. */
  readonly requestId: string;
  /** Stable hash of the request ID, so that all nodes sample the same ones. */
  readonly hash: number;
  readonly priority: DecisionPriority;
  readonly event: string;
  readonly fields: LogFields;
}

/**
 * Logs decisions about requests, at a limited rate. Refusals and failures have
 * priority over sampled requests.
 */
export class DecisionLog {
  readonly #log: Log;
  readonly #clock: Clock;
  #availableLines = burstLines;
  #refilledAt: number;
  #reportedAt: number;
  #dropped = 0;

  /**
   * @param log Log for the lines.
   * @param clock Clock for the limit of the rate.
   */
  constructor(log: Log, clock: Clock) {
    this.#log = log;
    this.#clock = clock;
    this.#refilledAt = clock.monotonicMilliseconds();
    this.#reportedAt = this.#refilledAt;
  }

  /** Logs a decision, or counts it as dropped. */
  record(decision: Decision): void {
    const { requestId, priority, event, fields } = decision;
    const isFailure = priority === "failure";
    if (!isFailure && decision.hash % samplingInterval !== 0) {
      return;
    }
    this.#refill();
    if (this.#availableLines < (isFailure ? 1 : reservedLines)) {
      this.#dropped++;
      return;
    }
    this.#availableLines--;
    const line = { request: shortenText(requestId), ...fields };
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

/**
 * Shortens text that a caller chose, such as the ID of a request, so that lines
 * stay short.
 * @param text The text.
 * @returns Its first 256 characters.
 */
export function shortenText(text: string): string {
  return text.slice(0, maximumTextLength);
}

/** Formats the load of a target as `running+queued/limit`. */
export function formatLoad(load: LoadHint | undefined): string | undefined {
  return load && `${load.running}+${load.queued}/${load.limit}`;
}

/** Formats admission levels as `service:level`, separated by commas. */
export function formatLevels(levels: readonly ServiceLevel[]): string {
  return levels.map(({ service, level }) => `${service}:${level}`).join(",");
}
