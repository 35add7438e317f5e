import type { ResultTable } from '../scenario.js';

/** Formats a table with aligned columns; numbers are aligned to the right. */
export function formatTextTable(table: ResultTable): string {
  const cells = [table.columns, ...table.rows.map((row) => row.map(String))];
  const widths = table.columns.map((_, column) =>
    Math.max(...cells.map((row) => row[column]?.length ?? 0)),
  );
  const lines = cells.map((row, rowIndex) =>
    row
      .map((cell, column) => {
        const isNumber = rowIndex > 0 && typeof table.rows[rowIndex - 1]?.[column] === 'number';
        return isNumber ? cell.padStart(widths[column]!) : cell.padEnd(widths[column]!);
      })
      .join('  ')
      .trimEnd(),
  );
  lines.splice(1, 0, widths.map((width) => '-'.repeat(width)).join('  '));
  return `${table.title}\n\n${lines.join('\n')}\n`;
}
