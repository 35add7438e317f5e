import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { WaitingRequest } from '@cactusstair/routing';
import {
  computeQueueOrder,
  PlaceCredit,
  ReturnSchedule,
  RunTimes,
  ServiceQueue,
  WorkspaceUsage,
} from '@cactusstair/routing';
import { ManualClock } from '@cactusstair/utils';
import fc from 'fast-check';

const SEED = 20261206;

function createRequest(overrides: Partial<WaitingRequest> = {}): WaitingRequest {
  return {
    workspace: 'a',
    priority: 1,
    isResumed: false,
    arrivedMs: 0,
    goalStartMs: 1000,
    latestStartMs: 5000,
    workMs: 100,
    value: 1,
    ...overrides,
  };
}

/** A queue that starts requests when the test offers places, and records their names. */
function createQueue(places: number | undefined = undefined) {
  const clock = new ManualClock(0);
  const queue = new ServiceQueue<string>({
    clock,
    random: () => 0.5,
    getExpectedRate: () => places,
  });
  const started: string[] = [];
  const offer = (count: number, isFit: (name: string) => boolean = () => true) => {
    let left = count;
    queue.offer(
      (name) => {
        if (!isFit(name)) return false;
        left -= 1;
        started.push(name);
        return true;
      },
      () => left > 0,
    );
  };
  return { clock, queue, started, offer };
}

