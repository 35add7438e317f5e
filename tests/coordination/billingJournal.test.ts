import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { BillCopier } from '@cactusstair/coordination';
import { exportBills } from '@cactusstair/coordination';
import { LifecycleManager } from '@cactusstair/utils';

import { createBill, createBillingFixture, exportIds, MemoryCopier } from './billingFixture.js';
import { FaultyStore } from './faultyStore.js';
import { runPending } from './runUntil.js';

describe('BillingJournal', () => {
  describe('record', () => {
    it('shares one copy call between bills that are recorded at the same time', async () => {
      const { startJournal, run, memory } = createBillingFixture();
      const copier = new MemoryCopier([startJournal('b')]);
      const a = startJournal('a', copier);
      const bills = Array.from({ length: 200 }, (_, index) => a.record(createBill(`r${index}`)));
      const results = await run(Promise.all(bills));
      assert.ok(results.every((result) => result.isOk()));
      assert.equal(copier.copyCalls.length, 1);
      assert.equal(memory.calls.write, 0);
    });

    it('numbers the bills of an origin from 1 without gaps', async () => {
      const { startJournal, run } = createBillingFixture();
      const a = startJournal('a', new MemoryCopier([startJournal('b')]));
      const first = await run(a.record(createBill('r1')));
      const second = await run(a.record(createBill('r2')));
      assert.equal(first._unsafeUnwrap().sequence, 1);
      assert.equal(second._unsafeUnwrap().sequence, 2);
    });

    it('bills a repeated request id once', async () => {
      const { memory, startJournal, run } = createBillingFixture();
      const a = startJournal('a', new MemoryCopier([startJournal('b')]));
      await run(Promise.all([a.record(createBill('r1')), a.record(createBill('r1'))]));
      const repeat = await run(a.record(createBill('r1')));
      assert.equal(repeat._unsafeUnwrap().sequence, 1);
      await run(a.flush());
      await run(a.record(createBill('r1')));
      await run(a.flush());
      assert.deepEqual(await exportIds(memory), ['r1']);
    });

    it('stores the bill before confirming it when there is no holder', async () => {
      const { memory, startJournal, run } = createBillingFixture();
      const a = startJournal('a');
      assert.ok((await run(a.record(createBill('r1')))).isOk());
      assert.deepEqual(await exportIds(memory), ['r1']);
    });

    for (const [name, copy] of [
      ['never answers', () => new Promise<boolean>(() => {})],
      ['fails', () => Promise.reject(new Error('connection reset'))],
    ] as const) {
      it(`stores the bill before confirming it when the copy call ${name}`, async () => {
        const { memory, startJournal, run } = createBillingFixture();
        const copier: BillCopier = { copy, release: () => {} };
        const a = startJournal('a', copier, { flushIntervalMs: 1e9 });
        assert.ok((await run(a.record(createBill('r1')))).isOk());
        assert.deepEqual(await exportIds(memory), ['r1']);
      });
    }

    it('reports a bill that is neither copied nor stored, and stores it after the outage', async () => {
      const { clock, memory, startJournal, run } = createBillingFixture();
      memory.fault = 'unavailable';
      const a = startJournal('a');
      const result = await run(a.record(createBill('r1')));
      assert.equal(result._unsafeUnwrapErr().name, 'billing_unavailable');
      memory.fault = 'none';
      await clock.advance(2000);
      await runPending();
      assert.deepEqual(await exportIds(memory), ['r1']);
    });
  });

  describe('full buffer', () => {
    it('refuses new work before it refuses bills, and recovers after the outage', async () => {
      const { memory, startJournal, run } = createBillingFixture();
      const copier = new MemoryCopier([startJournal('b')]);
      const a = startJournal('a', copier, { maxBufferedBills: 8 });
      memory.fault = 'unavailable';
      for (let index = 0; index < 6; index += 1) await run(a.record(createBill(`r${index}`)));
      assert.equal(a.hasRoom(), false);
      for (let index = 6; index < 8; index += 1) {
        assert.ok((await run(a.record(createBill(`r${index}`)))).isOk());
      }
      const refused = await run(a.record(createBill('r8')));
      assert.equal(refused._unsafeUnwrapErr().name, 'billing_unavailable');
      memory.fault = 'none';
      assert.ok((await run(a.flush())).isOk());
      assert.equal(a.hasRoom(), true);
      assert.equal((await exportIds(memory)).length, 8);
    });

    it('bounds its memory while the store hangs and copies fail', async () => {
      const { memory, startJournal, clock } = createBillingFixture();
      const store = new FaultyStore(memory, { chooseOutcome: () => 'hang' });
      const a = startJournal('a', new MemoryCopier([]), { store, maxBufferedBills: 100 });
      const refused: string[] = [];
      const record = async (id: string) => {
        if ((await a.record(createBill(id))).isErr()) refused.push(id);
      };
      for (let index = 0; index < 1000; index += 1) {
        void record(`r${index}`);
        if (index % 100 === 0) await clock.advance(1000);
      }
      await runPending();
      assert.equal(a.getSizes().buffered, 100);
      assert.equal(refused.length, 900);
      assert.equal(store.calls.create, 1);
    });

    it('refuses all copies of a call when they do not all fit', async () => {
      const { memory, startJournal, run } = createBillingFixture();
      const holder = startJournal('b', new MemoryCopier([]), { maxHeldBills: 3 });
      const copier = new MemoryCopier([holder]);
      const a = startJournal('a', copier);
      await run(Promise.all(['r1', 'r2'].map((id) => a.record(createBill(id)))));
      memory.fault = 'unavailable';
      const results = await run(Promise.all(['r3', 'r4'].map((id) => a.record(createBill(id)))));
      assert.ok(results.every((result) => result.isErr()));
      assert.equal(holder.getSizes().held, 2);
    });
  });

  describe('release of copies', () => {
    it('drops copies of stored bills, also when they arrive after their release', async () => {
      const { startJournal, run } = createBillingFixture();
      const holder = startJournal('b');
      const copier = new MemoryCopier([holder]);
      const a = startJournal('a', copier);
      await run(a.record(createBill('r1')));
      await run(a.record(createBill('r2')));
      assert.equal(holder.getSizes().held, 2);
      await run(a.flush());
      assert.equal(holder.getSizes().held, 0);
      assert.ok(holder.holdCopies(copier.copyCalls[0] ?? []));
      assert.equal(holder.getSizes().held, 0);
    });

    it('repeats a release that was lost in transit', async () => {
      const { clock, startJournal, run } = createBillingFixture();
      const holder = startJournal('b');
      const copier = new MemoryCopier([holder]);
      const a = startJournal('a', copier);
      await run(a.record(createBill('r1')));
      copier.releasesArrive = false;
      await run(a.flush());
      copier.releasesArrive = true;
      await clock.advance(2000);
      await runPending();
      assert.equal(holder.getSizes().held, 0);
    });

    it('does not release bills that are not stored', async () => {
      const { memory, startJournal, run } = createBillingFixture();
      const holder = startJournal('b');
      const a = startJournal('a', new MemoryCopier([holder]));
      memory.fault = 'unavailable';
      await run(a.record(createBill('r1')));
      await run(a.flush());
      assert.equal(holder.getSizes().held, 1);
    });
  });

  describe('flush', () => {
    it('stores a bill once when two flushes run at the same time', async () => {
      const { clock, memory, startJournal, run } = createBillingFixture();
      const store = new FaultyStore(memory, { delay: () => clock.sleep(5) });
      const a = startJournal('a', new MemoryCopier([startJournal('b')]), { store });
      await run(a.record(createBill('r1')));
      await run(Promise.all([a.flush(), a.flush(), a.flush()]));
      assert.deepEqual(await exportIds(memory), ['r1']);
      assert.equal(memory.calls.write, 1);
    });

    for (const fate of ['lost_answer', 'lost_request', 'late'] as const) {
      it(`stores a bill once after a failed write (${fate})`, async () => {
        const { memory, startJournal, run } = createBillingFixture();
        let writes = 0;
        const store = new FaultyStore(memory, {
          chooseOutcome: (operation) => {
            if (operation !== 'create') return 'normal';
            writes += 1;
            return writes === 1 ? fate : 'normal';
          },
        });
        const a = startJournal('a', new MemoryCopier([]), { store });
        assert.ok((await run(a.record(createBill('r1')))).isOk());
        await run(a.record(createBill('r2')));
        await store.deliverLateWrites();
        assert.deepEqual(await exportIds(memory), ['r1', 'r2']);
      });
    }

    it('stores bills that were added after a write whose answer was lost', async () => {
      const { memory, startJournal, run } = createBillingFixture();
      let down = false;
      const store = new FaultyStore(memory, {
        chooseOutcome: (operation) => {
          if (down) return 'unavailable';
          down = operation === 'create';
          return down ? 'lost_answer' : 'normal';
        },
      });
      const a = startJournal('a', new MemoryCopier([startJournal('b')]), { store });
      await run(a.record(createBill('r1')));
      assert.ok((await run(a.flush())).isErr());
      await run(a.record(createBill('r2')));
      store.options = {};
      assert.ok((await run(a.flush())).isOk());
      assert.deepEqual(await exportIds(memory), ['r1', 'r2']);
    });

    it('keeps each stored object below the segment size', async () => {
      const { memory, startJournal, run } = createBillingFixture();
      const options = { maxSegmentBytes: 2000 };
      const a = startJournal('a', new MemoryCopier([startJournal('b')]), options);
      const bills = Array.from({ length: 40 }, (_, index) => a.record(createBill(`r${index}`)));
      await run(Promise.all(bills));
      await run(a.flush());
      const objects = (await memory.list('bill'))._unsafeUnwrap().objects;
      assert.ok(objects.length > 1);
      for (const { value } of objects) assert.ok(JSON.stringify(value).length <= 2000);
      assert.equal((await exportIds(memory)).length, 40);
    });

    it('stores the buffered bills when the instance stops', async () => {
      const { memory, startJournal, run } = createBillingFixture();
      const lifecycle = new LifecycleManager();
      const a = startJournal('a', new MemoryCopier([startJournal('b')]), { lifecycle });
      await run(a.record(createBill('r1')));
      await lifecycle.close();
      assert.deepEqual(await exportIds(memory), ['r1']);
    });
  });
});

