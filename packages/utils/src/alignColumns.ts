/** Formats lines of cells as text with aligned columns, two spaces apart. */
export function alignColumns(lines: readonly (readonly string[])[]): string {
  const columns = Math.max(0, ...lines.map((line) => line.length));
  const widths = Array.from({ length: columns }, (_, column) =>
    Math.max(...lines.map((line) => line[column]?.length ?? 0)),
  );
  return lines
    .map((line) =>
      line
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
