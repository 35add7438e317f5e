import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { UpstreamHealth, UpstreamHealthPoolOptions } from '@cactusstair/routing';
import { UpstreamHealthPool } from '@cactusstair/routing';
import { createRandom, ManualClock } from '@cactusstair/utils';

const TEN = Array.from({ length: 10 }, (_, index) => `u${index}`);

function createPool(names: string[], options: UpstreamHealthPoolOptions = {}) {
  const clock = new ManualClock();
  const pool = new UpstreamHealthPool({ clock, ...options });
  pool.setMembers(names);
  return { clock, pool, get: (name: string): UpstreamHealth => pool.get(name)! };
}

function countOut(pool: UpstreamHealthPool, names: string[]): number {
  return names.filter((name) =>
    ['ejected', 'leaving'].includes(pool.get(name)?.getAvailability() ?? ''),
  ).length;
}

describe('UpstreamHealth', () => {
  describe('ejection', () => {
    it('follows a crash at once and single time-outs only after several in a row', () => {
      const { get } = createPool(TEN);
      get('u0').recordFailure('crash');
      assert.equal(get('u0').getAvailability(), 'ejected');
      get('u1').recordFailure('timeout');
      get('u1').recordFailure('timeout');
      get('u1').recordSuccess();
      get('u1').recordFailure('timeout');
      assert.equal(get('u1').getAvailability(), 'slow_start');
    });

    it('finds an upstream that fails every other call, which never fails three times in a row', () => {
      const { get } = createPool(TEN);
      for (let call = 0; call < 20; call += 1) {
        get('u0').recordFailure('status');
        get('u0').recordSuccess();
      }
      assert.equal(get('u0').getAvailability(), 'ejected');
    });

    it('lasts longer each time and ends in slow start', async () => {
      const { clock, get } = createPool(TEN, { baseEjectionMs: 5000, maxEjectionMs: 20_000 });
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

    it('is short again after a long time in service', async () => {
      const { clock, get } = createPool(TEN, { baseEjectionMs: 5000, forgiveAfterMs: 300_000 });
      for (let round = 0; round < 3; round += 1) {
        get('u0').recordFailure('crash');
        await clock.advance(20_000);
      }
      await clock.advance(300_000);
      get('u0').recordFailure('crash');
      await clock.advance(5000);
      assert.equal(get('u0').getAvailability(), 'slow_start');
    });

    it('is not extended by calls that were in flight when it began', async () => {
      const { clock, get } = createPool(TEN, { baseEjectionMs: 5000 });
      for (let call = 0; call < 50; call += 1) get('u0').recordFailure('crash');
      await clock.advance(5000);
      assert.equal(get('u0').getAvailability(), 'slow_start');
      get('u0').recordFailure('timeout');
      assert.equal(get('u0').getAvailability(), 'slow_start');
    });
  });

  describe('slow start', () => {
    it('ends after its time, counted from the recovery', async () => {
      const { clock, get } = createPool(TEN, { slowStartMs: 30_000, baseEjectionMs: 5000 });
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
    it('follows from the platform list, from the upstream or from failed probes', () => {
      const { get } = createPool(TEN);
      get('u0').markLeaving('platform_list');
      get('u1').markLeaving('upstream');
      get('u2').recordProbe(false);
      assert.equal(get('u2').getAvailability(), 'slow_start');
      get('u2').recordProbe(false);
      for (const name of ['u0', 'u1', 'u2']) assert.equal(get(name).getAvailability(), 'leaving');
    });

    it('by the own signal is not undone by a good probe or by the lagging list', () => {
      const { get } = createPool(TEN);
      get('u0').markLeaving('upstream');
      get('u0').recordProbe(true);
      get('u0').clearLeaving('platform_list');
      assert.equal(get('u0').getAvailability(), 'leaving');
    });

    it('by probes ends in slow start with the first good probe', async () => {
      const { clock, get } = createPool(TEN);
      await clock.advance(60_000);
      get('u0').recordProbe(false);
      get('u0').recordProbe(false);
      get('u0').recordProbe(true);
      assert.equal(get('u0').getAvailability(), 'slow_start');
      assert.equal(get('u0').getReadyForMs(), 0);
    });

    it('applies to all upstreams when all of them say so themselves', () => {
      const { pool, get } = createPool(TEN);
      for (const name of TEN) get(name).markLeaving('upstream');
      assert.equal(countOut(pool, TEN), 10);
    });
  });
});

describe('UpstreamHealthPool', () => {
  it('keeps half in service when all upstreams fail at once', () => {
    const { pool, get } = createPool(TEN);
    for (const name of TEN) get(name).recordFailure('crash');
    assert.equal(countOut(pool, TEN), 5);
  });

  it('keeps half in service when all probes fail, as they do when this instance is cut off', () => {
    const { pool, get } = createPool(TEN);
    for (let round = 0; round < 10; round += 1) {
      for (const name of TEN) get(name).recordProbe(false);
    }
    assert.equal(countOut(pool, TEN), 5);
  });

  it('never takes the only upstream out', () => {
    const { get } = createPool(['only']);
    for (let round = 0; round < 10; round += 1) get('only').recordFailure('crash');
    for (let round = 0; round < 10; round += 1) get('only').recordProbe(false);
    assert.equal(get('only').getAvailability(), 'slow_start');
  });

  it('puts ejected upstreams back when the others leave', () => {
    const { pool, get } = createPool(TEN);
    for (const name of TEN.slice(0, 5)) get(name).recordFailure('crash');
    for (const name of TEN.slice(5)) get(name).markLeaving('platform_list');
    const inService = TEN.slice(0, 5).filter((name) => get(name).getAvailability() !== 'ejected');
    assert.equal(inService.length, 3);
    pool.setMembers(TEN.slice(0, 2));
    const left = TEN.slice(0, 2).filter((name) => get(name).getAvailability() !== 'ejected');
    assert.ok(left.length >= 1);
  });

  it('never has more than half out in a random history', async () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const random = createRandom(seed);
      const { clock, pool } = createPool(TEN);
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
        const health = pool.get(TEN[random.nextInt(10)]!);
        if (health) actions[random.nextInt(actions.length)]!(health);
        if (random.next() < 0.02) pool.setMembers(TEN.slice(0, 1 + random.nextInt(10)));
        await clock.advance(random.nextInt(2000));
        const staying = TEN.map((name) => pool.get(name)).filter(
          (member) => member !== undefined && !member.isMarkedLeaving(),
        );
        const out = staying.filter((member) => member!.isTakenOut()).length;
        assert.ok(out * 2 <= staying.length, `seed ${seed}: ${out} of ${staying.length} out`);
      }
    }
  });

  it('forgets members that are gone and keeps the health of those that stay', () => {
    const { pool, get } = createPool(TEN);
    get('u0').recordFailure('crash');
    pool.setMembers(TEN.slice(0, 5));
    assert.equal(pool.get('u9'), undefined);
    assert.equal(get('u0').getAvailability(), 'ejected');
  });
});
