import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { ChoiceRequest, ChooserState, UpstreamView } from '@cactusstair/routing';
import { chooseUpstream, estimateWorkPerSlot, PrefixIndex } from '@cactusstair/routing';
import { createRandom, ManualClock } from '@cactusstair/utils';

function createView(name: string, changes: Partial<UpstreamView> = {}): UpstreamView {
  return {
    name,
    zone: 'riga-a',
    slots: 8,
    outstanding: 0,
    reported: { active: 0, queued: 0, ageMs: 0 },
    sentSinceReport: 0,
    availability: 'ready',
    readyForMs: 60_000,
    ...changes,
  };
}

function createRequest(changes: Partial<ChoiceRequest> = {}): ChoiceRequest {
  return { zone: 'riga-a', prefixHashes: [], exclude: new Set(), exclusive: false, ...changes };
}

function countChoices(
  views: UpstreamView[],
  request: ChoiceRequest,
  state: ChooserState,
  rounds = 1000,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (let round = 0; round < rounds; round += 1) {
    const name = chooseUpstream(views, request, state)?.name ?? 'none';
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

describe('chooseUpstream', () => {
  describe('eligibility', () => {
    it('never chooses an excluded, ejected or leaving upstream', () => {
      // A retry must not use the same upstream again, and a stopping upstream gets no new requests.
      const views = [
        createView('tried'),
        createView('ejected', { availability: 'ejected' }),
        createView('leaving', { availability: 'leaving' }),
        createView('good', { outstanding: 50 }),
      ];
      const request = createRequest({ exclude: new Set(['tried']) });
      const counts = countChoices(views, request, { random: createRandom(1) }, 200);
      assert.deepEqual([...counts.keys()], ['good']);
    });

    it('returns undefined when the only upstream is leaving', () => {
      const views = [createView('leaving', { availability: 'leaving' })];
      assert.equal(chooseUpstream(views, createRequest(), { random: createRandom(1) }), undefined);
    });
  });

  describe('work estimate', () => {
    it('adds requests of all instances since the report and counts own requests once', () => {
      const view = createView('a', {
        outstanding: 5,
        sentSinceReport: 2,
        reported: { active: 6, queued: 1, ageMs: 0 },
      });
      // 3 of the 7 reported requests are own ones and 4 belong to other instances, which sent 4/5
      // as many requests after the report as this instance did.
      assert.equal(estimateWorkPerSlot([view]).get('a'), (5 + 4 + (2 * 4) / 5) / 8);
    });

    it('replaces a stale or missing report by the mean, so that it does not look idle', () => {
      const views = [
        createView('a', { reported: { active: 8, queued: 4, ageMs: 0 } }),
        createView('b', { reported: { active: 8, queued: 4, ageMs: 0 } }),
        createView('stale', { reported: { active: 0, queued: 0, ageMs: 60_000 } }),
        createView('silent', { reported: undefined }),
      ];
      const work = estimateWorkPerSlot(views);
      assert.ok(work.get('silent')! > 1.49, `silent: ${work.get('silent')}`);
      assert.ok(work.get('stale')! > 1.49, `stale: ${work.get('stale')}`);
    });
  });

  describe('lagging reports', () => {
    /**
     * Returns the highest load above the mean when 7 instances share upstreams and know the load of
     * the others only from the last report.
     */
    function measurePeak(policy: 'chooser' | 'least_reported'): number {
      const random = createRandom(7);
      const upstreams = Array.from({ length: 10 }, (_, index) => `u${index}`);
      const total = new Map(upstreams.map((name) => [name, 0]));
      const own = Array.from({ length: 7 }, () => new Map(upstreams.map((name) => [name, 0])));
      let peak = 0;
      for (let report = 0; report < 20; report += 1) {
        const reported = new Map(total);
        const ownAtReport = own.map((counts) => new Map(counts));
        for (let step = 0; step < 70; step += 1) {
          const instance = step % 7;
          const views = upstreams.map((name) =>
            createView(name, {
              outstanding: own[instance]!.get(name)!,
              sentSinceReport: own[instance]!.get(name)! - ownAtReport[instance]!.get(name)!,
              reported: { active: reported.get(name)!, queued: 0, ageMs: 500 },
            }),
          );
          const least = [...views].sort((a, b) => a.reported!.active - b.reported!.active)[0]!;
          const chosen =
            policy === 'chooser' ? chooseUpstream(views, createRequest(), { random })! : least;
          total.set(chosen.name, total.get(chosen.name)! + 1);
          own[instance]!.set(chosen.name, own[instance]!.get(chosen.name)! + 1);
          const mean = [...total.values()].reduce((sum, load) => sum + load, 0) / 10;
          peak = Math.max(peak, total.get(chosen.name)! - mean);
        }
        for (const name of upstreams) {
          total.set(name, 0);
          for (const counts of own) {
            counts.set(name, Math.floor(counts.get(name)! / 2));
            total.set(name, total.get(name)! + counts.get(name)!);
          }
        }
      }
      return peak;
    }

    it('does not overload the upstream with the lowest report before the next report', () => {
      const chooser = measurePeak('chooser');
      const naive = measurePeak('least_reported');
      assert.ok(chooser * 4 < naive, `peak above the mean: ${chooser}, naive: ${naive}`);
    });
  });

  describe('prefix affinity', () => {
    function createIndexWith(holder: string): PrefixIndex {
      const prefixIndex = new PrefixIndex({ clock: new ManualClock() });
      prefixIndex.applyEvents(holder, [{ sequence: 1, type: 'stored', prefixHash: 'h1' }]);
      return prefixIndex;
    }

    it('prefers the holder while its load is within the bound', () => {
      const views = [createView('a'), createView('holder', { outstanding: 2 }), createView('c')];
      const state = { random: createRandom(2), prefixIndex: createIndexWith('holder') };
      const counts = countChoices(views, createRequest({ prefixHashes: ['h1'] }), state, 50);
      assert.deepEqual([...counts.keys()], ['holder']);
    });

    it('avoids an overloaded holder, which a popular prefix would overload further', () => {
      const views = [
        createView('a', { outstanding: 4 }),
        createView('holder', { outstanding: 20 }),
        createView('c', { outstanding: 4 }),
      ];
      const state = { random: createRandom(2), prefixIndex: createIndexWith('holder') };
      const counts = countChoices(views, createRequest({ prefixHashes: ['h1'] }), state);
      assert.equal(counts.get('holder'), undefined);
    });

    it('ignores a holder that is ejected', () => {
      const views = [createView('a'), createView('holder', { availability: 'ejected' })];
      const state = { random: createRandom(2), prefixIndex: createIndexWith('holder') };
      const counts = countChoices(views, createRequest({ prefixHashes: ['h1'] }), state, 50);
      assert.deepEqual([...counts.keys()], ['a']);
    });
  });

  describe('zones', () => {
    it('stays in the own zone while it has room, even if another zone is idle', () => {
      const views = [createView('own', { outstanding: 4 }), createView('far', { zone: 'riga-b' })];
      const counts = countChoices(views, createRequest(), { random: createRandom(3) }, 100);
      assert.deepEqual([...counts.keys()], ['own']);
    });

    it('uses another zone when the own zone is overloaded and the other is not', () => {
      const views = [createView('own', { outstanding: 12 }), createView('far', { zone: 'riga-b' })];
      const counts = countChoices(views, createRequest(), { random: createRandom(3) }, 100);
      assert.deepEqual([...counts.keys()], ['far']);
    });

    it('does not use a zone that is more loaded than the own zone', () => {
      const views = [
        createView('own1', { outstanding: 4 }),
        createView('own2', { outstanding: 30 }),
        createView('far', { zone: 'riga-b', outstanding: 20 }),
      ];
      const counts = countChoices(views, createRequest(), { random: createRandom(3) }, 100);
      assert.equal(counts.get('far'), undefined);
    });

    it('uses another zone when the own one has no usable upstream', () => {
      const views = [
        createView('own', { availability: 'ejected' }),
        createView('far', { zone: 'riga-b' }),
      ];
      const chosen = chooseUpstream(views, createRequest(), { random: createRandom(3) });
      assert.equal(chosen?.name, 'far');
    });
  });

  describe('slow start', () => {
    /**
     * Counts the requests to `recovered`, in all and at once, when each request runs for 40 steps.
     */
    function measureRecovered(others: number, readyForMs: number) {
      const random = createRandom(4);
      const names = [...Array.from({ length: others }, (_, index) => `u${index}`), 'recovered'];
      const running: string[] = [];
      const counts = new Map(names.map((name) => [name, 0]));
      let chosen = 0;
      let peak = 0;
      for (let step = 0; step < 4000; step += 1) {
        const views = names.map((name) =>
          createView(name, {
            outstanding: counts.get(name)!,
            sentSinceReport: counts.get(name)!,
            ...(name === 'recovered' ? { availability: 'slow_start', readyForMs } : {}),
          }),
        );
        const { name } = chooseUpstream(views, createRequest(), { random })!;
        running.push(name);
        counts.set(name, counts.get(name)! + 1);
        if (name === 'recovered') chosen += 1;
        peak = Math.max(peak, counts.get('recovered')!);
        if (running.length <= 40) continue;
        const ended = running.shift()!;
        counts.set(ended, counts.get(ended)! - 1);
      }
      return { chosen, peak };
    }

    it('limits the requests to a recovered upstream although it is the least loaded', () => {
      for (const others of [1, 9]) {
        const equalShare = 4000 / (others + 1);
        const { chosen, peak } = measureRecovered(others, 0);
        assert.ok(chosen > 0 && chosen < equalShare / 4, `${chosen} of ${equalShare}`);
        assert.ok(peak <= 5, `${peak} requests at once`);
      }
    });

    it('sends more requests as readyForMs grows, up to an equal share', () => {
      const shares = [0, 10_000, 20_000, 30_000].map(
        (readyForMs) => measureRecovered(9, readyForMs).chosen,
      );
      for (const [index, share] of shares.entries()) {
        assert.ok(index === 0 || share > shares[index - 1]!, `shares ${shares.join(', ')}`);
      }
      assert.ok(Math.abs(shares[3]! - 400) < 40, `full share: ${shares[3]} of 4000`);
    });

    it('does not prefer a recovered prefix holder that already has requests', () => {
      const prefixIndex = new PrefixIndex({ clock: new ManualClock() });
      prefixIndex.recordSent('recovered', ['h1']);
      const views = [
        createView('a', { outstanding: 4 }),
        createView('recovered', { availability: 'slow_start', readyForMs: 0, outstanding: 2 }),
      ];
      const state = { random: createRandom(2), prefixIndex };
      const counts = countChoices(views, createRequest({ prefixHashes: ['h1'] }), state, 50);
      assert.equal(counts.get('recovered'), undefined);
    });
  });

  describe('crash suspects', () => {
    it('sends a suspect to the least loaded upstream without another suspect, or to none', () => {
      const views = [
        createView('a'),
        createView('b', { outstanding: 3 }),
        createView('c', { outstanding: 2 }),
      ];
      const request = createRequest({ exclusive: true });
      const random = createRandom(6);
      const chosen = chooseUpstream(views, request, { random, exclusiveUpstreams: new Set(['a']) });
      assert.equal(chosen?.name, 'c');
      const none = new Set(['a', 'b', 'c']);
      assert.equal(chooseUpstream(views, request, { random, exclusiveUpstreams: none }), undefined);
    });

    it('keeps other requests off the upstream of a suspect while there is another', () => {
      const views = [createView('a'), createView('b', { outstanding: 9 })];
      const random = createRandom(6);
      const one = { random, exclusiveUpstreams: new Set(['a']) };
      assert.deepEqual([...countChoices(views, createRequest(), one, 50).keys()], ['b']);
      const both = { random, exclusiveUpstreams: new Set(['a', 'b']) };
      assert.notEqual(chooseUpstream(views, createRequest(), both), undefined);
    });
  });
});
