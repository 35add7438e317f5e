import assert from 'node:assert/strict';

import type { Claim, ClaimJournalOptions } from '@cactusstair/coordination';
import { ClaimJournal, MemoryObjectStore } from '@cactusstair/coordination';
import { createRandom, LifecycleManager, ManualClock } from '@cactusstair/utils';

import { runUntil } from './runUntil.js';

export const answer = { status: 201, contentType: 'text/plain', body: Buffer.from('stored') };

/** The fields of a shard object that the tests read. */
export interface StoredShard {
  entries: Record<string, { owner: string; state: string; answer?: unknown }>;
}

/** Creates a store with a clock, and helpers that start journals on it and run their calls. */
export function createClaimFixture() {
  const clock = new ManualClock(1_000_000);
  const memory = new MemoryObjectStore();
  let seed = 1;
  const startJournal = (owner: string, options: Partial<ClaimJournalOptions> = {}) => {
    seed += 1;
    return new ClaimJournal({
      store: memory,
      clock,
      random: createRandom(seed),
      lifecycle: new LifecycleManager(),
      owner,
      getIncarnation: () => 1,
      shards: 1,
      ...options,
    });
  };
  const listEntries = async () => {
    const shard = await memory.get('claims', '0');
    if (shard.isErr()) return [];
    return Object.values((shard.value.value as StoredShard).entries);
  };
  const run = <T>(promise: Promise<T>) => runUntil(clock, promise);
  const claim = async (journal: ClaimJournal, key: string, digest = 'd1') =>
    (await run(journal.claim('club', key, digest)))._unsafeUnwrap();
  const grant = async (journal: ClaimJournal, key: string): Promise<Claim> => {
    const decision = await claim(journal, key);
    assert.equal(decision.type, 'granted');
    return decision.claim;
  };
  return { clock, memory, startJournal, listEntries, run, claim, grant };
}
