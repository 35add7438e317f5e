import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { UpstreamHealth, UpstreamHealthPoolOptions } from '@cactusstair/routing';
import { UpstreamHealthPool } from '@cactusstair/routing';
import { createRandom, ManualClock } from '@cactusstair/utils';

const UPSTREAM_NAMES = Array.from({ length: 10 }, (_, index) => `u${index}`);

function createPool(names: string[], options: UpstreamHealthPoolOptions = {}) {
  const clock = new ManualClock();
  const pool = new UpstreamHealthPool({ clock, ...options });
  pool.setMembers(names);
  return { clock, pool, get: (name: string): UpstreamHealth => pool.get(name)! };
}

function countUnavailable(pool: UpstreamHealthPool, names: string[]): number {
  return names.filter((name) =>
    ['ejected', 'leaving'].includes(pool.get(name)?.getAvailability() ?? ''),
  ).length;
}

describe('UpstreamHealth', () => {
  describe('ejection', () => {
    it('ejects after a single crash but not after time-outs with a success in between', () => {
      const { get } = createPool(UPSTREAM_NAMES);
      get('u0').recordFailure('crash');
      assert.equal(get('u0').getAvailability(), 'ejected');
      get('u1').recordFailure('timeout');
      get('u1').recordFailure('timeout');
      get('u1').recordSuccess();
      get('u1').recordFailure('timeout');
      assert.equal(get('u1').getAvailability(), 'slow_start');
    });

    it('ejects an upstream that fails every other call and never three in a row', () => {
      const { get } = createPool(UPSTREAM_NAMES);
      for (let call = 0; call < 20; call += 1) {
        get('u0').recordFailure('status');
        get('u0').recordSuccess();
      }
      assert.equal(get('u0').getAvailability(), 'ejected');
    });

    it('doubles the ejection time up to the maximum and ends in slow start', async () => {
      const { clock, get } = createPool(UPSTREAM_NAMES, {
        baseEjectionMs: 5000,
        maxEjectionMs: 20_000,
      });
      const durations: number[] = [];
      for (let round = 0; round < 4; round += 1) {
        get('u0').recordFailure('crash');
        let durationMs = 0;
        while (get('u0').getAvailability() === 'ejected') {
          await clock.advance(1000);
          durationMs += 1000;
        }
        assert.equal(get('u0').getAvailability(), 'slow_start');
        durations.push(durationMs);
      }
      assert.deepEqual(durations, [5000, 10_000, 20_000, 20_000]);
    });

    it('resets the ejection time after a long time in service', async () => {
      const { clock, get } = createPool(UPSTREAM_NAMES, {
        baseEjectionMs: 5000,
        ejectionBackoffResetMs: 300_000,
      });
      for (let round = 0; round < 3; round += 1) {
        get('u0').recordFailure('crash');
        await clock.advance(20_000);
      }
      await clock.advance(300_000);
      get('u0').recordFailure('crash');
      await clock.advance(5000);
      assert.equal(get('u0').getAvailability(), 'slow_start');
    });

    it('does not extend an ejection by calls that were in flight when it began', async () => {
      const { clock, get } = createPool(UPSTREAM_NAMES, { baseEjectionMs: 5000 });
      for (let call = 0; call < 50; call += 1) get('u0').recordFailure('crash');
      await clock.advance(5000);
      assert.equal(get('u0').getAvailability(), 'slow_start');
      get('u0').recordFailure('timeout');
      assert.equal(get('u0').getAvailability(), 'slow_start');
    });
  });

  describe('slow start', () => {
    it('ends slowStartMs after the recovery', async () => {
      const { clock, get } = createPool(UPSTREAM_NAMES, {
        slowStartMs: 30_000,
        baseEjectionMs: 5000,
      });
      await clock.advance(30_000);
      assert.equal(get('u0').getAvailability(), 'ready');
      get('u0').recordFailure('crash');
      assert.equal(get('u0').getReadyForMs(), 0);
      await clock.advance(6000);
      assert.equal(get('u0').getReadyForMs(), 1000);
      await clock.advance(29_000);
      assert.equal(get('u0').getAvailability(), 'ready');
    });
  });

  describe('leaving', () => {
    it('is signalled by the platform list, by the upstream itself or by failed probes', () => {
      const { get } = createPool(UPSTREAM_NAMES);
      get('u0').markLeaving('platform_list');
      get('u1').markLeaving('upstream');
      get('u2').recordProbe(false);
      assert.equal(get('u2').getAvailability(), 'slow_start');
      get('u2').recordProbe(false);
      for (const name of ['u0', 'u1', 'u2']) assert.equal(get(name).getAvailability(), 'leaving');
    });

    it('is not undone by a good probe or a lagging list if the upstream signalled it', () => {
      const { get } = createPool(UPSTREAM_NAMES);
      get('u0').markLeaving('upstream');
      get('u0').recordProbe(true);
      get('u0').clearLeaving('platform_list');
      assert.equal(get('u0').getAvailability(), 'leaving');
    });

    it('ends with slow start at the first good probe after failed ones', async () => {
      const { clock, get } = createPool(UPSTREAM_NAMES);
      await clock.advance(60_000);
      get('u0').recordProbe(false);
      get('u0').recordProbe(false);
      get('u0').recordProbe(true);
      assert.equal(get('u0').getAvailability(), 'slow_start');
      assert.equal(get('u0').getReadyForMs(), 0);
    });

    it('applies to all upstreams when all of them signal it themselves', () => {
      const { pool, get } = createPool(UPSTREAM_NAMES);
      for (const name of UPSTREAM_NAMES) get(name).markLeaving('upstream');
      assert.equal(countUnavailable(pool, UPSTREAM_NAMES), 10);
    });
  });
});

