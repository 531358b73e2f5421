import type { Violation } from "./violation.ts";

/** A fault that is listed in KNOWN-RED.txt. */
export interface KnownFault {
  /** First line of its entry in KNOWN-RED.txt. */
  readonly entry: string;
  /** Reports whether a violation is this fault, and no other one. */
  isCauseOf(violation: Violation): boolean;
}

/**
 * The faults over which a soak passes. They are printed, and every other
 * violation fails the run.
 */
export const knownFaults: readonly KnownFault[] = [];

/**
 * Finds the known fault that a violation shows.
 * @param violation The violation.
 * @returns The fault; `undefined` if it is a new one.
 */
export function getKnownFault(violation: Violation): KnownFault | undefined {
  return knownFaults.find((fault) => fault.isCauseOf(violation));
}
