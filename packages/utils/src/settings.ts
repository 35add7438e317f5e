import { readFileSync } from 'node:fs';

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { LineCounter, parseDocument } from 'yaml';
import type { Document } from 'yaml';
import type { z } from 'zod';

/** One problem in a settings file. */
export interface SettingsProblem {
  file: string;
  /** Line in the file, counted from 1; 0 when the problem has no line. */
  line: number;
  /** Path of the key, for example `listen.callers`. */
  key: string;
  message: string;
}

/** Formats a problem as `file:line: key: message`. */
export function formatSettingsProblem(problem: SettingsProblem): string {
  const place = problem.line > 0 ? `${problem.file}:${problem.line}` : problem.file;
  return problem.key === ''
    ? `${place}: ${problem.message}`
    : `${place}: ${problem.key}: ${problem.message}`;
}

interface KeyNode {
  key?: { range?: [number, number, number] | null };
}

/** Finds the line of the deepest part of `path` that exists in the document. */
function findLine(
  document: Document,
  lineCounter: LineCounter,
  path: readonly PropertyKey[],
): number {
  for (let length = path.length; length > 0; length -= 1) {
    const parent =
      length === 1 ? document.contents : document.getIn(path.slice(0, length - 1), true);
    const items = (parent as { items?: unknown[] } | null)?.items ?? [];
    const last = path[length - 1];
    const item =
      typeof last === 'number'
        ? (items[last] as { range?: [number, number, number] } | undefined)
        : (items as KeyNode[]).find(
            (pair) => (pair.key as { value?: unknown } | undefined)?.value === last,
          )?.key;
    if (item?.range) return lineCounter.linePos(item.range[0]).line;
  }
  return 1;
}

/** Turns one schema issue into one problem per key. */
function describeIssue(
  issue: z.core.$ZodIssue,
  locate: (path: readonly PropertyKey[]) => number,
  file: string,
): SettingsProblem[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => {
      const path = [...issue.path, key];
      return { file, line: locate(path), key: path.join('.'), message: 'unknown key' };
    });
  }
  return [{ file, line: locate(issue.path), key: issue.path.join('.'), message: issue.message }];
}

/**
 * Checks YAML text against a schema.
 *
 * @returns the typed settings, or all problems with their file, line and key.
 */
export function parseSettings<T>(
  text: string,
  file: string,
  schema: z.ZodType<T>,
): Result<T, SettingsProblem[]> {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter });
  if (document.errors.length > 0) {
    return err(
      document.errors.map((error) => ({
        file,
        line: lineCounter.linePos(error.pos[0]).line,
        key: '',
        message: error.message.split('\n')[0] ?? error.message,
      })),
    );
  }
  const checked = schema.safeParse(document.toJS());
  if (checked.success) return ok(checked.data);
  const locate = (path: readonly PropertyKey[]) => findLine(document, lineCounter, path);
  return err(checked.error.issues.flatMap((issue) => describeIssue(issue, locate, file)));
}

/** Reads and checks a settings file. */
export function loadSettings<T>(file: string, schema: z.ZodType<T>): Result<T, SettingsProblem[]> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const message = `cannot be read: ${(error as Error).message}`;
    return err([{ file, line: 0, key: '', message }]);
  }
  return parseSettings(text, file, schema);
}

/** Creates a problem for a key of a settings file; reads the file again to find the line. */
export function createSettingsProblem(
  file: string,
  path: readonly string[],
  message: string,
): SettingsProblem {
  const lineCounter = new LineCounter();
  const document = parseDocument(readFileSync(file, 'utf8'), { lineCounter });
  return { file, line: findLine(document, lineCounter, path), key: path.join('.'), message };
}
