import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ClaimOutcome } from '@cactusstair/protocol';
import { createRandom, LifecycleManager } from '@cactusstair/utils';

import { answer, createClaimFixture } from './claimFixture.js';
import { FaultyStore } from './faultyStore.js';
import { runPending } from './runUntil.js';

describe('ClaimJournal', () => {
  describe('claim', () => {
    it('grants a key to one of two instances that claim it at the same time', async () => {
      const { startJournal, run } = createClaimFixture();
      const [a, b] = [startJournal('a'), startJournal('b')];
      const results = await run(
        Promise.all([a.claim('club', 'k', 'd1'), b.claim('club', 'k', 'd1')]),
      );
      const types = results.map((result) => result._unsafeUnwrap().type).sort();
      assert.deepEqual(types, ['granted', 'owned']);
    });

    it('grants a key to one of two requests on one instance, which share an update', async () => {
      const { startJournal, run } = createClaimFixture();
      const a = startJournal('a');
      const results = await run(
        Promise.all([a.claim('club', 'k', 'd1'), a.claim('club', 'k', 'd1')]),
      );
      const types = results.map((result) => result._unsafeUnwrap().type);
      assert.deepEqual(types, ['granted', 'owned']);
    });

    it('keeps the keys of two workspaces separate', async () => {
      const { startJournal, run } = createClaimFixture();
      const a = startJournal('a');
      // Concatenated without the length, both pairs of workspace and key give the same text.
      const results = await run(
        Promise.all([a.claim('club', 'sk', 'd1'), a.claim('clubs', 'k', 'd1')]),
      );
      assert.deepEqual(
        results.map((result) => result._unsafeUnwrap().type),
        ['granted', 'granted'],
      );
    });

    it('returns the stored answer for a repeated request on another instance', async () => {
      const { startJournal, claim, grant, run } = createClaimFixture();
      const [a, b] = [startJournal('a'), startJournal('b')];
      const held = await grant(a, 'k');
      assert.ok((await run(a.complete(held, answer))).isOk());
      assert.deepEqual(await claim(b, 'k'), { type: 'done', answer });
    });

    it('refuses a key with another digest while its request runs and after it', async () => {
      const { startJournal, claim, grant, run } = createClaimFixture();
      const [a, b] = [startJournal('a'), startJournal('b')];
      const held = await grant(a, 'k');
      assert.equal((await claim(b, 'k', 'd2')).type, 'key_reused');
      await run(a.complete(held, answer));
      assert.equal((await claim(b, 'k', 'd2')).type, 'key_reused');
    });

    it('does not keep an answer above 4 KiB but still blocks a second run', async () => {
      const { startJournal, claim, grant, run } = createClaimFixture();
      const a = startJournal('a');
      const [small, large] = [await grant(a, 'small'), await grant(a, 'large')];
      const kept = { ...answer, body: Buffer.alloc(4096, 1) };
      await run(a.complete(small, kept));
      await run(a.complete(large, { ...answer, body: Buffer.alloc(4097, 1) }));
      assert.deepEqual(await claim(a, 'small'), { type: 'done', answer: kept });
      assert.deepEqual(await claim(a, 'large'), { type: 'done', answer: undefined });
    });

    it('never reassigns the claim of a paused owner', async () => {
      const { clock, startJournal, claim, grant, run } = createClaimFixture();
      const [a, b] = [startJournal('a'), startJournal('b')];
      const held = await grant(a, 'k');
      await clock.advance(3_500_000);
      assert.deepEqual(await claim(b, 'k'), { type: 'owned', owner: 'a', incarnation: 1 });
      assert.ok((await run(a.complete(held, answer))).isOk());
      assert.equal((await claim(b, 'k')).type, 'done');
    });

    it('does not grant a key again to its owner after a restart', async () => {
      const { startJournal, claim, grant } = createClaimFixture();
      await grant(startJournal('a'), 'k');
      const restarted = startJournal('a', { getIncarnation: () => 2 });
      assert.deepEqual(await claim(restarted, 'k'), { type: 'owned', owner: 'a', incarnation: 1 });
    });
  });

  describe('lost answers', () => {
    it('grants a claim whose write took effect without an answer', async () => {
      const { memory, startJournal, claim, listEntries } = createClaimFixture();
      let writes = 0;
      const store = new FaultyStore(memory, {
        chooseOutcome: (operation) => {
          if (operation === 'get') return 'normal';
          writes += 1;
          return writes === 1 ? 'lost_answer' : 'normal';
        },
      });
      assert.equal((await claim(startJournal('a', { store }), 'k')).type, 'granted');
      assert.equal(writes, 1);
      assert.equal((await listEntries()).length, 1);
      assert.equal((await claim(startJournal('b'), 'k')).type, 'owned');
    });

    it('grants a claim whose write was lost in transit', async () => {
      const { memory, startJournal, claim } = createClaimFixture();
      let writes = 0;
      const store = new FaultyStore(memory, {
        chooseOutcome: (operation) => {
          if (operation === 'get') return 'normal';
          writes += 1;
          return writes === 1 ? 'lost_request' : 'normal';
        },
      });
      assert.equal((await claim(startJournal('a', { store }), 'k')).type, 'granted');
    });

    for (const fate of ['lost_answer', 'late'] as const) {
      it(`removes a claim that was not granted (${fate}, then an outage)`, async () => {
        const { clock, memory, startJournal, run, claim } = createClaimFixture();
        let down = false;
        const store = new FaultyStore(memory, {
          chooseOutcome: (operation) => {
            if (down) return 'unavailable';
            if (operation === 'get') return 'normal';
            down = true;
            return fate;
          },
        });
        const a = startJournal('a', { store });
        const refused = await run(a.claim('club', 'k', 'd1'));
        assert.equal(refused._unsafeUnwrapErr().type, 'unknown');
        store.options = {};
        await clock.advance(5000);
        await runPending();
        assert.equal((await a.awaitLocal('club', 'k', 0)).outcome, ClaimOutcome.RELEASED);
        await store.deliverLateWrites();
        assert.equal((await claim(startJournal('b'), 'k')).type, 'granted');
      });
    }

    it('grants a new claim on the same instance in the batch that removes the in-doubt claim', async () => {
      const { memory, startJournal, run, claim } = createClaimFixture();
      let down = false;
      const store = new FaultyStore(memory, {
        chooseOutcome: (operation) => {
          if (down) return 'unavailable';
          if (operation === 'get') return 'normal';
          down = true;
          return 'lost_answer';
        },
      });
      const a = startJournal('a', { store });
      assert.ok((await run(a.claim('club', 'k', 'd1'))).isErr());
      store.options = {};
      assert.equal((await claim(a, 'k', 'd2')).type, 'granted');
    });
  });

  describe('outage of the object API', () => {
    it('refuses claims and stores nothing', async () => {
      const { memory, startJournal, run, grant, listEntries } = createClaimFixture();
      const a = startJournal('a');
      memory.fault = 'unavailable';
      const refused = await run(a.claim('club', 'k', 'd1'));
      assert.equal(refused._unsafeUnwrapErr().type, 'unavailable');
      memory.fault = 'none';
      assert.deepEqual(await listEntries(), []);
      await grant(a, 'k');
    });

    it('refuses further claims while maxWaiting claims are waiting', async () => {
      const { memory, startJournal } = createClaimFixture();
      const store = new FaultyStore(memory, { delay: () => new Promise(() => {}) });
      const a = startJournal('a', { store, maxWaiting: 10 });
      for (let index = 0; index < 10; index += 1) void a.claim('club', `k${index}`, 'd1');
      const refused = await a.claim('club', 'k10', 'd1');
      assert.equal(refused._unsafeUnwrapErr().type, 'unavailable');
    });

    it('stores an outcome after the outage and answers local waiters during it', async () => {
      const { clock, memory, startJournal, run, grant, claim } = createClaimFixture();
      const a = startJournal('a');
      const held = await grant(a, 'k');
      memory.fault = 'unavailable';
      assert.equal((await run(a.complete(held, answer)))._unsafeUnwrapErr().type, 'unavailable');
      const reply = await a.awaitLocal('club', 'k', 0);
      assert.deepEqual(reply, { outcome: ClaimOutcome.DONE, answer });
      memory.fault = 'none';
      await clock.advance(3000);
      await runPending();
      assert.equal((await claim(startJournal('b'), 'k')).type, 'done');
    });

    it('flushes failed outcomes without delay', async () => {
      const { memory, startJournal, run, grant, claim } = createClaimFixture();
      const a = startJournal('a');
      const held = await grant(a, 'k');
      memory.fault = 'unavailable';
      await run(a.complete(held, answer));
      assert.ok((await a.flush()).isErr());
      memory.fault = 'none';
      assert.ok((await a.flush()).isOk());
      assert.equal((await claim(startJournal('b'), 'k')).type, 'done');
    });
  });

  describe('release', () => {
    it('lets a repeated request claim the key', async () => {
      const { startJournal, run, grant } = createClaimFixture();
      const [a, b] = [startJournal('a'), startJournal('b')];
      const held = await grant(a, 'k');
      assert.ok((await run(a.release(held))).isOk());
      await grant(b, 'k');
    });

    it('does not remove the claim of a repeated request when called twice', async () => {
      const { startJournal, run, grant, claim } = createClaimFixture();
      const [a, b, c] = [startJournal('a'), startJournal('b'), startJournal('c')];
      const held = await grant(a, 'k');
      await run(a.release(held));
      await grant(b, 'k');
      assert.ok((await run(a.release(held))).isOk());
      assert.deepEqual(await claim(c, 'k'), { type: 'owned', owner: 'b', incarnation: 1 });
    });

    it('grants a concurrent request a claim or returns the old one, and stores only a granted claim', async () => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const { clock, memory, startJournal, run, grant, listEntries } = createClaimFixture();
        const random = createRandom(seed);
        const store = new FaultyStore(memory, { delay: () => clock.sleep(random.nextInt(10)) });
        const [a, b] = [startJournal('a', { store }), startJournal('b', { store })];
        const held = await grant(a, 'k');
        const [, repeat] = await run(Promise.all([a.release(held), b.claim('club', 'k', 'd1')]));
        const { type } = repeat._unsafeUnwrap();
        const owners = (await listEntries()).map((entry) => entry.owner);
        assert.deepEqual(owners, type === 'granted' ? ['b'] : [], `seed ${seed}`);
      }
    });

    it('does not undo a completed claim', async () => {
      const { startJournal, run, grant, claim } = createClaimFixture();
      const a = startJournal('a');
      const held = await grant(a, 'k');
      await run(a.complete(held, answer));
      await run(a.release(held));
      assert.equal((await claim(a, 'k')).type, 'done');
    });
  });

  describe('awaitLocal', () => {
    it('resolves with the answer when the running claim completes', async () => {
      const { startJournal, run, grant } = createClaimFixture();
      const a = startJournal('a');
      const held = await grant(a, 'k');
      const waiting = a.awaitLocal('club', 'k', 60_000);
      await run(a.complete(held, answer));
      assert.deepEqual(await run(waiting), { outcome: ClaimOutcome.DONE, answer });
    });

    it('reports a release only when it is stored, so that the waiter can claim', async () => {
      const { clock, memory, startJournal, run, grant } = createClaimFixture();
      const [a, b] = [startJournal('a'), startJournal('b')];
      const held = await grant(a, 'k');
      memory.fault = 'unavailable';
      await run(a.release(held));
      const early = await run(a.awaitLocal('club', 'k', 100));
      assert.equal(early.outcome, ClaimOutcome.RUNNING);
      const waiting = a.awaitLocal('club', 'k', 60_000);
      memory.fault = 'none';
      await clock.advance(3000);
      assert.equal((await run(waiting)).outcome, ClaimOutcome.RELEASED);
      await grant(b, 'k');
    });

    it('reports a claim that still runs at the deadline, and an unknown one at once', async () => {
      const { startJournal, run, grant } = createClaimFixture();
      const a = startJournal('a');
      await grant(a, 'k');
      assert.equal((await run(a.awaitLocal('club', 'k', 50))).outcome, ClaimOutcome.RUNNING);
      assert.equal((await a.awaitLocal('club', 'x', 50)).outcome, ClaimOutcome.UNKNOWN);
    });
  });

  it('stores the outcomes that are not written yet when the instance stops', async () => {
    const { startJournal, grant, claim } = createClaimFixture();
    const lifecycle = new LifecycleManager();
    const a = startJournal('a', { lifecycle });
    void a.complete(await grant(a, 'k'), answer);
    await lifecycle.close();
    assert.equal((await claim(startJournal('b'), 'k')).type, 'done');
  });
});
