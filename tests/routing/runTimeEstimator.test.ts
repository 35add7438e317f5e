import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  addPrefillSums,
  computeQuantile,
  createRunEstimate,
  RunTimeEstimator,
} from '@cactusstair/routing';
import type { PrefillSums } from '@cactusstair/routing';
import { createRandom } from '@cactusstair/utils';

/** Standard deviations to the quantile of 0.9. */
const HIGH_DEVIATIONS = 1.28;

function createEstimator() {
  const clock = { nowMs: 0 };
  return { clock, estimator: new RunTimeEstimator(() => clock.nowMs) };
}

/** Records a pace each `intervalMs`, spread by a tenth. */
function playPaces(
  { clock, estimator }: ReturnType<typeof createEstimator>,
  options: { model: string; fullness: number; paceMs: number; count: number; intervalMs: number },
): void {
  const random = createRandom(3);
  for (let index = 0; index < options.count; index += 1) {
    clock.nowMs += options.intervalMs;
    const paceMs = options.paceMs * (0.9 + 0.2 * random.next());
    estimator.recordPace(options.model, options.fullness, paceMs);
  }
}

describe('RunTimeEstimator', () => {
  it('learns the pace by model and by share of slots in use', () => {
    const subject = createEstimator();
    const common = { count: 40, intervalMs: 200 };
    playPaces(subject, { ...common, model: 'small', fullness: 0.1, paceMs: 10 });
    playPaces(subject, { ...common, model: 'small', fullness: 0.9, paceMs: 40 });
    playPaces(subject, { ...common, model: 'large', fullness: 0.1, paceMs: 100 });
    const read = (model: string, fullness: number) =>
      subject.estimator.getPace(model, fullness, 50).median;
    assert.ok(Math.abs(read('small', 0.1) / 10 - 1) < 0.2, `${read('small', 0.1)}`);
    assert.ok(Math.abs(read('small', 0.9) / 40 - 1) < 0.2, `${read('small', 0.9)}`);
    assert.ok(Math.abs(read('large', 0.1) / 100 - 1) < 0.2, `${read('large', 0.1)}`);
  });

  // A mean over the whole past would leave streams at engines that slowed down minutes ago.
  it('follows engines that slow down within seconds', () => {
    const subject = createEstimator();
    const common = { model: 'small', fullness: 0.4, intervalMs: 300 };
    playPaces(subject, { ...common, paceMs: 20, count: 100 });
    playPaces(subject, { ...common, paceMs: 100, count: 50 });
    const { median } = subject.estimator.getPace('small', 0.4, 20);
    assert.ok(median > 80, `${median}`);
  });

  it('is not moved far by one sample', () => {
    const subject = createEstimator();
    playPaces(subject, { model: 'small', fullness: 0.4, paceMs: 20, count: 40, intervalMs: 300 });
    subject.estimator.recordPace('small', 0.4, 100_000);
    assert.ok(subject.estimator.getPace('small', 0.4, 20).median < 30);
  });

  it('falls back to what it learned earlier when no requests come', () => {
    const subject = createEstimator();
    playPaces(subject, { model: 'small', fullness: 0.4, paceMs: 20, count: 40, intervalMs: 300 });
    subject.clock.nowMs += 60_000;
    const { median } = subject.estimator.getPace('small', 0.4, 500);
    assert.ok(Math.abs(median / 20 - 1) < 0.5, `${median}`);
  });

  it('uses the prior for a model without samples', () => {
    const { estimator } = createEstimator();
    assert.ok(Math.abs(estimator.getPace('other', 0.5, 70).median / 70 - 1) < 0.01);
    assert.equal(estimator.hasPace('other'), false);
  });

  it('ignores samples that are no positive numbers', () => {
    const { estimator } = createEstimator();
    for (const value of [0, -1, NaN, Infinity]) estimator.recordPace('small', 0.5, value);
    assert.ok(Math.abs(estimator.getPace('small', 0.5, 70).median / 70 - 1) < 0.01);
  });

  // Builds that know only prefill sums add up and pass on these entries as such.
  it('has sums that add up as those of prompts do', () => {
    const all = [createEstimator(), createEstimator(), createEstimator()];
    all.forEach((subject, index) =>
      playPaces(subject, {
        model: 'small',
        fullness: 0.4,
        paceMs: 20 * (index + 1),
        count: 30,
        intervalMs: 100,
      }),
    );
    const total: PrefillSums = [0, 0, 0, 0, 0];
    for (const { estimator } of all) {
      const sums = estimator.exportSums()['pace 1 small']!;
      assert.ok(sums.every((sum) => sum >= 0));
      addPrefillSums(total, [...sums, 0, 0]);
    }
    const { estimator } = createEstimator();
    estimator.importPeerSums({ 'pace 1 small': total });
    const { median } = estimator.getPace('small', 0.4, 500);
    const expected = (20 * 40 * 60) ** (1 / 3);
    assert.ok(Math.abs(median / expected - 1) < 0.3, `${median}`);
  });

  // What a faulty instance reports goes into the arithmetic of all others.
  it('stays finite whatever the sums of others', () => {
    const { estimator } = createEstimator();
    const odd = [
      [0.01, 1e12, 0],
      [1e12, 0, 1e300],
      [0, 0, 0],
      [1e-9, 1e9, 1e9],
    ];
    for (const sums of odd) {
      estimator.importPeerSums({ 'pace 1 small': sums, wait: sums, 'length route': sums });
      for (const known of [
        estimator.getPace('small', 0.4, 50),
        estimator.getWaitRatio(),
        estimator.getLengthRatio('route'),
      ]) {
        assert.ok(Number.isFinite(computeQuantile(known, HIGH_DEVIATIONS)), `${sums}`);
        assert.ok(known.median > 0);
      }
    }
  });

  it('accepts upstreams that state no slots', () => {
    const { estimator } = createEstimator();
    for (const fullness of [0 / 0, 3 / 0]) {
      estimator.recordPace('small', fullness, 20);
      assert.ok(estimator.getPace('small', fullness, 20).median > 0);
    }
    const keys = Object.keys(estimator.exportSums());
    assert.deepEqual(keys.sort(), ['pace 0 small', 'pace 3 small']);
  });

  it('knows how far the lengths of answers differ from the estimates of callers', () => {
    const { clock, estimator } = createEstimator();
    const random = createRandom(5);
    for (let count = 0; count < 200; count += 1) {
      clock.nowMs += 50;
      estimator.recordLength('route', random.next() < 0.5 ? 0.5 : 2);
    }
    const length = estimator.getLengthRatio('route');
    assert.ok(Math.abs(length.median - 1) < 0.25, `${length.median}`);
    assert.ok(computeQuantile(length, HIGH_DEVIATIONS) > 1.8);
  });
});

