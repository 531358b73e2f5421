import { type Finding, formatFinding } from "../common/mod.ts";
import type { CallFailure } from "./control_connection.ts";
import { type ExitCode, exitCodes, getRefusalExitCode } from "./exit_code.ts";

/** What a command prints, and the exit code of the process. */
export interface CommandOutcome {
  readonly exitCode: ExitCode;
  /** Printed with `--json`. */
  readonly json: unknown;
  /** Lines printed without `--json`. */
  readonly lines: readonly string[];
}

/**
 * Creates the outcome of a call that failed.
 * @param failure The failure.
 * @param hint Line that tells the operator how to proceed.
 * @returns The outcome.
 */
export function createFailureOutcome(
  failure: CallFailure,
  hint?: string,
): CommandOutcome {
  const { exitCode, error, message } = describeFailure(failure);
  return {
    exitCode,
    json: { error, message, hint },
    lines: [`${error}: ${message}`, ...(hint === undefined ? [] : [hint])],
  };
}

function describeFailure(failure: CallFailure) {
  switch (failure.kind) {
    case "refused":
      return {
        exitCode: getRefusalExitCode(failure.refusal),
        error: failure.refusal.reason,
        message: failure.refusal.message,
      };
    case "unauthenticated":
      return {
        exitCode: exitCodes.other,
        error: failure.kind,
        message: failure.message,
      };
    case "unreachable":
      return {
        exitCode: exitCodes.unreachable,
        error: failure.kind,
        message: failure.message,
      };
  }
}

/**
 * Formats rows as aligned columns.
 * @param rows Cells of each row.
 * @returns One line for each row.
 */
export function formatColumns(rows: readonly (readonly string[])[]): string[] {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
      .trimEnd()
  );
}

/**
 * Creates the outcome of a check of a document.
 * @param findings The findings.
 * @param success Line that is printed when there are none.
 * @returns The outcome.
 */
export function createFindingsOutcome(
  findings: readonly Finding[],
  success: string,
): CommandOutcome {
  const isValid = findings.length === 0;
  return {
    exitCode: isValid ? exitCodes.ok : exitCodes.invalidInput,
    json: { findings },
    lines: isValid ? [success] : findings.map(formatFinding),
  };
}
