/** Formats tables and durations as text. */

/** Aligns rows in columns separated by two blanks, without trailing blanks. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join("  ")
        .trimEnd(),
    )
    .map((line) => `${line}\n`)
    .join("");
}

const UNITS: readonly (readonly [string, number])[] = [
  ["d", 86_400_000],
  ["h", 3_600_000],
  ["min", 60_000],
  ["s", 1_000],
];

/** Formats a duration in its largest whole unit, such as `4 min`. */
export function formatDuration(milliseconds: number): string {
  const unit = UNITS.find(([, size]) => milliseconds >= size);
  if (unit === undefined) {
    return `${Math.max(Math.round(milliseconds), 0)} ms`;
  }
  return `${Math.floor(milliseconds / unit[1])} ${unit[0]}`;
}
