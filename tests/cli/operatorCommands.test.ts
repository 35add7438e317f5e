import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';

import { findFreePorts, LocalCluster } from '@cactusstair/place';

import { runCommand } from './runCommand.js';

describe('operator commands', () => {
  const dir = mkdtempSync(join(tmpdir(), 'cactusstair-operators-'));
  const shared = {} as { place: LocalCluster; server: string };

  before(async () => {
    shared.place = await LocalCluster.start({
      runDir: join(dir, 'logs'),
      zones: [{ name: 'riga-a', engines: [{ versions: ['small@1'] }] }],
      models: [{ name: 'small', versions: [{ version: '1' }] }],
      workspaces: [{ name: 'ladders' }],
    });
    shared.server = shared.place.entries[0]?.operators ?? '';
  });

  after(async () => {
    await shared.place.close();
    rmSync(dir, { recursive: true, force: true });
  });

  /** Commands with their exit codes; scripts depend on the exit code and on the JSON output. */
  const commands: [line: string, code: number][] = [
    ['workspace list', 0],
    ['workspace get ladders', 0],
    ['model list', 0],
    ['model get small', 0],
    ['upstream list', 0],
    ['cascade list', 0],
    ['rollout list', 0],
    ['instances', 0],
    ['change 1', 0],
    ['bills export', 0],
    ['keys create', 0],
    ['keys rotate', 0],
    ['workspace get none', 3],
    ['model get none', 3],
    ['model withdraw none 1', 3],
    ['model withdraw small 9', 3],
    ['rollout pause none', 3],
    ['delete workspace none', 3],
    ['delete nothing none', 3],
    ['change soon', 2],
    ['workspace put /nonexistent/file.yaml', 2],
  ];
  for (const [line, expected] of commands) {
    it(`${line} exits with code ${expected}`, async () => {
      const { code, stdout, stderr } = await runCommand(
        ...line.split(' '),
        ...['--json', '--server', shared.server],
      );
      assert.equal(code, expected, stderr);
      if (expected !== 0) assert.match(stderr, /^cactusstair: .{10}/);
      else for (const text of stdout.split('\n').filter(Boolean)) JSON.parse(text);
    });
  }

  it('suggests --server when the instance is unreachable or not specified', async () => {
    const [port] = await findFreePorts(1);
    const silent = await runCommand('model', 'list', '--server', `127.0.0.1:${port}`);
    assert.equal(silent.code, 4, silent.stderr);
    assert.match(silent.stderr, /Check --server/);
    const unnamed = await runCommand('model', 'list');
    assert.equal(unnamed.code, 2, unnamed.stderr);
    assert.match(unnamed.stderr, /pass --server/);
  });

  it('prints file, line and key of an unknown key in an object file', async () => {
    const file = join(dir, 'workspace.yaml');
    writeFileSync(file, 'name: decals\nwieght: 2\n');
    const { code, stderr } = await runCommand('workspace', 'put', file, '--server', shared.server);
    assert.equal(code, 2);
    assert.ok(stderr.includes(`${file}:2: wieght: unknown key`), stderr);
  });

  for (const command of ['serve', 'check', 'model get', 'change', 'bills export', 'load']) {
    it(`prints the help of ${command}`, async () => {
      const { code, stdout } = await runCommand(...command.split(' '), '--help');
      assert.equal(code, 0);
      assert.match(stdout, /Usage/);
    });
  }
});
