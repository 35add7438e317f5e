import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { BillCopier } from '@cactusstair/coordination';
import { MemoryObjectStore } from '@cactusstair/coordination';
import type { Bill } from '@cactusstair/protocol';
import { LifecycleManager } from '@cactusstair/utils';

import { createBill, createBillingFixture, exportIds, MemoryCopier } from './billingFixture.js';
import { FaultyStore } from './faultyStore.js';
import { runPending } from './runUntil.js';

/** Counts the calls of one instance and kills it before or after the effect of one of them. */
class KillSwitch {
  private calls = 0;

  constructor(
    private readonly killAtCall: number,
    private readonly afterEffect: boolean,
  ) {}

  get killed(): boolean {
    return this.calls >= this.killAtCall;
  }

  countCall(): 'normal' | 'hang' | 'hang_after' {
    this.calls += 1;
    if (this.calls < this.killAtCall) return 'normal';
    return this.calls === this.killAtCall && this.afterEffect ? 'hang_after' : 'hang';
  }
}

/** Records and flushes bills on an instance that is killed; returns the confirmed request ids. */
async function runKilledOrigin(killSwitch: KillSwitch, copiesSucceed: boolean) {
  const { clock, memory, startJournal, run } = createBillingFixture();
  const holder = startJournal('b');
  const target = new MemoryCopier(copiesSucceed ? [holder] : []);
  const copier: BillCopier = {
    copy: async (bills: Bill[]) => {
      const fate = killSwitch.countCall();
      const copied = fate === 'hang' ? false : await target.copy(bills);
      return fate === 'normal' ? copied : new Promise(() => {});
    },
    release: (origin, incarnation, upTo) => {
      if (killSwitch.countCall() !== 'hang') target.release(origin, incarnation, upTo);
    },
  };
  const store = new FaultyStore(memory, { chooseOutcome: () => killSwitch.countCall() });
  // With the default timeout the killed instance would go on after a copy call.
  const a = startJournal('a', copier, { store, copyTimeoutMs: 1e9, flushIntervalMs: 1e9 });
  const answered: string[] = [];
  const record = async (id: string) => {
    const result = await a.record(createBill(id));
    if (result.isOk() && !killSwitch.killed) answered.push(id);
  };
  for (const ids of [['r1', 'r2'], ['r3'], ['r4', 'r5']]) {
    for (const id of ids) void record(id);
    await clock.advance(10);
    await runPending();
    await runPending();
    if (ids.length === 2) void a.flush();
    await runPending();
  }
  await run(holder.adoptLostOrigin('a', 1));
  return { answered, memory };
}