describe('exportBills', () => {
  it('returns every field of a recorded bill', async () => {
    const { memory, startJournal, run } = createBillingFixture();
    const a = startJournal('a', new MemoryCopier([startJournal('b')]));
    const step = { model: 'm', version: '2', promptTokens: 1, completionTokens: 2, costMicros: 3 };
    const bill = { ...createBill('r1'), steps: [step, step] };
    await run(a.record(bill));
    await run(a.flush());
    const exported = [];
    for await (const entry of exportBills(memory)) exported.push(entry);
    assert.deepEqual(exported, [{ ...bill, origin: 'a', incarnation: 1, sequence: 1 }]);
  });

  it('returns the bill that was stored first when two instances billed one request id', async () => {
    const { memory, startJournal, run } = createBillingFixture();
    // The object names sort in the reverse order of the writes.
    const [z, a] = [startJournal('z'), startJournal('a')];
    await run(z.record({ ...createBill('r1'), costMicros: 1 }));
    await run(a.record({ ...createBill('r1'), costMicros: 2 }));
    const costs = [];
    for await (const bill of exportBills(memory)) costs.push(bill.costMicros);
    assert.deepEqual(costs, [1]);
  });

  it('returns only the bills of the given workspace', async () => {
    const { memory, startJournal, run } = createBillingFixture();
    const a = startJournal('a');
    await run(a.record(createBill('r1', 'club')));
    await run(a.record(createBill('r1', 'decals')));
    assert.deepEqual(await exportIds(memory, 'decals'), ['r1']);
    assert.deepEqual(await exportIds(memory), ['r1', 'r1']);
  });

  it('fails with the cause when the object API is down', async () => {
    const { memory } = createBillingFixture();
    memory.fault = 'unavailable';
    await assert.rejects(exportIds(memory), /cannot be listed: unavailable/);
  });
});
