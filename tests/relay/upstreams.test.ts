import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { SelectionRequest, UpstreamRecord } from '@cactusstair/relay';
import {
  computePartKey,
  selectUpstream,
  Upstream,
  UpstreamDirectory,
  ZoneReachability,
} from '@cactusstair/relay';
import { ManualClock } from '@cactusstair/utils';

import { createRecord } from './support/records.js';

/** Prompt tokens that the engines of these tests read per millisecond. */
const TOKENS_PER_MS = 112;

describe('upstreams', () => {
  describe('UpstreamDirectory', () => {
    function createDirectory() {
      const clock = new ManualClock(1000);
      const store = { isDisturbed: false, restoredAgeMs: Infinity };
      const directory = new UpstreamDirectory({
        clock,
        isStoreDisturbed: () => store.isDisturbed,
        getStoreRestoredAgeMs: () => store.restoredAgeMs,
      });
      let revision = 0;
      const put = (record: UpstreamRecord) => {
        revision += 1;
        directory.applyChange({ name: record.id, revision, value: record, isDeleted: false });
      };
      const remove = (id: string) => {
        revision += 1;
        directory.applyChange({ name: id, revision, value: undefined, isDeleted: true });
      };
      const list = () => directory.listUsable('app').map(({ id }) => id);
      return { directory, store, put, remove, list };
    }

    it('does not list upstreams that are draining or were removed', () => {
      const { put, remove, list } = createDirectory();
      put(createRecord('a'));
      put(createRecord('b'));
      put(createRecord('a', { isDraining: true }));
      assert.deepEqual(list(), ['b']);
      remove('b');
      assert.deepEqual(list(), []);
    });

    it('keeps entries that vanish in a store outage until the grace period after it', () => {
      const { put, remove, list, store } = createDirectory();
      put(createRecord('a'));
      put(createRecord('b'));
      store.isDisturbed = true;
      store.restoredAgeMs = 0;
      remove('a');
      remove('b');
      assert.deepEqual(list(), ['a', 'b']);
      store.restoredAgeMs = 1000;
      put(createRecord('b'));
      store.restoredAgeMs = 2500;
      assert.deepEqual(list(), ['b']);
    });

    it('removes a draining upstream immediately, even in a store outage', () => {
      const { put, remove, list, store } = createDirectory();
      put(createRecord('a', { isDraining: true }));
      store.isDisturbed = true;
      remove('a');
      assert.deepEqual(list(), []);
    });

    it('ignores an entry that cannot be decoded and removes the one it replaced', () => {
      const { directory, put, list } = createDirectory();
      put(createRecord('a'));
      directory.applyChange({ name: 'x', revision: 8, value: undefined, isDeleted: false });
      assert.deepEqual(list(), ['a']);
      directory.applyChange({ name: 'a', revision: 9, value: undefined, isDeleted: false });
      assert.deepEqual(list(), []);
    });

    it('clears the cached prompt parts when another run has the same id', () => {
      const { directory, put } = createDirectory();
      put(createRecord('a', { startedAtMs: 1 }));
      const key = computePartKey('model', 'part');
      directory.find('a')?.cachedParts.record(key);
      put(createRecord('a', { startedAtMs: 2 }));
      assert.equal(directory.find('a')?.cachedParts.has(key), false);
    });

    it('formats equal lists equally and different lists differently', () => {
      const first = createDirectory();
      const second = createDirectory();
      first.put(createRecord('a'));
      first.put(createRecord('b'));
      second.put(createRecord('b'));
      second.put(createRecord('a'));
      assert.equal(first.directory.formatState(), second.directory.formatState());
      second.put(createRecord('a', { isDraining: true }));
      assert.notEqual(first.directory.formatState(), second.directory.formatState());
    });
  });

  describe('selectUpstream', () => {
    const clock = new ManualClock(1000);
    const create = (id: string, overrides: Partial<UpstreamRecord> = {}) =>
      new Upstream(createRecord(id, overrides), clock);
    const plain: SelectionRequest = {
      zone: 'zone-1',
      isZoneUnreachable: () => false,
      estimatePrefillMs: (tokens) => tokens / TOKENS_PER_MS,
      getQueueBiasMs: () => 0,
      promptTokens: 0,
      heldTokens: 0,
      promptParts: [],
    };
    const engine = { slots: 4, memoryTokens: 100_000, priceByModel: {} };

    function choose(upstreams: Upstream[], overrides: Partial<SelectionRequest> = {}) {
      return selectUpstream(upstreams, { ...plain, ...overrides })?.upstream.id;
    }

    it('prefers the upstream with fewer requests from all instances', () => {
      const [a, b] = [create('a'), create('b')];
      a.calls.add({ backlogMs: 0, heldTokens: 0 });
      assert.equal(choose([a, b]), 'b');
      b.peerLoad = { running: 3, backlogMs: 0, heldTokens: 0 };
      assert.equal(choose([a, b]), 'a');
    });

    it('avoids upstreams that are down or in an unreachable zone unless there is no other', () => {
      const [a, b] = [create('a', { zone: 'zone-2' }), create('b')];
      b.recordDown();
      assert.equal(choose([a, b]), 'a');
      assert.equal(choose([b]), 'b');
      const c = create('c');
      assert.equal(
        choose([a, c], { zone: 'zone-2', isZoneUnreachable: (zone) => zone === 'zone-2' }),
        'c',
      );
    });

    it('avoids an upstream that fails part of its requests', () => {
      const [a, b] = [create('a'), create('b', { zone: 'zone-2' })];
      a.recordFailure();
      assert.equal(choose([a, b]), 'b');
    });

    it('prefers an engine that has been faster than one of the same load', () => {
      const [a, b] = [create('a'), create('b')];
      for (let count = 0; count < 10; count += 1) a.recordWait(1000, 100);
      const request = { engine, model: 'large', promptTokens: 6000 };
      assert.equal(choose([a, b], request), 'b');
    });

    it('prefers an engine whose queue is known to one in a zone where waits exceed the known', () => {
      const [a, b] = [create('a'), create('b', { zone: 'zone-2' })];
      a.peerLoad = { running: 1, backlogMs: 200, heldTokens: 0 };
      const request = { engine, model: 'large', promptTokens: 6000 };
      assert.equal(choose([a, b], request), 'b');
      const getQueueBiasMs = (zone: string) => (zone === 'zone-2' ? 300 : 0);
      assert.equal(choose([a, b], { ...request, getQueueBiasMs }), 'a');
    });

    it('selects no engine without a free slot and memory', () => {
      const a = create('a', { slots: 1 });
      a.calls.add({ backlogMs: 0, heldTokens: 50_000 });
      assert.equal(choose([a], { engine }), undefined);
      const b = create('b');
      b.calls.add({ backlogMs: 0, heldTokens: 50_000 });
      assert.equal(choose([b], { engine, heldTokens: 50_000 }), undefined);
      assert.equal(choose([b], { engine, heldTokens: 10_000 }), 'b');
    });

    it('prefers the engine with the shared prompt parts cached unless its backlog is large', () => {
      const [a, b] = [create('a'), create('b')];
      const request = {
        engine,
        model: 'large',
        estimatePrefillMs: (tokens: number) => (3 * tokens) / TOKENS_PER_MS,
        promptTokens: 6000,
        promptParts: [
          { id: 'shared', tokens: 5000 },
          { id: 'own', tokens: 1000 },
        ],
      };
      const cached = choose([a, b], request) === 'a' ? b : a;
      cached.cachedParts.record(computePartKey('large', 'shared'));
      const home = choose([a, b], request);
      assert.equal(home, cached.id);
      cached.calls.add({ backlogMs: 1000, heldTokens: 0 });
      assert.notEqual(choose([a, b], request), cached.id);
    });

    it('selects the same engine on all instances for a shared prompt part', () => {
      const request = {
        engine,
        model: 'large',
        estimatePrefillMs: (tokens: number) => (3 * tokens) / TOKENS_PER_MS,
        promptTokens: 6000,
        promptParts: [
          { id: 'subject', tokens: 5000 },
          { id: 'own', tokens: 1000 },
        ],
      };
      const choices = Array.from({ length: 5 }, () =>
        choose([create('a'), create('b'), create('c')], request),
      );
      assert.equal(new Set(choices).size, 1);
    });
  });

  describe('selectUpstream in a large pool', () => {
    const clock = new ManualClock(1000);
    const engine = { slots: 16, memoryTokens: 500_000, priceByModel: {} };
    const request: SelectionRequest = {
      zone: 'zone-1',
      isZoneUnreachable: () => false,
      engine,
      estimatePrefillMs: (tokens) => tokens / TOKENS_PER_MS,
      getQueueBiasMs: () => 0,
      promptTokens: 500,
      heldTokens: 600,
      promptParts: [],
    };

    function createPool(): Upstream[] {
      return Array.from({ length: 90 }, (_, index) => {
        const upstream = new Upstream(
          createRecord(`engine-${index}`, { zone: `zone-${index % 4}`, slots: 16 }),
          clock,
        );
        upstream.peerLoad = { running: 2, backlogMs: index === 1 ? 0 : 50, heldTokens: 0 };
        return upstream;
      });
    }

    // All instances see the same loads: without sampling, they all selected the same engine until the
    // next load report.
    it('does not send most requests to the least loaded engine', () => {
      const pool = createPool();
      const chosen = Array.from({ length: 200 }, () => selectUpstream(pool, request)?.upstream.id);
      const best = chosen.filter((id) => id === 'engine-1').length;
      assert.ok(best > 0 && best < 100, `${best} of 200`);
    });

    it('finds the engines that have room in any zone', () => {
      const pool = createPool();
      for (const upstream of pool.slice(0, 88)) {
        upstream.peerLoad = { running: 16, backlogMs: 0, heldTokens: 0 };
      }
      const chosen = selectUpstream(pool, request)?.upstream.id ?? '';
      assert.ok(['engine-88', 'engine-89'].includes(chosen), chosen);
    });

    it('sends a long shared prompt to the engine that all instances prefer for it', () => {
      const parts = [
        { id: 'subject', tokens: 5000 },
        { id: 'own', tokens: 1000 },
      ];
      const long = {
        ...request,
        model: 'large',
        estimatePrefillMs: (tokens: number) => (3 * tokens) / TOKENS_PER_MS,
        promptTokens: 6000,
        promptParts: parts,
      };
      const chosen = Array.from(
        { length: 20 },
        () => selectUpstream(createPool(), long)?.upstream.id,
      );
      assert.equal(new Set(chosen).size, 1);
    });
  });

  describe('ZoneReachability', () => {
    it('marks a zone as unreachable after timeouts of two upstreams, until one is reached', () => {
      const clock = new ManualClock(1000);
      const reachability = new ZoneReachability(clock);
      reachability.recordUnreachable('zone-1', 'a');
      reachability.recordUnreachable('zone-1', 'a');
      assert.equal(reachability.isUnreachable('zone-1'), false);
      reachability.recordUnreachable('zone-1', 'b');
      assert.equal(reachability.isUnreachable('zone-1'), true);
      reachability.recordReached('zone-1');
      assert.equal(reachability.isUnreachable('zone-1'), false);
    });

    it('retries an unreachable zone after a timeout', async () => {
      const clock = new ManualClock(1000);
      const reachability = new ZoneReachability(clock);
      reachability.recordUnreachable('zone-1', 'a');
      reachability.recordUnreachable('zone-1', 'b');
      await clock.advance(1500);
      assert.equal(reachability.isUnreachable('zone-1'), false);
    });
  });
});
