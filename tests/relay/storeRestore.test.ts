import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { SourceFollower } from '@cactusstair/relay';
import { ManualClock, waitFor } from '@cactusstair/utils';

import { MemorySource } from './support/memorySource.js';

describe('a store that was restored from an older copy', () => {
  const stops: (() => Promise<void>)[] = [];

  afterEach(async () => {
    for (const stop of stops.splice(0)) await stop();
  });

  describe('SourceFollower', () => {
    /** Follows a source that names an era and holds `a: one`, `a: two`. */
    async function open() {
      const source = new MemorySource<string>();
      source.era = 1;
      source.put('a', 'one');
      source.put('a', 'two');
      const clock = new ManualClock(100_000);
      const state = new Map<string, string | undefined>();
      const snapshots: string[][] = [];
      const eras: number[] = [];
      const follower = new SourceFollower<string>({
        clock,
        source,
        waitMs: 10_000,
        getMaxAgeMs: () => 1000,
        onSnapshot: (items) => {
          snapshots.push(items.map(({ name, value }) => `${name}=${value}`));
          state.clear();
          for (const { name, value } of items) state.set(name, value);
        },
        onChange: ({ name, value, isDeleted }) => {
          if (isDeleted) state.delete(name);
          else state.set(name, value);
        },
        onEra: (era) => eras.push(era),
      });
      const abort = new AbortController();
      const tasks = [follower.run(abort.signal), follower.keepFresh(abort.signal)];
      stops.push(async () => {
        abort.abort();
        source.isDown = true;
        source.wake();
        await clock.advance(5000);
        await Promise.all(tasks);
      });
      const waitForState = (name: string, value: string | undefined) =>
        waitFor(
          async () => {
            await clock.advance(50);
            return state.get(name) === value;
          },
          { what: `${name} = ${value}`, timeoutMs: 2000 },
        );
      await waitForState('a', 'two');
      return { source, clock, state, snapshots, eras, follower, waitForState };
    }

    // A new configuration was never in force (hard-load.md, gap 6): the poll from the old revision
    // was answered without 410, because the writes of the new era had passed that revision.
    it('applies writes of the new era below the revision of the old one', async () => {
      const { source, waitForState, eras } = await open();
      source.restore(1);
      source.put('b', 'new');
      source.skipRevisions(10);
      await waitForState('b', 'new');
      await waitForState('a', 'one');
      assert.deepEqual(eras, [2]);
    });

    // A list that came first was followed by changes with revisions of the old era below it.
    it('applies changes whose revision an object had in the old era', async () => {
      const { source, waitForState } = await open();
      source.restore(1);
      await waitForState('a', 'one');
      source.put('a', 'three');
      await waitForState('a', 'three');
      source.remove('a');
      await waitForState('a', undefined);
    });

    it('keeps the state while the restored store is unavailable, and treats that as an outage', async () => {
      const { source, state, follower, clock, waitForState } = await open();
      source.isDown = true;
      source.restore(1);
      await clock.advance(3000);
      assert.equal(state.get('a'), 'two');
      assert.equal(follower.exportSince(0, 1), undefined);
      source.isDown = false;
      await waitForState('a', 'one');
      assert.equal(follower.hasRecentFailure(3000), true);
      assert.ok(follower.getRestoredAgeMs() < 3000);
    });

    // Entries that the copy lacks were taken for gone where no read had failed in the meantime.
    it('counts as a recent failure without an outage', async () => {
      const { source, follower, waitForState } = await open();
      assert.equal(follower.hasRecentFailure(60_000), false);
      source.restore(1);
      source.skipRevisions(10);
      await waitForState('a', 'one');
      assert.equal(follower.hasRecentFailure(3000), true);
      assert.ok(follower.getRestoredAgeMs() < 3000);
    });

    it('exports no changes to a peer of another era', async () => {
      const { source, follower, waitForState } = await open();
      const held = source.revision;
      assert.equal(follower.exportSince(held, 1)?.era, 1);
      assert.equal(follower.exportSince(held, 2), undefined);
      assert.equal(follower.exportSince(held), undefined);
      source.restore(1);
      source.skipRevisions(10);
      await waitForState('a', 'one');
      assert.equal(follower.exportSince(source.revision, 1), undefined);
      assert.equal(follower.exportSince(source.revision, 2)?.era, 2);
    });

    it('does not confirm its state by an answer of an earlier era', async () => {
      const { source, follower, clock, waitForState } = await open();
      source.restore(1);
      await waitForState('a', 'one');
      await follower.confirm();
      source.era = 1;
      await clock.advance(2000);
      assert.equal(await follower.confirm(), false);
      assert.ok(follower.getAgeMs() >= 2000);
      assert.equal(follower.hasRecentFailure(0), true);
    });

    it('lists again when a store begins to name an era', async () => {
      const { source, follower, snapshots, waitForState } = await open();
      source.era = undefined;
      source.put('a', 'three');
      await waitForState('a', 'three');
      const { length } = snapshots;
      source.era = 2;
      await follower.confirm();
      assert.equal(snapshots.length, length + 1);
    });

    it('follows a store that names no era as before', async () => {
      const { source, waitForState, snapshots, eras } = await open();
      source.era = undefined;
      source.put('b', 'new');
      await waitForState('b', 'new');
      assert.equal(snapshots.length, 1);
      assert.deepEqual(eras, []);
    });
  });
});
