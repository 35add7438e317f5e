import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { InstanceGroup, LimitedUpstream } from '@cactusstair/routing';
import { computeRateShares, RateAllowance, UpstreamLimits } from '@cactusstair/routing';
import type { Random } from '@cactusstair/utils';
import { createRandom, ManualClock } from '@cactusstair/utils';
import fc from 'fast-check';

const SEED = 27;
/** The promise to an upstream: in any 4 s no more than one and a half times its limit, and 5. */
const WINDOW_MS = 4000;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;
const KNOWN_AFTER_MS = 3000;

const limitedUpstream = fc.record({
  zone: fc.constantFrom('zone-1', 'zone-2', 'zone-3', 'zone-without-instances'),
  requestsPerSecond: fc.double({ min: 0.1, max: 40, noNaN: true }),
});

const counts = fc.record({
  'zone-1': fc.integer({ min: 1, max: 40 }),
  'zone-2': fc.integer({ min: 0, max: 5 }),
  'zone-3': fc.integer({ min: 0, max: 5 }),
});

/** Lists the group as each of its instances sees it. */
function listViews(countByZone: Record<string, number>): InstanceGroup[] {
  return Object.entries(countByZone).flatMap(([zone, count]) =>
    Array.from({ length: count }, (_, index) => ({ countByZone, zone, index })),
  );
}

function sum(values: Iterable<number>): number {
  return [...values].reduce((total, value) => total + value, 0);
}

describe('computeRateShares', () => {
  const named = (upstreams: Omit<LimitedUpstream, 'id'>[]) =>
    upstreams.map((upstream, index) => ({ ...upstream, id: `upstream-${index}` }));

  it('divides each limit whole, and gives each upstream few senders', () => {
    fc.assert(
      fc.property(
        fc.array(limitedUpstream, { minLength: 1, maxLength: 12 }),
        counts,
        (list, by) => {
          const upstreams = named(list);
          const shares = listViews(by).map((group) => computeRateShares(upstreams, group));
          for (const { id, requestsPerSecond } of upstreams) {
            const rates = shares.flatMap((each) => each.get(id) ?? []);
            assert.ok(Math.abs(sum(rates) - requestsPerSecond) < 1e-6);
            // Each sender may have saved up one request or those of one and a half seconds.
            const saved = sum(rates.map((rate) => Math.max(1, rate * 1.5)));
            const most = saved + (requestsPerSecond * WINDOW_MS) / 1000;
            const allowed = (ALLOWED_FACTOR * requestsPerSecond * WINDOW_MS) / 1000 + ALLOWED_EXTRA;
            assert.ok(most <= allowed, `${most} of ${allowed} for ${requestsPerSecond}/s`);
          }
        },
      ),
      { seed: SEED, numRuns: 300 },
    );
  });

  it('gives all instances the same rate when there is enough for each', () => {
    const upstreams = named([
      { zone: 'zone-1', requestsPerSecond: 3 },
      { zone: 'zone-2', requestsPerSecond: 5 },
    ]);
    const views = listViews({ 'zone-1': 3, 'zone-2': 1, 'zone-3': 1 });
    const totals = views.map((group) => sum(computeRateShares(upstreams, group).values()));
    for (const total of totals) assert.ok(Math.abs(total - 8 / 5) < 1e-6);
  });

  it('prefers upstreams in the zone of the instance', () => {
    const upstreams = named([
      { zone: 'zone-1', requestsPerSecond: 2 },
      { zone: 'zone-2', requestsPerSecond: 2 },
    ]);
    for (const group of listViews({ 'zone-1': 2, 'zone-2': 2 })) {
      const [id] = computeRateShares(upstreams, group).keys();
      assert.equal(upstreams.find((each) => each.id === id)?.zone, group.zone);
    }
  });
});

describe('RateAllowance', () => {
  it('allows no burst when the rate is new, and saves little up', async () => {
    const clock = new ManualClock();
    const allowance = new RateAllowance(clock);
    allowance.setRate(1);
    assert.equal(allowance.tryTake(), false);
    assert.equal(allowance.getWaitMs(), 1000);
    await clock.advance(60_000);
    assert.equal(allowance.isFull(), true);
    assert.deepEqual([allowance.tryTake(), allowance.tryTake()], [true, false]);
    assert.equal(allowance.isFull(), false);
    allowance.setRate(0);
    assert.equal(allowance.getWaitMs(), Infinity);
  });
});

