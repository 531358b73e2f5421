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
}
