import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

import { CliError, exitCodes } from '../cliError.js';
import { formatTable, print, printJson } from '../output.js';

/** A parsed line of an instance's log. */
interface LogLine {
  atMs: number;
  event: string;
  instance?: string;
  id?: string;
  steps?: { atMs: number; step: string; [field: string]: unknown }[];
  [field: string]: unknown;
}

/** One row of a request's timeline. */
interface TimelineRow {
  atMs: number;
  instance: string;
  what: string;
  details: string;
}

/** Fields that are left out of the details column. */
const NON_DETAIL_FIELDS = new Set(['atMs', 'event', 'instance', 'id', 'steps', 'step']);

function parseLine(text: string): LogLine | undefined {
  // A log collector may have added a prefix to the line.
  const from = text.indexOf('{"atMs"');
  if (from < 0) return undefined;
  try {
    return JSON.parse(text.slice(from)) as LogLine;
  } catch {
    return undefined;
  }
}

function formatDetails(fields: Record<string, unknown>): string {
  return Object.entries(fields)
    .filter(([name]) => !NON_DETAIL_FIELDS.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
}

async function readLines(source: Readable, isWanted: (line: LogLine) => boolean) {
  const found: LogLine[] = [];
  for await (const text of createInterface({ input: source })) {
    const line = parseLine(text);
    if (line && isWanted(line)) found.push(line);
  }
  return found;
}

/** Merges a request's steps with the other events that its instance logged while it ran. */
function buildTimeline(requests: readonly LogLine[], others: readonly LogLine[]): TimelineRow[] {
  const rows: TimelineRow[] = [];
  for (const request of requests) {
    const instance = request.instance ?? '';
    const steps = request.steps ?? [];
    const endedAtMs = request.atMs;
    const durationMs = Number(request.durationMs ?? steps.at(-1)?.atMs ?? 0);
    const startedAtMs = endedAtMs - durationMs;
    for (const step of steps) {
      const details = formatDetails(step);
      rows.push({ atMs: startedAtMs + step.atMs, instance, what: step.step, details });
    }
    rows.push({ atMs: endedAtMs, instance, what: 'end', details: formatDetails(request) });
    for (const line of others) {
      const isDuringRequest = line.atMs >= startedAtMs && line.atMs <= endedAtMs;
      if (line.instance !== instance || !isDuringRequest) continue;
      rows.push({
        atMs: line.atMs,
        instance,
        what: `(${line.event})`,
        details: formatDetails(line),
      });
    }
  }
  return rows.sort((a, b) => a.atMs - b.atMs);
}

/** Options of `explainRequest`. */
export interface ExplainOptions {
  /** Log files; standard input if empty. */
  files: readonly string[];
  json: boolean;
}

/**
 * Prints the timeline of one request from the logs of the instances.
 *
 * @throws CliError when a file cannot be read or no log contains the request.
 */
export async function explainRequest(id: string, options: ExplainOptions): Promise<void> {
  const lines: LogLine[] = [];
  const isWanted = (line: LogLine) => line.event !== 'request' || line.id === id;
  const sources = options.files.length > 0 ? options.files : ['-'];
  for (const file of sources) {
    try {
      lines.push(
        ...(await readLines(file === '-' ? process.stdin : createReadStream(file), isWanted)),
      );
    } catch (error) {
      throw new CliError(`${file} cannot be read: ${(error as Error).message}`, exitCodes.usage);
    }
  }
  const requests = lines.filter(({ event }) => event === 'request');
  if (requests.length === 0) {
    throw new CliError(
      `no log contains request ${id}; pass the logs of all instances of its zone, and look for lines ` +
        'with "log_lines_dropped"',
      exitCodes.refused,
    );
  }
  const timeline = buildTimeline(
    requests,
    lines.filter(({ event }) => event !== 'request'),
  );
  if (options.json) {
    printJson({ id, story: timeline });
    return;
  }
  print(
    formatTable(timeline, [
      { title: 'TIME', value: (row) => new Date(row.atMs).toISOString().slice(11) },
      { title: 'INSTANCE', value: (row) => row.instance },
      { title: 'STEP', value: (row) => row.what },
      { title: 'DETAILS', value: (row) => row.details },
    ]),
  );
}
