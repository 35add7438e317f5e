import { alignColumns } from '@cactusstair/utils';

/** A column of a printed table. */
export interface Column<T> {
  title: string;
  value: (row: T) => string | number | boolean;
}

/** Formats rows as a table with aligned columns. */
export function formatTable<T>(rows: readonly T[], columns: readonly Column<T>[]): string {
  return alignColumns([
    columns.map((column) => column.title),
    ...rows.map((row) => columns.map((column) => String(column.value(row)))),
  ]);
}

/** Prints one line or table on standard output. */
export function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Prints a value as JSON on one line. */
export function printJson(value: unknown): void {
  print(JSON.stringify(value));
}
