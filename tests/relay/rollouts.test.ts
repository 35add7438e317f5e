import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { EvidenceSums, RolloutOrder, RolloutProgress, WriteOutcome } from '@cactusstair/relay';
import {
  computeStepShares,
  createEvidence,
  describeBadVersion,
  formatVersionKey,
  RolloutRouter,
  RolloutController,
  Upstream,
} from '@cactusstair/relay';
import { ManualClock } from '@cactusstair/utils';

import { createRecord } from './support/records.js';

const order: RolloutOrder = { service: 'app', targetVersion: 'v2', durationMs: 24_000, step: 0 };

function createEvidenceOf(answers: number, bad: number, latencyMs = 100): EvidenceSums {
  const timed = answers - bad;
  return { answers, bad, timed, latencySumMs: timed * latencyMs };
}

describe('rollouts', () => {
  describe('describeBadVersion', () => {
    it('finds a version that fails half of its requests after few answers', () => {
      const reason = describeBadVersion(createEvidenceOf(12, 6), createEvidenceOf(100, 1));
      assert.match(reason ?? '', /6 of 12 answers are bad/);
    });

    it('does not blame a version for failures that all versions have', () => {
      assert.equal(
        describeBadVersion(createEvidenceOf(20, 5), createEvidenceOf(100, 20)),
        undefined,
      );
    });

    it('finds a version that is several times slower', () => {
      const reason = describeBadVersion(
        createEvidenceOf(10, 0, 4000),
        createEvidenceOf(50, 0, 500),
      );
      assert.match(reason ?? '', /mean latency 4000 ms/);
    });

    it('allows for the empty caches of a new version', () => {
      const slow = createEvidenceOf(10, 0, 1000);
      assert.equal(describeBadVersion(slow, createEvidenceOf(50, 0, 500)), undefined);
    });
  });

  describe('computeStepShares', () => {
    // A fixed first step of 8% broke the exposure of deployments that allow 5%.
    it('keeps what a version gets before its last step below the allowed exposure', () => {
      for (const allowed of [0.02, 0.05, 0.0975, 0.15, 0.3]) {
        const [none, first = 1, second = 1, last] = computeStepShares(allowed);
        assert.equal(none, 0);
        assert.equal(last, 1);
        assert.ok(first > 0 && first <= second, `${allowed}: ${first}, ${second}`);
        // Half of the time at the first step, two seconds of a rollout of 16 s at the second.
        const exposure = 0.52 * first + (2 / 16) * second;
        assert.ok(exposure <= allowed, `${allowed}: ${exposure}`);
      }
    });
  });

  describe('RolloutBoard', () => {
    function createBoard() {
      const clock = new ManualClock(10_000);
      const board = new RolloutRouter({ clock, sessionTtlMs: 5000, canaryShare: 0.15 });
      const old = new Upstream(createRecord('old', { version: 'v1' }), clock);
      const young = new Upstream(createRecord('young', { version: 'v2' }), clock);
      let revision = 1;
      const apply = (overrides: Partial<RolloutOrder>) => {
        revision += 1;
        const value = { ...order, ...overrides };
        board.applyChange({ name: 'app', revision, value, isDeleted: false });
      };
      const choose = (session: string | undefined) =>
        board.filterUpstreams('app', session, [old, young]).map(({ id }) => id);
      return { board, clock, apply, choose };
    }

    it('keeps a version without an order waiting until the orders were read again', () => {
      const { board, clock, choose } = createBoard();
      const old = new Upstream(createRecord('old', { version: 'v1' }), clock);
      board.filterUpstreams('app', undefined, [old]);
      assert.deepEqual(choose(undefined), ['old']);
    });

    it('gives the new version no request before the order is taken up', () => {
      const { apply, choose } = createBoard();
      apply({});
      for (let index = 0; index < 50; index += 1) {
        assert.deepEqual(choose(`session ${index}`), ['old']);
      }
    });

    it('gives the new version a small share of the sessions at first, the same at every call', async () => {
      const { clock, apply, choose } = createBoard();
      apply({ state: 'running', step: 1 });
      await clock.advance(5000);
      const chosen = Array.from({ length: 1000 }, (_, index) => choose(`session ${index}`)[0]);
      const share = chosen.filter((id) => id === 'young').length / 1000;
      assert.ok(share > 0.04 && share < 0.14, `share ${share}`);
      const again = Array.from({ length: 1000 }, (_, index) => choose(`session ${index}`)[0]);
      assert.deepEqual(again, chosen);
    });

    it('takes a session that it does not know for one in use elsewhere while it may be', async () => {
      const { clock, apply, choose } = createBoard();
      apply({ state: 'running', step: 1 });
      const chosen = Array.from({ length: 300 }, (_, index) => choose(`session ${index}`)[0]);
      assert.ok(chosen.every((id) => id === 'old'));
      await clock.advance(5000);
      const later = Array.from({ length: 300 }, (_, index) => choose(`session ${index}`)[0]);
      assert.ok(later.some((id) => id === 'young'));
    });

    it('leaves the sessions that a peer keeps on the old version there', async () => {
      const here = createBoard();
      const there = createBoard();
      const sessions = Array.from({ length: 300 }, (_, index) => `session ${index}`);
      for (const session of sessions) there.choose(session);
      for (const { apply } of [here, there]) apply({ state: 'running', step: 1 });
      for (let second = 0; second < 6; second += 1) {
        await here.clock.advance(1000);
        await there.clock.advance(1000);
        // The sessions go on at the other instance all the while.
        for (const session of sessions) assert.deepEqual(there.choose(session), ['old']);
        here.board.importPins(there.board.exportPins());
      }
      for (const session of sessions) assert.deepEqual(here.choose(session), ['old']);
    });

    it('leaves the sessions in use on their version when the order begins', () => {
      const { apply, choose } = createBoard();
      const sessions = Array.from({ length: 300 }, (_, index) => `session ${index}`);
      for (const session of sessions) choose(session);
      apply({ state: 'running', step: 1 });
      for (const session of sessions) assert.deepEqual(choose(session), ['old']);
    });

    it('gives nothing to a version that was rolled back, also when no other is there', () => {
      const { board, clock, apply, choose } = createBoard();
      apply({ state: 'rolled_back', step: 1 });
      assert.deepEqual(choose('session'), ['old']);
      const young = new Upstream(createRecord('young', { version: 'v2' }), clock);
      assert.deepEqual(board.filterUpstreams('app', 'session', [young]), []);
    });

    it('uses the new version alone after its completion', () => {
      const { apply, choose } = createBoard();
      apply({ state: 'completed', step: 3 });
      assert.deepEqual(choose('session'), ['young']);
    });

    it('ignores an older revision of the order', () => {
      const { board, apply, choose } = createBoard();
      apply({ state: 'running', step: 1 });
      apply({ state: 'rolled_back', step: 1 });
      const value: RolloutOrder = { ...order, state: 'completed', step: 3 };
      board.applyChange({ name: 'app', revision: 2, value, isDeleted: false });
      assert.deepEqual(choose('session'), ['old']);
    });
  });

  describe('RolloutDriver', () => {
    function createDriver(rank = 0) {
      const clock = new ManualClock(10_000);
      const board = new RolloutRouter({ clock, sessionTtlMs: 5000, canaryShare: 0.15 });
      const target = createEvidence();
      const baseline = createEvidenceOf(100, 1);
      const stored: RolloutProgress[] = [];
      let oldCalls = 3;
      let revision = 1;
      const apply = (progress: Partial<RolloutOrder>) => {
        revision += 1;
        const value = { ...order, ...progress };
        board.applyChange({ name: 'app', revision, value, isDeleted: false });
      };
      const driver = new RolloutController({
        clock,
        router: board,
        listEvidence: () => [
          {
            [formatVersionKey('app', 'v1')]: { ...baseline },
            [formatVersionKey('app', 'v2')]: { ...target },
          },
        ],
        countOldVersionCalls: () => oldCalls,
        getRank: () => rank,
        storeProgress: (_tracked, progress): Promise<WriteOutcome> => {
          stored.push(progress);
          apply(progress);
          return Promise.resolve('written');
        },
      });
      apply({});
      const runFor = async (durationMs: number) => {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 200) {
          for (const tracked of board.listOrders()) await driver.check(tracked);
          await clock.advance(200);
        }
      };
      return { runFor, stored, target, setOldCalls: (count: number) => (oldCalls = count) };
    }

    it('takes the order up at once and completes a good version within its time', async () => {
      const { runFor, stored, setOldCalls } = createDriver();
      await runFor(400);
      assert.deepEqual(
        stored.map(({ state, step }) => [state, step]),
        [['running', 1]],
      );
      await runFor(11_000);
      assert.equal(stored.length, 1, 'no further step in the first half');
      await runFor(6000);
      setOldCalls(0);
      await runFor(4000);
      assert.deepEqual(
        stored.map(({ state, step }) => [state, step]),
        [
          ['running', 1],
          ['running', 2],
          ['running', 3],
          ['completed', 3],
        ],
      );
    });

    it('completes before the deadline although a request still runs on the old version', async () => {
      const { runFor, stored } = createDriver();
      await runFor(23_000);
      assert.equal(stored.at(-1)?.state, 'completed');
    });

    it('rolls a bad version back as soon as its failures show', async () => {
      const { runFor, stored, target } = createDriver();
      await runFor(1000);
      target.answers = 12;
      target.bad = 6;
      await runFor(400);
      assert.equal(stored.at(-1)?.state, 'rolled_back');
      await runFor(30_000);
      assert.equal(stored.at(-1)?.state, 'rolled_back');
    });

    it('finds a version that turns bad after many good answers', async () => {
      const { runFor, stored, target } = createDriver();
      await runFor(1000);
      target.answers = 500;
      target.timed = 500;
      target.latencySumMs = 50_000;
      await runFor(4000);
      target.answers += 12;
      target.bad += 7;
      await runFor(400);
      assert.equal(stored.at(-1)?.state, 'rolled_back');
    });

    it('leaves a step to the instances before it for a while', async () => {
      const { runFor, stored } = createDriver(2);
      await runFor(1000);
      assert.equal(stored.length, 0);
      await runFor(600);
      assert.equal(stored.length, 1);
    });
  });
});
