import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { createPlatformStore, StoreClient } from '@cactusstair/platform';
import type { UpstreamRecord } from '@cactusstair/relay';
import { SourceFollower } from '@cactusstair/relay';
import { systemClock, waitFor } from '@cactusstair/utils';

import { StoreStandin } from './support/storeStandin.js';

const createEntry = (port: number) => ({
  service: 'app',
  address: `127.0.0.1:${port}`,
  state: 'ready',
});

/** Follows the list of upstreams over HTTP while the store is restored. */
describe('a store that is restored from an older copy', () => {
  let standin: StoreStandin;
  let client: StoreClient;
  let follower: SourceFollower<UpstreamRecord>;
  let tasks: Promise<void>[];
  const state = new Map<string, UpstreamRecord | undefined>();
  let abort: AbortController;

  async function follow(era: number | undefined): Promise<void> {
    standin = await StoreStandin.open();
    standin.era = era;
    const [ip, port] = standin.address.split(':') as [string, string];
    client = new StoreClient({ host: ip, port: Number(port) });
    abort = new AbortController();
    state.clear();
    follower = new SourceFollower<UpstreamRecord>({
      clock: systemClock,
      source: createPlatformStore(client).upstreams,
      waitMs: 29_000,
      getMaxAgeMs: () => 900,
      getKnownEra: () => client.era,
      onSnapshot: (items) => {
        state.clear();
        for (const { name, value } of items) state.set(name, value);
      },
      onChange: ({ name, value, isDeleted }) => {
        if (isDeleted) state.delete(name);
        else state.set(name, value);
      },
    });
    standin.put('servers', 'first', createEntry(1));
    await systemClock.sleep(20);
    tasks = [follower.run(abort.signal), follower.keepFresh(abort.signal)];
    await waitForNames('first');
  }

  const waitForNames = (...names: string[]) =>
    waitFor(() => [...state.keys()].sort().join() === names.sort().join(), {
      what: names.join(),
      timeoutMs: 5000,
    });

  afterEach(async () => {
    abort.abort();
    client.close();
    await standin.close();
    await Promise.all(tasks);
  });

  describe('with eras', () => {
    beforeEach(() => follow(1));

    async function checkRestore(outageMs: number, writes: number): Promise<void> {
      const copiedAtMs = performance.now();
      await systemClock.sleep(20);
      standin.put('servers', 'lost', createEntry(2));
      await waitForNames('first', 'lost');
      const restored = standin.restore({
        ageMs: performance.now() - copiedAtMs,
        outageMs,
        writes,
      });
      if (outageMs > 0) {
        await systemClock.sleep(outageMs / 2);
        assert.deepEqual([...state.keys()].sort(), ['first', 'lost']);
      }
      await restored;
      standin.put('servers', 'new', createEntry(3));
      await waitForNames('first', 'new');
      assert.equal(follower.stateEra, 2);
      assert.equal(follower.hasRecentFailure(3000), true);
      standin.remove('servers', 'first');
      await waitForNames('new');
    }

    for (const { outageMs, writes } of [
      { outageMs: 0, writes: 0 },
      { outageMs: 0, writes: 50 },
      { outageMs: 1000, writes: 0 },
      { outageMs: 1000, writes: 50 },
    ]) {
      it(`is followed after an outage of ${outageMs} ms and ${writes} writes`, () =>
        checkRestore(outageMs, writes));
    }
  });

  describe('without eras', () => {
    beforeEach(() => follow(undefined));

    it('is listed again when it answers that the history is gone', async () => {
      const copiedAtMs = performance.now();
      await systemClock.sleep(20);
      standin.put('servers', 'lost', createEntry(2));
      await waitForNames('first', 'lost');
      await standin.restore({ ageMs: performance.now() - copiedAtMs });
      standin.era = undefined;
      await waitForNames('first');
      assert.equal(follower.stateEra, undefined);
    });
  });
});
