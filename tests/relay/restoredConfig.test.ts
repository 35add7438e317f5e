import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { StoreEra } from '@cactusstair/relay';
import { RestoredConfig } from '@cactusstair/relay';
import { ManualClock } from '@cactusstair/utils';

import { createConfig } from './support/relayFixture.js';

describe('RestoredConfig', () => {
  function createRestored(era: StoreEra | 'none' = [2, null]) {
    const clock = new ManualClock(100_000);
    const state = { hasHeardAll: false, version: undefined as number | undefined };
    const restored = new RestoredConfig({
      clock,
      getVersion: () => state.version,
      getStoreEra: () => (era === 'none' ? undefined : era),
      hasHeardAll: () => state.hasHeardAll,
      apply: ({ version }) => {
        state.version = version;
      },
    });
    const abort = new AbortController();
    void restored.run(abort.signal);
    const offer = (version: number) => restored.offer(createConfig(version, []));
    return { clock, restored, state, offer };
  }

  // A key that version 7 had withdrawn came back with a restart.
  it('does not apply an older version at a start while a peer has a newer one', async () => {
    const { clock, restored, state, offer } = createRestored();
    offer(6);
    restored.recordPeer('peer', 7, [2, 3000]);
    for (let passed = 0; passed < 5000; passed += 500) {
      await clock.advance(500);
      restored.recordPeer('peer', 7, [2, 3000 + passed]);
    }
    assert.equal(state.version, undefined);
    offer(7);
    assert.equal(state.version, 7);
    assert.equal(restored.getBehindMs(), 0);
  });

  it('waits at a start for the first peer, for a bounded time', async () => {
    const { clock, state, offer } = createRestored();
    offer(6);
    await clock.advance(900);
    assert.equal(state.version, undefined);
    await clock.advance(200);
    assert.equal(state.version, 6);
  });

  it('does not wait when there is no other instance, or the store names no era', async () => {
    const alone = createRestored();
    alone.state.hasHeardAll = true;
    alone.offer(6);
    assert.equal(alone.state.version, 6);
    const before = createRestored('none');
    before.offer(6);
    assert.equal(before.state.version, 6);
  });

  it('applies what the store has when the restore is long past or the peer is lost', async () => {
    const past = createRestored();
    past.restored.recordPeer('peer', 7, [2, 61_000]);
    past.offer(6);
    assert.equal(past.state.version, 6);
    const lost = createRestored();
    lost.restored.recordPeer('peer', 7, [2, 3000]);
    lost.offer(6);
    await lost.clock.advance(3100);
    assert.equal(lost.state.version, 6);
  });

  it('does not let an instance that missed the newer version confirm the older one', async () => {
    const { clock, restored, state, offer } = createRestored([2, 0]);
    state.version = 6;
    await clock.advance(10_000);
    restored.recordPeer('peer', 7, [2, 0]);
    await clock.advance(1000);
    assert.equal(restored.getBehindMs(), 1000);
    offer(7);
    assert.equal(restored.getBehindMs(), 0);
  });

  it('treats a version as unconfirmed that was applied at a start before a peer was heard', () => {
    const { restored, state, offer } = createRestored();
    state.hasHeardAll = true;
    offer(6);
    restored.recordPeer('peer', 7, [2, 3000]);
    assert.equal(restored.getBehindMs(), Infinity);
  });
});
