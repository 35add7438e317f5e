import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { Failure } from '@cactusstair/protocol';
import type { AdmissionQueueOptions, AdmissionRequest, Permit } from '@cactusstair/routing';
import { AdmissionQueue } from '@cactusstair/routing';
import { createRandom, ManualClock } from '@cactusstair/utils';

interface Outcome {
  request: AdmissionRequest;
  permit?: Permit;
  failure?: Failure;
}

/** Waits until pending promises have settled. */
async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

function createQueue(options: AdmissionQueueOptions = {}) {
  const clock = new ManualClock();
  const queue = new AdmissionQueue({ clock, ...options });
  /** Granted permits in order. */
  const granted: Outcome[] = [];
  const refused: Outcome[] = [];
  const send = (changes: Partial<AdmissionRequest> = {}): void => {
    const request: AdmissionRequest = {
      workspace: 'w',
      weight: 1,
      requestClass: 'short',
      cost: 100,
      deadlineMs: 1_000_000,
      ...changes,
    };
    void queue.acquire(request).then((result) => {
      if (result.isOk()) granted.push({ request, permit: result.value });
      else refused.push({ request, failure: result.error });
    });
  };
  /** Releases the oldest permit and waits for the next grant, `count` times. */
  const serve = async (count: number): Promise<AdmissionRequest[]> => {
    const served: AdmissionRequest[] = [];
    await settle();
    for (let index = 0; index < count; index += 1) {
      const next = granted.shift();
      if (!next) break;
      served.push(next.request);
      next.permit!.release();
      await settle();
    }
    return served;
  };
  return { clock, queue, granted, refused, send, serve };
}

function sumCost(requests: AdmissionRequest[], key: (request: AdmissionRequest) => string) {
  const sums: Record<string, number> = {};
  for (const request of requests) sums[key(request)] = (sums[key(request)] ?? 0) + request.cost;
  return sums;
}

