import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { BillCopier, BillingJournal } from '@cactusstair/coordination';
import { createRandom } from '@cactusstair/utils';
import fc from 'fast-check';

import { createBill, createBillingFixture, exportIds } from './billingFixture.js';
import type { CallOutcome } from './faultyStore.js';
import { FaultyStore } from './faultyStore.js';
import { runPending } from './runUntil.js';

const INSTANCES = 4;
const REQUESTS = 30;

type Step =
  | { type: 'record'; instance: number; request: number }
  | { type: 'flush'; instance: number }
  | { type: 'adopt'; holder: number; origin: number }
  | { type: 'kill'; instance: number }
  | { type: 'advance'; durationMs: number }
  | { type: 'deliver_late' }
  | { type: 'faults'; rate: number };

const instance = fc.nat(INSTANCES - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constant('record' as const),
      instance,
      request: fc.nat(REQUESTS - 1),
    }),
  },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('flush' as const), instance }) },
  // An origin can be adopted while it runs: it was paused or its heartbeats were lost.
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('adopt' as const),
      holder: instance,
      origin: instance,
    }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('kill' as const), instance }) },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant('advance' as const),
      durationMs: fc.integer({ min: 1, max: 1500 }),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ type: 'deliver_late' as const }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('faults' as const), rate: fc.nat(6) }) },
);

const badFates: CallOutcome[] = ['unavailable', 'lost_answer', 'lost_request', 'late'];

async function runSteps(steps: readonly Step[], seed: number) {
  const { clock, memory, startJournal, run } = createBillingFixture();
  const random = createRandom(seed);
  const recorded = new Set<string>();
  const answered = new Set<string>();
  let faultRate = 0;
  let killed = -1;
  const journals: BillingJournal[] = [];
  const stores = Array.from(
    { length: INSTANCES },
    (_, index) =>
      new FaultyStore(memory, {
        delay: () => clock.sleep(random.nextInt(30)),
        chooseOutcome: () => {
          if (index === killed) return 'hang';
          if (random.nextInt(10) >= faultRate) return 'normal';
          return badFates[random.nextInt(badFates.length)] ?? 'normal';
        },
      }),
  );
  const createCopier = (origin: number): BillCopier => ({
    copy: async (bills) => {
      await clock.sleep(random.nextInt(30));
      const holder = (origin + 1 + random.nextInt(INSTANCES - 1)) % INSTANCES;
      if (origin === killed) return new Promise(() => {});
      if (holder === killed || random.nextInt(10) < faultRate) return false;
      const held = journals[holder]?.holdCopies(bills) ?? false;
      // The answer of a copy can be lost as well.
      return held && random.nextInt(10) >= faultRate;
    },
    release: (id, incarnation, upTo) => {
      if (origin === killed) return;
      for (const [index, journal] of journals.entries()) {
        if (index !== killed && random.nextInt(10) >= faultRate) {
          journal.releaseCopies(id, incarnation, upTo);
        }
      }
    },
  });
  stores.forEach((store, index) => {
    journals.push(startJournal(`i${index}`, createCopier(index), { store, maxSegmentBytes: 700 }));
  });

  const record = async (entry: Step & { type: 'record' }) => {
    const id = `r${entry.request}`;
    recorded.add(id);
    const result = await journals[entry.instance]?.record(createBill(id));
    if (result?.isOk() && entry.instance !== killed) answered.add(id);
  };
  for (const entry of steps) {
    if (entry.type === 'record' && entry.instance !== killed) void record(entry);
    if (entry.type === 'flush') void journals[entry.instance]?.flush();
    if (entry.type === 'adopt' && entry.holder !== entry.origin) {
      void journals[entry.holder]?.adoptLostOrigin(`i${entry.origin}`, 1);
    }
    // Two losses within one flush interval can lose a bill by design, so only one is injected.
    if (entry.type === 'kill' && killed < 0) killed = entry.instance;
    if (entry.type === 'advance') await clock.advance(entry.durationMs);
    if (entry.type === 'deliver_late') await stores[random.nextInt(INSTANCES)]?.deliverLateWrites();
    if (entry.type === 'faults') faultRate = entry.rate;
    await runPending();
  }
  faultRate = 0;
  for (const [index, journal] of journals.entries()) {
    if (index === killed) continue;
    if (killed >= 0) await run(journal.adoptLostOrigin(`i${killed}`, 1));
    await run(journal.flush());
  }
  for (const store of stores) await store.deliverLateWrites();
  return { recorded, answered, exported: await exportIds(memory) };
}

describe('BillingJournal, random interleavings', () => {
  it('exports each answered bill once despite lost calls, adoptions and a killed instance', async () => {
    let total = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { maxLength: 50, size: 'max' }),
        fc.nat(1_000_000),
        async (steps, seed) => {
          const { recorded, answered, exported } = await runSteps(steps, seed);
          assert.equal(new Set(exported).size, exported.length, `duplicates: ${exported.join()}`);
          for (const id of answered) assert.ok(exported.includes(id), `${id} is lost`);
          for (const id of exported) assert.ok(recorded.has(id), `${id} was never recorded`);
          total += answered.size;
        },
      ),
      { seed: 20_261_204, numRuns: 300 },
    );
    // A journal that never confirms a bill must not pass.
    assert.ok(total > 1000, `${total} bills`);
  });
});
