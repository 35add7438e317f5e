import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { CascadePolicy, RungInfo } from '@cactusstair/routing';
import { createRandom } from '@cactusstair/utils';
import type { ManualClock } from '@cactusstair/utils';

import {
  createPolicy,
  createRequest,
  recordRatings,
  rungs,
  TARGET,
  TARGET_SHARE,
} from './cascadeFixture.js';

const REQUEST_INTERVAL_MS = 100;

interface Load {
  requests: number;
  seed: number;
  /** Probability per rung that an answer meets the target. */
  met: number[];
  ratedInTimeShare?: number;
  /** Share of the answers whose rating never arrives. */
  missingShare?: number;
  /** Number of requests by which ratings are delayed. */
  delay?: number;
}

/** Sends requests through the policy; returns the start shares, met share and mean cost. */
async function runLoad(policy: CascadePolicy, clock: ManualClock, load: Load) {
  const random = createRandom(load.seed);
  const starts = rungs.map(() => 0);
  const late: (() => void)[] = [];
  let met = 0;
  let cost = 0;
  let explored = 0;
  for (let index = 0; index < load.requests; index += 1) {
    await clock.advance(REQUEST_INTERVAL_MS);
    const request = createRequest();
    // One difficulty for all rungs: a stronger rung meets the target wherever a weaker one does.
    const difficulty = random.next();
    const choice = policy.chooseStart(request);
    let { rung } = choice;
    if (choice.explored) explored += 1;
    starts[rung] = (starts[rung] ?? 0) + 1;
    let remainingMs = request.deadlineMs;
    let escalated = false;
    for (;;) {
      const info: RungInfo | undefined = rungs[rung];
      if (!info) break;
      cost += info.expectedCost;
      remainingMs -= info.expectedLatencyMs;
      const rating = difficulty < (load.met[rung] ?? 0) ? 0.9 : 0.3;
      const inTime = random.next() < (load.ratedInTimeShare ?? 0.3);
      const { model, version } = info;
      const record = {
        workspace: 'club',
        requestClass: 'short',
        model,
        version,
        rating,
        escalated,
      };
      if (random.next() >= (load.missingShare ?? 0)) late.push(() => policy.recordRating(record));
      const known = inTime ? rating : undefined;
      if (!policy.shouldEscalate({ ...request, rung, rating: known, remainingMs })) break;
      escalated = known !== undefined;
      rung += 1;
    }
    met += difficulty < (load.met[rung] ?? 0) ? 1 : 0;
    if (late.length > (load.delay ?? 0)) late.shift()?.();
  }
  const shares = starts.map((count) => count / load.requests);
  return {
    shares,
    explored: explored / load.requests,
    met: met / load.requests,
    cost: cost / load.requests,
  };
}