describe('AdmissionQueue', () => {
  describe('permits', () => {
    it('grants permits up to the capacity and frees a permit released twice only once', async () => {
      const { queue, granted, send } = createQueue({ capacity: 2 });
      for (let index = 0; index < 4; index += 1) send();
      await settle();
      assert.equal(granted.length, 2);
      granted[0]!.permit!.release();
      granted[0]!.permit!.release();
      await settle();
      assert.equal(granted.length, 3);
      assert.equal(queue.getInUse(), 2);
    });

    it('applies a capacity that shrinks and grows', async () => {
      const { queue, granted, send } = createQueue({ capacity: 3 });
      for (let index = 0; index < 6; index += 1) send();
      await settle();
      queue.setCapacity(1);
      granted[0]!.permit!.release();
      granted[1]!.permit!.release();
      await settle();
      assert.equal(granted.length, 3);
      queue.setCapacity(4);
      await settle();
      assert.equal(granted.length, 6);
    });
  });

  describe('fairness', () => {
    it('shares tokens by weight regardless of the size of the requests', async () => {
      const { queue, send, serve } = createQueue({ capacity: 1, maxQueued: 10_000 });
      for (let index = 0; index < 2000; index += 1) {
        send({ workspace: 'small', cost: 20, weight: 1 });
        send({ workspace: 'big', cost: 500, weight: 1 });
        send({ workspace: 'double', cost: 100, weight: 2 });
      }
      const sums = sumCost(await serve(600), (request) => request.workspace);
      assert.ok(Math.abs(sums.small! / sums.big! - 1) < 0.1, JSON.stringify(sums));
      assert.ok(Math.abs(sums.double! / sums.big! - 2) < 0.2, JSON.stringify(sums));
      await queue.close();
    });

    it('serves a small workspace promptly when a large one has filled the queue', async () => {
      const { queue, refused, send, serve } = createQueue({ capacity: 1, maxQueued: 100 });
      for (let index = 0; index < 101; index += 1) send({ workspace: 'large' });
      await settle();
      send({ workspace: 'small' });
      const served = await serve(4);
      assert.ok(served.some((request) => request.workspace === 'small'));
      assert.deepEqual(
        refused.map(({ request, failure }) => [request.workspace, failure?.name]),
        [['large', 'overloaded']],
      );
      await queue.close();
    });

    it('refuses only requests of the workspace that fills the queue', async () => {
      const { queue, refused, send } = createQueue({ capacity: 1, maxQueued: 50 });
      for (let index = 0; index < 200; index += 1) send({ workspace: 'large' });
      for (let index = 0; index < 10; index += 1) send({ workspace: 'small' });
      await settle();
      assert.equal(queue.getQueueLength(), 50);
      assert.ok(refused.every(({ request }) => request.workspace === 'large'));
      await queue.close();
    });
  });

  describe('classes', () => {
    it('serves short requests first', async () => {
      const { queue, send, serve } = createQueue({ capacity: 1, minLongShare: 0.2 });
      send({ requestClass: 'long', cost: 2000 });
      await settle();
      send({ requestClass: 'long', cost: 2000 });
      send({ requestClass: 'short' });
      const served = await serve(3);
      assert.deepEqual(
        served.map((request) => request.requestClass),
        ['long', 'short', 'long'],
      );
      await queue.close();
    });

    it('does not starve long requests while short ones are always waiting', async () => {
      const { queue, send, serve } = createQueue({ capacity: 1, maxQueued: 10_000 });
      for (let index = 0; index < 4000; index += 1) send({ requestClass: 'short', cost: 50 });
      for (let index = 0; index < 200; index += 1) send({ requestClass: 'long', cost: 1000 });
      const sums = sumCost(await serve(2000), (request) => request.requestClass);
      const share = sums.long! / (sums.long! + sums.short!);
      assert.ok(Math.abs(share - 0.2) < 0.03, `long share ${share}`);
      await queue.close();
    });

    it('gives long requests the full capacity when no short ones are waiting', async () => {
      const { queue, send, serve } = createQueue({ capacity: 1 });
      for (let index = 0; index < 20; index += 1) send({ requestClass: 'long', cost: 1000 });
      assert.equal((await serve(20)).length, 20);
      await queue.close();
    });
  });

  describe('deadlines', () => {
    it('fails a waiting request with queue_timeout at its deadline', async () => {
      const { clock, queue, refused, send } = createQueue({ capacity: 1 });
      send();
      send({ deadlineMs: 500 });
      await settle();
      await clock.advance(499);
      assert.equal(refused.length, 0);
      await clock.advance(1);
      await settle();
      assert.equal(refused[0]?.failure?.name, 'queue_timeout');
      assert.equal(queue.getQueueLength(), 0);
    });

    it('refuses at once when the measured drain rate cannot meet the deadline', async () => {
      const { clock, queue, granted, refused, send } = createQueue({ capacity: 1 });
      for (let index = 0; index < 60; index += 1) send({ deadlineMs: 60_000 });
      await settle();
      // 100 tokens leave the queue per 100 ms: the drain rate is 1 token per millisecond.
      for (let index = 0; index < 20; index += 1) {
        await clock.advance(100);
        granted.shift()!.permit!.release();
        await settle();
      }
      const [{ cost, ...rest }] = [
        { workspace: 'w', weight: 1, requestClass: 'short', cost: 100 } as const,
      ];
      const expectedMs = queue.estimateWaitMs({ ...rest, cost });
      assert.ok(Math.abs(expectedMs - 3900) < 600, `expected wait ${expectedMs}`);
      send({ deadlineMs: 2000 });
      await settle();
      assert.equal(refused[0]?.failure?.name, 'overloaded');
      assert.ok(refused[0]?.failure?.retryAfterMs! > 0);
      send({ deadlineMs: 6000 });
      await settle();
      assert.equal(refused.length, 1);
      await queue.close();
    });

    it('admits a small workspace that can be served in time despite a long queue', async () => {
      const { clock, queue, granted, refused, send } = createQueue({ capacity: 1 });
      for (let index = 0; index < 100; index += 1) send({ workspace: 'large' });
      await settle();
      for (let index = 0; index < 20; index += 1) {
        await clock.advance(100);
        granted.shift()!.permit!.release();
        await settle();
      }
      send({ workspace: 'small', deadlineMs: 1000 });
      await settle();
      assert.equal(refused.length, 0);
      await queue.close();
    });

    it('keeps serving within the deadline when arrivals stay above capacity', async () => {
      const deadlineMs = 1000;
      const { clock, queue, granted, refused, send } = createQueue({ capacity: 4 });
      const waitsMs: number[] = [];
      const random = createRandom(5);
      const sentAtMs = new Map<AdmissionRequest, number>();
      const running: { outcome: Outcome; endsAtMs: number }[] = [];
      let served = 0;
      for (let stepMs = 0; stepMs < 20_000; stepMs += 25) {
        // 60 requests per second arrive; the capacity is 4 per 200 ms, or 20 per second.
        for (let index = 0; index < (stepMs % 50 === 0 ? 1 : 2); index += 1) {
          const cost = 50 + random.nextInt(100);
          send({ deadlineMs, cost });
        }
        await settle();
        for (const outcome of granted.splice(0)) {
          const nowMs = clock.monotonicMs();
          sentAtMs.set(outcome.request, nowMs);
          running.push({ outcome, endsAtMs: nowMs + 200 });
          served += 1;
        }
        await clock.advance(25);
        for (const call of running.filter(({ endsAtMs }) => endsAtMs <= clock.monotonicMs())) {
          running.splice(running.indexOf(call), 1);
          call.outcome.permit!.release();
        }
        waitsMs.push(
          queue.estimateWaitMs({ workspace: 'w', weight: 1, requestClass: 'short', cost: 100 }),
        );
      }
      const early = refused.filter(({ failure }) => failure?.name === 'overloaded').length;
      const late = refused.length - early;
      assert.ok(served >= 380, `${served} served of a capacity of 400`);
      assert.ok(late < early / 4, `${late} timed out, ${early} refused early`);
      assert.ok(queue.getQueueLength() < 60, `${queue.getQueueLength()} wait`);
      assert.ok(Math.max(...waitsMs.slice(80)) < 2 * deadlineMs);
      await queue.close();
    });

    it('does not refuse requests based on the drain rate of an idle period', async () => {
      const { clock, queue, granted, refused, send } = createQueue({ capacity: 2 });
      // Without a backlog, the rate would be the arrival rate and not the capacity.
      for (let index = 0; index < 10; index += 1) {
        send();
        await settle();
        await clock.advance(5000);
        granted.shift()!.permit!.release();
      }
      for (let index = 0; index < 10; index += 1) send({ deadlineMs: 1000 });
      await settle();
      assert.equal(refused.length, 0);
      await queue.close();
    });

    it('accepts requests again after all waiting ones timed out during a stall', async () => {
      const { clock, queue, granted, refused, send } = createQueue({ capacity: 1 });
      for (let index = 0; index < 10; index += 1) send({ deadlineMs: 2000 });
      await settle();
      await clock.advance(10_000);
      assert.equal(refused.length, 9);
      granted.shift()!.permit!.release();
      send({ deadlineMs: 2000 });
      await settle();
      assert.equal(granted.length, 1);
      await queue.close();
    });
  });

  describe('abort', () => {
    it('removes an aborted request from the queue and grants it no permit', async () => {
      const { queue, granted, refused, send } = createQueue({ capacity: 1 });
      const controller = new AbortController();
      send();
      send({ signal: controller.signal });
      send();
      await settle();
      controller.abort();
      await settle();
      assert.equal(queue.getQueueLength(), 1);
      granted[0]!.permit!.release();
      await settle();
      assert.equal(granted.length, 2);
      assert.equal(refused.length, 1);
      await queue.close();
    });

    it('refuses a request whose signal is already aborted', async () => {
      const { granted, refused, send } = createQueue({ capacity: 1 });
      send({ signal: AbortSignal.abort() });
      await settle();
      assert.equal(granted.length, 0);
      assert.equal(refused.length, 1);
    });
  });

  it('refuses all waiting requests on close', async () => {
    const { queue, refused, send } = createQueue({ capacity: 0 });
    send();
    send({ requestClass: 'long' });
    await settle();
    await queue.close();
    send();
    await settle();
    assert.deepEqual(
      refused.map(({ failure }) => failure?.name),
      ['stopping', 'stopping', 'stopping'],
    );
  });

  it('keeps no state for workspaces without queued requests', async () => {
    const { queue, granted, send } = createQueue({ capacity: 1, maxQueued: 10 });
    for (let index = 0; index < 1000; index += 1) {
      send({ workspace: `w${index}` });
      await settle();
      granted.shift()?.permit!.release();
      await settle();
    }
    granted.shift()?.permit!.release();
    assert.equal(queue.getQueueLength(), 0);
    const { flows } = (queue as unknown as { queues: { short: { flows: Map<string, unknown> } } })
      .queues.short;
    assert.equal(flows.size, 0);
  });
});
