import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { err, ok } from 'neverthrow';

import type { ChangeSource, SourceChange } from '@cactusstair/relay';
import { SourceFollower } from '@cactusstair/relay';
import { ManualClock, waitFor } from '@cactusstair/utils';

import { MemorySource } from './support/memorySource.js';

/** A clock whose wall time can be stepped without its monotonic time. */
class StepClock extends ManualClock {
  stepMs = 0;

  override wallMs(): number {
    return super.wallMs() + this.stepMs;
  }
}

function createFollower(source: ChangeSource<string>, clock = new StepClock(1000)) {
  const state = new Map<string, string | undefined>();
  const follower = new SourceFollower<string>({
    clock,
    source,
    waitMs: 10_000,
    getMaxAgeMs: () => 1000,
    onSnapshot: (items) => {
      state.clear();
      for (const { name, value } of items) state.set(name, value);
    },
    onChange: ({ name, value, isDeleted }) => {
      if (isDeleted) state.delete(name);
      else state.set(name, value);
    },
  });
  return { follower, state, clock };
}

async function follow(
  source: MemorySource<string>,
  run: (parts: ReturnType<typeof createFollower>) => Promise<void>,
): Promise<void> {
  const parts = createFollower(source);
  const abort = new AbortController();
  const task = parts.follower.run(abort.signal);
  try {
    await waitFor(() => parts.follower.isLoaded, { what: 'the first list', timeoutMs: 2000 });
    await run(parts);
  } finally {
    abort.abort();
    source.wake();
    await parts.clock.advance(5000);
    await task;
  }
}

