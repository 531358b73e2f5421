/**
 * Maximum number of cells of the comparison table. Beyond it, all lines between
 * the first and the last difference are shown as replaced.
 */
const maximumTableCells = 4_000_000;

/**
 * Compares two texts line by line.
 * @param before The older text.
 * @param after The newer text.
 * @returns The removed lines, prefixed with `-`, and the added lines, prefixed
 * with `+`, in order; unchanged lines are left out.
 */
export function getChangedLines(before: string, after: string): string[] {
  const oldLines = splitLines(before);
  const newLines = splitLines(after);
  let start = 0;
  while (start < oldLines.length && oldLines[start] === newLines[start]) {
    start += 1;
  }
  let end = 0;
  while (
    end < Math.min(oldLines.length, newLines.length) - start &&
    oldLines.at(-1 - end) === newLines.at(-1 - end)
  ) {
    end += 1;
  }
  return compareMiddle(
    oldLines.slice(start, oldLines.length - end),
    newLines.slice(start, newLines.length - end),
  );
}

function splitLines(text: string): string[] {
  const lines = text.split("\n");
  if (lines.at(-1) === "") {
    lines.pop();
  }
  return lines;
}

/**
 * Compares the lines between the common start and end of two texts, by dynamic
 * programming for their longest common subsequence.
 */
function compareMiddle(oldLines: string[], newLines: string[]): string[] {
  const width = newLines.length + 1;
  if ((oldLines.length + 1) * width > maximumTableCells) {
    return [
      ...oldLines.map((line) => `-${line}`),
      ...newLines.map((line) => `+${line}`),
    ];
  }
  const common = new Uint32Array((oldLines.length + 1) * width);
  const getCommon = (row: number, column: number) =>
    common[row * width + column] as number;
  for (let row = oldLines.length - 1; row >= 0; row--) {
    for (let column = newLines.length - 1; column >= 0; column--) {
      common[row * width + column] = oldLines[row] === newLines[column]
        ? getCommon(row + 1, column + 1) + 1
        : Math.max(getCommon(row + 1, column), getCommon(row, column + 1));
    }
  }
  const lines: string[] = [];
  let row = 0;
  let column = 0;
  while (row < oldLines.length || column < newLines.length) {
    if (
      row < oldLines.length && column < newLines.length &&
      oldLines[row] === newLines[column]
    ) {
      row += 1;
      column += 1;
    } else if (
      column === newLines.length ||
      (row < oldLines.length && getCommon(row + 1, column) >=
          getCommon(row, column + 1))
    ) {
      lines.push(`-${oldLines[row]}`);
      row += 1;
    } else {
      lines.push(`+${newLines[column]}`);
      column += 1;
    }
  }
  return lines;
}
