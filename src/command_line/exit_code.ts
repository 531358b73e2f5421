import { retryableReasons } from "./control_connection.ts";
import type { Refusal } from "../protocol/generated/common.ts";

/** Exit codes of the command line. */
export const exitCodes = {
  ok: 0,
  other: 1,
  invalidInput: 2,
  conflict: 3,
  unreachable: 4,
  notInForce: 5,
} as const;

/** An exit code of the command line. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

const invalidInputReasons = new Set([
  "invalid-document",
  "invalid-request",
  "unknown-environment",
  "unknown-revision",
  "unknown-target",
]);

/**
 * Gets the exit code for a refusal of a control instance.
 * @param refusal The refusal.
 * @returns The code.
 */
export function getRefusalExitCode(refusal: Refusal): ExitCode {
  if (invalidInputReasons.has(refusal.reason)) {
    return exitCodes.invalidInput;
  }
  return retryableReasons.has(refusal.reason)
    ? exitCodes.unreachable
    : exitCodes.other;
}
