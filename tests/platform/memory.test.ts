import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import type { Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';

import { writeWithoutEnd } from '@cactusstair/standins';

import { sendRequest, sendWithoutReading } from '../relay/support/caller.js';
import { API_KEY, HOST } from '../relay/support/relayFixture.js';
import { formatUnframedHead, ScriptedUpstream } from '../relay/support/scriptedUpstream.js';
import type { InstancePorts, InstanceProcess } from './support/instanceProcess.js';
import {
  findInstancePorts,
  formatSettings,
  InstanceProgram,
  waitReady,
} from './support/instanceProcess.js';
import { StoreStandin } from './support/storeStandin.js';

const MEBIBYTE = 1024 * 1024;
/** Target of the users for an instance whose upstreams answer without end, or whose callers do not read. */
const MAX_PEAK_MB = 150;
const REQUEST_COUNT = 300;
const CONCURRENT_REQUESTS = 100;
const IDLE_CALLERS = 12;
const OTHER_CALLERS = 16;
const BLOCK = Buffer.alloc(65_536, 'x');
const KINDS = { safe: '/safe/', unsafe: '/unsafe/', streaming: '/streaming/' };

/** Returns the largest memory that a process has had, in MB; 0 if the system does not tell. */
function readPeakMb(pid: number): number {
  const match = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Number(match?.[1] ?? 0) / 1024;
}

describe('memory of an instance', () => {
  const program = new InstanceProgram();
  const upstreams: ScriptedUpstream[] = [];
  const idleCallers: Socket[] = [];
  let store: StoreStandin;
  let ports: InstancePorts;
  let instance: InstanceProcess;

  before(async () => {
    await program.build();
    store = await StoreStandin.open();
    const routes = Object.entries(KINDS).map(([kind, prefix]) => ({
      name: kind,
      host: HOST,
      path_prefix: prefix,
      kind,
      service: 'app',
      timeout_ms: 30_000,
    }));
    const sound = { name: 'sound', host: HOST, path_prefix: '/sound/', kind: 'unsafe' };
    store.put('config', 'main', {
      version: 1,
      routes: [...routes, { ...sound, service: 'sound', timeout_ms: 60_000 }],
      services: [{ name: 'app' }, { name: 'sound' }],
      tenants: [{ name: 'workspace-1', api_keys: [API_KEY] }],
    });
    await addUpstream('endless', 'app', (socket, head) => {
      socket.write(head);
      writeWithoutEnd(socket, BLOCK);
    });
    await addUpstream('sound', 'sound', (socket, head) => {
      socket.end(head + 'y'.repeat(8 * MEBIBYTE));
    });
    ports = await findInstancePorts();
    instance = program.start(
      program.writeFile('settings.json', formatSettings(ports, store.address)),
    );
    await waitReady(ports);
  });

  after(async () => {
    idleCallers.forEach((socket) => socket.destroy());
    await program.close();
    for (const upstream of upstreams) await upstream.close();
    await store.close();
  });

  /** Adds an upstream whose answers end with their connections. */
  async function addUpstream(
    id: string,
    service: string,
    write: (socket: Socket, head: string) => void,
  ): Promise<void> {
    const upstream = await ScriptedUpstream.open((socket, request) =>
      write(socket, formatUnframedHead(request)),
    );
    upstreams.push(upstream);
    const address = `127.0.0.1:${upstream.port}`;
    store.put('servers', id, { service, address, zone: 'zone-1', state: 'ready', slots: 8 });
  }

  async function sendMany(path: string): Promise<void> {
    let left = REQUEST_COUNT;
    const sendOneByOne = async () => {
      while (left > 0) {
        left -= 1;
        const headers = { 'x-deadline-ms': '20000' };
        const { status } = await sendRequest(ports.callers, { path: `${path}item`, headers });
        assert.ok(status >= 500, String(status));
      }
    };
    await Promise.all(Array.from({ length: CONCURRENT_REQUESTS }, sendOneByOne));
  }

  // Answers that their callers do not read kept the memory, so that no other was read.
  it(`stays below ${MAX_PEAK_MB} MB, and others are served, when callers read nothing`, async () => {
    for (let index = 0; index < IDLE_CALLERS; index += 1) {
      const request = { path: '/sound/item', id: `idle-${index}`, deadlineMs: 20_000 };
      idleCallers.push(sendWithoutReading(ports.callers, request));
    }
    const headers = { 'x-deadline-ms': '60000' };
    const answers = await Promise.all(
      Array.from({ length: OTHER_CALLERS }, () =>
        sendRequest(ports.callers, { path: '/sound/item', headers }),
      ),
    );
    assert.deepEqual(
      answers.map(({ status, body }) => [status, body.length]),
      answers.map(() => [200, 8 * MEBIBYTE]),
    );
    const peakMb = readPeakMb(instance.pid);
    console.log(`callers that read nothing: peak ${peakMb.toFixed(0)} MB`);
    assert.ok(peakMb < MAX_PEAK_MB, `${peakMb} MB`);
  });

  Object.entries(KINDS).forEach(([kind, path]) => {
    it(`stays below ${MAX_PEAK_MB} MB, and the largest answers are served (${kind})`, async () => {
      let isFlooded = true;
      const flood = sendMany(path).finally(() => {
        isFlooded = false;
      });
      let served = 0;
      while (isFlooded) {
        const answer = await sendRequest(ports.callers, { path: '/sound/item' });
        assert.deepEqual([answer.status, answer.body.length], [200, 8 * MEBIBYTE]);
        served += 1;
      }
      await flood;
      assert.ok(served > 0);
      const peakMb = readPeakMb(instance.pid);
      console.log(`${kind}: peak ${peakMb.toFixed(0)} MB, ${served} large answers`);
      assert.ok(peakMb < MAX_PEAK_MB, `${peakMb} MB`);
      assert.equal(instance.end, undefined);
    });
  });
});
