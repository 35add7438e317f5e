import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { computeFingerprint, CrashQuarantine } from '@cactusstair/routing';
import { createRandom, ManualClock } from '@cactusstair/utils';

describe('CrashQuarantine', () => {
  describe('with one crashing request among innocent ones', () => {
    it('finds the guilty one after three crashes and clears its neighbours', async () => {
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
      assert.equal(quarantine.classify('bad'), 'guilty');
    });

    it('finds it in random traffic without ever refusing an innocent request', async () => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const clock = new ManualClock();
        const quarantine = new CrashQuarantine({ clock });
        const random = createRandom(seed);
        let crashes = 0;
        for (let round = 0; round < 400 && quarantine.classify('bad') !== 'guilty'; round += 1) {
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
        assert.equal(quarantine.classify('bad'), 'guilty', `seed ${seed}`);
        assert.ok(crashes <= 3, `seed ${seed}: ${crashes} crashes`);
      }
    });
  });

  describe('with runs that have made progress', () => {
    const crashBeside = async (tokens: number, crashes: number) => {
      const clock = new ManualClock();
      const quarantine = new CrashQuarantine({ clock });
      for (let crash = 0; crash < crashes; crash += 1) {
        quarantine.recordStart('u1', 'innocent', () => tokens);
        // Another instance sent the crashing request; the last report does not show it.
        quarantine.recordCrash('u1', 0);
        await clock.advance(2000);
      }
      return quarantine.classify('innocent');
    };

    // An isolated suspect met another instance's crashing request at four engines in a row and was
    // refused with 3102, although it was answering.
    it('does not refuse an isolated request beside four crashes', async () => {
      assert.equal(await crashBeside(20, 4), 'suspect');
    });

    it('finds a request that crashes its upstreams late', async () => {
      assert.equal(await crashBeside(20, 10), 'guilty');
    });

    it('does not take a verdict from a peer on a request that progressed here', () => {
      const quarantine = new CrashQuarantine({ clock: new ManualClock() });
      quarantine.recordStart('u1', 'innocent', () => 20);
      quarantine.recordCrash('u1', 0);
      quarantine.importEntries([{ fingerprint: 'innocent', blame: 2, ttlMs: 60_000 }]);
      assert.equal(quarantine.classify('innocent'), 'suspect');
    });

    it('blames a run without progress fully', async () => {
      assert.equal(await crashBeside(1, 2), 'guilty');
    });
  });

  it('shares the blame with other instances, whose request may be the guilty one', async () => {
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
    assert.equal(quarantine.classify('alone here'), 'guilty');
  });

  it('does not add up the blame of equal requests that run on other upstreams as well', async () => {
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
    assert.equal(quarantine.classify('bad'), 'guilty');
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

  it('does not clear a suspect whose call was abandoned, as a caller can do on purpose', () => {
    const quarantine = new CrashQuarantine({ clock: new ManualClock() });
    const end = quarantine.recordStart('u1', 'a');
    quarantine.recordCrash('u1');
    end('completed');
    assert.equal(quarantine.classify('a'), 'suspect', 'the run that crashed is no proof');
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
    it('refuses a request that another instance found guilty', () => {
      const clock = new ManualClock();
      const [first, second] = [new CrashQuarantine({ clock }), new CrashQuarantine({ clock })];
      for (const upstream of ['u1', 'u2']) {
        first.recordStart(upstream, 'bad');
        first.recordCrash(upstream);
      }
      second.importEntries(first.exportEntries());
      assert.equal(second.classify('bad'), 'guilty');
    });

    it('adds local crashes to imported blame, as the caller resends to any instance', () => {
      const clock = new ManualClock();
      const [first, second] = [new CrashQuarantine({ clock }), new CrashQuarantine({ clock })];
      first.recordStart('u1', 'bad');
      first.recordCrash('u1');
      second.importEntries(first.exportEntries());
      second.recordStart('u2', 'bad');
      second.recordCrash('u2');
      assert.equal(second.classify('bad'), 'guilty');
    });

    it('does not raise blame by repeated exchanges of the same crash', () => {
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

    it('keeps the higher blame when a peer is behind', () => {
      const quarantine = new CrashQuarantine({ clock: new ManualClock() });
      quarantine.importEntries([{ fingerprint: 'bad', blame: 2, ttlMs: 60_000 }]);
      quarantine.importEntries([{ fingerprint: 'bad', blame: 0.5, ttlMs: 60_000 }]);
      assert.equal(quarantine.classify('bad'), 'guilty');
    });

    it('lets entries expire although peers keep exchanging them', async () => {
      const clock = new ManualClock();
      const options = { clock, guiltyTtlMs: 60_000, suspectTtlMs: 60_000 };
      const [first, second] = [new CrashQuarantine(options), new CrashQuarantine(options)];
      first.importEntries([{ fingerprint: 'bad', blame: 2, ttlMs: 60_000 }]);
      for (let second10 = 0; second10 < 12; second10 += 1) {
        second.importEntries(first.exportEntries());
        await clock.advance(1000);
        first.importEntries(second.exportEntries());
        await clock.advance(9000);
      }
      assert.equal(first.classify('bad'), 'clear');
      assert.equal(second.classify('bad'), 'clear');
    });

    it('keeps a request clear that completed here, until a peer has proof of guilt', () => {
      const quarantine = new CrashQuarantine({ clock: new ManualClock() });
      quarantine.importEntries([{ fingerprint: 'a', blame: 0.5, ttlMs: 60_000 }]);
      quarantine.recordStart('u1', 'a')('completed');
      quarantine.importEntries([{ fingerprint: 'a', blame: 0.5, ttlMs: 60_000 }]);
      assert.equal(quarantine.classify('a'), 'clear');
      quarantine.importEntries([{ fingerprint: 'a', blame: 2, ttlMs: 60_000 }]);
      assert.equal(quarantine.classify('a'), 'guilty');
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

  describe('is bounded', () => {
    it('keeps the guilty when endless suspects are imported', () => {
      const quarantine = new CrashQuarantine({ clock: new ManualClock(), maxEntries: 100 });
      quarantine.importEntries([{ fingerprint: 'bad', blame: 2, ttlMs: 60_000 }]);
      for (let round = 0; round < 1000; round += 1) {
        quarantine.importEntries([{ fingerprint: `s${round}`, blame: 0.1, ttlMs: 60_000 }]);
        assert.ok(quarantine.size <= 100);
      }
      assert.equal(quarantine.classify('bad'), 'guilty');
    });

    it('exports few entries at a time and each of them in turn', async () => {
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
  it('differs by workspace, so that none can have requests of another one refused', () => {
    assert.notEqual(computeFingerprint('a', 'body'), computeFingerprint('b', 'body'));
    assert.notEqual(computeFingerprint('a', 'bc'), computeFingerprint('ab', 'c'));
    assert.equal(computeFingerprint('a', 'body'), computeFingerprint('a', Buffer.from('body')));
  });
});
