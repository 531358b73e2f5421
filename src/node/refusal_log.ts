import type { Clock, Log } from "../common/mod.ts";
import type { CallFailure } from "../request/mod.ts";

/** Shortest time between two lines about the same service and reason. */
const intervalMilliseconds = 1000;
const maximumEntries = 1024;

interface LogEntry {
  loggedMilliseconds: number;
  suppressed: number;
}

/** A refusal that an outside caller sees. */
export interface LoggedRefusal {
  readonly failure: CallFailure;
  readonly service: string;
  readonly className: string;
  readonly requestId: string;
  readonly caller: string;
  /** Resends of the caller in the last seconds. */
  readonly resends: number;
}

/** Writes refusals to the log, at most one line a second for each kind. */
export class RefusalLog {
  readonly #log: Log;
  readonly #clock: Clock;
  readonly #entries = new Map<string, LogEntry>();

  /**
   * @param log Where the lines go.
   * @param clock Limits their rate.
   */
  constructor(log: Log, clock: Clock) {
    this.#log = log;
    this.#clock = clock;
  }

  /** Writes a refusal, or counts it for the next line. */
  add(refusal: LoggedRefusal): void {
    const { failure, service } = refusal;
    const key = `${service} ${failure.reason} ${failure.disposition}`;
    const now = this.#clock.monotonicMilliseconds();
    const entry = this.#entries.get(key);
    if (
      entry !== undefined &&
      now - entry.loggedMilliseconds < intervalMilliseconds
    ) {
      entry.suppressed++;
      return;
    }
    this.#log.warn("call refused", {
      service,
      class: refusal.className,
      disposition: failure.disposition,
      reason: failure.reason,
      request: refusal.requestId,
      caller: refusal.caller,
      resends: refusal.resends,
      message: failure.message,
      suppressed: entry?.suppressed ?? 0,
    });
    if (this.#entries.size >= maximumEntries) {
      this.#entries.clear();
    }
    this.#entries.set(key, { loggedMilliseconds: now, suppressed: 0 });
  }
}
