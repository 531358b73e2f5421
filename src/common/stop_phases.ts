import type { Clock } from "./clock.ts";
import type { Log, LogFields } from "./log.ts";

/**
 * Runs the phases of a stop and logs the start and the end of each, so that the
 * log of a process that is killed shows what it was waiting for.
 */
export class StopPhases {
  readonly #log: Log;
  readonly #clock: Clock;
  readonly #startedMilliseconds: number;

  /**
   * @param log Log for the lines.
   * @param clock Clock for the durations.
   */
  constructor(log: Log, clock: Clock) {
    this.#log = log;
    this.#clock = clock;
    this.#startedMilliseconds = clock.monotonicMilliseconds();
  }

  /**
   * Runs a phase.
   * @param phase Name of the phase.
   * @param run What the phase does.
   * @param getWaitsFor Gets what the phase waits for, or what is left of it.
   * @returns The result of the phase.
   */
  async run<Value>(
    phase: string,
    run: () => Promise<Value> | Value,
    getWaitsFor: () => LogFields = () => ({}),
  ): Promise<Value> {
    const start = this.#clock.monotonicMilliseconds();
    this.#log.info("stop phase", {
      phase,
      sinceStop: Math.round(start - this.#startedMilliseconds),
      ...getWaitsFor(),
    });
    try {
      return await run();
    } finally {
      const end = this.#clock.monotonicMilliseconds();
      this.#log.info("stop phase ended", {
        phase,
        milliseconds: Math.round(end - start),
        ...getWaitsFor(),
      });
    }
  }
}
