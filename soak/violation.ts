import { formatKeyValues, type LogFields } from "../src/common/mod.ts";

/** A rule that a run can break. */
export type ViolationKind =
  | "lost"
  | "lost-nested"
  | "read-unanswered"
  | "never-answered"
  | "ran-twice"
  | "false-not-run"
  | "wrong-response"
  | "denied"
  | "accepted-invalid"
  | "work-after-drain"
  | "leaked-key"
  | "wrong-tenant"
  | "withdrawn-key"
  | "lost-revision"
  | "older-revision"
  | "late-document"
  | "not-stopped"
  | "unexpected-exit"
  | "run-failed";

/** A broken rule, and what was seen. */
export interface Violation {
  readonly kind: ViolationKind;
  readonly fields: LogFields;
}

/**
 * Creates a violation.
 * @param kind The broken rule.
 * @param fields What was seen.
 */
export function createViolation(
  kind: ViolationKind,
  fields: LogFields,
): Violation {
  return { kind, fields };
}

/**
 * Formats a violation as a line.
 * @param violation The violation.
 * @returns The line, without a line break.
 */
export function formatViolation(violation: Violation): string {
  return formatKeyValues({ violation: violation.kind, ...violation.fields });
}
