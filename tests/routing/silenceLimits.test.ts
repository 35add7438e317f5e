import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { computeSilenceLimits, getMinSilenceMs } from '@cactusstair/routing';
import type { SilentStream } from '@cactusstair/routing';

const stream: SilentStream = {
  hasEvents: true,
  latencyGoalMs: 2000,
  maxEventGapMs: 1000,
  gap: { median: 40, deviation: 0.4 },
  waitRatio: { median: 1, deviation: 0.3 },
  firstEventMs: 300,
  promptQueueMs: 0,
  isUnreachable: false,
  replacementMs: 150,
};

const compute = (overrides: Partial<SilentStream> = {}) =>
  computeSilenceLimits({ ...stream, ...overrides });

describe('computeSilenceLimits', () => {
  // Streams were given up after 700 ms although the engine was reading prompts.
  it('waits for the prompts that wait at the upstream', () => {
    const queued = compute({ promptQueueMs: 1500 });
    assert.ok(queued.upstreamMs > 2 * 1500, `${queued.upstreamMs}`);
  });

  it('waits for events that hold many tokens of a slow model', () => {
    const slow = compute({ gap: { median: 600, deviation: 0.4 } });
    assert.ok(slow.upstreamMs > 2000, `${slow.upstreamMs}`);
  });

  it('waits for the allowed pause when less is expected', () => {
    assert.ok(compute().upstreamMs >= 0.8 * stream.maxEventGapMs);
    assert.ok(compute({ replacementMs: Infinity }).upstreamMs >= stream.maxEventGapMs);
  });

  it('leaves a silent upstream while a replacement can keep the allowed pause', () => {
    assert.ok(compute().upstreamMs + stream.replacementMs <= stream.maxEventGapMs);
  });

  // A stream that its upstream has lost would otherwise hang until its caller leaves.
  it('leaves any upstream before callers abandon the stream', () => {
    const queues = [0, 1000, 100_000];
    for (const promptQueueMs of queues) {
      for (const hasEvents of [true, false]) {
        const { upstreamMs, streamMs } = compute({ promptQueueMs, hasEvents });
        const patienceMs = Math.max(2000, 4 * stream.latencyGoalMs, 8 * stream.maxEventGapMs);
        assert.ok(Math.max(upstreamMs, streamMs) + stream.replacementMs < patienceMs);
      }
    }
  });

  it('leaves an unreachable upstream at once, whatever is expected of it', () => {
    assert.ok(compute({ isUnreachable: true, promptQueueMs: 5000 }).upstreamMs <= 250);
  });

  // Streams are examined only after this time, which must not hide a shorter limit.
  it('has no limit below the shortest silence', () => {
    for (const isUnreachable of [true, false]) {
      for (const replacementMs of [0, 500, 100_000, Infinity]) {
        for (const hasEvents of [true, false]) {
          const limits = compute({ isUnreachable, replacementMs, hasEvents });
          const minMs = getMinSilenceMs(stream.maxEventGapMs, isUnreachable);
          assert.ok(Math.min(limits.upstreamMs, limits.streamMs) >= minMs);
        }
      }
    }
  });

  it('does not take one refused connection for the silence of a stream that goes on', () => {
    assert.equal(compute({ isUnreachable: true }).streamMs, compute().streamMs);
  });
});