describe('ServiceQueue', () => {
  describe('order', () => {
    it('serves resumed streams, then least slack, priority and value for work', () => {
      const { queue, started, offer } = createQueue();
      queue.add('loose', createRequest({ goalStartMs: 4000 }));
      queue.add('cheap', createRequest({ value: 5 }));
      queue.add('first priority', createRequest({ priority: 0 }));
      queue.add('usual', createRequest());
      queue.add('tight', createRequest({ goalStartMs: 90, priority: 9 }));
      queue.add('resumed', createRequest({ isResumed: true, goalStartMs: -1 }));
      offer(6);
      const expected = ['resumed', 'tight', 'first priority', 'cheap', 'usual', 'loose'];
      assert.deepEqual(started, expected);
    });

    it('serves requests that can be in time before those that can only be late', () => {
      const { queue, started, offer } = createQueue();
      queue.add('late', createRequest({ goalStartMs: -1, latestStartMs: 500 }));
      queue.add('in time', createRequest({ goalStartMs: 4000 }));
      offer(2);
      assert.deepEqual(started, ['in time', 'late']);
    });

    it('gives late requests a share while others keep coming', () => {
      const { queue, started, offer } = createQueue();
      queue.add('late', createRequest({ goalStartMs: -1, latestStartMs: 1e6 }));
      for (let index = 0; index < 12; index += 1) queue.add(`request ${index}`, createRequest());
      offer(11);
      assert.ok(started.includes('late'));
      assert.notEqual(started[0], 'late');
    });

    it('holds back the burst of one workspace for the others', () => {
      const { queue, started, offer } = createQueue();
      for (let index = 0; index < 20; index += 1) queue.add(`burst ${index}`, createRequest());
      queue.add('b', createRequest({ workspace: 'b', goalStartMs: 3000 }));
      queue.add('c', createRequest({ workspace: 'c', goalStartMs: 3000 }));
      offer(6);
      // Three times the work of the others is served first, then they are.
      assert.ok(started.indexOf('b') >= 0 && started.indexOf('c') >= 0, started.join());
    });

    it('counts what a workspace was served a moment ago', () => {
      const { queue, started, offer } = createQueue();
      for (let index = 0; index < 20; index += 1) queue.recordStarted(createRequest());
      queue.add('a', createRequest());
      queue.add('b', createRequest({ workspace: 'b', goalStartMs: 3000 }));
      queue.add('c', createRequest({ workspace: 'c', goalStartMs: 3000 }));
      offer(3);
      assert.deepEqual(started, ['b', 'c', 'a']);
    });

    it('gives up the least worth when not all can be in time', () => {
      const usage = new WorkspaceUsage();
      const requests = [
        createRequest({ goalStartMs: 50, value: 1 }),
        createRequest({ goalStartMs: 60, value: 3 }),
        createRequest({ goalStartMs: 110, value: 2 }),
      ];
      const { inTime, others } = computeQueueOrder(requests, usage, 1, 0);
      assert.deepEqual(
        others.map(({ value }) => value),
        [1],
      );
      assert.equal(inTime.length, 2);
    });

    it('passes over a request for which no free place is fit, and offers it the next one', () => {
      const { queue, started, offer } = createQueue();
      queue.add('large', createRequest({ goalStartMs: 100 }));
      queue.add('small', createRequest());
      offer(1, (name) => name === 'small');
      assert.deepEqual(started, ['small']);
      offer(1);
      assert.deepEqual(started, ['small', 'large']);
      assert.equal(queue.length, 0);
    });
  });

  describe('refusals', () => {
    it('refuse a new request whose wait is longer than its time, by position, work and rate', () => {
      const { queue } = createQueue(1);
      for (let index = 0; index < 5; index += 1) {
        queue.add(`${index}`, createRequest({ goalStartMs: 400, latestStartMs: 500 }));
        assert.deepEqual(queue.takeRefusals(`${index}`), []);
      }
      queue.add('late', createRequest({ goalStartMs: -1, latestStartMs: 250 }));
      const [refusal, ...more] = queue.takeRefusals('late');
      assert.deepEqual(more, []);
      assert.equal(refusal?.item, 'late');
      assert.equal(refusal?.reason, 'no_time');
      assert.equal(queue.length, 5);
      assert.equal(queue.remove('late'), false);
    });

    it('refuse nothing by arithmetic while no rate is known', () => {
      const { queue } = createQueue();
      for (let index = 0; index < 100; index += 1) queue.add(`${index}`, createRequest());
      assert.deepEqual(queue.takeRefusals(), []);
    });

    it('come when a request can no longer be complete in time', async () => {
      const { clock, queue } = createQueue(1);
      queue.add('a', createRequest({ latestStartMs: 300 }));
      assert.equal(queue.nextRefusalAtMs, 300);
      await clock.advance(299);
      assert.deepEqual(queue.takeRefusals(), []);
      await clock.advance(1);
      assert.equal(queue.takeRefusals()[0]?.reason, 'expired');
      assert.equal(queue.nextRefusalAtMs, Infinity);
    });

    it('do not follow from a stall of the length of one run', async () => {
      const { clock, queue } = createQueue(2);
      queue.add('a', createRequest({ latestStartMs: 3000, workMs: 500 }));
      queue.add('b', createRequest({ latestStartMs: 3000, workMs: 500 }));
      await clock.advance(800);
      assert.deepEqual(queue.takeRefusals(), []);
    });

    it('meet the last in order when too many wait', () => {
      const { queue } = createQueue();
      for (let index = 0; index < 500; index += 1) queue.add(`${index}`, createRequest());
      queue.add('urgent', createRequest({ priority: 0 }));
      const refusals = queue.takeRefusals('urgent');
      assert.equal(refusals.length, 1);
      assert.equal(refusals[0]?.reason, 'queue_full');
      assert.notEqual(refusals[0]?.item, 'urgent');
    });
  });

  describe('bad input', () => {
    const badNumbers = [NaN, Infinity, -Infinity, -1, 1e300, undefined as unknown as number];

    it('gets the default and keeps nobody from being served', () => {
      const bad = fc.constantFrom(...badNumbers);
      const request = fc.record({
        workspace: fc.constantFrom('a', 'b', '__proto__'),
        priority: bad,
        isResumed: fc.boolean(),
        arrivedMs: bad,
        goalStartMs: bad,
        latestStartMs: fc.constantFrom(NaN, Infinity, 1e300, undefined as unknown as number),
        workMs: bad,
        value: bad,
      });
      const property = fc.property(fc.array(request, { maxLength: 8 }), (requests) => {
        const { queue, started, offer } = createQueue(1);
        requests.forEach((item, index) => queue.add(`bad ${index}`, item));
        queue.add('sound', createRequest());
        queue.takeRefusals();
        offer(9);
        assert.ok(started.includes('sound'));
        assert.equal(queue.length, 0);
        const returnMs = queue.reserveReturn(requests[0] ?? createRequest(), 0);
        assert.ok(returnMs > 0 && returnMs <= 10_100);
      });
      fc.assert(property, { seed: SEED });
    });

    it('does not put a negative priority before the first one', () => {
      const { queue, started, offer } = createQueue();
      queue.add('negative', createRequest({ priority: -5 }));
      queue.add('first', createRequest({ priority: 0 }));
      offer(2);
      assert.deepEqual(started, ['first', 'negative']);
    });
  });

  it('serves or refuses each request once, whatever comes in between', () => {
    const steps = fc.array(
      fc.record({
        workspace: fc.constantFrom('a', 'b', 'c'),
        priority: fc.nat(3),
        goalStartMs: fc.nat(3000),
        latestStartMs: fc.nat(6000),
        workMs: fc.integer({ min: 1, max: 1000 }),
        places: fc.nat(2),
        isLeaving: fc.boolean(),
      }),
      { maxLength: 60 },
    );
    const property = fc.asyncProperty(steps, async (list) => {
      const { clock, queue, started, offer } = createQueue(2);
      const ended: string[] = [];
      for (const [index, { places, isLeaving, ...request }] of list.entries()) {
        const nowMs = clock.monotonicMs();
        const times = {
          goalStartMs: nowMs + request.goalStartMs,
          latestStartMs: nowMs + request.latestStartMs,
        };
        queue.add(`${index}`, createRequest({ ...request, ...times, arrivedMs: nowMs }));
        ended.push(...queue.takeRefusals(`${index}`).map(({ item }) => item));
        if (isLeaving && queue.remove(`${index}`)) ended.push(`${index}`);
        await clock.advance(50);
        offer(places);
      }
      offer(list.length);
      assert.equal(queue.length, 0);
      const all = [...started, ...ended].map(Number).sort((a, b) => a - b);
      assert.deepEqual(
        all,
        list.map((_, index) => index),
      );
    });
    return fc.assert(property, { seed: SEED, numRuns: 50 });
  });
});

