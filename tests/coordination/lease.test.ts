import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Lease, MemoryObjectStore } from '@cactusstair/coordination';
import type { TrackedLease } from '@cactusstair/coordination';
import { ManualClock } from '@cactusstair/utils';

import { InterceptedStore, loseAnswer } from './support.js';

const durationMs = 10_000;
const orderTimeoutMs = 30_000;
const fullWaitMs = durationMs + orderTimeoutMs;

function createLease(store: MemoryObjectStore, clock: ManualClock, holder: string) {
  return new Lease({ store, clock, holder, name: 'rollouts', durationMs, orderTimeoutMs });
}

async function acquire(lease: Lease): Promise<TrackedLease> {
  return (await lease.acquire())._unsafeUnwrap();
}

async function assertHeld(lease: Lease, holder: string): Promise<void> {
  assert.deepEqual((await lease.acquire())._unsafeUnwrapErr(), { type: 'held', holder });
}

/** Advances the clock until the call settles; it pauses between its attempts. */
async function settle<T>(clock: ManualClock, call: Promise<T>): Promise<T> {
  let isSettled = false;
  call.finally(() => {
    isSettled = true;
  });
  while (!isSettled) await clock.advance(50);
  return call;
}

describe('Lease', () => {
  it('makes a successor wait for the full time after it first read the last renewal', async () => {
    const store = new MemoryObjectStore();
    const clock = new ManualClock();
    const held = await acquire(createLease(store, clock, 'a'));
    const successor = createLease(store, clock, 'b');
    await clock.advance(fullWaitMs);
    await assertHeld(successor, 'a');
    await clock.advance(fullWaitMs - 1);
    (await held.renew())._unsafeUnwrap();
    await assertHeld(successor, 'a');
    await clock.advance(fullWaitMs - 1);
    await assertHeld(successor, 'a');
    await clock.advance(1);
    const next = await acquire(successor);
    assert.ok(next.fencing > held.fencing);
    assert.equal(held.getRemainingMs(), 0);
  });

  it("uses the holder's times for the wait when they are longer than its own", async () => {
    const store = new MemoryObjectStore();
    const clock = new ManualClock();
    const options = { store, clock, name: 'rollouts', orderTimeoutMs };
    await acquire(new Lease({ ...options, holder: 'a', durationMs: 60_000 }));
    const successor = createLease(store, clock, 'b');
    await assertHeld(successor, 'a');
    await clock.advance(60_000 + orderTimeoutMs - 1);
    await assertHeld(successor, 'a');
    await clock.advance(1);
    await acquire(successor);
  });

  it('ends the validity of a paused holder before a successor starts', async () => {
    const store = new MemoryObjectStore();
    const clock = new ManualClock();
    const paused = await acquire(createLease(store, clock, 'a'));
    const successor = createLease(store, clock, 'b');
    await assertHeld(successor, 'a');
    await clock.advance(fullWaitMs);
    const next = await acquire(successor);
    assert.equal(paused.getRemainingMs(), 0);
    assert.equal((await paused.renew())._unsafeUnwrapErr().type, 'conflict');
    await paused.release();
    assert.equal(next.getRemainingMs(), durationMs);
    (await next.renew())._unsafeUnwrap();
  });

  it('expires for a holder whose monotonic clock stopped while the machine was suspended', async () => {
    const clock = new ManualClock();
    const frozen = new ManualClock();
    frozen.wallMs = () => clock.wallMs();
    const held = await acquire(createLease(new MemoryObjectStore(), frozen, 'a'));
    assert.equal(held.getRemainingMs(), durationMs);
    await clock.advance(durationMs);
    assert.equal(held.getRemainingMs(), 0);
  });

  it('counts the validity from the start of a slow write', async () => {
    const store = new InterceptedStore();
    const clock = new ManualClock();
    store.interceptions.push(async (_, write) => {
      await clock.advance(4000);
      return write();
    });
    const held = await acquire(createLease(store, clock, 'a'));
    assert.equal(held.getRemainingMs(), durationMs - 4000);
    store.interceptions.push(async (_, write) => {
      const result = await write();
      await clock.advance(2500);
      return result;
    });
    (await held.renew())._unsafeUnwrap();
    assert.equal(held.getRemainingMs(), durationMs - 2500);
  });

  it('grants the lease to one of several racing writers', async () => {
    const store = new MemoryObjectStore();
    const clock = new ManualClock();
    const leases = ['a', 'b', 'c'].map((holder) => createLease(store, clock, holder));
    const first = await Promise.all(leases.map((lease) => lease.acquire()));
    assert.equal(first.filter((result) => result.isOk()).length, 1);
    const waiting = leases.filter((_, index) => first[index]?.isErr());
    await Promise.all(waiting.map((lease) => lease.acquire()));
    await clock.advance(fullWaitMs);
    const second = await Promise.all(waiting.map((lease) => lease.acquire()));
    assert.equal(second.filter((result) => result.isOk()).length, 1);
  });

  describe('with lost answers', () => {
    it('writes once for an acquisition and once for a renewal when both answers are lost', async () => {
      const store = new MemoryObjectStore();
      store.fault = 'lost_answer';
      const clock = new ManualClock();
      const held = await acquire(createLease(store, clock, 'a'));
      await clock.advance(3000);
      (await held.renew())._unsafeUnwrap();
      assert.equal(held.getRemainingMs(), durationMs);
      assert.equal(store.calls.write, 2);
    });

    it('resumes an acquisition whose outcome was unknown, with its original fencing token', async () => {
      const store = new InterceptedStore();
      const clock = new ManualClock();
      store.interceptions.push(async (self, write) => {
        await write();

        self.fault = 'unavailable';
        return loseAnswer();
      });
      const lease = createLease(store, clock, 'a');
      const attempt = await settle(clock, lease.acquire());
      assert.equal(attempt._unsafeUnwrapErr().type, 'unknown');
      store.fault = 'none';
      const held = await acquire(lease);
      assert.equal(held.fencing, 1);
      assert.equal(held.getRemainingMs(), durationMs);
    });

    it('renews after an earlier renewal whose outcome was unknown', async () => {
      const store = new InterceptedStore();
      const clock = new ManualClock();
      const held = await acquire(createLease(store, clock, 'a'));
      store.interceptions.push(async (self, write) => {
        await write();

        self.fault = 'unavailable';
        return loseAnswer();
      });
      const lost = await settle(clock, held.renew());
      assert.equal(lost._unsafeUnwrapErr().type, 'unknown');
      store.fault = 'none';
      assert.ok(held.getRemainingMs() < durationMs);
      (await held.renew())._unsafeUnwrap();
      assert.equal(held.getRemainingMs(), durationMs);
    });
  });

  it('keeps its validity through a short outage and can be renewed after a long one', async () => {
    const store = new MemoryObjectStore();
    const clock = new ManualClock();
    const held = await acquire(createLease(store, clock, 'a'));
    store.fault = 'unavailable';
    await clock.advance(4000);
    assert.equal((await held.renew())._unsafeUnwrapErr().type, 'unavailable');
    assert.equal(held.getRemainingMs(), durationMs - 4000);
    await clock.advance(60_000);
    assert.equal(held.getRemainingMs(), 0);
    store.fault = 'none';
    (await held.renew())._unsafeUnwrap();
    assert.equal(held.getRemainingMs(), durationMs);
  });

  describe('after its object was deleted', () => {
    it('issues higher fencing tokens', async () => {
      const store = new MemoryObjectStore();
      const clock = new ManualClock();
      const held = await acquire(createLease(store, clock, 'a'));
      (await held.renew())._unsafeUnwrap();
      await store.remove('lease', 'rollouts', 2);
      assert.equal((await held.renew())._unsafeUnwrapErr().type, 'not_found');
      assert.equal(held.getRemainingMs(), 0);
      const next = await acquire(createLease(store, clock, 'b'));
      assert.ok(next.fencing > held.fencing);
    });

    it('makes a successor wait if it has read the lease of the holder', async () => {
      const store = new MemoryObjectStore();
      const clock = new ManualClock();
      await acquire(createLease(store, clock, 'a'));
      const successor = createLease(store, clock, 'b');
      await assertHeld(successor, 'a');
      await clock.advance(fullWaitMs - 1);
      await store.remove('lease', 'rollouts', 1);
      await assertHeld(successor, 'a');
      await clock.advance(fullWaitMs);
      await acquire(successor);
    });
  });

  describe('release', () => {
    it('lets a successor take over at once', async () => {
      const store = new MemoryObjectStore();
      const clock = new ManualClock();
      const held = await acquire(createLease(store, clock, 'a'));
      await held.release();
      assert.equal(held.getRemainingMs(), 0);
      const next = await acquire(createLease(store, clock, 'b'));
      assert.ok(next.fencing > held.fencing);
    });

    it('waits for orders in flight', async () => {
      const store = new MemoryObjectStore();
      const clock = new ManualClock();
      const held = await acquire(createLease(store, clock, 'a'));
      const finish = held.trackOrder();
      const released = held.release();
      const successor = createLease(store, clock, 'b');
      await assertHeld(successor, 'a');
      finish('settled');
      await released;
      await acquire(successor);
    });

    it('makes a successor wait for the full time while an unanswered order may take effect', async () => {
      const store = new MemoryObjectStore();
      const clock = new ManualClock();
      const held = await acquire(createLease(store, clock, 'a'));
      held.trackOrder()('unknown');
      await held.release();
      const successor = createLease(store, clock, 'b');
      await assertHeld(successor, 'a');
      await clock.advance(fullWaitMs);
      await acquire(successor);
    });

    it('does not end the lease of another holder that has taken over', async () => {
      const store = new MemoryObjectStore();
      const clock = new ManualClock();
      const held = await acquire(createLease(store, clock, 'a'));
      const successor = createLease(store, clock, 'b');
      await assertHeld(successor, 'a');
      await clock.advance(fullWaitMs);
      await acquire(successor);
      await held.release();
      await assertHeld(createLease(store, clock, 'c'), 'b');
    });
  });
});
