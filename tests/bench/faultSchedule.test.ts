import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { createFaultSchedule, soakTargets } from '@cactusstair/bench';

const DURATION_MS = 120_000;

describe('createFaultSchedule', () => {
  it('creates the same schedule for the same seed, so that a violation can be reproduced', () => {
    const first = createFaultSchedule(7, DURATION_MS, soakTargets);
    assert.deepEqual(createFaultSchedule(7, DURATION_MS, soakTargets), first);
    assert.notDeepEqual(createFaultSchedule(8, DURATION_MS, soakTargets), first);
  });

  it('never overlaps faults on one target, since clearing one would clear the other', () => {
    const busyUntilMs = new Map<string, number>();
    for (const { kind, target, atMs, durationMs } of createFaultSchedule(
      3,
      DURATION_MS,
      soakTargets,
    )) {
      if (/^(rollout|withdraw)/.test(kind)) continue;
      assert.ok((busyUntilMs.get(target) ?? 0) <= atMs, `${kind} at ${atMs} ms on ${target}`);
      busyUntilMs.set(target, atMs + durationMs);
    }
  });

  it('draws every kind of fault in a run of two minutes', () => {
    const kinds = new Set(createFaultSchedule(5, DURATION_MS, soakTargets).map(({ kind }) => kind));
    assert.equal(kinds.size, 27);
  });
});
