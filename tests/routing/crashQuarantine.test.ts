import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { computeFingerprint, CrashQuarantine } from '@cactusstair/routing';
import { createRandom, ManualClock } from '@cactusstair/utils';

describe('CrashQuarantine', () => {
  describe('one crashing request among harmless ones', () => {
    it('quarantines the crashing request after three crashes and clears the others', async () => {
      const clock = new ManualClock();
      const quarantine = new CrashQuarantine({ clock });
      const neighbours = ['n1', 'n2', 'n3'];
      for (const fingerprint of [...neighbours, 'bad']) quarantine.recordStart('u1', fingerprint);
      quarantine.recordCrash('u1');
      for (const fingerprint of [...neighbours, 'bad']) {
        assert.equal(quarantine.classify(fingerprint), 'suspect');
      }
      for (const fingerprint of neighbours) quarantine.recordStart('u2', fingerprint)('completed');
      for (const fingerprint of neighbours) assert.equal(quarantine.classify(fingerprint), 'clear');
      for (const upstream of ['u3', 'u4']) {
        assert.equal(quarantine.classify('bad'), 'suspect');
        quarantine.recordStart(upstream, 'bad');
        quarantine.recordCrash(upstream);
      }
      assert.equal(quarantine.classify('bad'), 'quarantined');
    });

    it('quarantines the crashing request in random traffic and never a harmless one', async () => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const clock = new ManualClock();
        const quarantine = new CrashQuarantine({ clock });
        const random = createRandom(seed);
        let crashes = 0;
        for (
          let round = 0;
          round < 400 && quarantine.classify('bad') !== 'quarantined';
          round += 1
        ) {
          await clock.advance(2000);
          const names = Array.from(
            { length: 1 + random.nextInt(6) },
            () => `n${random.nextInt(40)}`,
          );
          if (random.next() < 0.3) names.push('bad');
          const suspects = names.filter((name) => quarantine.classify(name) === 'suspect');
          const clear = names.filter((name) => quarantine.classify(name) === 'clear');
          assert.equal(suspects.length + clear.length, names.length, `seed ${seed}`);
          const batches = [clear, ...suspects.map((name) => [name])];
          for (const [index, batch] of batches.entries()) {
            const ends = batch.map((name) => quarantine.recordStart(`u${index}`, name));
            if (batch.includes('bad')) {
              quarantine.recordCrash(`u${index}`);
              crashes += 1;
            }
            for (const end of ends) end('completed');
          }
        }
        assert.equal(quarantine.classify('bad'), 'quarantined', `seed ${seed}`);
        assert.ok(crashes <= 3, `seed ${seed}: ${crashes} crashes`);
      }
    });
  });

  describe('requests that have made progress', () => {
    const classifyAfterCrashes = async (tokens: number, crashes: number) => {
      const clock = new ManualClock();
      const quarantine = new CrashQuarantine({ clock });
      for (let crash = 0; crash < crashes; crash += 1) {
        quarantine.recordStart('u1', 'harmless', () => tokens);
        // Another instance sent the crashing request; the last report does not show it.
        quarantine.recordCrash('u1', 0);
        await clock.advance(2000);
      }
      return quarantine.classify('harmless');
    };

    // Guards against refusing a request that is being answered: an isolated suspect shared four
    // engines in a row with a crashing request of another instance and was refused with 3102.
    it('does not quarantine an isolated request that was in flight at four crashes', async () => {
      assert.equal(await classifyAfterCrashes(20, 4), 'suspect');
    });

    it('quarantines a request that crashes its upstreams after making progress', async () => {
      assert.equal(await classifyAfterCrashes(20, 10), 'quarantined');
    });

    it('ignores the blame from a peer for a request that made progress here', () => {
      const quarantine = new CrashQuarantine({ clock: new ManualClock() });
      quarantine.recordStart('u1', 'harmless', () => 20);
      quarantine.recordCrash('u1', 0);
      quarantine.importEntries([{ fingerprint: 'harmless', blame: 2, ttlMs: 60_000 }]);
      assert.equal(quarantine.classify('harmless'), 'suspect');
    });

    it('assigns the full blame to a run without progress', async () => {
      assert.equal(await classifyAfterCrashes(1, 2), 'quarantined');
    });
  });

  it('shares the blame with other instances, whose request may have caused the crash', async () => {
    const clock = new ManualClock();
    const quarantine = new CrashQuarantine({ clock });
    const crash = async (upstream: string, reportedInFlight: number) => {
      quarantine.recordStart(upstream, 'alone here');
      quarantine.recordCrash(upstream, reportedInFlight);
      await clock.advance(2000);
    };
    await crash('u1', 5);
    await crash('u2', 5);
    assert.equal(quarantine.classify('alone here'), 'suspect');
    await crash('u3', 5);
    await crash('u4', 5);
    assert.equal(quarantine.classify('alone here'), 'quarantined');
  });

  it('does not quarantine equal requests that are also running on other upstreams', async () => {
    const clock = new ManualClock();
    const quarantine = new CrashQuarantine({ clock });
    const upstreams = ['u1', 'u2', 'u3', 'u4'];
    for (const upstream of upstreams) {
      for (let copy = 0; copy < 3; copy += 1) quarantine.recordStart(upstream, 'common question');
    }
    for (const upstream of upstreams) {
      quarantine.recordStart(upstream, 'bad');
      quarantine.recordCrash(upstream);
      await clock.advance(2000);
    }
    assert.equal(quarantine.classify('bad'), 'quarantined');
    assert.equal(quarantine.classify('common question'), 'suspect');
  });

  it('counts one crash once although each call in flight reports it', () => {
    const quarantine = new CrashQuarantine({ clock: new ManualClock() });
    quarantine.recordStart('u1', 'a');
    quarantine.recordStart('u1', 'b');
    quarantine.recordCrash('u1');
    // A request that starts between two reports of the same crash is not blamed for it.
    quarantine.recordStart('u1', 'later');
    quarantine.recordCrash('u1');
    assert.equal(quarantine.classify('later'), 'clear');
    assert.deepEqual(
      quarantine.exportEntries().map(({ fingerprint, blame }) => [fingerprint, blame]),
      [
        ['a', 0.5],
        ['b', 0.5],
      ],
    );
  });

  it('does not clear a suspect whose call was abandoned, which a caller can do on purpose', () => {
    const quarantine = new CrashQuarantine({ clock: new ManualClock() });
    const end = quarantine.recordStart('u1', 'a');
    quarantine.recordCrash('u1');
    end('completed');
    assert.equal(quarantine.classify('a'), 'suspect', 'the crashed run does not clear it');
    quarantine.recordStart('u2', 'a')('abandoned');
    assert.equal(quarantine.classify('a'), 'suspect');
  });

  it('lists the upstreams that run a suspect until it ends', () => {
    const quarantine = new CrashQuarantine({ clock: new ManualClock() });
    quarantine.recordStart('u1', 'a');
    quarantine.recordCrash('u1');
    const end = quarantine.recordStart('u2', 'a');
    quarantine.recordStart('u3', 'b');
    assert.deepEqual([...quarantine.getSuspectUpstreams()], ['u2']);
    end();
    assert.deepEqual([...quarantine.getSuspectUpstreams()], []);
  });

  describe('entries of peers', () => {
    it('quarantines a request that another instance has quarantined', () => {
      const clock = new ManualClock();
      const [first, second] = [new CrashQuarantine({ clock }), new CrashQuarantine({ clock })];
      for (const upstream of ['u1', 'u2']) {
        first.recordStart(upstream, 'bad');
        first.recordCrash(upstream);
      }
      second.importEntries(first.exportEntries());
      assert.equal(second.classify('bad'), 'quarantined');
    });

    it('adds local crashes to imported blame, since a caller may retry at any instance', () => {
      const clock = new ManualClock();
      const [first, second] = [new CrashQuarantine({ clock }), new CrashQuarantine({ clock })];
      first.recordStart('u1', 'bad');
      first.recordCrash('u1');
      second.importEntries(first.exportEntries());
      second.recordStart('u2', 'bad');
      second.recordCrash('u2');
      assert.equal(second.classify('bad'), 'quarantined');
    });

    it('does not add up the blame of one crash in repeated exchanges', () => {
      const clock = new ManualClock();
      const [first, second] = [new CrashQuarantine({ clock }), new CrashQuarantine({ clock })];
      first.recordStart('u1', 'a');
      first.recordCrash('u1');
      for (let round = 0; round < 10; round += 1) {
        second.importEntries(first.exportEntries());
        first.importEntries(second.exportEntries());
      }
      assert.equal(second.exportEntries()[0]?.blame, 1);
      assert.equal(first.exportEntries()[0]?.blame, 1);
    });

    it('keeps the higher blame when a peer sends a lower one', () => {
      const quarantine = new CrashQuarantine({ clock: new ManualClock() });
      quarantine.importEntries([{ fingerprint: 'bad', blame: 2, ttlMs: 60_000 }]);
      quarantine.importEntries([{ fingerprint: 'bad', blame: 0.5, ttlMs: 60_000 }]);
      assert.equal(quarantine.classify('bad'), 'quarantined');
    });

    it('expires entries although peers keep exchanging them', async () => {
      const clock = new ManualClock();
      const options = { clock, quarantineTtlMs: 60_000, suspectTtlMs: 60_000 };
      const [first, second] = [new CrashQuarantine(options), new CrashQuarantine(options)];
      first.importEntries([{ fingerprint: 'bad', blame: 2, ttlMs: 60_000 }]);
      for (let interval = 0; interval < 12; interval += 1) {
        second.importEntries(first.exportEntries());
        await clock.advance(1000);
        first.importEntries(second.exportEntries());
        await clock.advance(9000);
      }
      assert.equal(first.classify('bad'), 'clear');
      assert.equal(second.classify('bad'), 'clear');
    });

    it('keeps a request clear that completed here until a peer has quarantined it', () => {
      const quarantine = new CrashQuarantine({ clock: new ManualClock() });
      quarantine.importEntries([{ fingerprint: 'a', blame: 0.5, ttlMs: 60_000 }]);
      quarantine.recordStart('u1', 'a')('completed');
      quarantine.importEntries([{ fingerprint: 'a', blame: 0.5, ttlMs: 60_000 }]);
      assert.equal(quarantine.classify('a'), 'clear');
      quarantine.importEntries([{ fingerprint: 'a', blame: 2, ttlMs: 60_000 }]);
      assert.equal(quarantine.classify('a'), 'quarantined');
    });

    it('ignores malformed entries', () => {
      const quarantine = new CrashQuarantine({ clock: new ManualClock() });
      quarantine.importEntries([
        { fingerprint: '', blame: 2, ttlMs: 60_000 },
        { fingerprint: 'x'.repeat(1000), blame: 2, ttlMs: 60_000 },
        { fingerprint: 'a', blame: Number.NaN, ttlMs: 60_000 },
        { fingerprint: 'b', blame: -1, ttlMs: 60_000 },
        { fingerprint: 'c', blame: 2, ttlMs: 0 },
        { fingerprint: 'd', blame: 2, ttlMs: Number.NaN },
      ]);
      assert.equal(quarantine.size, 0);
    });
  });

  describe('size bounds', () => {
    it('keeps quarantined requests while many suspects are imported', () => {
      const quarantine = new CrashQuarantine({ clock: new ManualClock(), maxEntries: 100 });
      quarantine.importEntries([{ fingerprint: 'bad', blame: 2, ttlMs: 60_000 }]);
      for (let round = 0; round < 1000; round += 1) {
        quarantine.importEntries([{ fingerprint: `s${round}`, blame: 0.1, ttlMs: 60_000 }]);
        assert.ok(quarantine.size <= 100);
      }
      assert.equal(quarantine.classify('bad'), 'quarantined');
    });

    it('exports at most maxExported entries at a time and each entry in turn', async () => {
      const clock = new ManualClock();
      const quarantine = new CrashQuarantine({ clock, maxExported: 20 });
      for (let entry = 0; entry < 100; entry += 1) {
        quarantine.importEntries([{ fingerprint: `s${entry}`, blame: 2, ttlMs: 3_600_000 }]);
      }
      const seen = new Set<string>();
      for (let round = 0; round < 5; round += 1) {
        await clock.advance(1000);
        const entries = quarantine.exportEntries();
        assert.equal(entries.length, 20);
        for (const { fingerprint } of entries) seen.add(fingerprint);
      }
      assert.equal(seen.size, 100);
    });
  });
});

describe('computeFingerprint', () => {
  it('differs between workspaces, so that none can have requests of another refused', () => {
    assert.notEqual(computeFingerprint('a', 'body'), computeFingerprint('b', 'body'));
    assert.notEqual(computeFingerprint('a', 'bc'), computeFingerprint('ab', 'c'));
    assert.equal(computeFingerprint('a', 'body'), computeFingerprint('a', Buffer.from('body')));
  });
});
