import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { Claim } from '@cactusstair/coordination';
import { ClaimJournal, MemoryObjectStore } from '@cactusstair/coordination';
import { createRandom, LifecycleManager, ManualClock } from '@cactusstair/utils';
import fc from 'fast-check';

import { answer } from './claimFixture.js';
import type { CallOutcome } from './faultyStore.js';
import { FaultyStore } from './faultyStore.js';
import { runPending, runUntil } from './runUntil.js';

const INSTANCES = 3;
const KEYS = 3;

type Step =
  | { type: 'claim'; instance: number; key: number; outcome: 'run' | 'complete' | 'release' }
  | { type: 'restart'; instance: number }
  | { type: 'advance'; durationMs: number }
  | { type: 'deliver_late' }
  | { type: 'faults'; rate: number };

const instance = fc.nat(INSTANCES - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constant('claim' as const),
      instance,
      key: fc.nat(KEYS - 1),
      outcome: fc.constantFrom('run' as const, 'complete' as const, 'release' as const),
    }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), instance }) },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('advance' as const),
      durationMs: fc.integer({ min: 1, max: 400 }),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ type: 'deliver_late' as const }) },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('faults' as const), rate: fc.nat(6) }),
  },
);

const badFates: CallOutcome[] = ['unavailable', 'lost_answer', 'lost_request', 'late'];

/** Runs the steps and counts, for each key, the requests that were allowed to run. */
async function countRuns(steps: readonly Step[], seed: number): Promise<Map<number, number>> {
  const clock = new ManualClock(1_000_000);
  const random = createRandom(seed);
  const memory = new MemoryObjectStore();
  const runs = new Map<number, number>();
  let faultRate = 0;
  const store = new FaultyStore(memory, {
    delay: () => clock.sleep(random.nextInt(20)),
    chooseOutcome: () =>
      random.nextInt(10) < faultRate
        ? (badFates[random.nextInt(badFates.length)] ?? 'normal')
        : 'normal',
  });
  const incarnations = Array.from({ length: INSTANCES }, () => 0);
  const lifecycles: LifecycleManager[] = [];
  const start = (index: number) => {
    const incarnation = (incarnations[index] ?? 0) + 1;
    incarnations[index] = incarnation;
    const lifecycle = new LifecycleManager();
    lifecycles.push(lifecycle);
    return new ClaimJournal({
      store,
      clock,
      random: createRandom(seed + index),
      lifecycle,
      owner: `i${index}`,
      getIncarnation: () => incarnation,
      shards: 2,
      maxAttempts: 4,
    });
  };
  const journals = incarnations.map((_, index) => start(index));
  const work: Promise<unknown>[] = [];

  const request = async (entry: Step & { type: 'claim' }) => {
    const journal = journals[entry.instance];
    const result = await journal?.claim('club', `k${entry.key}`, 'd1');
    if (!journal || !result?.isOk() || result.value.type !== 'granted') return;
    const { claim }: { claim: Claim } = result.value;
    if (entry.outcome === 'release') {
      await journal.release(claim);
      return;
    }
    runs.set(entry.key, (runs.get(entry.key) ?? 0) + 1);
    if (entry.outcome === 'complete') await journal.complete(claim, answer);
  };

  for (const entry of steps) {
    if (entry.type === 'claim') work.push(request(entry));
    if (entry.type === 'restart') journals[entry.instance] = start(entry.instance);
    if (entry.type === 'advance') await clock.advance(entry.durationMs);
    if (entry.type === 'deliver_late') await store.deliverLateWrites();
    if (entry.type === 'faults') faultRate = entry.rate;
    await runPending();
  }
  faultRate = 0;
  await store.deliverLateWrites();
  await runUntil(clock, Promise.all(work), 50);
  await runUntil(clock, Promise.all(lifecycles.map((lifecycle) => lifecycle.close())), 50);
  return runs;
}

describe('ClaimJournal, random interleavings', () => {
  it('runs the request of a key at most once despite lost answers, late writes, outages and restarts', async () => {
    let totalRuns = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { maxLength: 40, size: 'max' }),
        fc.nat(1_000_000),
        async (steps, seed) => {
          const runs = await countRuns(steps, seed);
          for (const [key, count] of runs) {
            assert.ok(count <= 1, `key k${key} ran ${count} times`);
            totalRuns += count;
          }
        },
      ),
      { seed: 20_261_204, numRuns: 300 },
    );
    // A journal that grants nothing must not pass.
    assert.ok(totalRuns > 300, `${totalRuns} runs`);
  });
});
