import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { RolloutOrder, RolloutProgress, UpstreamRecord } from '@cactusstair/relay';
import { RolloutController, RolloutRouter, UpstreamDirectory } from '@cactusstair/relay';
import { ManualClock } from '@cactusstair/utils';

import { createRecord } from './support/records.js';
import { createController, order } from './support/rolloutFixture.js';

/** Time after which a restored store has dropped the entries of upstreams that no longer run. */
const ENTRY_LAPSE_MS = 5000;
/** Time for which older orders of a restored store are kept out of force. */
const SETTLE_MS = 10_000;

describe('state that a restored store has lost', () => {
  describe('UpstreamDirectory', () => {
    function createDirectory() {
      const clock = new ManualClock(100_000);
      let isDisturbed = false;
      let restoredAtMs = -Infinity;
      const directory = new UpstreamDirectory({
        clock,
        isStoreDisturbed: () => isDisturbed,
        getStoreRestoredAgeMs: () => clock.monotonicMs() - restoredAtMs,
      });
      const list = (records: UpstreamRecord[]) =>
        directory.applySnapshot(records.map((value) => ({ name: value.id, revision: 1, value })));
      const restore = (records: UpstreamRecord[]) => {
        directory.startRestore();
        isDisturbed = true;
        restoredAtMs = clock.monotonicMs();
        list(records);
      };
      const change = (value: UpstreamRecord) =>
        directory.applyChange({ name: value.id, revision: 1, value, isDeleted: false });
      const remove = (name: string) =>
        directory.applyChange({ name, revision: 1, value: undefined, isDeleted: true });
      const listUsable = () => directory.listUsable('app').map(({ id }) => id);
      return { clock, list, restore, change, remove, listUsable };
    }

    const sound = createRecord('sound', { startedAtMs: 7 });
    const ready = createRecord('leaving', { startedAtMs: 7 });
    const draining = { ...ready, isDraining: true };

    // 32 requests reached an upstream that had left (hard-load.md, gap 6).
    it('does not use a draining upstream that the copy lists as ready', async () => {
      const { clock, list, restore, listUsable } = createDirectory();
      list([sound, draining]);
      restore([sound, ready]);
      assert.deepEqual(listUsable(), ['sound']);
      await clock.advance(ENTRY_LAPSE_MS - 1);
      assert.deepEqual(listUsable(), ['sound']);
    });

    it('does not use an upstream that had left and that the copy lists as ready', async () => {
      const { clock, list, restore, change, remove, listUsable } = createDirectory();
      list([sound, ready]);
      remove('leaving');
      await clock.advance(10_000);
      restore([sound, ready]);
      assert.deepEqual(listUsable(), ['sound']);
      change(ready);
      assert.deepEqual(listUsable(), ['sound']);
      remove('leaving');
      await clock.advance(ENTRY_LAPSE_MS);
      assert.deepEqual(listUsable(), ['sound']);
    });

    it('uses an upstream whose entry has stayed until others would have lapsed', async () => {
      const { clock, list, restore, listUsable } = createDirectory();
      list([sound, draining]);
      restore([sound, ready]);
      await clock.advance(ENTRY_LAPSE_MS);
      assert.deepEqual(listUsable(), ['sound', 'leaving']);
    });

    it('uses a new run of an upstream that had left at once', () => {
      const { list, restore, change, remove, listUsable } = createDirectory();
      list([sound, ready]);
      remove('leaving');
      restore([sound, ready]);
      change({ ...ready, startedAtMs: 8 });
      assert.deepEqual(listUsable(), ['sound', 'leaving']);
    });

    it('keeps an upstream that the copy lacks until it would have registered again', async () => {
      const { clock, list, restore, listUsable } = createDirectory();
      list([sound, createRecord('new')]);
      restore([sound]);
      await clock.advance(1900);
      assert.deepEqual(listUsable(), ['sound', 'new']);
      await clock.advance(200);
      assert.deepEqual(listUsable(), ['sound']);
    });

    // An upstream that writes its entry late must not be held for the rest of the time.
    it('uses an upstream that registers again after it was given up', async () => {
      const { clock, list, restore, change, listUsable } = createDirectory();
      list([sound, ready]);
      restore([sound]);
      await clock.advance(2100);
      assert.deepEqual(listUsable(), ['sound']);
      change(ready);
      assert.deepEqual(listUsable(), ['sound', 'leaving']);
    });

    it('uses an upstream without a restore whose entry says ready again', () => {
      const { list, change, listUsable } = createDirectory();
      list([sound, draining]);
      change(ready);
      assert.deepEqual(listUsable(), ['sound', 'leaving']);
    });
  });

  describe('RolloutRouter', () => {
    function createRouter() {
      const clock = new ManualClock(100_000);
      const router = new RolloutRouter({ clock, sessionTtlMs: 5000, canaryShare: 0.15 });
      const list = (revision: number, ...orders: Partial<RolloutOrder>[]) =>
        router.applySnapshot(
          orders.map((fields) => ({ name: 'app', revision, value: { ...order, ...fields } })),
        );
      const restore = (revision: number, ...orders: Partial<RolloutOrder>[]) => {
        router.startRestore();
        list(revision, ...orders);
      };
      const change = (revision: number, fields: Partial<RolloutOrder>) =>
        router.applyChange({
          name: 'app',
          revision,
          value: { ...order, ...fields },
          isDeleted: false,
        });
      const getOrder = () => router.listOrders()[0]?.order;
      return { clock, router, list, restore, change, getOrder };
    }

    const running = { state: 'running', startedAtWallMs: 5000 } as const;

    it('applies an order of the new era with a lower revision', () => {
      const { list, restore, getOrder } = createRouter();
      list(50, { ...running, step: 1 });
      restore(20, { targetVersion: 'v3' });
      assert.equal(getOrder()?.targetVersion, 'v3');
    });

    it('keeps the progress in force for the same target, and applies further progress', () => {
      const { list, restore, change, router, getOrder } = createRouter();
      list(50, { ...running, step: 2 });
      restore(20, { ...running, step: 1 });
      assert.equal(getOrder()?.step, 2);
      assert.deepEqual(router.listOrders()[0]?.lostProgress, {
        targetVersion: 'v2',
        ...running,
        step: 2,
      });
      change(21, { ...running, step: 2 });
      assert.equal(router.listOrders()[0]?.lostProgress, undefined);
      change(22, { ...running, step: 3 });
      assert.equal(getOrder()?.step, 3);
    });

    // Callers would get a version that was taken back because it failed.
    it('does not run a version again whose rollback was lost', () => {
      const { list, restore, getOrder } = createRouter();
      list(50, { ...running, state: 'rolled_back', step: 1 });
      restore(20, { ...running, step: 1 });
      assert.equal(getOrder()?.state, 'rolled_back');
    });

    it('keeps an order that the copy lacks until the restore has settled', async () => {
      const { clock, list, restore, getOrder } = createRouter();
      list(50, { ...running, step: 1 });
      restore(20);
      await clock.advance(SETTLE_MS - 1);
      assert.equal(getOrder()?.targetVersion, 'v2');
      await clock.advance(1);
      assert.equal(getOrder(), undefined);
    });

    it('keeps out an order that had been replaced until the restore has settled', async () => {
      const { clock, list, restore, change, getOrder } = createRouter();
      list(50, { ...running, targetVersion: 'v1', state: 'completed' });
      change(51, { ...running, step: 1 });
      restore(20, { ...running, targetVersion: 'v1', state: 'completed' });
      assert.equal(getOrder()?.targetVersion, 'v2');
      await clock.advance(SETTLE_MS);
      assert.equal(getOrder()?.targetVersion, 'v1');
    });

    it('keeps out an order with an earlier start than the one in force', () => {
      const { list, restore, getOrder } = createRouter();
      list(50, { ...running, step: 1 });
      restore(20, { state: 'completed', targetVersion: 'v1', startedAtWallMs: 4000 });
      assert.equal(getOrder()?.targetVersion, 'v2');
    });

    it('keeps out an order that had been deleted, and follows its deletion', async () => {
      const { clock, list, restore, router, getOrder } = createRouter();
      list(50, { ...running, step: 1 });
      const remove = (revision: number) =>
        router.applyChange({ name: 'app', revision, value: undefined, isDeleted: true });
      remove(51);
      restore(20, { ...running, step: 1 });
      assert.equal(getOrder(), undefined);
      remove(22);
      await clock.advance(SETTLE_MS);
      assert.equal(getOrder(), undefined);
    });

    // What was deferred in one era would be applied although the next one lacks it.
    it('forgets what it has kept out when the store is restored once more', async () => {
      const { clock, list, restore, getOrder } = createRouter();
      list(50, { ...running, step: 1 });
      list(51);
      restore(20, { ...running, step: 1 });
      restore(10);
      await clock.advance(SETTLE_MS);
      assert.equal(getOrder(), undefined);
    });

    it('formats equal states for instances that have read the same orders', () => {
      const old = createRouter();
      const started = createRouter();
      old.list(50, { ...running, step: 2 });
      old.restore(20, { ...running, targetVersion: 'v1', startedAtWallMs: 4000 });
      started.list(20, { ...running, targetVersion: 'v1', startedAtWallMs: 4000 });
      assert.equal(old.router.formatState(), started.router.formatState());
    });
  });

  describe('RolloutController', () => {
    function loseProgress(rank: number) {
      const parts = createController(rank);
      const { apply, router, stored } = parts;
      apply({ state: 'running', step: 2, startedAtWallMs: 9000 });
      stored.length = 0;
      router.startRestore();
      const value: RolloutOrder = { ...order, state: 'running', step: 1, startedAtWallMs: 9000 };
      router.applySnapshot([{ name: 'app', revision: 1, value }]);
      return parts;
    }

    it('stores lost progress again once', async () => {
      const { runFor, stored } = loseProgress(0);
      await runFor(1000);
      assert.deepEqual(stored, [
        { targetVersion: 'v2', state: 'running', step: 2, startedAtWallMs: 9000 },
      ]);
    });

    it('does not store it twice before it has read its own write', async () => {
      const { router, clock } = loseProgress(0);
      const stored: RolloutProgress[] = [];
      const controller = new RolloutController({
        clock,
        router,
        listEvidence: () => [],
        countOldVersionCalls: () => 3,
        getRank: () => 0,
        storeProgress: (_tracked, progress) => {
          stored.push(progress);
          return Promise.resolve('written');
        },
      });
      for (let check = 0; check < 5; check += 1) {
        for (const tracked of router.listOrders()) await controller.check(tracked);
        await clock.advance(200);
      }
      assert.equal(stored.length, 1);
    });

    it('leaves it to the instance of a lower rank', async () => {
      const { runFor, stored, apply } = loseProgress(2);
      await runFor(1000);
      assert.deepEqual(stored, []);
      apply({ state: 'running', step: 2, startedAtWallMs: 9000 });
      await runFor(2000);
      assert.deepEqual(stored, []);
    });

    it('stores no step of an order that the restored store lacks', async () => {
      const { runFor, stored, router } = createController(0);
      router.startRestore();
      router.applySnapshot([]);
      await runFor(2000);
      assert.deepEqual(stored, []);
    });
  });
});
