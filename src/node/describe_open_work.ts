import type { LogFields } from "../common/mod.ts";
import type { CallPhase } from "./call_phase.ts";

/** What is open at a node. */
export interface OpenWork {
  readonly originCalls: Iterable<{ readonly phase: CallPhase }>;
  readonly targetCalls: Iterable<{ readonly phase: CallPhase }>;
  /** Number of responses that are not sent completely. */
  readonly responses: number;
}

/**
 * Describes what a node that stops waits for.
 * @param work Calls that entered at the node, calls at its target, responses.
 * @returns The fields of a log line, with the number of calls by phase.
 */
export function describeOpenWork(work: OpenWork): LogFields {
  return {
    origin: formatPhases(work.originCalls),
    target: formatPhases(work.targetCalls),
    responses: work.responses,
  };
}

/** Formats the number of calls by phase, such as `queued:2,at-target:1`. */
function formatPhases(calls: OpenWork["originCalls"]): string | undefined {
  const counts = new Map<CallPhase, number>();
  for (const { phase } of calls) {
    counts.set(phase, (counts.get(phase) ?? 0) + 1);
  }
  return counts.size === 0
    ? undefined
    : [...counts].map(([phase, count]) => `${phase}:${count}`).join(",");
}
