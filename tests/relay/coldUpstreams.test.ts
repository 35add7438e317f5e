import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { ColdReason, Service, UpstreamRecord } from '@cactusstair/relay';
import { ColdUpstreams, UpstreamDirectory } from '@cactusstair/relay';
import { ColdLimits } from '@cactusstair/routing';
import { ManualClock } from '@cactusstair/utils';

import { createRecord } from './support/records.js';

const WARMUP_MS = 10_000;
const RATE_PER_S = 2;
const bounds = { coldOverage: 1.5, coldSlack: 5 };

describe('ColdUpstreams', () => {
  function create(overrides: Partial<Service> = {}) {
    const clock = new ManualClock(50_000);
    const events: [id: string, leftMs: number, reason: ColdReason][] = [];
    const unknown: string[] = [];
    const directory = new UpstreamDirectory({
      clock,
      isStoreDisturbed: () => false,
      getStoreRestoredAgeMs: () => Infinity,
    });
    const service: Service = {
      name: 'app',
      maxConnections: 10,
      warmupMs: WARMUP_MS,
      warmupRequestsPerSecond: RATE_PER_S,
      ...overrides,
    };
    const getInstances = () => ({ self: 'a', others: [], count: 1, isIntroduced: true });
    const cold = new ColdUpstreams({
      clock,
      bounds,
      limits: new ColdLimits({ clock, getInstances }),
      findUpstream: (id) => directory.find(id),
      listUpstreams: () => directory.listAll(),
      findService: () => service,
      onCold: (upstream, leftMs, reason) => events.push([upstream.id, leftMs, reason]),
      onUnknown: ({ id }) => unknown.push(id),
    });
    let revision = 0;
    const put = (record: Partial<UpstreamRecord>, at = (revision += 1)) => {
      const value = createRecord('u', record);
      directory.applyChange({ name: 'u', revision: at, value, isDeleted: false });
      cold.refresh();
      return directory.find('u')!;
    };
    return { clock, cold, events, put, unknown };
  }

  // The time left was compared with 0 and never counted down between two entries.
  it('takes an upstream as warm when the time that its entry states is over', async () => {
    const { clock, cold, put } = create();
    put({ warmupLeftMs: 1000 });
    await clock.advance(999);
    assert.equal(cold.isCold('u'), true);
    await clock.advance(1);
    assert.equal(cold.isCold('u'), false);
    assert.equal(cold.getWaitMs('u'), 0);
  });

  it('does not count from a further read of the same entry', async () => {
    const { clock, cold, put } = create();
    put({ warmupLeftMs: 1000 }, 5);
    await clock.advance(900);
    put({ warmupLeftMs: 1000 }, 5);
    await clock.advance(100);
    assert.equal(cold.isCold('u'), false);
  });

  it('follows an entry that makes an upstream cold again', async () => {
    const { cold, events, put } = create();
    put({ warmupLeftMs: 0 });
    assert.equal(cold.isCold('u'), false);
    put({ warmupLeftMs: 4000 });
    assert.equal(cold.isCold('u'), true);
    assert.deepEqual(events, [['u', 4000, 'entry']]);
  });

  (['appeared', 'restarted', 'evacuation_ended'] as const).forEach((reason) => {
    // The entry may be 2 s old, so it may still state what held before the start.
    it(`keeps an upstream cold for the warm-up time, whatever its entry states (${reason})`, async () => {
      const { clock, cold, events, put } = create();
      const upstream = put({ warmupLeftMs: 0 });
      cold.start(upstream, reason);
      await clock.advance(1000);
      put({ warmupLeftMs: 0 });
      await clock.advance(WARMUP_MS - 1001);
      assert.equal(cold.isCold('u'), true);
      await clock.advance(1);
      assert.equal(cold.isCold('u'), false);
      assert.deepEqual(events, [['u', WARMUP_MS, reason]]);
    });
  });

  // After a store outage the pool is registered again, some entries later than they are kept.
  it('does not take an upstream as new that only the store had lost', () => {
    const { cold, put } = create();
    const upstream = put({ startedAtMs: 7 });
    cold.recordMissing(upstream.record);
    cold.forget('u');
    cold.recordAppeared(upstream);
    assert.equal(cold.isCold('u'), false);
    cold.recordMissing(upstream.record);
    cold.recordAppeared(put({ startedAtMs: 8 }));
    assert.equal(cold.isCold('u'), true);
  });

  it('lets an entry make that longer', async () => {
    const { clock, cold, put } = create();
    cold.start(put({ warmupLeftMs: 0 }), 'appeared');
    put({ warmupLeftMs: WARMUP_MS + 500 });
    await clock.advance(WARMUP_MS + 499);
    assert.equal(cold.isCold('u'), true);
    await clock.advance(1);
    assert.equal(cold.isCold('u'), false);
  });

  it('keeps an upstream cold from when it is reached after it was down', async () => {
    const { clock, cold, put } = create();
    put({}).recordDown(true);
    await clock.advance(WARMUP_MS / 2);
    cold.recordReached('u');
    await clock.advance(WARMUP_MS - 1);
    assert.equal(cold.isCold('u'), true);
    await clock.advance(1);
    assert.equal(cold.isCold('u'), false);
    cold.recordReached('u');
    assert.equal(cold.isCold('u'), false);
  });

  // Warm upstreams are used first, so an upstream that is back would never be tried.
  it('takes an upstream that was down as warm in the end, although nobody has reached it', async () => {
    const { clock, cold, put } = create();
    const upstream = put({});
    upstream.recordDown(true);
    assert.equal(upstream.isDown, true);
    await clock.advance(WARMUP_MS);
    assert.equal(upstream.isDown, false);
    assert.equal(cold.isCold('u'), true);
    await clock.advance(WARMUP_MS);
    assert.equal(cold.isCold('u'), false);
    cold.recordReached('u');
    assert.equal(cold.isCold('u'), false);
  });

  // A healthy upstream would lose its requests for the whole warm-up time.
  it('does not take an upstream as cold because of one connection that timed out', () => {
    const { cold, put } = create();
    put({}).recordDown();
    assert.equal(cold.isCold('u'), false);
  });

  it('takes no upstream of a service without a warm-up rate as cold', () => {
    const { cold, events, put, unknown } = create({ warmupRequestsPerSecond: 0 });
    const upstream = put({ warmupLeftMs: 5000 });
    cold.start(upstream, 'appeared');
    upstream.recordDown(true);
    assert.equal(cold.isCold('u'), false);
    assert.equal(cold.getWaitMs('u'), 0);
    assert.deepEqual([events, unknown], [[], []]);
  });

  it('reports an entry without a plausible time once, and takes the upstream as warm', () => {
    const { cold, put, unknown } = create();
    put({ warmupLeftMs: undefined });
    put({ warmupLeftMs: undefined });
    assert.equal(cold.isCold('u'), false);
    assert.deepEqual(unknown, ['u']);
  });
});