describe('UpstreamLimits', () => {
  const zones = ['zone-1', 'zone-2'];

  function openInstances(clock: ManualClock, countByZone: Record<string, number>) {
    return listViews(countByZone).map(
      (group) =>
        new UpstreamLimits({
          clock,
          getGroup: () => group,
          findUpstream: (id) => ({ pool: 'engines', zone: zones[Number(id) % 2]! }),
        }),
    );
  }

  /** Plays requests that come at random instances; returns the times at which each upstream got one. */
  async function play(
    instances: UpstreamLimits[],
    clock: ManualClock,
    options: { upstreams: number; limit: number; arrivalsPerSecond: number; random: Random },
  ): Promise<number[][]> {
    const { upstreams, limit, arrivalsPerSecond, random } = options;
    const received: number[][] = Array.from({ length: upstreams }, () => []);
    const stepMs = 10;
    for (let nowMs = 0; nowMs < 30_000; nowMs += stepMs) {
      if (random.next() < (arrivalsPerSecond * stepMs) / 1000) {
        const instance = instances[Math.floor(random.next() * instances.length)]!;
        const ids = Array.from({ length: upstreams }, (_, index) => index);
        const id = ids.find((each) => instance.getWaitMs(String(each)) <= 0);
        if (id !== undefined && instance.tryTake(String(id))) {
          received[id]!.push(nowMs);
          instance.record(String(id), limit);
        }
      }
      if (nowMs % 250 === 0) {
        const reports = instances.flatMap((instance) => instance.exportReports('own'));
        for (const instance of instances) instance.importReports(reports);
      }
      await clock.advance(stepMs);
    }
    return received;
  }

  /** Counts the requests of the busiest window, once the limit has been known for some time. */
  function countBusiest(times: readonly number[]): number {
    const late = times.filter((atMs) => atMs >= times[0]! + KNOWN_AFTER_MS);
    return Math.max(
      0,
      ...late.map(
        (startMs) => late.filter((at) => at >= startMs && at < startMs + WINDOW_MS).length,
      ),
    );
  }

  const plays = [
    { countByZone: { 'zone-1': 4, 'zone-2': 3 }, upstreams: 6, limit: 4, arrivalsPerSecond: 60 },
    {
      countByZone: { 'zone-1': 44, 'zone-2': 44 },
      upstreams: 60,
      limit: 1.3,
      arrivalsPerSecond: 90,
    },
    { countByZone: { 'zone-1': 44, 'zone-2': 44 }, upstreams: 1, limit: 2, arrivalsPerSecond: 90 },
  ];
  for (const { countByZone, ...options } of plays) {
    const instanceCount = sum(Object.values(countByZone));
    it(`keeps ${instanceCount} instances within the limits of ${options.upstreams} upstreams`, async () => {
      const clock = new ManualClock();
      const instances = openInstances(clock, countByZone);
      const received = await play(instances, clock, { ...options, random: createRandom(SEED) });
      const allowed = (ALLOWED_FACTOR * options.limit * WINDOW_MS) / 1000 + ALLOWED_EXTRA;
      for (const times of received) assert.ok(countBusiest(times) <= allowed);
    });
  }

  it('uses most of the limits when more requests come than they allow', async () => {
    const clock = new ManualClock();
    const instances = openInstances(clock, { 'zone-1': 4, 'zone-2': 3 });
    const options = { upstreams: 6, limit: 4, arrivalsPerSecond: 60, random: createRandom(SEED) };
    const received = await play(instances, clock, options);
    const served = sum(received.map(({ length }) => length));
    assert.ok(served > 0.8 * 6 * 4 * 30, `${served} served`);
  });

  it('follows the newest statement, whoever heard it', async () => {
    const clock = new ManualClock();
    const [first, second] = openInstances(clock, { 'zone-1': 1, 'zone-2': 1 }) as [
      UpstreamLimits,
      UpstreamLimits,
    ];
    first.record('0', 1);
    second.importReports(first.exportReports('own'));
    assert.ok(second.getWaitMs('0') > 0);
    await clock.advance(100);
    const early = first.exportReports('own');
    second.record('0', undefined);
    second.importReports(early);
    assert.equal(second.getWaitMs('0'), 0);
    first.importReports(second.exportReports('own'));
    assert.equal(first.getWaitMs('0'), 0);
  });

  it('ignores malformed reports', () => {
    const [limits] = openInstances(new ManualClock(), { 'zone-1': 1 });
    limits!.importReports([
      null,
      1,
      { upstream: '0' },
      { upstream: '0', requestsPerSecond: -1, ageMs: 1 },
    ]);
    assert.equal(limits!.getWaitMs('0'), 0);
  });
});
