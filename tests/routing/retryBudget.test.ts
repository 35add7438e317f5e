import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { RetryBudget } from '@cactusstair/routing';
import { ManualClock } from '@cactusstair/utils';

describe('RetryBudget', () => {
  it('bounds the retries when every call fails and is retried as often as allowed', async () => {
    const clock = new ManualClock();
    const budget = new RetryBudget({ clock, ratio: 0.1, minPerWindow: 3, windowMs: 10_000 });
    let requests = 0;
    let retries = 0;
    for (let step = 0; step < 600; step += 1) {
      for (let request = 0; request < 10; request += 1) {
        budget.recordRequest();
        requests += 1;
        while (budget.tryTake()) retries += 1;
      }
      await clock.advance(100);
    }
    const windows = 600 / 100;
    assert.ok(retries > requests * 0.09, `${retries} retries of ${requests} requests`);
    assert.ok(retries <= requests * 0.1 + 3 * (windows + 1), `${retries} of ${requests}`);
  });

  it('allows minPerWindow retries to an instance with almost no traffic', () => {
    const budget = new RetryBudget({ clock: new ManualClock(), minPerWindow: 3 });
    budget.recordRequest();
    const taken = [1, 2, 3, 4].map(() => budget.tryTake());
    assert.deepEqual(taken, [true, true, true, false]);
  });

  it('ignores requests before the window, so that an old burst allows no later retries', async () => {
    const clock = new ManualClock();
    const budget = new RetryBudget({ clock, ratio: 0.1, minPerWindow: 1, windowMs: 10_000 });
    for (const pauseMs of [10_000, 15_000, 37_000]) {
      for (let request = 0; request < 1000; request += 1) budget.recordRequest();
      await clock.advance(pauseMs);
      assert.deepEqual([budget.tryTake(), budget.tryTake()], [true, false], `after ${pauseMs} ms`);
      await clock.advance(10_000);
    }
  });
});
