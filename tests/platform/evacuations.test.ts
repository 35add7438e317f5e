import assert from 'node:assert/strict';
import { after, afterEach, before, describe, it } from 'node:test';

import { sendRequest } from '../relay/support/caller.js';
import { API_KEY, HOST } from '../relay/support/relayFixture.js';
import { formatAnswer, ScriptedUpstream } from '../relay/support/scriptedUpstream.js';
import type { InstanceProcess } from './support/instanceProcess.js';
import {
  findInstancePorts,
  formatSettings,
  InstanceProgram,
  waitReady,
} from './support/instanceProcess.js';
import { StoreStandin } from './support/storeStandin.js';

describe('evacuations as the platform stores them', () => {
  const program = new InstanceProgram();
  let store: StoreStandin;
  let upstream: ScriptedUpstream;
  let instance: InstanceProcess;

  before(async () => {
    await program.build();
    upstream = await ScriptedUpstream.open((socket, request) =>
      socket.end(formatAnswer(request, 200, 'ok')),
    );
  });

  afterEach(async () => {
    instance.signal('SIGKILL');
    await instance.ended;
    await store.close();
  });

  after(async () => {
    await program.close();
    await upstream.close();
  });

  /** Starts an instance with a zone that is evacuated; returns its port for callers. */
  async function start(name: string, bounds: Record<string, unknown>): Promise<number> {
    store = await StoreStandin.open();
    store.put('config', 'main', {
      version: 1,
      routes: [{ name: 'route', host: HOST, path_prefix: '/app/', kind: 'unsafe', service: 'app' }],
      services: [{ name: 'app' }],
      tenants: [{ name: 'workspace-1', api_keys: [API_KEY] }],
    });
    const address = `127.0.0.1:${upstream.port}`;
    const entry = { service: 'app', address, state: 'ready', slots: 8 };
    store.put('servers', 'upstream-1', { ...entry, zone: 'zone-1' });
    store.put('evacuations', 'zone-1', {});
    const ports = await findInstancePorts();
    const settings = formatSettings(ports, store.address, 8, bounds);
    instance = program.start(program.writeFile(name, settings));
    await waitReady(ports);
    return ports.callers;
  }

  it('are followed where the settings have a bound for them', async () => {
    const port = await start('followed.json', { evacuate_ms: 5000 });
    await instance.waitForOutput('"event":"evacuation"');
    assert.equal((await sendRequest(port)).status, 503);
    assert.equal(upstream.received.length, 0);
  });

  // A further kind of objects costs each deployment calls to its store.
  it('are not read elsewhere', async () => {
    const port = await start('unfollowed.json', {});
    assert.equal((await sendRequest(port)).status, 200);
    assert.ok(store.kindsRead.has('rollouts'));
    assert.ok(!store.kindsRead.has('evacuations'));
  });
});