describe('BillingJournal, lost origin', () => {
  for (const copiesSucceed of [true, false]) {
    const way = copiesSucceed ? 'copied' : 'stored without a copy';
    it(`keeps each answered bill once when the origin is killed at any call (${way})`, async () => {
      let kills = 0;
      for (let call = 1; call < 100; call += 1) {
        const killSwitches = [new KillSwitch(call, false), new KillSwitch(call, true)];
        for (const killSwitch of killSwitches) {
          const { answered, memory } = await runKilledOrigin(killSwitch, copiesSucceed);
          const exported = await exportIds(memory);
          const text = `killed at call ${call}, exported ${exported.join()}`;
          assert.equal(new Set(exported).size, exported.length, text);
          for (const id of answered) assert.ok(exported.includes(id), `${id} is lost, ${text}`);
          if (killSwitch.killed) kills += 1;
        }
        if (!killSwitches[0]?.killed) break;
      }
      assert.ok(kills >= 10, `${kills} kills`);
    });
  }

  it('merges partial copies held by two instances', async () => {
    const { memory, startJournal, run } = createBillingFixture();
    const holders = [startJournal('b'), startJournal('c')];
    const copier = new MemoryCopier(holders, (call) => call % 2);
    const a = startJournal('a', copier, { flushIntervalMs: 1e9 });
    const bills: Bill[] = [];
    for (const id of ['r1', 'r2', 'r3', 'r4']) {
      bills.push((await run(a.record(createBill(id))))._unsafeUnwrap());
    }
    // Both hold bill 1, so both name their segment after it.
    for (const holder of holders) holder.holdCopies(bills.slice(0, 1));
    await run(Promise.all(holders.map((holder) => holder.adoptLostOrigin('a', 1))));
    assert.deepEqual(await exportIds(memory), ['r1', 'r2', 'r3', 'r4']);
    const stored = (await memory.list('bill'))._unsafeUnwrap().objects;
    const total = stored.flatMap((object) => (object.value as { bills: Bill[] }).bills).length;
    assert.equal(total, 4, 'the second holder writes only the missing bills');
  });

  it('keeps each bill once when a paused origin resumes after its copies were adopted', async () => {
    const { memory, startJournal, run } = createBillingFixture();
    const holder = startJournal('b');
    const copier = new MemoryCopier([holder]);
    const a = startJournal('a', copier, { flushIntervalMs: 1e9 });
    await run(a.record(createBill('r1')));
    await run(a.record(createBill('r2')));
    await run(holder.adoptLostOrigin('a', 1));
    await run(a.record(createBill('r3')));
    assert.ok((await run(a.flush())).isOk());
    assert.deepEqual(await exportIds(memory), ['r1', 'r2', 'r3']);
    const names = (await memory.list('bill'))._unsafeUnwrap().objects.map((object) => object.name);
    assert.deepEqual(names, ['a.1.1', 'a.1.3.a.1.1']);
    assert.equal(holder.getSizes().held, 0);
  });

  it('stores all copies that a holder has when it stops', async () => {
    const { memory, startJournal, run } = createBillingFixture();
    const lifecycle = new LifecycleManager();
    const holder = startJournal('b', undefined, { lifecycle });
    const a = startJournal('a', new MemoryCopier([holder]), { flushIntervalMs: 1e9 });
    await run(a.record(createBill('r1')));
    // The origin is killed here and has started again before anybody missed it.
    await run(lifecycle.close());
    assert.deepEqual(await exportIds(memory), ['r1']);
  });

  it('stores the copies of a run whose origin has started again', async () => {
    const { clock, memory, startJournal, run } = createBillingFixture();
    const holder = startJournal('b');
    const copier = new MemoryCopier([holder]);
    await run(startJournal('a', copier, { flushIntervalMs: 1e9 }).record(createBill('r1')));
    const next = startJournal('a', copier, { flushIntervalMs: 1e9, incarnation: 2 });
    await run(next.record(createBill('r2')));
    await clock.advance(2000);
    await runPending();
    assert.deepEqual(await exportIds(memory), ['r1']);
  });

  it('stores copies that arrive after their origin was reported lost', async () => {
    const { clock, memory, startJournal, run } = createBillingFixture();
    const holder = startJournal('b');
    await run(holder.adoptLostOrigin('a', 1));
    holder.holdCopies([{ ...createBill('r1'), origin: 'a', incarnation: 1, sequence: 1 }]);
    await clock.advance(2000);
    await runPending();
    assert.deepEqual(await exportIds(memory), ['r1']);
  });

  it('retries an adoption that failed during an outage', async () => {
    const { clock, memory, startJournal, run } = createBillingFixture();
    const holder = startJournal('b');
    const a = startJournal('a', new MemoryCopier([holder]), { store: new MemoryObjectStore() });
    await run(a.record(createBill('r1')));
    memory.fault = 'unavailable';
    await run(holder.adoptLostOrigin('a', 1));
    assert.equal(holder.getSizes().held, 1);
    memory.fault = 'none';
    await clock.advance(2000);
    await runPending();
    assert.deepEqual(await exportIds(memory), ['r1']);
    assert.equal(holder.getSizes().held, 0);
  });

  it('does not store the copies of a later incarnation of the origin', async () => {
    const { memory, startJournal, run } = createBillingFixture();
    const holder = startJournal('b');
    holder.holdCopies([{ ...createBill('r1'), origin: 'a', incarnation: 2, sequence: 1 }]);
    await run(holder.adoptLostOrigin('a', 1));
    assert.deepEqual(await exportIds(memory), []);
    assert.equal(holder.getSizes().held, 1);
  });

  // An instance that refutes a false loss raises its incarnation; its bills keep the earlier one.
  it('stores copies with an earlier incarnation than the one reported lost', async () => {
    const { memory, startJournal, run } = createBillingFixture();
    const holder = startJournal('b');
    holder.holdCopies([{ ...createBill('r1'), origin: 'a', incarnation: 1, sequence: 1 }]);
    await run(holder.adoptLostOrigin('a', 2));
    assert.deepEqual(await exportIds(memory), ['r1']);
  });

  it('stores copies that are neither released nor adopted in time, as after the loss of a zone', async () => {
    const { clock, memory, startJournal } = createBillingFixture();
    const holder = startJournal('b', new MemoryCopier([]), { maxHoldMs: 10_000 });
    holder.holdCopies([{ ...createBill('r1'), origin: 'a', incarnation: 1, sequence: 1 }]);
    await clock.advance(9000);
    assert.deepEqual(await exportIds(memory), []);
    await clock.advance(4000);
    await runPending();
    assert.deepEqual(await exportIds(memory), ['r1']);
    assert.equal(holder.getSizes().held, 0);
  });
});
