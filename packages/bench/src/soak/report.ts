import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

import { alignColumns } from '@cactusstair/utils';

import type { PropertyResult, Recording, Violation } from './recording.js';
import { listEngineWork } from './versionChecks.js';

const MAX_VIOLATIONS_SHOWN = 5;
const MAX_LOG_LINES = 20;
const MAX_TEXT = 120;

/** Formats the results as a table with one row per property. */
export function formatTable(results: readonly PropertyResult[]): string {
  const rows = results.map(({ property, tested, violations }) => [
    property,
    tested === 0 ? 'not tested' : String(tested),
    String(violations.length),
  ]);
  return alignColumns([['PROPERTY', 'TESTED', 'VIOLATIONS'], ...rows]);
}

function formatTime(recording: Recording, atMs: number): string {
  const startedAtMs = recording.calls[0]?.sentAtMs ?? 0;
  return `${((atMs - startedAtMs) / 1000).toFixed(3).padStart(8)} s`;
}

function findLogLines(runDir: string, requestId: string): string[] {
  return readdirSync(runDir)
    .filter((file) => file.endsWith('.log'))
    .flatMap((file) =>
      readFileSync(join(runDir, file), 'utf8')
        .split('\n')
        .map((line, index) => ({ line, location: `${join(runDir, file)}:${index + 1}` }))
        .filter(({ line }) => line.includes(requestId))
        .map(({ line, location }) => `${location}: ${line.slice(0, 2 * MAX_TEXT)}`),
    )
    .slice(0, MAX_LOG_LINES);
}

/**
 * Formats all records of one request: calls, journal entries, bills, concurrent faults and log
 * lines.
 */
export function formatTrace(recording: Recording, runDir: string, requestId: string): string {
  const lines: string[] = [];
  const calls = recording.calls.filter((call) => call.requestId === requestId);
  for (const call of calls) {
    const shown = { ...call, text: call.text.slice(0, MAX_TEXT), textLength: call.text.length };
    lines.push(`${formatTime(recording, call.sentAtMs)}  caller   ${JSON.stringify(shown)}`);
  }
  for (const entry of listEngineWork(recording)) {
    if (entry.requestId !== requestId) continue;
    lines.push(`${formatTime(recording, entry.receivedAtMs)}  journal  ${JSON.stringify(entry)}`);
  }
  for (const { upstream, calls: ran } of recording.services) {
    for (const entry of ran) {
      if (entry.requestId !== requestId && entry.idempotencyKey !== calls[0]?.idempotencyKey)
        continue;
      if (entry.requestId !== requestId && entry.idempotencyKey === undefined) continue;
      const text = JSON.stringify({ upstream, ...entry });
      lines.push(`${formatTime(recording, entry.receivedAtMs)}  journal  ${text}`);
    }
  }
  for (const bill of recording.bills) {
    if (bill.requestId !== requestId) continue;
    lines.push(`${formatTime(recording, bill.finishedAtMs)}  bill     ${JSON.stringify(bill)}`);
  }
  const [call] = calls;
  for (const { fault, startedAtMs, endedAtMs } of recording.faults) {
    if (!call || startedAtMs > call.endedAtMs || endedAtMs < call.sentAtMs - 2000) continue;
    const end = formatTime(recording, endedAtMs).trim();
    lines.push(
      `${formatTime(recording, startedAtMs)}  fault    ${fault.kind} ${fault.target} until ${end}`,
    );
  }
  const logLines = findLogLines(runDir, requestId).map((line) => `            log      ${line}`);
  return [...lines.sort(), ...logLines].map((line) => `    ${line}`).join('\n');
}

/** Formats the violations with the traces of the affected requests. */
export function formatViolations(
  results: readonly PropertyResult[],
  recording: Recording,
  runDir: string,
): string {
  const lines: string[] = [];
  const addViolation = ({ detail, requestId }: Violation) => {
    lines.push(`  ${requestId === undefined ? '' : `${requestId}: `}${detail}`);
    if (requestId !== undefined) lines.push(formatTrace(recording, runDir, requestId));
  };
  for (const { property, violations } of results) {
    if (violations.length === 0) continue;
    lines.push(`${property}: ${violations.length} violations`);
    violations.slice(0, MAX_VIOLATIONS_SHOWN).forEach(addViolation);
  }
  return lines.join('\n');
}
