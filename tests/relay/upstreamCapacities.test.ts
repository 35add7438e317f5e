import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { CapacityChange, PeerMessage, SelectionRequest } from '@cactusstair/relay';
import {
  createFleetReport,
  hasCapacity,
  hasRoom,
  parseDatagram,
  selectUpstream,
  Upstream,
  UpstreamCapacities,
} from '@cactusstair/relay';
import { createRandom, ManualClock } from '@cactusstair/utils';

import { createRecord } from './support/records.js';

const MAX_DATAGRAM_BYTES = 60_000;
const MAX_UDP_BYTES = 65_507;

describe('UpstreamCapacities', () => {
  function createCapacities(ids: string[], slots = 6) {
    const clock = new ManualClock(1000);
    const changes: CapacityChange[] = [];
    const upstreams = ids.map((id) => new Upstream(createRecord(id, { slots }), clock));
    const capacities = new UpstreamCapacities({
      clock,
      listUpstreams: () => upstreams,
      onChange: (change) => changes.push(change),
    });
    const estimator = capacities.get('app', false);
    /** Records calls at each load of each upstream for some seconds. */
    async function run(seconds: number, getTime: (id: string, running: number) => number) {
      for (let round = 0; round < seconds * 10; round += 1) {
        for (const { record } of upstreams) {
          for (let running = 1; running <= slots; running += 1) {
            const timeMs = getTime(record.id, running);
            estimator.record({ upstream: record, workClass: 'work', running, timeMs });
            estimator.recordCall('work', timeMs);
          }
        }
        await clock.advance(100);
        if (round % 10 === 0) capacities.checkChanges();
      }
    }
    return { clock, changes, upstreams, capacities, estimator, run };
  }

  const request: SelectionRequest = {
    zone: 'zone-1',
    isZoneUnreachable: () => false,
    estimatePrefillMs: () => 0,
    getQueueBiasMs: () => 0,
    promptTokens: 0,
    heldTokens: 0,
    promptParts: [],
    workClass: 'work',
  };

  function addCalls(upstream: Upstream, count: number): void {
    for (let call = 0; call < count; call += 1) upstream.calls.add({ backlogMs: 0, heldTokens: 0 });
  }

  it('reports a marked change once, and again when it ends', async () => {
    const { changes, run } = createCapacities(['a', 'b']);
    await run(10, () => 43);
    assert.equal(changes.length, 0);
    await run(12, (id, running) => (id === 'a' ? 43 * Math.max(1, running / 2) : 43));
    assert.ok(changes.length >= 1 && changes.length <= 2, JSON.stringify(changes));
    const { upstream, service, slots, limit } = changes.at(-1)!;
    assert.deepEqual({ upstream, service, slots }, { upstream: 'a', service: 'app', slots: 6 });
    assert.ok(limit <= 3, `${limit}`);
    await run(20, () => 43);
    assert.equal(changes.at(-1)!.limit, 6);
    assert.ok(changes.length <= 5, JSON.stringify(changes));
  });

  it('lists the limit of each upstream, which is its slots while nothing is learned', async () => {
    const { capacities, run } = createCapacities(['a', 'b']);
    assert.deepEqual(capacities.listLimits(), [
      ['a', 6],
      ['b', 6],
    ]);
    await run(10, (id, running) => (id === 'a' ? 43 * Math.max(1, running / 2) : 43));
    const limits = new Map(capacities.listLimits());
    assert.ok(limits.get('a')! <= 3, `${limits.get('a')}`);
    assert.equal(limits.get('b'), 6);
  });

  it('prefers an upstream below its limit, and refuses nothing for want of one', async () => {
    const { upstreams, estimator, run } = createCapacities(['a', 'b']);
    await run(10, (id, running) => (id === 'a' ? 30 * Math.max(1, running / 2) : 43));
    const [a, b] = upstreams;
    const withCapacity = { ...request, capacity: estimator };
    addCalls(a!, 3);
    assert.equal(hasCapacity(a!, withCapacity), false);
    addCalls(b!, 5);
    assert.equal(selectUpstream(upstreams, withCapacity)?.upstream.id, 'b');
    addCalls(a!, 10);
    addCalls(b!, 10);
    assert.ok(selectUpstream(upstreams, withCapacity));
    addCalls(a!, 10);
    addCalls(b!, 10);
    assert.equal(selectUpstream(upstreams, withCapacity), undefined);
  });

  it('bounds an upstream of a plain service by its slots and what may wait there', () => {
    const { upstreams } = createCapacities(['a']);
    const [a] = upstreams;
    addCalls(a!, 17);
    assert.ok(hasRoom(a!, request));
    addCalls(a!, 1);
    assert.equal(hasRoom(a!, request), false);
  });

  // An upstream above its limit is still better than one that does not answer.
  it('does not count an upstream that is down, failing or cold as having capacity', () => {
    const { upstreams, clock } = createCapacities(['down', 'failing', 'loaded']);
    const [down, failing, loaded] = upstreams;
    down!.recordDown();
    for (let count = 0; count < 5; count += 1) failing!.recordFailure();
    const cold = new Upstream(createRecord('cold', { slots: 6, warmupLeftMs: 3000 }), clock);
    for (const upstream of [down!, failing!, cold]) {
      assert.equal(hasCapacity(upstream, request), false);
    }
    addCalls(loaded!, 6);
    assert.equal(selectUpstream([down!, loaded!], request)?.upstream.id, 'loaded');
  });

  describe('in messages', () => {
    /** Creates a message of a reporter with all fields of a large, busy fleet. */
    async function createMessage(upstreamCount: number): Promise<PeerMessage> {
      const random = createRandom(3);
      const ids = Array.from(
        { length: upstreamCount },
        (_, index) => `engine-riga-a-${index}-7f3a`,
      );
      const { capacities, run } = createCapacities(ids, 12);
      await run(3, () => 20 + 80 * random.next());
      const loads = Object.fromEntries(ids.map((id) => [id, [12, 12_345, 123_456]])) as Record<
        string,
        [number, number, number]
      >;
      const names = Array.from({ length: 32 }, (_, index) => `edge-riga-a-${index}`);
      const pins = Array.from({ length: 100 }, (_, index) => `service-${index} session-${index}`);
      const part = {
        count: 30,
        countByZone: { 'riga-a': 30, 'riga-b': 29, 'riga-c': 28 },
        loads,
        evidence: {},
        engines: { app: { small: [1, 2, 3, 4, 5] as [number, number, number, number, number] } },
        capacities: capacities.exportSums(),
        pins,
      };
      const report = createFleetReport('fleet', 'riga-a', [part, part, part]);
      return {
        name: 'edge-riga-a-1',
        zone: 'riga-a',
        capacity: 1,
        incarnation: 1e12,
        sequence: 1e5,
        isLeaving: false,
        ...part,
        crashes: [],
        views: { config: ['1234', 100], upstreams: ['100.1234567890', 100] },
        echoes: Object.fromEntries(names.map((name) => [name, [1e12, 1e5, 123.456]])),
        report: { ...report, remoteLoads: loads },
      };
    }

    // A longer datagram than UDP allows is never sent, so the whole exchange would stop.
    it('keep a datagram under 60 KB with 100 upstreams', async () => {
      const bytes = Buffer.from(JSON.stringify(await createMessage(100)));
      assert.ok(bytes.length < MAX_DATAGRAM_BYTES, `${bytes.length} bytes`);
      assert.ok(MAX_DATAGRAM_BYTES < MAX_UDP_BYTES);
      assert.ok(parseDatagram(bytes));
    });

    it('may be absent, as in older builds', async () => {
      const { capacities, ...message } = await createMessage(2);
      assert.ok(capacities);
      delete message.report!.capacities;
      assert.ok(parseDatagram(Buffer.from(JSON.stringify(message))));
    });

    it('make a message invalid that holds nonsense', async () => {
      const message = await createMessage(2);
      const parse = (capacities: unknown, isReport: boolean) => {
        const changed = isReport
          ? { ...message, report: { ...message.report, capacities } }
          : { ...message, capacities };
        return parseDatagram(Buffer.from(JSON.stringify(changed)));
      };
      const nonsense = [null, 5, { app: 5 }, { app: { classes: {}, upstreams: { a: [1, 1e9] } } }];
      for (const value of nonsense) {
        assert.equal(parse(value, false), undefined, JSON.stringify(value));
        assert.equal(parse(value, true), undefined, JSON.stringify(value));
      }
    });
  });
});
