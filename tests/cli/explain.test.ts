import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';

import { runCommand } from './runCommand.js';

const START_MS = 1_700_000_000_000;

function formatLine(fields: Record<string, unknown>): string {
  return `${JSON.stringify(fields)}\n`;
}

describe('cactusstair explain', () => {
  let folder: string;
  let first: string;
  let second: string;

  before(async () => {
    folder = await mkdtemp(join(tmpdir(), 'explain-'));
    first = join(folder, 'first.log');
    second = join(folder, 'second.log');
    const refused = {
      atMs: START_MS + 20,
      event: 'request',
      instance: 'first',
      id: 'abc',
      end: 'refused',
      status: 503,
      durationMs: 20,
      steps: [{ atMs: 5, step: 'failure', code: 2106 }],
    };
    const answered = {
      atMs: START_MS + 900,
      event: 'request',
      instance: 'second',
      id: 'abc',
      end: 'answered',
      status: 200,
      durationMs: 400,
      steps: [{ atMs: 0, step: 'sent', upstream: 'u1' }],
    };
    const other = { ...answered, id: 'other' };
    const store = { atMs: START_MS + 10, event: 'store', instance: 'first', state: 'unavailable' };
    await writeFile(first, `not json\n${formatLine(store)}  3.5 first ${formatLine(refused)}`);
    // Logged after the request ended, so it is not part of its timeline.
    const later = { ...store, instance: 'second', atMs: START_MS + 5000 };
    await writeFile(second, formatLine(answered) + formatLine(other) + formatLine(later));
  });

  after(() => rm(folder, { recursive: true }));

  it('prints the steps of all instances in order of time, with events during the request', async () => {
    const end = await runCommand('explain', 'abc', second, first);
    assert.equal(end.code, 0, end.stderr);
    const steps = end.stdout.split('\n').map((line) => line.split(/\s+/).slice(1, 3).join(' '));
    assert.deepEqual(steps.slice(1, 6), [
      'first failure',
      'first (store)',
      'first end',
      'second sent',
      'second end',
    ]);
    assert.match(end.stdout, /code=2106/);
  });

  it('prints the timeline as JSON', async () => {
    const end = await runCommand('explain', 'abc', first, '--json');
    const { id, story } = JSON.parse(end.stdout) as { id: string; story: unknown[] };
    assert.equal(id, 'abc');
    assert.equal(story.length, 3);
  });

  it('exits with code 3 when no log contains the request', async () => {
    const end = await runCommand('explain', 'missing', first);
    assert.equal(end.code, 3);
    assert.match(end.stderr, /no log contains request missing/);
  });

  it('exits with code 2 and names a log file that cannot be read', async () => {
    const end = await runCommand('explain', 'abc', join(folder, 'none.log'));
    assert.equal(end.code, 2);
    assert.match(end.stderr, /none\.log cannot be read/);
  });
});
