import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { SharedViews } from '@cactusstair/relay';

/** Interval at which the age is looked at, the reporter's time to answer, and 200 ms for the read. */
const READ_TIME_MS = 100 + 300 + 200;
/** Time after which the client of the store gives a call up. */
const STORE_TIMEOUT_MS = 1200;

describe('SharedViews', () => {
  // At a bound of 3 s, 50 ms were left for the read of a draining upstream (DRAIN, grown sites).
  [3000, 4000, 5000].forEach((boundMs) => {
    it(`leaves time to read a state within a bound of ${boundMs} ms`, () => {
      (['config', 'upstreams'] as const).forEach((name) => {
        const maxAgeMs = SharedViews.getMaxAgeMs(name, 1, boundMs);
        assert.ok(maxAgeMs + READ_TIME_MS <= boundMs, `${name}: ${maxAgeMs} ms`);
      });
    });
  });

  // A read of the store may time out before one succeeds.
  [1500, 3000, 5000].forEach((boundMs) => {
    it(`leaves time to read evacuations within a bound of ${boundMs} ms`, () => {
      const maxAgeMs = SharedViews.getMaxAgeMs('evacuations', 1, boundMs);
      assert.ok(maxAgeMs + READ_TIME_MS <= boundMs - Math.min(1000, boundMs / 5));
      if (boundMs === 5000) assert.ok(maxAgeMs + 2 * READ_TIME_MS + STORE_TIMEOUT_MS <= boundMs);
    });
  });

  it('lets the instance of rank 0 confirm the states before the others have to read', () => {
    (['config', 'upstreams', 'rollouts', 'evacuations'] as const).forEach((name) => {
      const [first, other] = [0, 1].map((rank) => SharedViews.getMaxAgeMs(name, rank, 2000));
      assert.ok(first! < other!);
    });
  });
});
