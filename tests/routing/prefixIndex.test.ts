import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { CacheEvent } from '@cactusstair/routing';
import { PrefixIndex } from '@cactusstair/routing';
import { createRandom, ManualClock } from '@cactusstair/utils';

function stored(sequence: number, prefixHash: string): CacheEvent {
  return { sequence, type: 'stored', prefixHash };
}

function evicted(sequence: number, prefixHash: string): CacheEvent {
  return { sequence, type: 'evicted', prefixHash };
}

describe('PrefixIndex', () => {
  it('finds the longest prefix of each holder', () => {
    const index = new PrefixIndex({ clock: new ManualClock() });
    index.applyEvents('a', [stored(1, 'h1'), stored(2, 'h2'), stored(3, 'h3')]);
    index.applyEvents('b', [stored(1, 'h1')]);
    assert.deepEqual(
      [...index.find(['h1', 'h2', 'h3', 'h4'])],
      [
        ['a', 3],
        ['b', 1],
      ],
    );
  });

  describe('with faulty event streams', () => {
    it('ignores repeated events and does not let a late "stored" undo an eviction', () => {
      const index = new PrefixIndex({ clock: new ManualClock() });
      index.applyEvents('a', [stored(1, 'h1'), evicted(2, 'h1')]);
      index.applyEvents('a', [stored(1, 'h1')]);
      assert.equal(index.find(['h1']).size, 0);
    });

    it('applies a late eviction that arrives after newer events', () => {
      const index = new PrefixIndex({ clock: new ManualClock() });
      index.applyEvents('a', [stored(1, 'h1'), stored(3, 'h2')]);
      index.applyEvents('a', [evicted(2, 'h1')]);
      assert.deepEqual([...index.find(['h1'])], []);
      assert.deepEqual([...index.find(['h2'])], [['a', 1]]);
    });

    it('reaches the same state for any order of the events', () => {
      const events: CacheEvent[] = [];
      const random = createRandom(11);
      for (let sequence = 1; sequence <= 200; sequence += 1) {
        const prefixHash = `h${random.nextInt(20)}`;
        events.push({ sequence, type: random.next() < 0.5 ? 'stored' : 'evicted', prefixHash });
      }
      const inOrder = new PrefixIndex({ clock: new ManualClock() });
      inOrder.applyEvents('a', events);
      const shuffled = new PrefixIndex({ clock: new ManualClock() });
      const mixed = events
        .flatMap((event) => (random.next() < 0.2 ? [event, event] : [event]))
        .map((event) => ({ event, order: event.sequence + random.nextInt(30) }))
        .sort((a, b) => a.order - b.order);
      for (const { event } of mixed) shuffled.applyEvents('a', [event]);
      for (let hash = 0; hash < 20; hash += 1) {
        const prefixHashes = [`h${hash}`];
        assert.deepEqual(shuffled.find(prefixHashes), inOrder.find(prefixHashes), `h${hash}`);
      }
    });

    it('expires old entries sooner after an event gap, which may hide evictions', async () => {
      const clock = new ManualClock();
      const index = new PrefixIndex({ clock, confirmedTtlMs: 300_000, assumedTtlMs: 60_000 });
      index.applyEvents('a', [stored(1, 'old')]);
      await clock.advance(1000);
      index.applyEvents('a', [stored(9, 'new')]);
      await clock.advance(61_000);
      assert.equal(index.find(['old']).size, 0);
      assert.equal(index.find(['new']).size, 1);
    });

    it('drops entries older than a "cleared" event and ignores late repeats of their events', () => {
      const index = new PrefixIndex({ clock: new ManualClock() });
      index.applyEvents('a', [stored(1, 'h1'), { sequence: 2, type: 'cleared' }, stored(3, 'h2')]);
      index.applyEvents('a', [stored(1, 'h1')]);
      assert.equal(index.find(['h1']).size, 0);
      assert.equal(index.find(['h2']).size, 1);
    });

    it('accepts low sequence numbers after removeUpstream, as after an engine restart', () => {
      const index = new PrefixIndex({ clock: new ManualClock() });
      index.applyEvents('a', [stored(500, 'h1')]);
      index.removeUpstream('a');
      assert.equal(index.size, 0);
      index.applyEvents('a', [stored(1, 'h2')]);
      assert.equal(index.getLastSequence('a'), 1);
      assert.equal(index.find(['h2']).size, 1);
    });
  });

  it('expires sent prefixes that no event confirms', async () => {
    const clock = new ManualClock();
    const index = new PrefixIndex({ clock, assumedTtlMs: 60_000 });
    index.recordSent('a', ['h1']);
    assert.equal(index.find(['h1']).size, 1);
    await clock.advance(60_001);
    assert.equal(index.find(['h1']).size, 0);
    assert.equal(index.size, 0);
  });

  describe('memory bounds', () => {
    it('limits entries per upstream and in total when new prefixes keep arriving', () => {
      const index = new PrefixIndex({
        clock: new ManualClock(),
        maxPrefixesPerUpstream: 50,
        maxEntries: 300,
      });
      for (let round = 0; round < 5000; round += 1) {
        index.applyEvents(`u${round % 10}`, [stored(round + 1, `event${round}`)]);
        index.recordSent(`u${round % 10}`, [`sent${round}`]);
        assert.ok(index.size <= 300, `${index.size} entries`);
      }
      assert.equal(index.find(['sent4999']).size, 1);
    });

    it('limits holders per prefix, so that a common system prompt stays cheap to look up', () => {
      const index = new PrefixIndex({ clock: new ManualClock(), maxHoldersPerPrefix: 32 });
      for (let upstream = 0; upstream < 1000; upstream += 1) {
        index.recordSent(`u${upstream}`, ['common']);
      }
      assert.equal(index.find(['common']).size, 32);
    });
  });
});
