import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { ok } from 'neverthrow';

import { ConfigReplica, MemoryObjectStore, StoreFollower } from '@cactusstair/coordination';
import type { ObjectList, StoreResult, WatchEvent } from '@cactusstair/coordination';
import { createRandom, LifecycleManager, ManualClock } from '@cactusstair/utils';

import { clusterKey, waitUntil } from './support.js';

/** A store whose watches can be replaced or broken. */
class BreakableStore extends MemoryObjectStore {
  replaceWatch: ((signal: AbortSignal) => AsyncIterable<WatchEvent>) | undefined;

  override watch(kinds: readonly string[], fromRevision: number, signal: AbortSignal) {
    if (!this.replaceWatch) return super.watch(kinds, fromRevision, signal);
    this.calls.watch += 1;
    return this.replaceWatch(signal);
  }
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
  await new Promise((resolve) => {
    signal.addEventListener('abort', resolve, { once: true });
  });
}

describe('StoreFollower', () => {
  let lifecycle: LifecycleManager;
  afterEach(() => lifecycle.close());

  function startFollower(store: MemoryObjectStore) {
    lifecycle = new LifecycleManager();
    const clock = new ManualClock();
    const replica = new ConfigReplica({ clusterKey, clock });
    const states: string[] = [];
    const follower = new StoreFollower({
      store,
      replica,
      clock,
      random: createRandom(1),
      onStateChange: (state, reason) => states.push(`${state}: ${reason}`),
    });
    lifecycle.startTask('store follower', (signal) => follower.run(signal));
    return { clock, replica, states };
  }

  /** Moves the clock in small steps until the state is reached; tasks run between the steps. */
  async function advanceUntil(clock: ManualClock, what: string, check: () => boolean) {
    await waitUntil(what, () => {
      clock.advance(50);
      return check();
    });
  }

  it('applies listed objects, changes and deletions, and confirms them', async () => {
    const store = new MemoryObjectStore();
    await store.create('workspace', 'w', { name: 'w', weight: 1 });
    const { replica } = startFollower(store);
    await waitUntil('the list', () => replica.getWorkspace('w')?.weight === 1);
    assert.equal(replica.getConfirmedAgeMs(), 0);
    await store.update('workspace', 'w', { name: 'w', weight: 2 }, 1);
    await waitUntil('the change', () => replica.getWorkspace('w')?.weight === 2);
    await store.remove('workspace', 'w', 2);
    await waitUntil('the deletion', () => replica.getWorkspace('w') === undefined);
    await store.create('workspace', 'w', { name: 'w', weight: 3 });
    await waitUntil('the re-creation', () => replica.getWorkspace('w')?.weight === 3);
  });

  it('stays confirmed while only objects of other kinds are written', async () => {
    const store = new MemoryObjectStore();
    const { clock, replica } = startFollower(store);
    await waitUntil('the list', () => replica.getConfirmedAgeMs() === 0);
    for (let index = 0; index < 5; index += 1) {
      await store.create('claims', `c${index}`, {});
      await waitUntil('the bookmark', () => replica.appliedRevision === index + 1);
      await clock.advance(1000);
      await waitUntil('the confirmation', () => replica.getConfirmedAgeMs() < 1000);
    }
    assert.equal(store.calls.watch, 1);
  });

  describe('with a list that is older than the revision read before it', () => {
    /** A store whose first list of workspaces shows an earlier state. */
    class LaggingStore extends MemoryObjectStore {
      earlier: ObjectList | undefined;

      override async list(kind: string): StoreResult<ObjectList> {
        const { earlier } = this;
        if (kind !== 'workspace' || !earlier) return super.list(kind);
        this.earlier = undefined;
        return ok(earlier);
      }
    }

    async function createLaggingStore() {
      const store = new LaggingStore();
      await store.create('workspace', 'w', { name: 'w', weight: 1 });
      store.earlier = (await store.list('workspace'))._unsafeUnwrap();
      return store;
    }

    it('applies the changes that the list lacks', async () => {
      const store = await createLaggingStore();
      await store.update('workspace', 'w', { name: 'w', weight: 2 }, 1);
      await store.create('workspace', 'x', { name: 'x', weight: 1 });
      const { replica } = startFollower(store);
      await waitUntil('the change', () => replica.getWorkspace('w')?.weight === 2);
      await waitUntil('the new object', () => replica.getWorkspace('x') !== undefined);
    });

    it('does not delete an object that was created since', async () => {
      const store = await createLaggingStore();
      const created = await store.create('workspace', 'x', { name: 'x', weight: 1 });
      await store.create('claims', 'other', {});
      const { replica } = startFollower(store);
      const { version, revision } = created._unsafeUnwrap();
      const value = JSON.stringify({ name: 'x', weight: 1 });
      replica.applyObjects(
        [{ kind: 'workspace', name: 'x', version, revision, deleted: false, value }],
        revision,
      );
      await waitUntil('the watch', () => store.calls.watch === 1);
      assert.equal(replica.getWorkspace('x')?.weight, 1);
    });
  });

  it('lists again when an open watch stalls', async () => {
    const store = new BreakableStore();
    store.replaceWatch = async function* wait(signal) {
      await waitForAbort(signal);
    };
    const { clock, replica, states } = startFollower(store);
    await waitUntil('the list', () => store.calls.watch === 1);
    await store.create('workspace', 'w', { name: 'w', weight: 1 });
    await advanceUntil(clock, 'the change', () => replica.getWorkspace('w')?.weight === 1);
    assert.match(states[1] ?? '', /^interrupted: the watch did not reach revision 1/);
  });

  it('lists again after events out of order, because any event may be missing', async () => {
    const store = new BreakableStore();
    await store.create('workspace', 'v', { name: 'v' });
    await store.create('workspace', 'w', { name: 'w' });
    store.replaceWatch = async function* reorder(signal) {
      store.replaceWatch = undefined;
      yield { type: 'bookmark', revision: 9 };
      yield { type: 'delete', kind: 'workspace', name: 'w', revision: 8 };
      await waitForAbort(signal);
    };
    const { clock, replica, states } = startFollower(store);
    await advanceUntil(clock, 'the second watch', () => store.calls.watch === 2);
    assert.equal(replica.getWorkspace('w')?.name, 'w');
    assert.match(states[1] ?? '', /revision 8 after 9/);
  });

  it('applies a deletion that happened while the watch was interrupted', async () => {
    const store = new BreakableStore();
    await store.create('workspace', 'w', { name: 'w' });
    store.replaceWatch = async function* breakOff() {
      store.replaceWatch = undefined;
      await store.remove('workspace', 'w', 1);
      throw new Error('connection reset');
    };
    const { clock, replica, states } = startFollower(store);
    await advanceUntil(clock, 'the second list', () => replica.appliedRevision === 2);
    assert.equal(replica.getWorkspace('w'), undefined);
    assert.equal(states[1], 'interrupted: connection reset');
  });

  it('does not renew its confirmation during an outage and renews it afterwards', async () => {
    const store = new MemoryObjectStore();
    const { clock, replica } = startFollower(store);
    await waitUntil('the list', () => replica.getConfirmedAgeMs() === 0);
    store.fault = 'unavailable';
    const reads = store.calls.read;
    await advanceUntil(clock, '20 failed polls', () => store.calls.read >= reads + 20);
    assert.ok(replica.getConfirmedAgeMs() >= 19_000);
    store.fault = 'none';
    await advanceUntil(clock, 'a confirmation', () => replica.getConfirmedAgeMs() < 1000);
  });

  it('stays unconfirmed when it starts during an outage, until the store is back', async () => {
    const store = new MemoryObjectStore();
    await store.create('workspace', 'w', { name: 'w' });
    store.fault = 'unavailable';
    const { clock, replica } = startFollower(store);
    await advanceUntil(clock, 'several attempts', () => store.calls.read >= 5);
    assert.equal(replica.getConfirmedAgeMs(), Infinity);
    store.fault = 'none';
    await advanceUntil(clock, 'the list', () => replica.getWorkspace('w') !== undefined);
  });

  it('counts the confirmation age from before a slow revision read', async () => {
    const clock = new ManualClock();
    /** A store that takes three seconds to answer a revision read. */
    class SlowStore extends MemoryObjectStore {
      override async getRevision(): StoreResult<number> {
        const revision = await super.getRevision();
        await clock.advance(3000);
        return revision;
      }
    }
    lifecycle = new LifecycleManager();
    const replica = new ConfigReplica({ clusterKey, clock });
    const follower = new StoreFollower({ store: new SlowStore(), replica, clock });
    lifecycle.startTask('store follower', (signal) => follower.run(signal));
    await waitUntil('the confirmation', () => replica.getConfirmedAgeMs() < Infinity);
    assert.equal(replica.getConfirmedAgeMs(), 3000);
  });
});

describe('MemoryObjectStore', () => {
  it('does not send a bookmark ahead of writes made while a reader consumes past events', async () => {
    const store = new MemoryObjectStore();
    await store.create('model', 'a', {});
    const revisions: number[] = [];
    const controller = new AbortController();
    for await (const event of store.watch(['model'], 0, controller.signal)) {
      if (revisions.length === 0) await store.create('model', 'b', {});
      revisions.push(event.type === 'put' ? event.object.revision : event.revision);
      if (revisions.length === 3) controller.abort();
    }
    assert.deepEqual(revisions, [1, 1, 2]);
  });
});
