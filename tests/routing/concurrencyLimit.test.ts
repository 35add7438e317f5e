import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ConcurrencyLimit } from '@cactusstair/routing';
import { createRandom } from '@cactusstair/utils';

/** Runs calls against an upstream whose latency rises with the calls above `capacity`. */
function runCalls(limit: ConcurrencyLimit, capacity: number, rounds: number, seed = 1): void {
  const random = createRandom(seed);
  for (let round = 0; round < rounds; round += 1) {
    const inFlight = limit.getLimit();
    const latencyMs = 100 * Math.max(1, inFlight / capacity) * (0.9 + 0.2 * random.next());
    limit.recordSample({ latencyMs, inFlight, failed: false });
  }
}

describe('ConcurrencyLimit', () => {
  it('converges to where the latency reaches the tolerance, from below and from above', () => {
    for (const initialLimit of [2, 200]) {
      // This sample at low load sets the baseline.
      const limit = new ConcurrencyLimit({ initialLimit, tolerance: 2, harmlessLatencyMs: 0 });
      limit.recordSample({ latencyMs: 100, inFlight: 1, failed: false });
      runCalls(limit, 20, 5000);
      const settled = limit.getLimit();
      assert.ok(settled >= 20 && settled <= 60, `from ${initialLimit} to ${settled}`);
    }
  });

  it('never falls below 1, so that a bad upstream can be measured again', () => {
    const limit = new ConcurrencyLimit({ initialLimit: 16, harmlessLatencyMs: 0 });
    for (let round = 0; round < 1000; round += 1) {
      limit.recordSample({ latencyMs: 0, inFlight: 1, failed: true });
    }
    assert.equal(limit.getLimit(), 1);
  });

  it('recovers after a slow phase', () => {
    const limit = new ConcurrencyLimit({ initialLimit: 16, harmlessLatencyMs: 0 });
    runCalls(limit, 16, 500);
    let slow = Infinity;
    for (let step = 0; step < 50; step += 1) {
      runCalls(limit, 1, 10);
      slow = Math.min(slow, limit.getLimit());
    }
    runCalls(limit, 16, 3000);
    assert.ok(slow < 8, `slow: ${slow}`);
    assert.ok(limit.getLimit() >= 14, `recovered: ${limit.getLimit()}`);
  });

  it('does not grow while it is not used, which would allow an untested burst', () => {
    const limit = new ConcurrencyLimit({ initialLimit: 8, harmlessLatencyMs: 0 });
    for (let round = 0; round < 5000; round += 1) {
      limit.recordSample({ latencyMs: 100, inFlight: 1, failed: false });
    }
    assert.equal(limit.getLimit(), 8);
  });

  it('counts the failures of one burst once', () => {
    const limit = new ConcurrencyLimit({ initialLimit: 50, harmlessLatencyMs: 0 });
    for (let call = 0; call < 40; call += 1) {
      limit.recordSample({ latencyMs: 0, inFlight: 50, failed: true });
    }
    assert.equal(limit.getLimit(), 40);
  });

  it('uses the capacity without growing steadily under a lasting overload', () => {
    const limit = new ConcurrencyLimit({ initialLimit: 8, harmlessLatencyMs: 0 });
    let sum = 0;
    for (let round = 0; round < 50; round += 1) {
      runCalls(limit, 20, 2000, round + 1);
      sum += limit.getLimit();
    }
    assert.ok(sum / 50 >= 15 && sum / 50 <= 50, `mean limit ${sum / 50}`);
  });

  it('shares an upstream evenly between instances under a lasting overload', () => {
    const random = createRandom(9);
    const limits = [2, 8, 20].map((initialLimit) => new ConcurrencyLimit({ initialLimit }));
    const sums = [0, 0, 0];
    const rounds = 3000;
    for (let round = 0; round < rounds; round += 1) {
      const total = limits.reduce((sum, limit) => sum + limit.getLimit(), 0);
      for (const [index, limit] of limits.entries()) {
        const inFlight = limit.getLimit();
        // All calls in flight end once per round, so a larger limit gets more samples.
        for (let call = 0; call < inFlight; call += 1) {
          const latencyMs = 100 * Math.max(1, total / 30) * (0.8 + 0.4 * random.next());
          const upstreamQueued = Math.max(0, total - 30);
          limit.recordSample({ latencyMs, inFlight, failed: false, upstreamQueued });
        }
        if (round >= rounds / 2) sums[index]! += inFlight;
      }
    }
    const means = sums.map((sum) => sum / (rounds / 2));
    const total = means.reduce((sum, mean) => sum + mean, 0);
    assert.ok(total >= 25 && total <= 90, `total ${total}`);
    assert.ok(Math.max(...means) < 4 * Math.min(...means), `means ${means.join(', ')}`);
  });

  it('accepts the latency of a slower model as its new baseline', () => {
    const limit = new ConcurrencyLimit({ initialLimit: 8, harmlessLatencyMs: 0 });
    runCalls(limit, 20, 2000);
    for (let round = 0; round < 6000; round += 1) {
      const inFlight = limit.getLimit();
      limit.recordSample({ latencyMs: 500 * Math.max(1, inFlight / 20), inFlight, failed: false });
    }
    assert.ok(limit.getLimit() >= 15, `limit ${limit.getLimit()}`);
  });

  it('keeps baselines per class, so that long prompts do not lower the limit', () => {
    const limit = new ConcurrencyLimit({ initialLimit: 8, harmlessLatencyMs: 0 });
    for (let round = 0; round < 500; round += 1) {
      limit.recordSample({ latencyMs: 30, inFlight: 4, failed: false, requestClass: 'short' });
      limit.recordSample({ latencyMs: 300, inFlight: 4, failed: false, requestClass: 'long' });
    }
    assert.ok(limit.getLimit() >= 8, `limit ${limit.getLimit()}`);
  });

  it('does not lower the limit for latency below harmlessLatencyMs', () => {
    const limit = new ConcurrencyLimit({ initialLimit: 8, harmlessLatencyMs: 200 });
    limit.recordSample({ latencyMs: 10, inFlight: 4, failed: false });
    for (let round = 0; round < 500; round += 1) {
      limit.recordSample({ latencyMs: 150, inFlight: 4, failed: false });
    }
    assert.equal(limit.getLimit(), 8);
  });

  it('ignores latencies that are not numbers above 0', () => {
    const limit = new ConcurrencyLimit({ initialLimit: 8, harmlessLatencyMs: 0 });
    for (const latencyMs of [Number.NaN, 0, -5, Infinity]) {
      limit.recordSample({ latencyMs, inFlight: 8, failed: false });
    }
    assert.equal(limit.getLimit(), 8);
  });
});
