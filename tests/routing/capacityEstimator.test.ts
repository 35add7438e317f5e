import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { addCapacitySums, CapacityEstimator, isCapacitySums } from '@cactusstair/routing';
import type { CapacitySums } from '@cactusstair/routing';
import { createRandom, ManualClock } from '@cactusstair/utils';

const PRIOR_MS = 50;
const SAMPLE_GAP_MS = 40;

/** Time of a call at an upstream of a pool, by upstream and concurrency. */
type GetTime = (id: string, running: number) => number;

describe('CapacityEstimator', () => {
  function createPool(ids: string[], slots = 6) {
    const clock = new ManualClock(1000);
    const random = createRandom(5);
    const estimator = new CapacityEstimator(clock, PRIOR_MS);
    const targets = ids.map((id) => ({ id, slots }));
    /** Records calls at all concurrencies up to `maxRunning` for a time, with noisy times. */
    async function run(seconds: number, getTime: GetTime, maxRunning = slots): Promise<void> {
      const rounds = Math.round((seconds * 1000) / SAMPLE_GAP_MS);
      for (let round = 0; round < rounds; round += 1) {
        for (const upstream of targets) {
          const running = 1 + random.nextInt(maxRunning);
          const noise = Math.exp(0.6 * (random.next() - 0.5));
          const timeMs = getTime(upstream.id, running) * noise;
          estimator.record({ upstream, workClass: 'work', running, timeMs });
          estimator.recordCall('work', timeMs);
        }
        await clock.advance(SAMPLE_GAP_MS);
      }
    }
    const getLimits = () => targets.map((target) => estimator.getLimit(target));
    const getTime = (index: number, running: number) =>
      estimator.estimateMs(targets[index]!, 'work', running);
    return { clock, estimator, targets, run, getLimits, getTime };
  }

  function assertNear(actual: number, expected: number, share = 0.2): void {
    assert.ok(Math.abs(actual / expected - 1) < share, `${actual} instead of ${expected}`);
  }

  it('uses all slots and assumes equal times before the first call', () => {
    const { getLimits, getTime } = createPool(['a', 'b']);
    assert.deepEqual(getLimits(), [6, 6]);
    assert.equal(getTime(0, 1), PRIOR_MS);
    assert.equal(getTime(1, 6), PRIOR_MS);
  });

  it('learns the speed of each upstream', async () => {
    const { run, getTime, getLimits } = createPool(['slow', 'fast']);
    await run(10, (id) => (id === 'slow' ? 72 : 27));
    assertNear(getTime(0, 2), 72);
    assertNear(getTime(1, 2), 27);
    assert.deepEqual(getLimits(), [6, 6]);
  });

  it('finds the concurrency above which an upstream brings no more throughput', async () => {
    const { run, getLimits, getTime } = createPool(['even', 'half']);
    await run(10, (id, running) => (id === 'half' ? 43 * Math.max(1, running / 3) : 43));
    const [even, half] = getLimits();
    assert.equal(even, 6);
    assert.ok(half! >= 2 && half! <= 4, `${half}`);
    assertNear(getTime(1, 6), 86, 0.3);
    assertNear(getTime(1, 1), 43, 0.3);
  });

  it('does not take slowing down while throughput grows for a limit', async () => {
    const { run, getLimits } = createPool(['a', 'b'], 64);
    await run(10, (_, running) => 20 * (1 + 0.01 * running));
    assert.deepEqual(getLimits(), [64, 64]);
  });

  it('finds the limit of an engine with many slots', async () => {
    const { run, getLimits } = createPool(['even', 'early'], 64);
    await run(10, (id, running) => 20 * (id === 'early' ? Math.max(1, running / 24) : 1));
    const [even, early] = getLimits();
    assert.equal(even, 64);
    assert.ok(early! >= 16 && early! <= 40, `${early}`);
  });

  // Guards against limits from noise: an upstream among its like lost a slot in some seconds.
  it('keeps the limit of like upstreams with noisy times', async () => {
    const { run, getLimits } = createPool(['a', 'b', 'c', 'd']);
    for (let second = 0; second < 20; second += 1) {
      await run(1, () => 43);
      assert.deepEqual(getLimits(), [6, 6, 6, 6]);
    }
  });

  it('follows a change of speed by 2 within some seconds, both ways', async () => {
    const { run, getTime } = createPool(['a', 'b', 'c', 'd']);
    await run(10, () => 43);
    await run(6, (id) => (id === 'a' ? 86 : 43));
    assert.ok(getTime(0, 2) / getTime(1, 2) > 1.55, `${getTime(0, 2)}`);
    await run(6, () => 43);
    assert.ok(getTime(0, 2) / getTime(1, 2) < 1.3, `${getTime(0, 2)}`);
  });

  it('does not take one slow second for a slow upstream', async () => {
    const { run, getTime, getLimits } = createPool(['a', 'b', 'c', 'd']);
    await run(10, () => 43);
    await run(1, (id) => (id === 'a' ? 430 : 43));
    assert.ok(getTime(0, 2) / getTime(1, 2) < 1.4, `${getTime(0, 2)}`);
    assert.equal(getLimits()[0], 6);
    await run(3, () => 43);
    assert.ok(getTime(0, 2) / getTime(1, 2) < 1.2, `${getTime(0, 2)}`);
  });

  it('forgets a limit when the upstream has recovered', async () => {
    const { run, getLimits } = createPool(['a', 'b']);
    await run(10, (id, running) => (id === 'a' ? 43 * Math.max(1, running / 2) : 43));
    assert.ok(getLimits()[0]! <= 3);
    await run(15, () => 43, 3);
    assert.equal(getLimits()[0], 6);
  });

  it('takes a new upstream to be like the others', async () => {
    const { run, estimator } = createPool(['a', 'b']);
    await run(10, (_, running) => 80 * Math.max(1, running / 3));
    const fresh = { id: 'new', slots: 6 };
    assertNear(estimator.estimateMs(fresh, 'work', 1), 80, 0.3);
    assert.ok(estimator.getLimit(fresh) <= 4);
  });

  it('compares times of one class only', async () => {
    const { clock, estimator, targets } = createPool(['a', 'b']);
    for (let round = 0; round < 100; round += 1) {
      // Each upstream runs one class; both are equally fast.
      estimator.record({ upstream: targets[0]!, workClass: 'x', running: 1, timeMs: 10 });
      estimator.record({ upstream: targets[1]!, workClass: 'y', running: 1, timeMs: 900 });
      await clock.advance(50);
    }
    assertNear(
      estimator.getRelativeTime(targets[0]!),
      estimator.getRelativeTime(targets[1]!),
      0.05,
    );
  });

  it('ignores times that are not positive numbers', () => {
    const { estimator, targets, getTime } = createPool(['a']);
    for (const timeMs of [NaN, Infinity, 0, -5]) {
      estimator.record({ upstream: targets[0]!, workClass: 'work', running: 1, timeMs });
      estimator.recordCall('work', timeMs);
    }
    estimator.record({ upstream: targets[0]!, workClass: 'work', running: NaN, timeMs: 5 });
    assert.equal(getTime(0, 1), PRIOR_MS);
    const odd = { id: 'odd', slots: 0 };
    estimator.record({ upstream: odd, workClass: 'work', running: 1, timeMs: 5 });
    assert.equal(estimator.getLimit(odd), 1);
  });

  it('drops what it measured at an upstream that restarted', async () => {
    const { run, estimator, getTime } = createPool(['a', 'b']);
    await run(10, (id) => (id === 'a' ? 200 : 43));
    estimator.forget('a');
    assert.ok(getTime(0, 1) < 120, `${getTime(0, 1)}`);
  });

  describe('shared sums', () => {
    it('tell an instance without calls what the others know', async () => {
      const { run, estimator, targets, clock } = createPool(['slow', 'early']);
      await run(10, (id, running) => (id === 'slow' ? 86 : 43 * Math.max(1, running / 2)));
      const other = new CapacityEstimator(clock, PRIOR_MS);
      const sums = JSON.parse(JSON.stringify(estimator.exportSums())) as CapacitySums;
      assert.ok(isCapacitySums(sums));
      other.importPeerSums(sums);
      for (const target of targets) {
        assertNear(
          other.estimateMs(target, 'work', 2),
          estimator.estimateMs(target, 'work', 2),
          0.05,
        );
        assert.ok(Math.abs(other.getLimit(target) - estimator.getLimit(target)) <= 1);
      }
      other.importPeerSums({ classes: {}, upstreams: {} });
      await clock.advance(500);
      assert.equal(other.getLimit(targets[1]!), 6);
    });

    it('add up to what one instance would have measured', async () => {
      const { estimator, targets, clock } = createPool(['a', 'b']);
      const parts = [0, 1, 2].map(() => new CapacityEstimator(clock, PRIOR_MS));
      for (let round = 0; round < 90; round += 1) {
        for (const [index, upstream] of targets.entries()) {
          const sample = { upstream, workClass: 'work', running: 2, timeMs: 40 + 40 * index };
          estimator.record(sample);
          parts[round % 3]!.record(sample);
        }
        await clock.advance(SAMPLE_GAP_MS);
      }
      await clock.advance(250);
      const total: CapacitySums = { classes: {}, upstreams: {} };
      for (const part of parts) addCapacitySums(total, part.exportSums());
      const reader = new CapacityEstimator(clock, PRIOR_MS);
      reader.importPeerSums(total);
      for (const target of targets) {
        assertNear(reader.getRelativeTime(target), estimator.getRelativeTime(target), 0.05);
      }
    });

    it('age to nothing, so that they leave the messages', async () => {
      const { run, estimator, clock } = createPool(['a']);
      await run(2, () => 43);
      assert.equal(Object.keys(estimator.exportSums().upstreams).length, 1);
      await clock.advance(60_000);
      assert.equal(Object.keys(estimator.exportSums().upstreams).length, 0);
      await clock.advance(600_000);
      assert.equal(Object.keys(estimator.exportSums().classes).length, 0);
    });

    it('are refused when they are malformed or out of range', () => {
      const valid = { classes: { work: [3, 10, 3, 10] }, upstreams: { a: [2, 0.4] } };
      assert.ok(isCapacitySums(valid));
      assert.ok(isCapacitySums({ classes: {}, upstreams: {} }));
      const many = Object.fromEntries(Array.from({ length: 3000 }, (_, id) => [id, [1, 0]]));
      const invalid: unknown[] = [
        null,
        5,
        {},
        { classes: {} },
        { classes: [], upstreams: {} },
        { ...valid, upstreams: { a: [1] } },
        { ...valid, upstreams: { a: ['1', 0] } },
        { ...valid, upstreams: { a: [-1, 0] } },
        { ...valid, upstreams: { a: [1, null] } },
        { ...valid, upstreams: { a: [1, 100] } },
        { ...valid, upstreams: { a: [1e9, 0] } },
        { ...valid, upstreams: { a: new Array<number>(14).fill(0) } },
        { ...valid, upstreams: { a: { length: 2 } } },
        { ...valid, upstreams: many },
        { ...valid, classes: { work: [3, 10] } },
        { ...valid, classes: { work: [3, 1000, 3, 10] } },
      ];
      for (const value of invalid)
        assert.equal(isCapacitySums(value), false, JSON.stringify(value));
    });
  });
});
