import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import type { UpstreamRecord } from '@cactusstair/relay';
import { waitFor } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import { createRecord } from './support/records.js';
import {
  createConfig,
  createRoute,
  createStreamRoute,
  RelayFixture,
} from './support/relayFixture.js';
import type { Script } from './support/scriptedUpstream.js';
import { formatAnswer, formatRest, ScriptedUpstream } from './support/scriptedUpstream.js';

const WARMUP_MS = 10_000;
const RATE_PER_S = 2;
const bounds = { coldOverage: 1.5, coldSlack: 5 };
const MAX_IN_SECOND = RATE_PER_S * bounds.coldOverage + bounds.coldSlack;

/** Returns the largest number of times within one second. */
function computePeak(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((start) => times.filter((time) => time >= start && time < start + 1000).length),
  );
}

describe('cold upstreams of a relay', () => {
  let fixture: RelayFixture;

  const sentAtMs = new Map<string, number[]>();

  afterEach(async () => {
    await fixture.close();
    for (const upstream of opened.splice(0)) await upstream.close();
    sentAtMs.clear();
  });

  const routes = [createRoute(), createStreamRoute()];

  const opened: ScriptedUpstream[] = [];

  /** Opens a relay whose first list holds the given upstreams. */
  async function open(listed: Record<string, Partial<UpstreamRecord>>) {
    const services = [
      {
        name: 'app',
        maxConnections: 100,
        warmupMs: WARMUP_MS,
        warmupRequestsPerSecond: RATE_PER_S,
      },
    ];
    const records: UpstreamRecord[] = [];
    const upstreams: Record<string, ScriptedUpstream> = {};
    for (const [id, overrides] of Object.entries(listed)) {
      const upstream = await ScriptedUpstream.open(createScript(id));
      opened.push(upstream);
      upstreams[id] = upstream;
      records.push(createRecord(id, { port: upstream.port, ...overrides }));
    }
    fixture = await RelayFixture.open(routes, undefined, {
      evacuateMs: 5000,
      ...bounds,
      prepare: (store) => {
        store.config.put('main', { ...createConfig(1, routes), services });
        for (const record of records) store.upstreams.put(record.id, record);
      },
    });
    await fixture.waitReady();
    return upstreams;
  }

  function createScript(id: string): Script {
    const times: number[] = [];
    sentAtMs.set(id, times);
    return (socket, request) => {
      times.push(performance.now());
      socket.end(
        request.path.startsWith('/stream/')
          ? formatRest(request, 3)
          : formatAnswer(request, 200, 'ok'),
      );
    };
  }

  async function sendMany(count: number): Promise<Map<number, number>> {
    const statuses = new Map<number, number>();
    for (let sent = 0; sent < count; sent += 1) {
      const path = sent % 2 === 0 ? '/app/item' : '/stream/item';
      const { status, headers } = await sendRequest(fixture.callerPort, { path });
      statuses.set(status, (statuses.get(status) ?? 0) + 1);
      if (status !== 503) continue;
      assert.equal(headers['x-cactusstair-ran'], 'no');
      assert.ok(Number(headers['retry-after']) > 0);
    }
    return statuses;
  }

  /** Waits until the other instances, if there were any, would know this one. */
  async function waitIntroduced(): Promise<void> {
    const isServed = async () => (await sendRequest(fixture.callerPort)).status === 200;
    const untilMs = performance.now() + 8000;
    while (!(await isServed()) && performance.now() < untilMs) {
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
    }
  }

  it('get nothing while a warm one has room', async () => {
    await open({ warm: {} });
    const appeared = await fixture.addUpstream('appeared', createScript('appeared'));
    await fixture.waitForLine('"reason":"appeared"');
    assert.deepEqual([...(await sendMany(40)).keys()], [200]);
    const metrics = await fetch(`http://127.0.0.1:${fixture.readinessPort}/metrics`);
    assert.match(await metrics.text(), /cactusstair_relay_cold_upstreams 1/);
    assert.equal(appeared.received.length, 0);
  });

  // Warm upstreams that are full refuse requests; those of a cold one's share need not be lost.
  it('get their share while all slots of the warm ones are in use', async () => {
    const { cold, warm } = await open({ warm: { slots: 1 }, cold: { warmupLeftMs: 60_000 } });
    await fixture.waitForLine('"event":"upstream_cold"');
    await waitFor(() => fixture.store.peers.calls > 0, { what: 'a list', timeoutMs: 5000 });
    const { script } = warm!;
    let finish = () => {};
    warm!.script = (socket, request) => {
      finish = () => script(socket, request);
    };
    let answered = 0;
    const untilMs = performance.now() + 8000;
    while (cold!.received.length === 0 && performance.now() < untilMs) {
      const held = sendRequest(fixture.callerPort);
      const other = sendRequest(fixture.callerPort);
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
      finish();
      answered += (await held).status === 200 && (await other).status === 200 ? 1 : 0;
    }
    assert.equal(cold!.received.length, 1);
    assert.ok(answered > 0);
  });

  it('get no more than the bound when all are cold, and the rest is refused as not run', async () => {
    await open({ a: { warmupLeftMs: 60_000 }, b: { warmupLeftMs: 60_000 } });
    await waitIntroduced();
    const startedMs = performance.now();
    let served = 0;
    while (performance.now() - startedMs < 3000) served += (await sendMany(6)).get(200) ?? 0;
    const elapsedS = (performance.now() - startedMs) / 1000;
    for (const times of sentAtMs.values()) {
      assert.ok(computePeak(times) <= MAX_IN_SECOND, `${computePeak(times)} in a second`);
    }
    // A bound that refuses everything would hold as well.
    assert.ok(served >= 2 * RATE_PER_S * Math.floor(elapsedS), `${served} in ${elapsedS} s`);
  });

  it('count repeats and resumed streams within the bound', async () => {
    const { failing } = await open({ failing: {}, cold: { warmupLeftMs: 60_000 } });
    failing!.script = (socket, request) => socket.end(formatAnswer(request, 500, 'no'));
    const startedMs = performance.now();
    while (performance.now() - startedMs < 5000) {
      await sendRequest(fixture.callerPort, { path: '/stream/item' });
      await sendRequest(fixture.callerPort);
    }
    assert.ok(failing!.received.length > 0);
    const times = sentAtMs.get('cold')!;
    assert.ok(times.length > 0);
    assert.ok(computePeak(times) <= MAX_IN_SECOND, `${computePeak(times)} in a second`);
  });

  it('are those of a zone whose evacuation ends', async () => {
    const { back } = await open({ warm: {}, back: { zone: 'zone-2' } });
    fixture.store.evacuations.put('zone-2', { zone: 'zone-2' });
    await fixture.waitForLine('"event":"evacuation","zone":"zone-2","state":"started"');
    fixture.store.evacuations.remove('zone-2');
    await fixture.waitForLine('"reason":"evacuation_ended"');
    await sendMany(20);
    assert.equal(back!.received.length, 0);
  });

  it('are those that come back after a crash', async () => {
    const { crashed } = await open({ crashed: {} });
    assert.equal((await sendRequest(fixture.callerPort)).status, 200);
    crashed!.crash();
    await sendRequest(fixture.callerPort);
    await crashed!.restart();
    await waitIntroduced();
    await fixture.waitForLine('"reason":"returned"');
    // One after the other, they would wait in the queue until the upstream is warm.
    await Promise.all(Array.from({ length: 60 }, () => sendMany(1)));
    const times = sentAtMs.get('crashed')!;
    assert.ok(computePeak(times.slice(1)) <= MAX_IN_SECOND);
  });

  it('leave the requests to others when their entries are odd', async () => {
    const { without } = await open({ without: { slots: 0 }, odd: { warmupLeftMs: undefined } });
    assert.deepEqual([...(await sendMany(20)).keys()], [200]);
    assert.equal(without!.received.length, 0);
    await fixture.waitForLine('"event":"upstream_warmup_unknown"');
    const log = fixture.lines.join('');
    assert.equal(log.split('"event":"upstream_without_slots"').length, 2);
    assert.equal(log.split('"event":"upstream_warmup_unknown"').length, 2);
    assert.ok(!log.includes('"event":"fault"'));
  });
});
