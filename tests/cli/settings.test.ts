import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, describe, it } from 'node:test';

import { findFreePorts } from '@cactusstair/place';

import { runCommand } from './runCommand.js';

describe('settings file of the serve and check commands', () => {
  const dir = mkdtempSync(join(tmpdir(), 'cactusstair-cli-'));
  const file = join(dir, 'entry.yaml');
  writeFileSync(join(dir, 'cluster.key'), 'a key of the cluster\n');

  after(() => rmSync(dir, { recursive: true }));

  async function writeSettings(change: (text: string) => string = (text) => text): Promise<void> {
    const [callers, operators, peers, metrics] = await findFreePorts(4);
    const lines = [
      'instance: { id: riga-a-1, region: lv-central, zone: riga-a }',
      'listen:',
      `  callers: 127.0.0.1:${callers}`,
      `  operators: 127.0.0.1:${operators}`,
      `  peers: 127.0.0.1:${peers}`,
      `  metrics: 127.0.0.1:${metrics}`,
      'platform: { objectApi: http://127.0.0.1:9 }',
      'peers: { clusterKeyFile: cluster.key }',
      'permits: { candidateMs: 10000 }',
    ];
    writeFileSync(file, change(lines.join('\n')));
  }

  /** Guards against error messages that do not identify the invalid line of the file. */
  const faults: [name: string, change: (text: string) => string, line: number, key: string][] = [
    ['an unknown key', (text) => text.replace('candidateMs', 'candidate'), 9, 'permits.candidate'],
    ['a wrong unit', (text) => text.replace('10000', '10s'), 9, 'permits.candidateMs'],
    [
      'a missing key file',
      (text) => text.replace('cluster.key', 'none.key'),
      8,
      'peers.clusterKeyFile',
    ],
    ['a wrong port', (text) => text.replace(/callers: .*/, 'callers: 80'), 3, 'listen.callers'],
  ];
  for (const command of ['check', 'serve']) {
    for (const [name, change, line, key] of faults) {
      it(`${command} exits with code 2 and prints file, line and key for ${name}`, async () => {
        await writeSettings(change);
        const { code, stderr } = await runCommand(command, '--config', file);
        assert.equal(code, 2, stderr);
        assert.ok(stderr.includes(`${file}:${line}: ${key}: `), stderr);
      });
    }
  }

  it('check accepts valid settings without listening', async () => {
    await writeSettings();
    const { code, stdout, stderr } = await runCommand('check', '--config', file);
    assert.equal(code, 0, stderr);
    assert.match(stdout, /ok/);
  });

  for (const [index, name] of ['callers', 'operators', 'peers', 'metrics'].entries()) {
    it(`serve prints file, line and key when the ${name} port is in use`, async () => {
      const blocker = createServer();
      await new Promise<void>((resolve) => {
        blocker.listen(0, '127.0.0.1', resolve);
      });
      const { port } = blocker.address() as AddressInfo;
      await writeSettings((text) =>
        text.replace(new RegExp(`${name}: 127.0.0.1:\\d+`), `${name}: 127.0.0.1:${port}`),
      );
      const { code, stderr } = await runCommand('serve', '--config', file);
      blocker.close();
      assert.equal(code, 2, stderr);
      assert.ok(stderr.includes(`${file}:${index + 3}: listen.${name}: `), stderr);
    });
  }
});
