import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { RaterStandin, WeightStoreStandin } from '@cactusstair/standins';
import type { RaterOptions } from '@cactusstair/standins';
import { ManualClock, waitFor } from '@cactusstair/utils';

const init = (body: object) => ({
  method: 'POST',
  headers: { 'content-type': 'application/json' },
  body: JSON.stringify(body),
});

async function collectRatings(options: RaterOptions): Promise<(number | undefined)[]> {
  const rater = await new RaterStandin({ delayMs: 0, ...options }).start();
  try {
    for (let index = 0; index < 50; index += 1) {
      const body = { requestId: `r${index}`, model: 'small', version: '1', quality: 0.6 };
      await fetch(`${rater.url}/v1/ratings`, init(body));
    }
    return rater.journal.map((entry) => entry.rating);
  } finally {
    await rater.close();
  }
}

describe('RaterStandin', () => {
  it('gives the same ratings for the same seed, so that a failed run can be repeated', async () => {
    const first = await collectRatings({ seed: 3, missing: 0.3 });
    assert.deepEqual(await collectRatings({ seed: 3, missing: 0.3 }), first);
    assert.notDeepEqual(await collectRatings({ seed: 4, missing: 0.3 }), first);
    assert.ok(first.includes(undefined));
    assert.ok(first.some((rating) => rating !== undefined && Math.abs(rating - 0.6) < 0.2));
  });
});

describe('WeightStoreStandin', () => {
  it('queues concurrent transfers, so a rollout cannot load everywhere at once', async () => {
    const clock = new ManualClock();
    const options = { megabytesPerSecond: 1000, burstMegabytes: 50, clock };
    const store = await new WeightStoreStandin(options).start();
    const countDone = () => store.journal.filter((entry) => entry.outcome === 'done').length;
    try {
      const body = { model: 'small', version: '2', megabytes: 50 };
      const loads = [1, 2, 3].map(() => fetch(`${store.url}/v1/loads`, init(body)));
      const wait = { what: 'the transfer that is due', timeoutMs: 10_000 };
      await waitFor(() => store.journal.length === 3 && countDone() === 1, wait);
      for (const expected of [2, 3]) {
        await clock.advance(49);
        assert.equal(countDone(), expected - 1);
        await clock.advance(1);
        await waitFor(() => countDone() === expected, wait);
      }
      await Promise.all(loads);
    } finally {
      await store.close();
    }
  });
});
