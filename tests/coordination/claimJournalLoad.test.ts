import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { ObjectStore } from '@cactusstair/coordination';
import { createRandom } from '@cactusstair/utils';

import { answer, createClaimFixture } from './claimFixture.js';
import { FaultyStore } from './faultyStore.js';

function countWrites(store: FaultyStore): number {
  return store.calls.create + store.calls.update;
}

describe('ClaimJournal under load', () => {
  describe('batching', () => {
    it('puts claims that arrive together into one update and keeps one in flight', async () => {
      const { clock, memory, startJournal, run } = createClaimFixture();
      const store = new FaultyStore(memory, { delay: () => clock.sleep(5) });
      const a = startJournal('a', { store });
      const claims = Array.from({ length: 400 }, (_, index) => a.claim('club', `k${index}`, 'd1'));
      const results = await run(Promise.all(claims));
      assert.ok(results.every((result) => result._unsafeUnwrap().type === 'granted'));
      assert.ok(countWrites(store) <= 2, `${countWrites(store)} writes for 400 claims`);
      assert.equal(store.maxConcurrentWrites, 1);
    });

    it('keeps to the write rate when requests arrive faster', async () => {
      const { clock, memory, startJournal } = createClaimFixture();
      const store = new FaultyStore(memory, { delay: () => clock.sleep(2) });
      const a = startJournal('a', { store, writesPerSecond: 10 });
      for (let index = 0; index < 1000; index += 1) {
        void a.claim('club', `k${index}`, 'd1');
        await clock.advance(5);
      }
      // 5 s at 10 writes a second and a burst of 10.
      assert.ok(countWrites(store) <= 61, `${countWrites(store)} writes`);
    });

    it('grants every claim of seven instances that contend for one shard', async () => {
      const { clock, memory, startJournal, run, listEntries } = createClaimFixture();
      const random = createRandom(11);
      const store = new FaultyStore(memory, { delay: () => clock.sleep(1 + random.nextInt(5)) });
      const journals = Array.from({ length: 7 }, (_, index) =>
        startJournal(`i${index}`, { store }),
      );
      const claims = journals.flatMap((journal, owner) =>
        Array.from({ length: 30 }, (_, index) => journal.claim('club', `${owner}-${index}`, 'd1')),
      );
      const results = await run(Promise.all(claims));
      assert.ok(results.every((result) => result.isOk() && result.value.type === 'granted'));
      assert.equal((await listEntries()).length, 210);
      assert.ok(countWrites(store) < 60, `${countWrites(store)} writes for 210 claims`);
    });

    it('gives up after maxAttempts conflicts and claims nothing', async () => {
      const { memory, startJournal, run, listEntries } = createClaimFixture();
      await memory.create('claims', '0', { entries: {} });
      const store = new FaultyStore(memory);
      const contended: ObjectStore = {
        get: async (kind, name) => {
          const read = await store.get(kind, name);
          await memory.update(kind, name, { entries: {} }, read._unsafeUnwrap().version);
          return read;
        },
        list: (kind) => store.list(kind),
        create: (kind, name, value) => store.create(kind, name, value),
        update: (kind, name, value, version) => store.update(kind, name, value, version),
        remove: (kind, name, version) => store.remove(kind, name, version),
        getRevision: () => store.getRevision(),
        watch: (kinds, from, signal) => store.watch(kinds, from, signal),
      };
      const a = startJournal('a', { store: contended, maxAttempts: 5 });
      const refused = await run(a.claim('club', 'k', 'd1'));
      assert.equal(refused._unsafeUnwrapErr().type, 'conflict');
      assert.equal(store.calls.update, 5);
      assert.deepEqual(await listEntries(), []);
    });
  });

  describe('size of a shard', () => {
    it('prunes claims and answers after the retention', async () => {
      const { clock, startJournal, run, grant, listEntries } = createClaimFixture();
      const a = startJournal('a', { retentionMs: 1000 });
      await run(a.complete(await grant(a, 'old'), answer));
      await grant(a, 'abandoned');
      await clock.advance(900);
      await grant(a, 'new');
      assert.equal((await listEntries()).length, 3);
      await clock.advance(200);
      await grant(a, 'newer');
      assert.equal((await listEntries()).length, 2);
    });

    it('refuses claims when full, stays below the limit and grants claims again after pruning', async () => {
      const { clock, memory, startJournal, run, grant } = createClaimFixture();
      const maxShardBytes = 5000;
      const a = startJournal('a', { maxShardBytes, retentionMs: 60_000, writesPerSecond: 1000 });
      let refusal = '';
      for (let index = 0; index < 100 && refusal === ''; index += 1) {
        const result = await run(a.claim('club', `k${index}`, 'd1'));
        if (result.isErr() && result.error.type === 'unavailable') refusal = result.error.message;
      }
      assert.match(refusal, /shard is full; nothing was claimed/);
      const shard = (await memory.get('claims', '0'))._unsafeUnwrap();
      assert.ok(JSON.stringify(shard.value).length <= maxShardBytes);
      await clock.advance(61_000);
      await grant(a, 'k');
    });

    it('drops the oldest answers before it refuses claims, and still blocks a second run', async () => {
      const { memory, startJournal, run, claim, grant } = createClaimFixture();
      const a = startJournal('a', { maxShardBytes: 20_000, writesPerSecond: 1000 });
      const body = Buffer.alloc(3000, 1);
      for (let index = 0; index < 12; index += 1) {
        await run(a.complete(await grant(a, `k${index}`), { ...answer, body }));
      }
      const shard = (await memory.get('claims', '0'))._unsafeUnwrap();
      assert.ok(JSON.stringify(shard.value).length <= 20_000);
      assert.deepEqual(await claim(a, 'k0'), { type: 'done', answer: undefined });
      assert.deepEqual(await claim(a, 'k11'), { type: 'done', answer: { ...answer, body } });
    });
  });
});
