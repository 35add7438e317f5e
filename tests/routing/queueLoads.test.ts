import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { describe, it } from 'node:test';

import type { Kind, Load, Outcome } from './queueLoad.js';
import { QueueSimulation } from './queueSimulation.js';

const WAVE_START_MS = 3000;
const WAVE_END_MS = 11_000;

const kinds: readonly Kind[] = [
  { name: 'long', workMs: 600, goalMs: 4000, deadlineMs: 12_000, tokens: 380, share: 0.2 },
  { name: 'medium', workMs: 250, goalMs: 2000, deadlineMs: 15_000, tokens: 290, share: 0.4 },
  { name: 'short', workMs: 60, goalMs: 2000, deadlineMs: 5000, tokens: 20, share: 0.4 },
];

function isWave(atMs: number): boolean {
  return atMs > WAVE_START_MS && atMs < WAVE_END_MS;
}

function createLoad(overrides: Partial<Load> = {}): Load {
  return {
    instances: 8,
    upstreams: 12,
    slots: 4,
    kinds,
    workspaces: 12,
    getLoadFactor: (atMs) => (isWave(atMs) ? 1.7 : 0.5),
    getWorkspaceWeight: () => 1,
    getSlowness: () => 1,
    reportAgeMs: 500,
    immediateRetries: { workspace: -1, count: 0 },
    durationMs: 16_000,
    seed: 1,
    ...overrides,
  };
}

function isInTime({ servedMs, kind }: Outcome): boolean {
  return servedMs !== undefined && servedMs <= kind.goalMs;
}

function computeShare(outcomes: readonly Outcome[], check: (outcome: Outcome) => boolean): number {
  return outcomes.filter(check).length / outcomes.length;
}

/** Returns the smallest share in time among groups of requests. */
function findLeastShare(outcomes: readonly Outcome[], getKey: (outcome: Outcome) => unknown) {
  const groups = new Map<unknown, Outcome[]>();
  for (const outcome of outcomes) {
    const key = getKey(outcome);
    groups.set(key, [...(groups.get(key) ?? []), outcome]);
  }
  return Math.min(...[...groups.values()].map((group) => computeShare(group, isInTime)));
}

function summarize({ outcomes, rejections }: QueueSimulation) {
  const returned = outcomes.filter((outcome) => outcome.returned !== undefined);
  const waitsMs = outcomes.map(({ refusedAfterMs }) => refusedAfterMs ?? 0);
  return {
    outcomes,
    rejections,
    inTime: computeShare(outcomes, isInTime),
    served: computeShare(outcomes, ({ servedMs }) => servedMs !== undefined),
    byKind: findLeastShare(outcomes, ({ kind }) => kind.name),
    byZone: findLeastShare(outcomes, ({ zone }) => zone),
    byWorkspace: findLeastShare(outcomes, ({ workspace }) => workspace),
    refused: outcomes.filter(({ refusedAfterMs }) => refusedAfterMs !== undefined).length,
    maxRefusalMs: Math.max(...waitsMs),
    /** Share of the callers who returned when they were told to that were served then. */
    returnsServed:
      returned.length === 0 ? 1 : computeShare(returned, (o) => o.returned === 'served'),
  };
}

/** Runs a load under the current rule (polls) and under the queue. */
function compare(t: TestContext, overrides: Partial<Load> = {}) {
  const load = createLoad(overrides);
  const polls = summarize(new QueueSimulation(load, 'polls').run());
  const queue = summarize(new QueueSimulation(load, 'queue').run());
  for (const [rule, { outcomes, ...figures }] of Object.entries({ polls, queue })) {
    const texts = Object.entries(figures).map(([name, value]) => `${name} ${value.toFixed(2)}`);
    t.diagnostic(`${rule}: ${outcomes.length} requests, ${texts.join(', ')}`);
  }
  // Nobody waits beyond the deadline to hear of a refusal, or is refused beside a free place.
  for (const { refusedAfterMs, kind, wasRefusedWhileFree } of queue.outcomes) {
    assert.ok((refusedAfterMs ?? 0) <= kind.deadlineMs);
    assert.ok(!wasRefusedWhileFree);
  }
  return { polls, queue };
}