describe('ReturnSchedule', () => {
  const caller = { workspace: 'a', priority: 0, workMs: 100, earliestMs: 0 };

  it('spreads callers over the reserved half of the rate', () => {
    const schedule = new ReturnSchedule({ random: () => 0.5 });
    const waits = Array.from({ length: 40 }, (_, index) =>
      schedule.reserve({ ...caller, workspace: `${index}` }, 2, 0),
    );
    // Two places serve 20 such requests a second; ten of them are for callers who return.
    for (let second = 0; second < 4; second += 1) {
      const count = waits.filter((ms) => ms >= second * 1000 && ms < (second + 1) * 1000).length;
      assert.ok(count >= 9 && count <= 11, `${count} callers in second ${second}`);
    }
  });

  it('leaves places to other workspaces when one asks without end', () => {
    const schedule = new ReturnSchedule({ random: () => 0.5 });
    for (let index = 0; index < 1000; index += 1) schedule.reserve(caller, 2, 0);
    assert.ok(schedule.reserve({ ...caller, workspace: 'b' }, 2, 0) < 1000);
  });

  it('lets higher priorities return before lower ones that asked first', () => {
    const schedule = new ReturnSchedule({ random: () => 0.5 });
    for (let index = 0; index < 20; index += 1) {
      schedule.reserve({ ...caller, workspace: `${index}`, priority: 3 }, 2, 0);
    }
    const first = schedule.reserve({ ...caller, workspace: 'b' }, 2, 0);
    const last = schedule.reserve({ ...caller, workspace: 'c', priority: 3 }, 2, 0);
    assert.ok(first < last / 2, `${first} and ${last}`);
  });

  it('forgets the reservations of times that have passed', () => {
    const schedule = new ReturnSchedule({ random: () => 0.5 });
    for (let index = 0; index < 200; index += 1) {
      schedule.reserve({ ...caller, workspace: `${index}` }, 1, 0);
    }
    assert.ok(schedule.reserve(caller, 1, 20_000) < 500);
  });
});

describe('PlaceCredit', () => {
  it('lets all instances together take about as many places as there are', () => {
    const credits = Array.from({ length: 87 }, () => new PlaceCredit());
    let taken = 0;
    for (let nowMs = 0; nowMs < 10_000; nowMs += 250) {
      for (const credit of credits) {
        credit.accrue(20, 1 / credits.length, nowMs);
        while (credit.hasPlace) {
          credit.take();
          taken += 1;
        }
      }
    }
    // 20 places in each of 20 intervals.
    assert.ok(taken > 250 && taken <= 420, `${taken} places`);
  });

  it('saves up no more than is free', () => {
    const credit = new PlaceCredit();
    credit.accrue(100, 0.05, 0);
    for (let nowMs = 500; nowMs < 10_000; nowMs += 500) credit.accrue(100, 0.05, nowMs);
    let taken = 0;
    while (credit.hasPlace) {
      credit.take();
      taken += 1;
    }
    assert.equal(taken, 5);
  });
});

describe('RunTimes', () => {
  it('takes kinds without a run for average ones, and ignores what is no duration', () => {
    const times = new RunTimes();
    assert.equal(times.find('a'), undefined);
    for (const bad of [NaN, -1, Infinity]) times.record('a', bad);
    assert.equal(times.find('a'), undefined);
    times.record('a', 100);
    assert.equal(times.find('b')?.meanMs, 100);
  });

  it('follows a change within some twenty runs', () => {
    const times = new RunTimes();
    for (let index = 0; index < 100; index += 1) times.record('a', 100);
    for (let index = 0; index < 40; index += 1) times.record('a', 300);
    const { meanMs, highMs } = times.find('a')!;
    assert.ok(meanMs > 250 && highMs >= meanMs);
  });
});
