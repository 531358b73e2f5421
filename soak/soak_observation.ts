import type {
  StandInRefusal,
  StandInRun,
} from "../tests/support/stand_in_run.ts";
import type { Exchange } from "./exchange.ts";
import type { ProcessTimeline } from "./process_timeline.ts";

/** An entry in the record of a target. */
export interface TargetRun extends StandInRun {
  /** Name of the node beside the target. */
  readonly node: string;
}

/** A call of a target that its node refused. */
export interface RefusedCall {
  /** The run that made the call. */
  readonly run: TargetRun;
  readonly refusal: StandInRefusal;
}

/** What callers and targets saw during a run. */
export interface SoakObservation {
  readonly exchanges: readonly Exchange[];
  readonly timeline: ProcessTimeline;
  /** Runs of the targets, also those that a target shed. */
  readonly runs: readonly TargetRun[];
  /** Runs one of whose calls ended without an answer. */
  readonly brokenCalls: readonly TargetRun[];
  readonly refusedCalls: readonly RefusedCall[];
}

/**
 * Separates the entries of the targets' records.
 * @param entries The entries of all targets.
 * @returns Runs by start, and the entries about broken calls.
 */
export function separateEntries(
  entries: readonly TargetRun[],
): Pick<SoakObservation, "runs" | "brokenCalls" | "refusedCalls"> {
  const shed = new Set(
    entries.filter((each) => each.end === "shed").map(getRunKey),
  );
  return {
    runs: entries.filter((each) => each.end === "running").map((each) =>
      shed.has(getRunKey(each)) ? { ...each, end: "shed" } : each
    ),
    brokenCalls: entries.filter((each) => each.end === "call-broken"),
    refusedCalls: entries.flatMap((run) =>
      run.refusal === undefined ? [] : [{ run, refusal: run.refusal }]
    ),
  };
}

/**
 * Gets the names of the processes beside which runs took place.
 * @param runs The runs.
 * @returns Names of nodes and targets.
 */
export function getProcesses(runs: readonly TargetRun[]): string[] {
  return runs.flatMap(({ node }) => [`${node}-node`, `${node}-target`]);
}

function getRunKey(run: TargetRun): string {
  return `${run.node} ${run.request}`;
}
