import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { PeerRecord } from '@cactusstair/relay';
import { findPeers, InstanceRoster } from '@cactusstair/relay';
import { ManualClock, waitFor } from '@cactusstair/utils';

import { MemorySource } from './support/memorySource.js';

describe('InstanceRoster', () => {
  function create(names: string[]) {
    const clock = new ManualClock(1000);
    const roster = new InstanceRoster(clock, 'self', { listKnownNames: () => names });
    return { clock, roster };
  }

  it('introduces an instance only when the others have had time to hear of it', async () => {
    const { clock, roster } = create([]);
    await clock.advance(60_000);
    assert.equal(roster.describe().isIntroduced, false);
    roster.recordListed();
    await clock.advance(2999);
    assert.equal(roster.describe().isIntroduced, false);
    await clock.advance(1);
    roster.recordListed();
    assert.equal(roster.describe().isIntroduced, true);
  });

  // An instance that is cut off hears of nobody, and would take the whole bound for itself.
  it('never counts fewer instances than it has known', () => {
    const names = ['a', 'b'];
    const { roster } = create(names);
    roster.recordCount(9);
    roster.recordCount(1);
    assert.equal(roster.describe().count, 9);
    names.push(...Array.from({ length: 20 }, (_, index) => `other-${index}`));
    assert.equal(roster.describe().count, 23);
  });
});

describe('findPeers', () => {
  function start(shouldListAgain?: () => boolean) {
    const clock = new ManualClock();
    const source = new MemorySource<PeerRecord>();
    const found: string[] = [];
    const stop = new AbortController();
    const self = { host: '127.0.0.1', port: 1, name: 'self', zone: 'zone-1', capacity: 1 };
    source.put('other', { ...self, name: 'other' });
    const done = findPeers(
      {
        clock,
        self,
        announce: () => Promise.resolve('written'),
        source,
        onPeer: ({ name }) => found.push(name),
        ...(shouldListAgain ? { shouldListAgain } : {}),
      },
      stop.signal,
    );
    const end = () => {
      stop.abort();
      return done;
    };
    return { clock, source, found, end };
  }

  // A deployment without warm-ups must make no further call to the store.
  it('lists the instances once while all names are known', async () => {
    const { clock, source, found, end } = start(() => false);
    await waitFor(() => found.length > 0, { what: 'the list', timeoutMs: 1000 });
    for (let step = 0; step < 60; step += 1) await clock.advance(10_000);
    assert.equal(source.calls, 1);
    await end();
  });

  it('lists them again at growing intervals while some names are not known', async () => {
    const { clock, source, found, end } = start(() => true);
    await waitFor(() => found.length > 0, { what: 'the list', timeoutMs: 1000 });
    for (let second = 0; second < 600; second += 1) await clock.advance(1000);
    assert.ok(source.calls >= 5, `${source.calls} calls`);
    assert.ok(source.calls <= 25, `${source.calls} calls`);
    await end();
  });
});
