/** Line differences between two texts. */

/** Limit on the cells of the comparison table; a cell takes about 8 bytes. */
const maxTableCells = 4_000_000;

type Table = readonly (readonly number[])[];

/**
 * Computes the length of the longest common subsequence for each pair of a
 * suffix of `before` and a suffix of `after`.
 */
function computeCommonLengths(
  before: readonly string[],
  after: readonly string[],
): Table {
  const table = Array.from(
    { length: before.length + 1 },
    () => new Array<number>(after.length + 1).fill(0),
  );
  for (let row = before.length - 1; row >= 0; row -= 1) {
    for (let column = after.length - 1; column >= 0; column -= 1) {
      table[row]![column] = before[row] === after[column]
        ? table[row + 1]![column + 1]! + 1
        : Math.max(table[row + 1]![column]!, table[row]![column + 1]!);
    }
  }
  return table;
}

function splitLines(text: string): readonly string[] {
  return text === "" ? [] : text.replace(/\r?\n$/, "").split(/\r?\n/);
}

function formatReplacement(
  before: readonly string[],
  after: readonly string[],
): readonly string[] {
  return [
    ...before.map((line) => `- ${line}`),
    ...after.map((line) => `+ ${line}`),
  ];
}

function compareLines(
  before: readonly string[],
  after: readonly string[],
): readonly string[] {
  if (before.length * after.length > maxTableCells) {
    return formatReplacement(before, after);
  }
  const table = computeCommonLengths(before, after);
  const lines: string[] = [];
  let row = 0;
  let column = 0;
  while (row < before.length && column < after.length) {
    if (before[row] === after[column]) {
      lines.push(`  ${before[row]}`);
      row += 1;
      column += 1;
    } else if (table[row + 1]![column]! >= table[row]![column + 1]!) {
      lines.push(`- ${before[row]}`);
      row += 1;
    } else {
      lines.push(`+ ${after[column]}`);
      column += 1;
    }
  }
  return [
    ...lines,
    ...formatReplacement(before.slice(row), after.slice(column)),
  ];
}

/**
 * Formats all lines of both texts with `-` before removed, `+` before added
 * and a space before common lines; empty when no line differs.
 */
export function formatDiff(before: string, after: string): string {
  const left = splitLines(before);
  const right = splitLines(after);
  if (left.join("\n") === right.join("\n")) return "";
  return compareLines(left, right).join("\n");
}
