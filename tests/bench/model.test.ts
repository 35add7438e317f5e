import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { EngineCall } from '@cactusstair/bench';
import { EventLoop, FakeEngine, InstanceView } from '@cactusstair/bench';
import { createRandom } from '@cactusstair/utils';

function createEngine(loop: EventLoop, changes: { slots?: number; cacheBlocks?: number } = {}) {
  return new FakeEngine(loop, createRandom(1), {
    name: 'engine',
    zone: 'a',
    slots: 4,
    cacheBlocks: 100,
    blockTokens: 128,
    ...changes,
  });
}

interface CallRecord {
  firstTokenMs?: number;
  gapsMs: number[];
  doneMs?: number;
  failure?: string;
}

function submit(loop: EventLoop, engine: FakeEngine, changes: Partial<EngineCall> = {}) {
  const startedAtMs = loop.monotonicMs();
  const record: CallRecord = { gapsMs: [] };
  const call: EngineCall = {
    prefixHashes: [],
    promptTokens: 256,
    outputTokens: 10,
    onFirstToken: () => {
      record.firstTokenMs = loop.monotonicMs() - startedAtMs;
    },
    onToken: (gapMs) => {
      record.gapsMs.push(gapMs);
    },
    onDone: () => {
      record.doneMs = loop.monotonicMs() - startedAtMs;
    },
    onFailed: (reason) => {
      record.failure = reason;
    },
    ...changes,
  };
  engine.submit(call);
  return { call, record };
}

describe('EventLoop', () => {
  it('runs events in time order, and events of equal time in scheduling order', async () => {
    const loop = new EventLoop();
    const order: string[] = [];
    for (const [delayMs, name] of [
      [20, 'c'],
      [10, 'a'],
      [10, 'b'],
      [30, 'd'],
    ] as const) {
      loop.schedule(delayMs, () => order.push(`${name}${loop.monotonicMs()}`));
    }
    const dropped = loop.schedule(15, () => order.push('dropped'));
    dropped.cancelled = true;
    await loop.runUntil(25);
    assert.deepEqual(order, ['a10', 'b10', 'c20']);
    assert.equal(loop.monotonicMs(), 25);
  });

  it('runs many random events in time order, on which all results depend', async () => {
    const loop = new EventLoop();
    const random = createRandom(3);
    const seen: number[] = [];
    const expected: number[] = [];
    for (let event = 0; event < 2000; event += 1) {
      const delayMs = random.nextInt(500);
      expected.push(delayMs);
      loop.schedule(delayMs, () => seen.push(loop.monotonicMs()));
    }
    await loop.runUntil(1000);
    assert.deepEqual(
      seen,
      expected.sort((a, b) => a - b),
    );
  });

  it('resolves sleeps in simulated time or on abort', async () => {
    const loop = new EventLoop();
    const woken: number[] = [];
    void loop.sleep(5000).then(() => woken.push(loop.monotonicMs()));
    const controller = new AbortController();
    void loop.sleep(9000, controller.signal).then(() => woken.push(loop.monotonicMs()));
    loop.schedule(7000, () => {
      controller.abort();
      loop.schedulePromiseFlush();
    });
    await loop.runUntil(20_000);
    assert.deepEqual(woken, [5000, 7000]);
  });
});

describe('FakeEngine', () => {
  it('increases the time between tokens with the batch size', async () => {
    const loop = new EventLoop();
    const alone = submit(loop, createEngine(loop)).record;
    await loop.runUntil(10_000);
    const engine = createEngine(loop);
    const shared = [1, 2, 3, 4].map(() => submit(loop, engine).record);
    await loop.runUntil(20_000);
    assert.equal(alone.gapsMs.length, 9);
    assert.ok(shared[0]!.gapsMs.at(-1)! > alone.gapsMs.at(-1)!);
  });

  it('queues calls above its slots', async () => {
    const loop = new EventLoop();
    const engine = createEngine(loop, { slots: 1 });
    const [first, second] = [submit(loop, engine).record, submit(loop, engine).record];
    assert.deepEqual(engine.getLoad(), { active: 1, queued: 1 });
    await loop.runUntil(10_000);
    assert.ok(second.firstTokenMs! > first.doneMs!);
  });

  it('answers a prompt faster while it is cached', async () => {
    const loop = new EventLoop();
    const engine = createEngine(loop, { cacheBlocks: 8 });
    const prompt = { prefixHashes: ['a1', 'a2', 'a3', 'a4'], promptTokens: 4 * 128 };
    const cold = submit(loop, engine, prompt).record;
    await loop.runUntil(10_000);
    const warm = submit(loop, engine, prompt).record;
    await loop.runUntil(20_000);
    for (const name of ['b', 'c']) {
      const prefixHashes = [1, 2, 3, 4].map((block) => `${name}${block}`);
      submit(loop, engine, { prefixHashes, promptTokens: 512 });
    }
    await loop.runUntil(30_000);
    const evicted = submit(loop, engine, prompt).record;
    await loop.runUntil(40_000);
    assert.ok(warm.firstTokenMs! < cold.firstTokenMs!);
    assert.ok(Math.abs(evicted.firstTokenMs! - cold.firstTokenMs!) < 0.01);
  });

  it('fails its calls on a crash, refuses new calls and serves again after recovery', async () => {
    const loop = new EventLoop();
    const engine = createEngine(loop);
    const running = submit(loop, engine).record;
    await loop.runUntil(30);
    engine.fail();
    const refused = submit(loop, engine).record;
    await loop.runUntil(100);
    assert.deepEqual([running.failure, refused.failure], ['crash', 'status']);
    assert.equal(running.doneMs, undefined);
    engine.recover();
    const served = submit(loop, engine).record;
    await loop.runUntil(1000);
    assert.notEqual(served.doneMs, undefined);
  });

  it('drops a cancelled call and frees its slot', async () => {
    const loop = new EventLoop();
    const engine = createEngine(loop, { slots: 1 });
    const { call, record } = submit(loop, engine);
    const next = submit(loop, engine).record;
    loop.schedule(20, () => engine.cancel(call));
    await loop.runUntil(1000);
    assert.equal(record.doneMs, undefined);
    assert.notEqual(next.doneMs, undefined);
  });
});

describe('InstanceView', () => {
  it('shows the load with a delay and counts requests sent since the report', async () => {
    const loop = new EventLoop();
    const engine = createEngine(loop);
    const view = new InstanceView(loop, createRandom(2), 'a', [engine]);
    await loop.runUntil(5000);
    submit(loop, engine, { outputTokens: 1000 });
    view.recordSent('engine', []);
    const [before] = view.listViews();
    assert.equal(before!.reported?.active, 0);
    assert.equal(before!.sentSinceReport, 1);
    await loop.runUntil(8000);
    const [after] = view.listViews();
    assert.equal(after!.reported?.active, 1);
    assert.equal(after!.sentSinceReport, 0);
    assert.equal(after!.outstanding, 1);
  });
});