describe('createRunEstimate', () => {
  const parts = {
    firstEvent: { median: 200, deviation: 0.3 },
    pace: { median: 50, deviation: 0.2 },
    events: { median: 40, deviation: 0.5 },
    goalLeftMs: 2000,
    deadlineLeftMs: 10_000,
  };

  it('has a high quantile above the median', () => {
    const estimate = createRunEstimate(parts);
    assert.equal(Math.round(estimate.completionMs), 2200);
    assert.ok(estimate.highCompletionMs > 1.3 * estimate.completionMs);
  });

  it('counts what is known of the length against an answer that may not be complete in time', () => {
    const { deadlineChance } = createRunEstimate({ ...parts, deadlineLeftMs: 2200 });
    assert.ok(Math.abs(deadlineChance - 0.5) < 0.05, `${deadlineChance}`);
    assert.ok(createRunEstimate({ ...parts, deadlineLeftMs: 500 }).deadlineChance < 0.05);
  });

  it('counts a late first event against the goal only', () => {
    const late = createRunEstimate({ ...parts, goalLeftMs: 20 });
    assert.ok(late.goalChance < 0.01);
    assert.ok(late.deadlineChance > 0.9);
    assert.equal(createRunEstimate({ ...parts, goalLeftMs: -5 }).goalChance, 0);
  });

  it('has lower chances for a run that starts later', () => {
    const estimate = createRunEstimate(parts);
    const later = estimate.computeChances(7000);
    assert.ok(later.deadlineChance < estimate.deadlineChance);
    assert.equal(later.goalChance, 0);
  });
});
