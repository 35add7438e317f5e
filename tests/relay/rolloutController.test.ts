import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Upstream } from '@cactusstair/relay';

import { createRecord } from './support/records.js';
import { addStreams, createController, order } from './support/rolloutFixture.js';

describe('rollouts', () => {
  describe('RolloutController', () => {
    it('takes back a version that is slow on a part of its requests, before the last step', async () => {
      const { runFor, stored, target } = createController();
      await runFor(400);
      addStreams(target, 30, 4);
      await runFor(20_000);
      const states = stored.map(({ state }) => state);
      assert.equal(states.at(-1), 'rolled_back');
      assert.ok(!stored.some(({ step }) => step === 3));
    });

    it('waits with the last step until enough is known or time is short', async () => {
      const { runFor, stored, target } = createController();
      const hasLastStep = () => stored.some(({ step }) => step === 3);
      await runFor(0.75 * order.durationMs);
      assert.equal(hasLastStep(), false);
      addStreams(target, 30, 1);
      await runFor(400);
      assert.equal(hasLastStep(), true);
      const unknown = createController();
      await unknown.runFor(0.85 * order.durationMs);
      assert.ok(unknown.stored.some(({ step }) => step === 3));
    });

    it('starts a rollout at once and completes it in time for a good version', async () => {
      const { runFor, stored, setOldCalls } = createController();
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
      const { runFor, stored } = createController();
      await runFor(23_000);
      assert.equal(stored.at(-1)?.state, 'completed');
    });

    it('rolls a bad version back as soon as its failures are detected', async () => {
      const { runFor, stored, target } = createController();
      await runFor(1000);
      target.answers = 12;
      target.bad = 6;
      await runFor(400);
      assert.equal(stored.at(-1)?.state, 'rolled_back');
      await runFor(30_000);
      assert.equal(stored.at(-1)?.state, 'rolled_back');
    });

    it('rolls back a version that starts to fail after many good answers', async () => {
      const { runFor, stored, target } = createController();
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

    // Some instances kept a sound version from its sessions for good, others did not (PINNED).
    it('gives a version its requests again when a regression was retracted and the fleet goes on', async () => {
      const { runFor, stored, target, router, clock, apply } = createController(3);
      apply({ state: 'running', step: 1 });
      target.answers = 12;
      target.bad = 6;
      await runFor(200);
      target.answers = 100;
      await runFor(600);
      apply({ state: 'running', step: 3 });
      await runFor(200);
      const upstreams = ['v1', 'v2'].map(
        (version) => new Upstream(createRecord(version, { version }), clock),
      );
      const chosen = router.filterUpstreams('app', 'session', upstreams);
      assert.deepEqual([stored, chosen.map(({ id }) => id)], [[], ['v2']]);
    });

    // A bad version would get requests again whenever it has answered none for a while.
    it('keeps requests from a bad version while the fleet takes no further step', async () => {
      const { runFor, target, router, clock, apply } = createController(3);
      apply({ state: 'running', step: 2 });
      target.answers = 12;
      target.bad = 6;
      await runFor(200);
      target.answers = 100;
      await runFor(6000);
      const upstreams = ['v1', 'v2'].map(
        (version) => new Upstream(createRecord(version, { version }), clock),
      );
      const chosen = router.filterUpstreams('app', 'session', upstreams);
      assert.deepEqual(
        chosen.map(({ id }) => id),
        ['v1'],
      );
    });

    it('waits for the instances of lower rank before it takes a step itself', async () => {
      const { runFor, stored } = createController(2);
      await runFor(1000);
      assert.equal(stored.length, 0);
      await runFor(600);
      assert.equal(stored.length, 1);
    });
  });
});
