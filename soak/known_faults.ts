import type { Violation } from "./violation.ts";

/** A fault that is listed in KNOWN-RED.txt. */
export interface KnownFault {
  /** First line of its entry in KNOWN-RED.txt. */
  readonly entry: string;
  /** Reports whether a violation is this fault, and no other one. */
  isCauseOf(violation: Violation): boolean;
}

/** Deadline of the views, after which their node gives a request up. */
const viewDeadlineMilliseconds = 1500;

/**
 * The faults over which a soak passes. They are printed, and every other
 * violation fails the run.
 */
export const knownFaults: readonly KnownFault[] = [
  {
    entry: "soak: a deadline cuts a response that is being read",
    isCauseOf: ({ kind, fields }) =>
      (kind === "lost" || kind === "read-unanswered") &&
      String(fields["client"]).endsWith("/slow-reader") &&
      Number(fields["oldestMilliseconds"]) >= viewDeadlineMilliseconds,
  },
];

/**
 * Finds the known fault that a violation shows.
 * @param violation The violation.
 * @returns The fault; `undefined` if it is a new one.
 */
export function getKnownFault(violation: Violation): KnownFault | undefined {
  return knownFaults.find((fault) => fault.isCauseOf(violation));
}