describe('UpstreamHealthPool', () => {
  it('keeps half in service when all upstreams fail at once', () => {
    const { pool, get } = createPool(UPSTREAM_NAMES);
    for (const name of UPSTREAM_NAMES) get(name).recordFailure('crash');
    assert.equal(countUnavailable(pool, UPSTREAM_NAMES), 5);
  });

  it('keeps half in service when all probes fail, as they do when this instance is cut off', () => {
    const { pool, get } = createPool(UPSTREAM_NAMES);
    for (let round = 0; round < 10; round += 1) {
      for (const name of UPSTREAM_NAMES) get(name).recordProbe(false);
    }
    assert.equal(countUnavailable(pool, UPSTREAM_NAMES), 5);
  });

  it('never takes the only upstream out of service', () => {
    const { get } = createPool(['only']);
    for (let round = 0; round < 10; round += 1) get('only').recordFailure('crash');
    for (let round = 0; round < 10; round += 1) get('only').recordProbe(false);
    assert.equal(get('only').getAvailability(), 'slow_start');
  });

  it('returns ejected upstreams to service when the others leave', () => {
    const { pool, get } = createPool(UPSTREAM_NAMES);
    for (const name of UPSTREAM_NAMES.slice(0, 5)) get(name).recordFailure('crash');
    for (const name of UPSTREAM_NAMES.slice(5)) get(name).markLeaving('platform_list');
    const inService = UPSTREAM_NAMES.slice(0, 5).filter(
      (name) => get(name).getAvailability() !== 'ejected',
    );
    assert.equal(inService.length, 3);
    pool.setMembers(UPSTREAM_NAMES.slice(0, 2));
    const left = UPSTREAM_NAMES.slice(0, 2).filter(
      (name) => get(name).getAvailability() !== 'ejected',
    );
    assert.ok(left.length >= 1);
  });

  it('never has more than half out of service in a random sequence of events', async () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const random = createRandom(seed);
      const { clock, pool } = createPool(UPSTREAM_NAMES);
      const actions: ((health: UpstreamHealth) => void)[] = [
        (health) => health.recordFailure('crash'),
        (health) => health.recordFailure('connect'),
        (health) => health.recordProbe(false),
        (health) => health.recordProbe(true),
        (health) => health.recordSuccess(),
        (health) => health.markLeaving('platform_list'),
        (health) => health.clearLeaving('platform_list'),
      ];
      for (let step = 0; step < 500; step += 1) {
        const health = pool.get(UPSTREAM_NAMES[random.nextInt(10)]!);
        if (health) actions[random.nextInt(actions.length)]!(health);
        if (random.next() < 0.02) pool.setMembers(UPSTREAM_NAMES.slice(0, 1 + random.nextInt(10)));
        await clock.advance(random.nextInt(2000));
        const staying = UPSTREAM_NAMES.map((name) => pool.get(name)).filter(
          (member) => member !== undefined && !member.isMarkedLeaving(),
        );
        const out = staying.filter((member) => member!.isTakenOut()).length;
        assert.ok(out * 2 <= staying.length, `seed ${seed}: ${out} of ${staying.length} out`);
      }
    }
  });

  it('removes members that are no longer listed and keeps the health of the others', () => {
    const { pool, get } = createPool(UPSTREAM_NAMES);
    get('u0').recordFailure('crash');
    pool.setMembers(UPSTREAM_NAMES.slice(0, 5));
    assert.equal(pool.get('u9'), undefined);
    assert.equal(get('u0').getAvailability(), 'ejected');
  });
});
