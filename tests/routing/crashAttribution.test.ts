import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';

import { CrashAttribution } from '@cactusstair/routing';
import { ManualClock } from '@cactusstair/utils';

/** Age at which an instance knows what runs well. */
const STARTED_AGE_MS = 3000;
const DEADLY = ['fingerprint', 'popular', 'deadly'];

describe('CrashAttribution', () => {
  let clock: ManualClock;
  let crashes: CrashAttribution;

  beforeEach(async () => {
    clock = new ManualClock();
    crashes = new CrashAttribution({ clock });
    await clock.advance(STARTED_AGE_MS);
  });

  /** Lets an upstream crash while it runs requests with the given traits. */
  function crash(upstream: string, ...requests: string[][]): void {
    for (const traits of requests) crashes.startRun(upstream, traits, () => {});
    crashes.recordCrash(upstream);
  }

  /** Lets a request with the given traits run well at an upstream that does not crash. */
  function runWell(...traits: string[]): void {
    crashes.startRun('sound', traits, () => {}).recordProgress();
  }

  describe('a request that crashes each upstream that runs it', () => {
    it('is refused after three crashes', () => {
      crash('a', ['request']);
      crash('b', ['request']);
      assert.equal(crashes.isQuarantined(['request']), false);
      crash('c', ['request']);
      assert.equal(crashes.admit(['request']), 'refused');
    });

    it('is not refused if it has made progress in between', () => {
      crash('a', ['request']);
      crash('b', ['request']);
      runWell('request');
      crash('c', ['request']);
      crash('d', ['request']);
      assert.equal(crashes.isQuarantined(['request']), false);
    });
  });

  describe('requests that share a trait and are no two alike', () => {
    it('are refused after three crashes, whatever else they hold', () => {
      crash('a', ['1', 'popular', 'deadly']);
      runWell('8', 'popular');
      crash('b', ['2', 'deadly', 'rare']);
      crash('c', ['3', 'popular', 'deadly', 'rare']);
      assert.equal(crashes.isQuarantined(['4', 'deadly']), true);
      assert.equal(crashes.isQuarantined(['4', 'popular', 'rare']), false);
    });

    it('are refused although innocent requests waited at the same upstreams', () => {
      for (const [index, upstream] of ['a', 'b', 'c'].entries()) {
        crash(upstream, [`${index}`, 'deadly'], ['waiting', 'twin'], [`other ${index}`]);
        if (index === 1) runWell('waiting', 'twin');
      }
      assert.equal(crashes.isQuarantined(['9', 'deadly']), true);
      assert.equal(crashes.isQuarantined(['waiting', 'twin']), false);
    });

    it('are told from innocent ones that waited beside them at each crash', () => {
      for (const [index, upstream] of ['a', 'b', 'c'].entries()) {
        crash(upstream, [`${index}`, 'deadly'], ['waiting']);
      }
      // Both explain all crashes, so only a request with both traits is refused.
      assert.equal(crashes.isQuarantined(['9', 'deadly']), false);
      assert.equal(crashes.isQuarantined(['waiting']), false);
      crash('d', ['9', 'deadly']);
      assert.equal(crashes.isQuarantined(['8', 'deadly']), true);
      assert.equal(crashes.isQuarantined(['waiting']), false);
    });
  });

  describe('two traits that crash upstreams', () => {
    it('are both found', () => {
      for (const upstream of ['a', 'b', 'c']) {
        crash(`${upstream}1`, [`${upstream}1`, 'first']);
        crash(`${upstream}2`, [`${upstream}2`, 'second']);
      }
      assert.equal(crashes.isQuarantined(['first']), true);
      assert.equal(crashes.isQuarantined(['second']), true);
    });
  });

  describe('upstreams that crash by themselves', () => {
    it('do not make requests refused that run well elsewhere', () => {
      for (let count = 0; count < 20; count += 1) {
        crash(`upstream ${count}`, [`${count}`, 'popular']);
        runWell(`${count}`, 'popular');
      }
      assert.equal(crashes.isQuarantined(['1', 'popular']), false);
    });

    it('do not make a request refused that has run well before, after a few crashes', async () => {
      runWell('popular');
      for (let count = 0; count < 5; count += 1) {
        await clock.advance(1000);
        crash(`upstream ${count}`, ['popular']);
      }
      assert.equal(crashes.isQuarantined(['popular']), false);
      crash('last', ['popular']);
      assert.equal(crashes.isQuarantined(['popular']), true);
    });

    it('do not make requests refused that ran at all of them when they ended at once', async () => {
      runWell('popular');
      await clock.advance(1000);
      for (let count = 0; count < 20; count += 1) {
        crash(`upstream ${count}`, [`${count}`, 'popular']);
        await clock.advance(50);
      }
      assert.equal(crashes.isQuarantined(['21', 'popular']), false);
    });

    it('do not make requests refused by an instance that has just started', () => {
      const started = new CrashAttribution({ clock });
      for (const upstream of ['a', 'b', 'c', 'd']) {
        started.startRun(upstream, [upstream, 'popular'], () => {});
        started.recordCrash(upstream);
      }
      assert.equal(started.isQuarantined(['9', 'popular']), false);
    });

    it('do not make requests refused for long that have run well before', async () => {
      runWell('popular');
      for (let count = 0; count < 9; count += 1) {
        await clock.advance(1000);
        crash(`upstream ${count}`, ['popular']);
      }
      assert.equal(crashes.admit(['popular']), 'trial');
      assert.equal(crashes.admit(['popular']), 'refused');
      await clock.advance(5000);
      assert.equal(crashes.admit(['popular']), 'trial');
      runWell('popular');
      assert.equal(crashes.admit(['popular']), 'admitted');
    });
  });

  describe('a request that ended shortly before the crash', () => {
    it('is a suspect, because the upstream may have begun its answer', async () => {
      for (const upstream of ['a', 'b', 'c']) {
        crashes.startRun(upstream, ['request'], () => {}).end();
        await clock.advance(100);
        crashes.recordCrash(upstream);
      }
      assert.equal(crashes.isQuarantined(['request']), true);
    });

    it('is no suspect when it ended long before', async () => {
      for (const upstream of ['a', 'b', 'c']) {
        crashes.startRun(upstream, ['request'], () => {}).end();
        await clock.advance(1000);
        crashes.recordCrash(upstream);
      }
      assert.equal(crashes.isQuarantined(['request']), false);
    });
  });

  describe('one crash that is reported often', () => {
    it('counts once', () => {
      crashes.startRun('a', ['request'], () => {});
      for (let count = 0; count < 10; count += 1) crashes.recordCrash('a');
      assert.equal(crashes.size, 1);
      assert.equal(crashes.isQuarantined(['request']), false);
    });
  });

  describe('requests in flight when the cause is found', () => {
    it('are cancelled if they have its traits and have not made progress', () => {
      const cancelled: string[] = [];
      crashes.startRun('x', ['1', 'deadly'], () => cancelled.push('deadly'));
      crashes.startRun('x', ['2', 'popular'], () => cancelled.push('innocent'));
      crashes.startRun('x', ['3', 'deadly'], () => cancelled.push('ended')).end();
      for (const upstream of ['a', 'b', 'c']) crash(upstream, [upstream, 'deadly']);
      assert.deepEqual(cancelled, ['deadly']);
    });
  });

  describe('a cause', () => {
    it('is forgotten after a time, and found again at the next crash', async () => {
      for (const upstream of ['a', 'b', 'c']) crash(upstream, DEADLY);
      for (const upstream of ['d', 'e', 'f']) crash(upstream, [upstream, 'deadly']);
      assert.equal(crashes.isQuarantined(['deadly']), true);
      await clock.advance(121_000);
      assert.equal(crashes.isQuarantined(['deadly']), false);
      crash('g', ['7', 'deadly'], ['innocent']);
      assert.equal(crashes.isQuarantined(['deadly']), true);
      assert.equal(crashes.isQuarantined(['innocent']), false);
    });
  });

  describe('exchange between instances', () => {
    let peer: CrashAttribution;

    beforeEach(async () => {
      peer = new CrashAttribution({ clock });
      await clock.advance(STARTED_AGE_MS);
    });

    it('unites what several saw of one crash', () => {
      // Each instance has sent other requests to the upstreams; only this one sent the deadly ones.
      for (const upstream of ['a', 'b', 'c']) {
        crash(upstream, [upstream, 'deadly']);
        peer.startRun(upstream, ['waiting'], () => {});
        peer.recordCrash(upstream);
      }
      const own = crashes.exportReports('own');
      crashes.importReports(peer.exportReports('own'));
      peer.importReports(own);
      peer.startRun('sound', ['waiting'], () => {}).recordProgress();
      crashes.importReports(peer.exportReports('own'));
      for (const instance of [crashes, peer]) {
        assert.equal(instance.isQuarantined(['9', 'deadly']), true);
        assert.equal(instance.isQuarantined(['waiting']), false);
        assert.equal(instance.size, 3);
      }
    });

    it('clears what a peer has seen run well, also when its report comes late', () => {
      crash('a', ['request']);
      crash('b', ['request']);
      peer.importReports(crashes.exportReports('own'));
      peer.startRun('sound', ['request'], () => {}).recordProgress();
      crash('c', ['request']);
      crashes.importReports(peer.exportReports('own'));
      assert.equal(crashes.isQuarantined(['request']), false);
    });

    it('passes on the reports of others only as a reporter', () => {
      crash('a', ['request']);
      peer.importReports(crashes.exportReports('own'));
      assert.deepEqual(peer.exportReports('own'), []);
      assert.equal(peer.exportReports('all').length, 1);
    });

    it('expires a crash even if instances keep exchanging it', async () => {
      crash('a', ['request']);
      for (let round = 0; round < 150; round += 1) {
        peer.importReports(crashes.exportReports('all'));
        crashes.importReports(peer.exportReports('all'));
        await clock.advance(1000);
      }
      assert.deepEqual([...crashes.exportReports('all'), ...peer.exportReports('all')], []);
    });

    it('ignores entries of other forms, as older builds send them', () => {
      const entries = [
        null,
        {},
        'x',
        { fingerprint: 'request', count: 3, ageMs: 0 },
        { upstream: 'a', ageMs: -1, suspects: ['request'], cleared: [] },
        { upstream: 'a', ageMs: Number.NaN, suspects: ['request'], cleared: [] },
        { upstream: 'a', ageMs: 0, suspects: [1], cleared: [] },
        { upstream: 'a'.repeat(100), ageMs: 0, suspects: [], cleared: [] },
      ];
      crashes.importReports(entries);
      assert.equal(crashes.size, 0);
    });

    it('bounds what one message holds', () => {
      for (let count = 0; count < 50; count += 1) {
        const requests = Array.from({ length: 60 }, (_, index) => [`${count} ${index}`]);
        crash(`upstream ${count}`, ...requests);
      }
      const bytes = JSON.stringify(crashes.exportReports('all')).length;
      assert.ok(bytes < 20_000, `${bytes} bytes`);
    });
  });

  it('bounds the number of remembered crashes', () => {
    crashes = new CrashAttribution({ clock, maxCrashes: 10 });
    for (let index = 0; index < 100; index += 1) crash(`upstream ${index}`, [`${index}`]);
    assert.equal(crashes.size, 10);
  });
});
