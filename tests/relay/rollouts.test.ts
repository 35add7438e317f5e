import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { EvidenceSums, RolloutOrder } from '@cactusstair/relay';
import {
  addEvidence,
  addPace,
  computeStepShares,
  createEvidence,
  describeBadVersion,
  RolloutRouter,
  Upstream,
} from '@cactusstair/relay';
import { ManualClock } from '@cactusstair/utils';

import { createRecord } from './support/records.js';
import { createEvidenceOf, order } from './support/rolloutFixture.js';

const baseline = Array.from({ length: 20 }, () => 40);

function createPaces(pacesMs: readonly number[]): EvidenceSums {
  const sums = createEvidence();
  for (const paceMs of pacesMs) addPace(sums, paceMs);
  return sums;
}

describe('rollouts', () => {
  describe('describeBadVersion', () => {
    it('detects a version that fails half of its requests after a few answers', () => {
      const reason = describeBadVersion(createEvidenceOf(12, 6), createEvidenceOf(100, 1));
      assert.match(reason ?? '', /6 of 12 answers are bad/);
    });

    it('accepts a version whose failures are as frequent as those of the others', () => {
      assert.equal(
        describeBadVersion(createEvidenceOf(20, 5), createEvidenceOf(100, 20)),
        undefined,
      );
    });

    it('detects a version that is several times slower', () => {
      const reason = describeBadVersion(
        createEvidenceOf(10, 0, 4000),
        createEvidenceOf(50, 0, 500),
      );
      assert.match(reason ?? '', /mean latency 4000 ms/);
    });

    describe('version that answers at once but works several times slower', () => {
      it('is detected by the pace of half of its answers', () => {
        const target = createPaces([40, 320, 40, 320, 40, 320, 40, 320]);
        assert.match(
          describeBadVersion(target, createPaces(baseline)) ?? '',
          /takes 113 ms, 40 ms/,
        );
      });

      it('is told from one of which a single answer stalled', () => {
        const target = createPaces([40, 40, 40, 4000, 40, 40, 40, 40]);
        assert.equal(describeBadVersion(target, createPaces(baseline)), undefined);
      });

      it('is told from one that is slower because of its load', () => {
        const target = createPaces(baseline.map((paceMs) => 1.7 * paceMs));
        assert.equal(describeBadVersion(target, createPaces(baseline)), undefined);
      });

      it('is not judged by a few answers, or by evidence of older builds', () => {
        assert.equal(describeBadVersion(createPaces([900, 900]), createPaces(baseline)), undefined);
        const older = { answers: 50, bad: 0, timed: 50, latencySumMs: 5000 };
        const sum = createEvidence();
        addEvidence(sum, older);
        assert.equal(describeBadVersion(createPaces(baseline), sum), undefined);
      });
    });

    it('tolerates the higher latency of a new version with empty caches', () => {
      const slow = createEvidenceOf(10, 0, 1000);
      assert.equal(describeBadVersion(slow, createEvidenceOf(50, 0, 500)), undefined);
    });
  });

  describe('computeStepShares', () => {
    // Guards against a fixed first step: one of 8% exceeded the exposure of deployments that allow
    // 5%.
    it('keeps the exposure before the last step within the allowed share', () => {
      for (const allowed of [0.02, 0.05, 0.0975, 0.15, 0.3]) {
        const [none, first = 1, second = 1, last] = computeStepShares(allowed);
        assert.equal(none, 0);
        assert.equal(last, 1);
        assert.ok(first > 0 && first <= second, `${allowed}: ${first}, ${second}`);
        // Half of the time is spent in the first step, two seconds of a rollout of 16 s in the
        // second.
        const exposure = 0.52 * first + (2 / 16) * second;
        assert.ok(exposure <= allowed, `${allowed}: ${exposure}`);
      }
    });
  });

  describe('RolloutRouter', () => {
    function createRouter() {
      const clock = new ManualClock(10_000);
      const router = new RolloutRouter({ clock, sessionTtlMs: 5000, canaryShare: 0.15 });
      const old = new Upstream(createRecord('old', { version: 'v1' }), clock);
      const target = new Upstream(createRecord('new', { version: 'v2' }), clock);
      let revision = 1;
      const apply = (overrides: Partial<RolloutOrder>) => {
        revision += 1;
        const value = { ...order, ...overrides };
        router.applyChange({ name: 'app', revision, value, isDeleted: false });
      };
      const choose = (session: string | undefined) =>
        router.filterUpstreams('app', session, [old, target]).map(({ id }) => id);
      return { router, clock, apply, choose };
    }

    it('sends no requests to a new version until the orders have been read again', () => {
      const { router, clock, choose } = createRouter();
      const old = new Upstream(createRecord('old', { version: 'v1' }), clock);
      router.filterUpstreams('app', undefined, [old]);
      assert.deepEqual(choose(undefined), ['old']);
    });

    it('sends no requests to the target version before the rollout has started', () => {
      const { apply, choose } = createRouter();
      apply({});
      for (let index = 0; index < 50; index += 1) {
        assert.deepEqual(choose(`session ${index}`), ['old']);
      }
    });

    it('sends a small and stable share of sessions to the target version in the first step', async () => {
      const { clock, apply, choose } = createRouter();
      apply({ state: 'running', step: 1 });
      await clock.advance(5000);
      const chosen = Array.from({ length: 1000 }, (_, index) => choose(`session ${index}`)[0]);
      const share = chosen.filter((id) => id === 'new').length / 1000;
      assert.ok(share > 0.04 && share < 0.14, `share ${share}`);
      const again = Array.from({ length: 1000 }, (_, index) => choose(`session ${index}`)[0]);
      assert.deepEqual(again, chosen);
    });

    it('keeps unknown sessions on the old version until their TTL has passed', async () => {
      const { clock, apply, choose } = createRouter();
      apply({ state: 'running', step: 1 });
      const chosen = Array.from({ length: 300 }, (_, index) => choose(`session ${index}`)[0]);
      assert.ok(chosen.every((id) => id === 'old'));
      await clock.advance(5000);
      const later = Array.from({ length: 300 }, (_, index) => choose(`session ${index}`)[0]);
      assert.ok(later.some((id) => id === 'new'));
    });

    it('keeps sessions on the old version that a peer keeps there', async () => {
      const here = createRouter();
      const there = createRouter();
      const sessions = Array.from({ length: 300 }, (_, index) => `session ${index}`);
      for (const session of sessions) there.choose(session);
      for (const { apply } of [here, there]) apply({ state: 'running', step: 1 });
      for (let second = 0; second < 6; second += 1) {
        await here.clock.advance(1000);
        await there.clock.advance(1000);
        // The sessions stay in use on the other instance during all of this time.
        for (const session of sessions) assert.deepEqual(there.choose(session), ['old']);
        here.router.importPins(there.router.exportPins());
      }
      for (const session of sessions) assert.deepEqual(here.choose(session), ['old']);
    });

    it('keeps sessions in use on their version when the rollout starts', () => {
      const { apply, choose } = createRouter();
      const sessions = Array.from({ length: 300 }, (_, index) => `session ${index}`);
      for (const session of sessions) choose(session);
      apply({ state: 'running', step: 1 });
      for (const session of sessions) assert.deepEqual(choose(session), ['old']);
    });

    it('sends no requests to a rolled back version, even if it is the only one', () => {
      const { router, clock, apply, choose } = createRouter();
      apply({ state: 'rolled_back', step: 1 });
      assert.deepEqual(choose('session'), ['old']);
      const target = new Upstream(createRecord('new', { version: 'v2' }), clock);
      assert.deepEqual(router.filterUpstreams('app', 'session', [target]), []);
    });

    it('sends all requests to the target version after the completion', () => {
      const { apply, choose } = createRouter();
      apply({ state: 'completed', step: 3 });
      assert.deepEqual(choose('session'), ['new']);
    });

    it('ignores an older revision of the order', () => {
      const { router, apply, choose } = createRouter();
      apply({ state: 'running', step: 1 });
      apply({ state: 'rolled_back', step: 1 });
      const value: RolloutOrder = { ...order, state: 'completed', step: 3 };
      router.applyChange({ name: 'app', revision: 2, value, isDeleted: false });
      assert.deepEqual(choose('session'), ['old']);
    });
  });
});
