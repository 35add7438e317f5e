import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';

import { LocalCluster } from '@cactusstair/place';

const entryMainFile = fileURLToPath(new URL('entryFixture.js', import.meta.url));

describe('LocalCluster', () => {
  let cluster: LocalCluster;
  const runDir = mkdtempSync(join(tmpdir(), 'cactusstair-test-'));

  before(async () => {
    cluster = await LocalCluster.start({
      runDir,
      entryMainFile,
      // The fixture has no readiness check.
      awaitReadiness: false,
      zones: [
        {
          name: 'riga-a',
          engines: [{ versions: ['small@1'] }],
          services: [{ service: 'standings' }],
        },
      ],
      models: [{ name: 'small', versions: [{ version: '1' }] }],
      workspaces: [{ name: 'ladders' }],
      proxies: [{ name: 'link-1', from: '*', to: 'riga-a-engine-1' }],
      cascades: [{ workspace: 'ladders', name: 'auto', rungs: ['small'] }],
    });
  });

  after(async () => {
    await cluster.close();
    rmSync(runDir, { recursive: true });
  });

  it('writes the configuration before it starts an entry instance', async () => {
    const [entry] = cluster.entries;
    // The fixture reads the list of objects when it starts.
    const seen = (await (await fetch(entry?.callers ?? '')).json()) as { cascades: string[] };
    assert.deepEqual(seen.cascades, ['ladders.auto']);
  });

  it('puts a proxy in front of an upstream, which runs on when the proxy is cut', async () => {
    const object = await fetch(`${cluster.platformUrl}/v1/objects/upstream/riga-a-engine-1`);
    const { value } = (await object.json()) as { value: { url: string } };
    assert.equal((await fetch(`${value.url}/state`)).status, 200);
    await cluster.injectFault('link-1', { fault: 'cut' });
    await assert.rejects(fetch(`${value.url}/state`));
    assert.equal((await fetch(`${cluster.getUrl('riga-a-engine-1')}/state`)).status, 200);
    await cluster.injectFault('link-1', { fault: 'clear' });
  });

  it('restarts a killed process at the address that upstream objects still contain', async () => {
    const engine = cluster.getProcess('riga-a-engine-1');
    const { address } = engine.readyLine;
    assert.equal((await engine.kill()).signal, 'SIGKILL');
    assert.equal((await engine.start()).address, address);
    assert.equal((await fetch(`${cluster.getUrl(engine.name)}/state`)).status, 200);
  });

  it('stops every process with exit code 0, including a paused one', async () => {
    cluster.getProcess('riga-a-standings-1').pause();
    await cluster.close();
    const exits = await Promise.all(cluster.processes.map((child) => child.exited));
    assert.deepEqual(
      exits.map((exit) => exit.code),
      cluster.processes.map(() => 0),
    );
  });
});
