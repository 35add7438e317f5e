import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { API_KEY, CallerFixture, limits } from './callerFixture.js';

const ENTRY = 'riga-a-1';
/** An instance of this cluster has about 140 MB before the first request. */
const MAX_RESIDENT_MB = 300;
const BODY_BYTES = 4 * 1024 * 1024;
/** Bytes by which each body stops short of its end. */
const MISSING_BYTES = 64 * 1024;
const BODY_CONNECTIONS = 100;
const PIPELINE_CONNECTIONS = 24;
const PIPELINED_REQUESTS = 1500;
/** Time for which the callers send; the instance serves nothing else meanwhile. */
const ATTACK_MS = 6000;
const ANSWER_TIMEOUT_MS = 20_000;
const KB_PER_MB = 1024;

const noop = () => {};

function openConnections(url: string, count: number, bytes: readonly Buffer[]): Socket[] {
  const { hostname, port } = new URL(url);
  return Array.from({ length: count }, () => {
    const socket = connect(Number(port), hostname, () => {
      for (const part of bytes) socket.write(part);
    });
    // Nothing is read. Refused callers may be reset.
    return socket.on('error', noop);
  });
}

function createUnfinishedUpload(): Buffer[] {
  const head = [
    'POST /services/standings/write HTTP/1.1',
    'host: entry',
    `authorization: Bearer ${API_KEY}`,
    'content-type: application/octet-stream',
    `content-length: ${BODY_BYTES}`,
  ];
  return [Buffer.from(`${head.join('\r\n')}\r\n\r\n`), Buffer.alloc(BODY_BYTES - MISSING_BYTES)];
}

describe('entry instance whose callers are faulty', () => {
  let fixture: CallerFixture;
  let sockets: Socket[] = [];

  beforeEach(async () => {
    fixture = await CallerFixture.start({
      entrySettings: {
        limits: { ...limits, bodyBytes: BODY_BYTES, receiveMs: 60_000 },
        invariants: { fatal: true },
      },
    });
  });

  afterEach(async () => {
    for (const socket of sockets) socket.destroy();
    await fixture.close();
  });

  function readPeakMb(): number {
    const entry = fixture.cluster.processes.find(({ name }) => name === ENTRY);
    assert.ok(entry?.isRunning, `the process has ended: ${fixture.readLog().slice(-2000)}`);
    const status = readFileSync(`/proc/${entry.pid}/status`, 'utf8');
    return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) / KB_PER_MB;
  }

  /** Lets callers send for `ATTACK_MS`, and asserts that the instance survives them. */
  async function assertSurvives(url: string, count: number, bytes: readonly Buffer[]) {
    const idleMb = readPeakMb();
    sockets = openConnections(url, count, bytes);
    await sleep(ATTACK_MS);
    for (const socket of sockets) socket.destroy();
    const answer = await Promise.race([
      fixture.send('POST', '/services/standings/write', {
        headers: { 'idempotency-key': 'ordinary' },
        body: '{}',
      }),
      sleep(ANSWER_TIMEOUT_MS, undefined, { ref: false }),
    ]);
    const peakMb = readPeakMb();
    const shown = `peak of resident memory ${Math.round(peakMb)} MB, before ${Math.round(idleMb)} MB`;
    assert.ok(answer, `an ordinary request got no answer; ${shown}`);
    assert.equal(answer.status, 200, `${answer.text}; ${shown}`);
    assert.ok(peakMb < MAX_RESIDENT_MB, shown);
    return shown;
  }

  it('does not hold the bodies of many uploads that stop short of their end', async (test) => {
    const { callers } = fixture;
    test.diagnostic(await assertSurvives(callers, BODY_CONNECTIONS, createUnfinishedUpload()));
  });

  it('does not hold the responses to requests pipelined at the operations port', async (test) => {
    const request = 'GET /metrics HTTP/1.1\r\nhost: entry\r\n\r\n';
    const [entry] = fixture.cluster.entries;
    const bytes = [Buffer.from(request.repeat(PIPELINED_REQUESTS))];
    test.diagnostic(await assertSurvives(entry?.metrics ?? '', PIPELINE_CONNECTIONS, bytes));
  });
});
