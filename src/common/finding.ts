/** An error in an input file, with its location. */
export interface Finding {
  readonly file: string;
  /** Line, counted from 1; 0 when the error has no line. */
  readonly line: number;
  /** Dotted path of the key, such as `services.treasury.slots`. */
  readonly key: string;
  readonly message: string;
}

/**
 * Formats a finding as `file:line: key: message`.
 * @param finding The finding.
 * @returns One line of text.
 */
export function formatFinding(finding: Finding): string {
  const location = finding.line > 0
    ? `${finding.file}:${finding.line}`
    : finding.file;
  return finding.key === ""
    ? `${location}: ${finding.message}`
    : `${location}: ${finding.key}: ${finding.message}`;
}
