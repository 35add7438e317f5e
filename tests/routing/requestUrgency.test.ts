import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { computeUrgency } from '@cactusstair/routing';
import type { UrgencyRequest } from '@cactusstair/routing';
import { createRandom } from '@cactusstair/utils';

interface Prompt extends UrgencyRequest {
  arrivedMs: number;
  goalMs: number;
}

/** Returns the next prompt to read: of those that have arrived, the most urgent one. */
function takeNext(
  waiting: { prompt: Prompt; index: number }[],
  nowMs: number,
  getUrgency: (prompt: Prompt) => number,
) {
  let next: (typeof waiting)[number] | undefined;
  for (const item of waiting) {
    if (item.prompt.arrivedMs > nowMs) continue;
    if (!next || getUrgency(item.prompt) < getUrgency(next.prompt)) next = item;
  }
  if (next) waiting.splice(waiting.indexOf(next), 1);
  return next;
}

/** Runs prompts on one engine, most urgent first, and returns how long each of them took. */
function playEngine(prompts: readonly Prompt[], getUrgency: (prompt: Prompt) => number): number[] {
  const waits: number[] = prompts.map(() => 0);
  const waiting = prompts.map((prompt, index) => ({ prompt, index }));
  let nowMs = 0;
  while (waiting.length > 0) {
    const next = takeNext(waiting, nowMs, getUrgency);
    if (next) {
      nowMs += next.prompt.prefillMs;
      waits[next.index] = nowMs - next.prompt.arrivedMs;
    } else nowMs = Math.min(...waiting.map(({ prompt }) => prompt.arrivedMs));
  }
  return waits;
}

/** Short and long prompts in equal number that keep one engine busy for `load` of the time. */
function createWave(load: number, seed: number): Prompt[] {
  const random = createRandom(seed);
  const meanMs = (30 + 600) / 2;
  return Array.from({ length: 400 }, (_, index) => ({
    prefillMs: random.next() < 0.5 ? 30 : 600,
    priority: 1,
    isResumed: false,
    arrivedMs: (index * meanMs) / load,
    goalMs: 2000,
  }));
}

function countInTime(prompts: readonly Prompt[], waits: readonly number[], isShort: boolean) {
  const kept = prompts.map((prompt, index) => ({ prompt, waitMs: waits[index]! }));
  const kind = kept.filter(({ prompt }) => prompt.prefillMs < 100 === isShort);
  return kind.filter(({ prompt, waitMs }) => waitMs <= prompt.goalMs).length / kind.length;
}

describe('computeUrgency', () => {
  it('serves more requests in time than the order of arrival when the load is 1.7', () => {
    const wave = createWave(1.7, 3);
    const byArrival = playEngine(wave, () => 0);
    const byUrgency = playEngine(wave, computeUrgency);
    const before = countInTime(wave, byArrival, true);
    assert.ok(before < 0.2, `${before} of the short prompts in time by arrival`);
    assert.ok(countInTime(wave, byUrgency, true) > 0.95);
    assert.ok(countInTime(wave, byUrgency, false) >= countInTime(wave, byArrival, false));
  });

  it('does not make long prompts late when the load is 0.8', () => {
    const wave = createWave(0.8, 5);
    const waits = playEngine(wave, computeUrgency);
    assert.ok(countInTime(wave, waits, false) > 0.9);
  });

  it('puts resumed streams first, and a more important request before another of its length', () => {
    const request = { prefillMs: 200, priority: 1, isResumed: false };
    const urgency = computeUrgency(request);
    assert.ok(computeUrgency({ ...request, isResumed: true }) < urgency);
    assert.ok(computeUrgency({ ...request, priority: 0 }) < urgency);
    assert.ok(computeUrgency({ ...request, priority: 2 }) > urgency);
  });

  it('stays within the range that engines accept', () => {
    for (const prefillMs of [0, 1, 1e9, Infinity]) {
      for (const priority of [-1, 0, 7]) {
        const urgency = computeUrgency({ prefillMs, priority, isResumed: false });
        assert.ok(Number.isInteger(urgency) && urgency >= 0 && urgency <= 9, String(urgency));
      }
    }
  });
});
