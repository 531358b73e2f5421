/** What was done to a process. */
export type Intervention = "stopped" | "killed" | "frozen" | "drained";

/** A period in which something was done to a process. */
export interface TimelineEntry {
  readonly process: string;
  readonly intervention: Intervention;
  readonly fromMilliseconds: number;
  /** End of the period; infinite while it lasts. */
  toMilliseconds: number;
}

/** A stop of a process by SIGTERM. */
export interface ProcessStop {
  readonly process: string;
  /** Time from the first signal to the exit. */
  readonly milliseconds: number;
  /** Exit code; -1 if a signal ended the process. */
  readonly code: number;
  readonly signal: string | null;
}

/**
 * Time before and after an unplanned intervention within which its effects are
 * still seen.
 */
const effectMilliseconds = 5000;

/** Records what a run does to its processes. */
export class ProcessTimeline {
  readonly entries: TimelineEntry[] = [];
  readonly stops: ProcessStop[] = [];

  /**
   * Records the start of an intervention.
   * @param process Name of the process.
   * @param intervention What is done to it.
   * @returns Ends the period.
   */
  begin(process: string, intervention: Intervention): () => void {
    const entry: TimelineEntry = {
      process,
      intervention,
      fromMilliseconds: Date.now(),
      toMilliseconds: Infinity,
    };
    this.entries.push(entry);
    return () => entry.toMilliseconds = Date.now();
  }

  /**
   * Gets the time for which a process has been stopping.
   * @param process Name of the process.
   * @param milliseconds The time of the question.
   * @returns The time since SIGTERM; `undefined` if it was not stopping.
   */
  getStoppingMilliseconds(
    process: string,
    milliseconds: number,
  ): number | undefined {
    const stop = this.entries.find((entry) =>
      entry.intervention === "stopped" && entry.process === process &&
      entry.fromMilliseconds <= milliseconds &&
      entry.toMilliseconds >= milliseconds
    );
    return stop && milliseconds - stop.fromMilliseconds;
  }

  /**
   * Reports whether a process ended in a period.
   * @param process Name of the process.
   * @param fromMilliseconds Start of the period.
   * @param toMilliseconds End of the period.
   */
  hasRestarted(
    process: string,
    fromMilliseconds: number,
    toMilliseconds: number,
  ): boolean {
    return this.entries.some((entry) =>
      (entry.intervention === "stopped" || entry.intervention === "killed") &&
      entry.process === process &&
      entry.fromMilliseconds >= fromMilliseconds &&
      entry.fromMilliseconds <= toMilliseconds
    );
  }

  /**
   * Reports whether a process was killed or frozen near a period, so that
   * requests may have been lost there.
   * @param processes Names of the processes.
   * @param fromMilliseconds Start of the period.
   * @param toMilliseconds End of the period.
   */
  isDisturbed(
    processes: readonly string[],
    fromMilliseconds: number,
    toMilliseconds: number,
  ): boolean {
    return this.entries.some((entry) =>
      (entry.intervention === "killed" || entry.intervention === "frozen") &&
      processes.includes(entry.process) &&
      entry.fromMilliseconds - effectMilliseconds <= toMilliseconds &&
      entry.toMilliseconds + effectMilliseconds >= fromMilliseconds
    );
  }

  /**
   * Gets the end of the first period in which nothing is done to processes except
   * drains.
   * @param processes Names of the processes.
   * @param period Earliest start of the period, and its length.
   */
  getCalmDeadline(
    processes: readonly string[],
    period: { fromMilliseconds: number; milliseconds: number },
  ): number {
    const entries = this.entries.filter(({ process, intervention }) =>
      intervention !== "drained" && processes.includes(process)
    ).toSorted((a, b) => a.fromMilliseconds - b.fromMilliseconds);
    let deadline = period.fromMilliseconds + period.milliseconds;
    for (const { fromMilliseconds, toMilliseconds } of entries) {
      if (fromMilliseconds <= deadline) {
        deadline = Math.max(deadline, toMilliseconds + period.milliseconds);
      }
    }
    return deadline;
  }
}