describe('SourceFollower', () => {
  it('follows changes and deletions', async () => {
    const source = new MemorySource<string>();
    source.put('a', 'one');
    await follow(source, async ({ state }) => {
      source.put('a', 'two');
      source.put('b', 'new');
      await waitFor(() => state.get('b') === 'new', { what: 'the change', timeoutMs: 2000 });
      assert.equal(state.get('a'), 'two');
      source.remove('a');
      await waitFor(() => !state.has('a'), { what: 'the deletion', timeoutMs: 2000 });
    });
  });

  it('does not take a watch that is cut off for an outage, and reads at once', async () => {
    const source = new MemorySource<string>();
    source.put('a', 'one');
    await follow(source, async ({ follower, state, clock }) => {
      const waitForWatch = () =>
        waitFor(
          async () => {
            await clock.advance(50);
            return source.watchCount > 0;
          },
          { what: 'a watch', timeoutMs: 2000 },
        );
      for (let cut = 0; cut < 3; cut += 1) {
        await waitForWatch();
        source.cutWatches();
        source.put('a', `after cut ${cut}`);
        await waitFor(() => state.get('a') === `after cut ${cut}`, {
          what: 'the change',
          timeoutMs: 2000,
        });
        assert.equal(follower.hasRecentFailure(60_000), false);
        assert.equal(follower.getRestoredAgeMs(), Infinity);
      }
    });
  });

  it('pauses before it watches again after a watch was cut off', async () => {
    const source = new MemorySource<string>();
    await follow(source, async () => {
      await waitFor(() => source.watchCount > 0, { what: 'a watch', timeoutMs: 2000 });
      const { calls } = source;
      source.cutWatches();
      await waitFor(() => source.calls > calls, { what: 'a read', timeoutMs: 2000 });
      // The clock stands still, so that only calls without a pause could follow.
      for (let turn = 0; turn < 50; turn += 1) {
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
      }
      assert.equal(source.calls, calls + 1);
    });
  });

  it('reads one list at a time after the store has dropped its history', async () => {
    const releases: (() => void)[] = [];
    let lists = 0;
    const source: ChangeSource<string> = {
      list: async () => {
        lists += 1;
        const items = [{ name: 'a', revision: lists, value: `list ${lists}` }];
        if (lists > 1) {
          await new Promise<void>((resolve) => {
            releases.push(resolve);
          });
        }
        return ok({ items, revision: lists });
      },
      poll: async () => err({ type: 'history_gone' }),
    };
    const { follower, state, clock } = createFollower(source);
    const abort = new AbortController();
    const task = follower.run(abort.signal);
    await waitFor(() => releases.length > 0, { what: 'the second list', timeoutMs: 2000 });
    const confirmed = follower.confirm();
    await clock.advance(500);
    assert.equal(lists, 2);
    abort.abort();
    releases.forEach((release) => release());
    await confirmed;
    await task;
    assert.equal(state.get('a'), 'list 2');
  });

  it('lists again after the store has dropped its history', async () => {
    const source = new MemorySource<string>();
    source.put('a', 'one');
    await follow(source, async ({ state, clock }) => {
      source.put('b', 'unseen');
      source.forgetHistory();
      await waitFor(
        async () => {
          await clock.advance(200);
          return state.get('b') === 'unseen';
        },
        { what: 'the new list', timeoutMs: 2000 },
      );
    });
  });

  it('measures the age from before the read, by the clock that advanced further', async () => {
    const source = new MemorySource<string>();
    await follow(source, async ({ follower, clock }) => {
      await clock.advance(700);
      assert.equal(follower.getAgeMs(), 700);
      // The monotonic clock stops while a machine is suspended; the wall clock continues.
      clock.stepMs = 4000;
      assert.equal(follower.getAgeMs(), 4700);
      clock.stepMs = -60_000;
      assert.equal(follower.getAgeMs(), 700);
      assert.equal(await follower.confirm(), true);
      assert.equal(follower.getAgeMs(), 0);
    });
  });

  it('ignores the confirmation of a peer whose read is older', async () => {
    const source = new MemorySource<string>();
    await follow(source, async ({ follower, clock }) => {
      await clock.advance(1000);
      follower.adopt({ monotonicMs: 500, wallMs: 500 });
      assert.equal(follower.getAgeMs(), 1000);
      follower.adopt({ monotonicMs: 1600, wallMs: 1600 });
      assert.equal(follower.getAgeMs(), 400);
    });
  });

  it('reports a recent failure while reads fail and for a given time afterwards', async () => {
    const source = new MemorySource<string>();
    await follow(source, async ({ follower, clock }) => {
      source.isDown = true;
      assert.equal(await follower.confirm(), false);
      assert.equal(follower.hasRecentFailure(3000), true);
      assert.equal(follower.getRestoredAgeMs(), 0);
      source.isDown = false;
      assert.equal(await follower.confirm(), true);
      await clock.advance(2000);
      assert.equal(follower.hasRecentFailure(3000), true);
      assert.equal(follower.getRestoredAgeMs(), 2000);
      await clock.advance(2000);
      assert.equal(follower.hasRecentFailure(3000), false);
    });
  });

  it('resumes reads after the store stopped responding, although the long poll still hangs', async () => {
    const store = { isSilent: false, calls: 0 };
    const source: ChangeSource<string> = {
      list: async () => ok({ items: [], revision: 1 }),
      poll: async (_since, waitMs) => {
        if (waitMs > 0) await new Promise(() => {});
        store.calls += 1;
        if (store.isSilent) return err({ type: 'unavailable', message: 'silent' });
        return ok({ changes: [], revision: 1 });
      },
    };
    const { follower, clock } = createFollower(source);
    const { signal } = new AbortController();
    void follower.run(signal);
    void follower.keepFresh(signal);
    await waitFor(() => follower.isLoaded, { what: 'the first list', timeoutMs: 2000 });
    store.isSilent = true;
    await clock.advance(6000);
    assert.ok(follower.getAgeMs() >= 4000);
    assert.equal(follower.hasRecentFailure(2000), true);
    assert.ok(store.calls < 20, `${store.calls} calls in 6 s`);
    store.isSilent = false;
    await clock.advance(1500);
    assert.ok(follower.getAgeMs() <= 1500);
    assert.ok(follower.getRestoredAgeMs() <= 1500);
  });

  it('lists again at once when a confirmation finds that the history was dropped', async () => {
    const source = new MemorySource<string>();
    await follow(source, async ({ follower, state }) => {
      source.put('a', 'unseen');
      source.forgetHistory();
      assert.equal(await follower.confirm(), true);
      assert.equal(state.get('a'), 'unseen');
    });
  });

  it('keeps the newer state when a slower read returns an older one', async () => {
    const changes = (revision: number, value: string): SourceChange<string>[] => [
      { name: 'a', revision, value, isDeleted: false },
    ];
    let releaseSlow: (() => void) | undefined;
    const source: ChangeSource<string> = {
      list: async () => ok({ items: [{ name: 'a', revision: 1, value: 'first' }], revision: 1 }),
      poll: async (since, waitMs) => {
        if (waitMs > 0 && since === 1) {
          await new Promise<void>((resolve) => {
            releaseSlow = resolve;
          });
          return ok({ changes: changes(2, 'second'), revision: 2 });
        }
        if (waitMs > 0) await new Promise(() => {});
        return ok({ changes: changes(3, 'third'), revision: 3 });
      },
    };
    const { follower, state } = createFollower(source);
    void follower.run(new AbortController().signal);
    await waitFor(() => releaseSlow, { what: 'the slow read', timeoutMs: 2000 });
    await follower.confirm();
    assert.equal(state.get('a'), 'third');
    releaseSlow?.();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    assert.equal(state.get('a'), 'third');
  });
});
