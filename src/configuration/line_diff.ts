/**
 * Largest table of the comparison, in cells; beyond it the changed middle is
 * shown as replaced as a whole.
 */
const tableLimit = 4_000_000;

/**
 * Compares two texts line by line.
 * @param before The older text.
 * @param after The newer text.
 * @returns Each removed line with `-` and each added line with `+` before it,
 * in order; unchanged lines are left out.
 */
export function getChangedLines(before: string, after: string): string[] {
  const old = splitLines(before);
  const fresh = splitLines(after);
  let start = 0;
  while (start < old.length && old[start] === fresh[start]) {
    start += 1;
  }
  let end = 0;
  while (
    end < Math.min(old.length, fresh.length) - start &&
    old.at(-1 - end) === fresh.at(-1 - end)
  ) {
    end += 1;
  }
  return compareMiddle(
    old.slice(start, old.length - end),
    fresh.slice(start, fresh.length - end),
  );
}

function splitLines(text: string): string[] {
  const lines = text.split("\n");
  if (lines.at(-1) === "") {
    lines.pop();
  }
  return lines;
}

/** Finds a longest common subsequence with the usual table. */
function compareMiddle(old: string[], fresh: string[]): string[] {
  const width = fresh.length + 1;
  if ((old.length + 1) * width > tableLimit) {
    return [
      ...old.map((line) => `-${line}`),
      ...fresh.map((line) => `+${line}`),
    ];
  }
  const common = new Uint32Array((old.length + 1) * width);
  const getCommon = (row: number, column: number) =>
    common[row * width + column] as number;
  for (let row = old.length - 1; row >= 0; row--) {
    for (let column = fresh.length - 1; column >= 0; column--) {
      common[row * width + column] = old[row] === fresh[column]
        ? getCommon(row + 1, column + 1) + 1
        : Math.max(getCommon(row + 1, column), getCommon(row, column + 1));
    }
  }
  const lines: string[] = [];
  let row = 0;
  let column = 0;
  while (row < old.length || column < fresh.length) {
    if (
      row < old.length && column < fresh.length && old[row] === fresh[column]
    ) {
      row += 1;
      column += 1;
    } else if (
      column === fresh.length ||
      (row < old.length && getCommon(row + 1, column) >=
          getCommon(row, column + 1))
    ) {
      lines.push(`-${old[row]}`);
      row += 1;
    } else {
      lines.push(`+${fresh[column]}`);
      column += 1;
    }
  }
  return lines;
}
