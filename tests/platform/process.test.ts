import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { after, afterEach, before, describe, it } from 'node:test';

import { waitFor } from '@cactusstair/utils';

import { sendRequest } from '../relay/support/caller.js';
import { API_KEY, HOST } from '../relay/support/relayFixture.js';
import type { Script } from '../relay/support/scriptedUpstream.js';
import { formatAnswer, ScriptedUpstream } from '../relay/support/scriptedUpstream.js';
import type { InstancePorts } from './support/instanceProcess.js';
import {
  fetchReadiness,
  findInstancePorts,
  formatSettings,
  InstanceProgram,
  waitReady,
} from './support/instanceProcess.js';
import { StoreStandin } from './support/storeStandin.js';

const STARTED = '"event":"started"';

/** Sends a signal to its own process when the program has loaded its first module of Node.js. */
const signalAtFirstModule = (signal: string) => `
const Module = require('node:module');
const load = Module._load;
let isSent = false;
Module._load = function (name, ...rest) {
  if (!isSent && name.startsWith('node:')) {
    isSent = true;
    process.kill(process.pid, '${signal}');
  }
  return load.call(this, name, ...rest);
};
`;

describe('process of an instance', () => {
  const program = new InstanceProgram();
  let store: StoreStandin;
  let ports: InstancePorts;
  let upstream: ScriptedUpstream | undefined;
  /** Has the address of the instance. */
  let owner: { close(): unknown } | undefined;

  before(async () => {
    await program.build();
    store = await StoreStandin.open();
    store.put('config', 'main', {
      version: 1,
      routes: [{ name: 'route', host: HOST, path_prefix: '/app/', kind: 'unsafe', service: 'app' }],
      services: [{ name: 'app' }],
      tenants: [{ name: 'workspace-1', api_keys: [API_KEY] }],
    });
  });

  afterEach(async () => {
    await upstream?.close();
    upstream = undefined;
    releasePort();
  });

  after(async () => {
    await program.close();
    await store.close();
  });

  async function writeSettings(name: string, graceSeconds?: number): Promise<string> {
    ports = await findInstancePorts();
    return program.writeFile(name, formatSettings(ports, store.address, graceSeconds));
  }

  async function addUpstream(script: Script): Promise<ScriptedUpstream> {
    upstream = await ScriptedUpstream.open(script);
    store.put('servers', 'upstream-1', {
      service: 'app',
      address: `127.0.0.1:${upstream.port}`,
      zone: 'zone-1',
      state: 'ready',
      slots: 8,
    });
    return upstream;
  }

  async function takePort(port: number): Promise<void> {
    const server = createServer().listen(port, '127.0.0.1');
    owner = server;
    await once(server, 'listening');
  }

  function releasePort(): void {
    owner?.close();
    owner = undefined;
  }

  // The platform says with SIGHUP that the settings have changed, also while a process starts.
  it('is not ended by a SIGHUP before its modules are loaded', async () => {
    const preload = program.writeFile('hangUp.cjs', signalAtFirstModule('SIGHUP'));
    const settings = await writeSettings('early.json');
    const instance = program.start(settings, ['--require', preload]);
    await instance.waitForOutput(STARTED);
    instance.signal('SIGHUP');
    await instance.waitForOutput('"event":"settings_changed"');
    instance.signal('SIGTERM');
    assert.equal(await instance.ended, 0);
  });

  it('ends with code 0 after a SIGTERM before its modules are loaded', async () => {
    const preload = program.writeFile('terminate.cjs', signalAtFirstModule('SIGTERM'));
    const settings = await writeSettings('terminated.json');
    const instance = program.start(settings, ['--require', preload]);
    assert.equal(await instance.ended, 0);
  });

  ['SIGTERM', 'SIGHUP', 'SIGINT'].forEach((second) => {
    it(`answers the requests in flight after a second signal (${second})`, async () => {
      let answer: (() => void) | undefined;
      const server = await addUpstream((socket, request) => {
        answer = () => socket.end(formatAnswer(request, 200, 'whole'));
      });
      const settings = await writeSettings(`second-${second}.json`, 20);
      const instance = program.start(settings);
      await waitReady(ports);
      const headers = { 'x-deadline-ms': '9000' };
      const call = sendRequest(ports.callers, { headers });
      await waitFor(() => server.received.length > 0, { what: 'the request', timeoutMs: 5000 });
      instance.signal('SIGTERM');
      await instance.waitForOutput('"event":"stopping"');
      instance.signal(second as NodeJS.Signals);
      // A question that is answered after the signal shows that the process has received it.
      assert.equal((await fetchReadiness(ports)).status, 503);
      answer?.();
      assert.deepEqual([(await call).status, (await call).body], [200, 'whole']);
      assert.equal(await instance.ended, 0);
    });
  });

  // A process that is started again at once may meet the addresses of the one before.
  (['callers', 'readiness', 'peers'] as const).forEach((name) => {
    it(`waits for its ${name} port while another process has it`, async () => {
      const settings = await writeSettings(`taken-${name}.json`);
      await takePort(ports[name]);
      const instance = program.start(settings);
      await instance.waitForOutput('"event":"address_taken"');
      releasePort();
      await instance.waitForOutput(STARTED);
      await waitReady(ports);
    });
  });

  it('waits for its peer datagram port while another process has it', async () => {
    const settings = await writeSettings('taken-datagrams.json');
    const socket = createSocket('udp4').bind(ports.peers, '127.0.0.1');
    owner = socket;
    await once(socket, 'listening');
    const instance = program.start(settings);
    await instance.waitForOutput('"event":"address_taken"');
    releasePort();
    await instance.waitForOutput(STARTED);
  });

  it('can be stopped while it waits for a port', async () => {
    const settings = await writeSettings('stopped.json');
    await takePort(ports.callers);
    const instance = program.start(settings);
    await instance.waitForOutput('"event":"address_taken"');
    instance.signal('SIGTERM');
    assert.equal(await instance.ended, 0);
  });

  it('waits for a settings file that is being written', async () => {
    const path = await writeSettings('partial.json');
    const text = formatSettings(ports, store.address);
    writeFileSync(path, text.slice(0, text.length / 2));
    const instance = program.start(path);
    setTimeout(() => writeFileSync(path, text), 600);
    await instance.waitForOutput(STARTED);
  });

  it('ends with code 2 and the reason when the settings stay invalid', async () => {
    const instance = program.start(program.writeFile('invalid.json', '{"node_name": 1}'));
    assert.equal(await instance.ended, 2);
    assert.match(instance.output, /listen_addrs\.front: expected IP:PORT/);
  });
});