describe('CascadePolicy', () => {
  describe('start rung', () => {
    it('starts at a proven cheap rung instead of the expensive strongest one', async () => {
      const { policy, clock } = createPolicy();
      recordRatings(policy, 0, 97);
      const { shares } = await runLoad(policy, clock, {
        requests: 500,
        seed: 1,
        met: [0.97, 1, 1],
      });
      assert.ok((shares[0] ?? 0) > 0.95, `shares: ${shares}`);
    });

    it('starts at the strongest rung when no rung reaches the target', async () => {
      const { policy, clock } = createPolicy({ explorationShare: 0 });
      [5, 10, 60].forEach((met, rung) => recordRatings(policy, rung, met));
      const { shares } = await runLoad(policy, clock, {
        requests: 200,
        seed: 2,
        met: [0.05, 0.1, 0.6],
        ratedInTimeShare: 0,
      });
      assert.ok((shares[2] ?? 0) > 0.95, `shares: ${shares}`);
    });

    it('starts at the cheap rung when only this one meets the deadline', () => {
      const { policy } = createPolicy();
      assert.equal(policy.chooseStart(createRequest({ deadlineMs: 300 })).rung, 0);
    });

    it('starts at the fastest rung when none meets the deadline', () => {
      const { policy } = createPolicy();
      assert.deepEqual(policy.chooseStart(createRequest({ deadlineMs: 10 })), {
        rung: 0,
        explored: false,
      });
    });
  });

  describe('workspace without evidence', () => {
    it('gives unproven rungs few requests', async () => {
      const { policy, clock } = createPolicy();
      const { shares } = await runLoad(policy, clock, {
        requests: 2000,
        seed: 3,
        met: [0.2, 0.4, 0.95],
        missingShare: 1,
        ratedInTimeShare: 0,
      });
      assert.ok((shares[2] ?? 0) > 0.85, `shares: ${shares}`);
    });

    it('uses the evidence of other workspaces with a bounded weight', () => {
      const { policy } = createPolicy({ explorationShare: 0 });
      recordRatings(policy, 0, 100, { workspace: 'other', count: 500 });
      recordRatings(policy, 2, 100, { workspace: 'other', count: 500 });
      // A start at the cheap rung counts only if its unrated answer is accepted: otherwise the plan
      // uses the rung as a cheap trial and does not rely on the evidence.
      const accepted = Array.from({ length: 200 }, () => {
        const request = createRequest();
        const { rung } = policy.chooseStart(request);
        const answer = { ...request, rung, rating: undefined, remainingMs: 5000 };
        return rung === 0 && !policy.shouldEscalate(answer);
      }).filter(Boolean).length;
      assert.ok(accepted > 20 && accepted < 200, `answers accepted unrated: ${accepted}`);
    });

    it('keeps the cost of exploration below its share', async () => {
      const { policy, clock } = createPolicy({ explorationCostShare: 0.0005 });
      const { explored } = await runLoad(policy, clock, {
        requests: 4000,
        seed: 4,
        met: [0.1, 0.2, 0.99],
      });
      // An explored request costs 1 of the 15 that a planned one costs at the strongest rung.
      assert.ok(explored <= 0.0005 * 15, `explored: ${explored}`);
    });
  });

  describe('learning', () => {
    it('finds a cheap rung that meets the target from late and sampled ratings', async () => {
      const { policy, clock } = createPolicy();
      const load = { met: [0.96, 0.98, 1], missingShare: 0.8, delay: 100 };
      await runLoad(policy, clock, { ...load, requests: 6000, seed: 5 });
      const { met, cost } = await runLoad(policy, clock, { ...load, requests: 3000, seed: 6 });
      assert.ok(met >= TARGET_SHARE, `met: ${met}`);
      assert.ok(cost < 5, `cost: ${cost}`);
    });

    it('stops using a proven rung whose quality drops, without ratings of other rungs', async () => {
      const { policy, clock } = createPolicy();
      await runLoad(policy, clock, { requests: 3000, seed: 7, met: [0.97, 0.98, 0.99] });
      const bad = { met: [0.3, 0.95, 0.99], missingShare: 0.5, delay: 50 };
      await runLoad(policy, clock, { ...bad, requests: 3000, seed: 8 });
      const { met } = await runLoad(policy, clock, { ...bad, requests: 3000, seed: 9 });
      assert.ok(met >= TARGET_SHARE - 0.01, `met: ${met}`);
    });

    it('ignores ratings outside 0..1, which a faulty service sends', () => {
      const { policy } = createPolicy();
      [Number.NaN, -1, 2].forEach((rating) => {
        policy.recordRating({
          workspace: 'club',
          requestClass: 'short',
          model: 'small',
          version: 'v1',
          rating,
        });
      });
      assert.deepEqual(policy.exportEvidence().cells, []);
    });

    it('drops outdated evidence from the export and the plans', async () => {
      const { policy, clock } = createPolicy({ explorationShare: 0 });
      recordRatings(policy, 0, 100);
      await clock.advance(24 * 3_600_000);
      assert.deepEqual(policy.exportEvidence().cells, []);
      const starts = Array.from({ length: 100 }, () => policy.chooseStart(createRequest()).rung);
      assert.ok(starts.filter((rung) => rung === 2).length > 80);
    });
  });

  describe('escalation', () => {
    const createAnswer = (changes: object = {}) => ({
      ...createRequest(),
      rung: 0,
      rating: 0.1,
      remainingMs: 5000,
      ...changes,
    });

    it('escalates an answer that missed the target on an unproven rung', () => {
      const { policy } = createPolicy();
      assert.equal(policy.shouldEscalate(createAnswer()), true);
    });

    it('escalates an answer without a rating on an unproven rung', () => {
      const { policy } = createPolicy();
      assert.equal(policy.shouldEscalate(createAnswer({ rating: undefined })), true);
    });

    it('does not escalate when the rating met the target', () => {
      const { policy } = createPolicy();
      assert.equal(policy.shouldEscalate(createAnswer({ rating: TARGET })), false);
    });

    it('does not escalate an answer without a rating on a proven rung', () => {
      const { policy } = createPolicy();
      recordRatings(policy, 0, 99);
      assert.equal(policy.shouldEscalate(createAnswer({ rating: undefined })), false);
    });

    it('does not escalate when the remaining time is too short for the next rung', () => {
      const { policy } = createPolicy();
      assert.equal(policy.shouldEscalate(createAnswer({ remainingMs: 499 })), false);
    });

    it('does not escalate a stream, whose tokens the caller already has', () => {
      const { policy } = createPolicy();
      assert.equal(policy.shouldEscalate(createAnswer({ streaming: true })), false);
    });

    it('does not escalate from the strongest rung', () => {
      const { policy } = createPolicy();
      assert.equal(policy.shouldEscalate(createAnswer({ rung: 2 })), false);
    });
  });
});
