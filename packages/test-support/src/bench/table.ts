/** Prints measurements as Markdown tables. */

/** One row: a value per column, in order. */
export type TableRow = ReadonlyArray<string | number>;

/** Formats rows under their headings. */
export function formatTable(
  headings: readonly string[],
  rows: readonly TableRow[],
): string {
  const lines = [headings, headings.map(() => '---'), ...rows];
  return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}

/** Rounds to a number of decimals. */
export function round(value: number, decimals = 1): number {
  const factor = 10 ** decimals;
  return Math.round(value * factor) / factor;
}

/** Returns the value below which a share of the sorted values lies. */
export function getQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted[index] ?? 0;
}