describe('the queue of a service and the rule before it, under', () => {
  it('a load with room for all: nobody waits or is refused', (t) => {
    const { queue } = compare(t, { getLoadFactor: () => 0.4 });
    assert.equal(queue.refused, 0);
    assert.ok(queue.inTime > 0.99);
    const started = queue.outcomes.filter(({ startedAfterMs }) => startedAfterMs === 0);
    // The rest met an upstream that other instances had filled since their last report.
    assert.ok(started.length / queue.outcomes.length > 0.7);
  });

  [1.7, 2.5].forEach((factor) => {
    it(`a wave of ${factor} times the capacity`, (t) => {
      const getLoadFactor = (atMs: number) => (isWave(atMs) ? factor : 0.5);
      const { polls, queue } = compare(t, { getLoadFactor });
      assert.ok(queue.inTime > polls.inTime * 1.3);
      assert.ok(queue.served > polls.served * 1.5);
      assert.ok(queue.rejections < polls.rejections / 3);
      assert.ok(queue.byKind > queue.inTime * 0.6, 'no kind starves');
      assert.ok(queue.byZone > queue.inTime * 0.75, 'no zone starves');
      assert.ok(queue.byWorkspace > queue.inTime * 0.8, 'no workspace starves');
      assert.ok(queue.returnsServed > 0.85, 'Retry-After holds');
    });
  });

  it('a burst of one workspace at 9 times its usual load: it delays itself', (t) => {
    const getWorkspaceWeight = (workspace: number, atMs: number) =>
      workspace === 0 && isWave(atMs) ? 9 : 1;
    // Without the burst the load is 0.8 of the capacity.
    const getLoadFactor = (atMs: number) => (isWave(atMs) ? 0.8 * (20 / 12) : 0.8);
    const { polls, queue } = compare(t, { getWorkspaceWeight, getLoadFactor });
    const getOthers = ({ outcomes }: typeof queue) =>
      outcomes.filter(({ workspace }) => workspace !== 0);
    const others = computeShare(getOthers(queue), isInTime);
    const bursting = queue.outcomes.filter(({ workspace }) => workspace === 0);
    t.diagnostic(
      `in time, other workspaces: ${others.toFixed(3)}, before: ` +
        `${computeShare(getOthers(polls), isInTime).toFixed(3)}; ` +
        `the bursting one: ${computeShare(bursting, isInTime).toFixed(3)}`,
    );
    assert.ok(others > 0.93);
    assert.ok(others > computeShare(getOthers(polls), isInTime) + 0.1);
    assert.ok(computeShare(bursting, isInTime) < others);
    assert.ok(computeShare(bursting, isInTime) > 0.4, 'what is left goes to the burst');
  });

  it('one hot subject: most requests of all workspaces are long', (t) => {
    const hot = kinds.map((kind) => ({ ...kind, share: kind.name === 'long' ? 0.8 : 0.1 }));
    const { polls, queue } = compare(t, { kinds: hot });
    assert.ok(queue.inTime > polls.inTime);
    assert.ok(queue.byKind > queue.inTime * 0.6);
  });

  it('callers of one workspace who retry immediately: they gain nothing', (t) => {
    const { polls, queue } = compare(t, { immediateRetries: { workspace: 0, count: 5 } });
    const getRatio = ({ outcomes }: typeof queue) => {
      const own = outcomes.filter(({ workspace }) => workspace === 0);
      const others = outcomes.filter(({ workspace }) => workspace !== 0);
      return computeShare(own, isInTime) / computeShare(others, isInTime);
    };
    t.diagnostic(`ratio to the others: ${getRatio(queue).toFixed(2)}, before ${getRatio(polls)}`);
    assert.ok(getRatio(polls) > 1.5);
    assert.ok(getRatio(queue) < 1.15);
  });

  it('a lost zone', (t) => {
    const getSlowness = (upstream: number, atMs: number) =>
      upstream % 2 === 0 && isWave(atMs) ? Infinity : 1;
    const { polls, queue } = compare(t, { getLoadFactor: () => 0.8, getSlowness });
    assert.ok(queue.inTime > polls.inTime * 1.15);
    assert.ok(queue.byZone > queue.inTime * 0.8);
    assert.ok(queue.returnsServed > 0.85);
  });

  it('half of the upstreams being three times slower', (t) => {
    const getSlowness = (upstream: number) => (upstream % 2 === 0 ? 3 : 1);
    const { polls, queue } = compare(t, { getLoadFactor: () => 0.8, getSlowness });
    assert.ok(queue.inTime > polls.inTime * 1.15);
    assert.ok(queue.byKind > queue.inTime * 0.6);
  });

  it('all callers starting at once', (t) => {
    const { polls, queue } = compare(t, { getLoadFactor: (atMs) => (atMs < 500 ? 12 : 0.4) });
    assert.ok(queue.inTime > polls.inTime * 1.15);
    assert.ok(queue.served > 0.85);
    assert.ok(queue.returnsServed > 0.9);
  });

  [
    { name: 'reports that are 1 s old', reportAgeMs: 1000 },
    { name: 'an exchange that is cut', reportAgeMs: Infinity },
  ].forEach(({ name, reportAgeMs }) => {
    it(name, (t) => {
      const { polls, queue } = compare(t, { reportAgeMs });
      assert.ok(queue.inTime > polls.inTime * 1.15);
      assert.ok(queue.rejections < polls.rejections / 2);
    });
  });
});
