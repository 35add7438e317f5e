import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { ColdBound, KnownInstances } from '@cactusstair/routing';
import { ColdLimits, computeColdQuota } from '@cactusstair/routing';
import type { Random } from '@cactusstair/utils';
import { createRandom, ManualClock } from '@cactusstair/utils';
import fc from 'fast-check';

const SEED = 41;
const WINDOW_MS = 1000;
const STEP_MS = 25;
/** Time in which reachable instances hear of one that has started. */
const HEARD_MS = 2000;
/** Time after which an instance that has started counts as introduced. */
const INTRODUCED_MS = 3000;
/** Latest time at which an instance reads that an upstream was added. */
const MAX_LIST_DELAY_MS = 2000;
const SIZES = [1, 7, 64, 300];

function createBound(requestsPerSecond: number, overage: number, slack: number): ColdBound {
  return { requestsPerSecond, maxRequests: requestsPerSecond * overage + slack };
}

/** Bound of a deployment's settings: one and a half times the rate, and 5. */
const bound = createBound(3, 1.5, 5);

/** An instance that sends to each cold upstream whenever its share allows it. */
interface Sender {
  name: string;
  limits: ColdLimits;
  startedAtMs: number;
  listDelayMs: number;
  /** Time after which it hears of no other instance any more. */
  cutOffAtMs: number;
}

/** A fleet in which each instance knows those that the store named at its start, and hears of more. */
class Fleet {
  readonly clock = new ManualClock(10_000);

  readonly senders: Sender[] = [];

  /** Times of the requests to each upstream. */
  readonly sent = new Map<string, number[]>();

  constructor(private readonly random: Random) {}

  add(options: Partial<Sender> = {}): Sender {
    const sender: Sender = {
      name: `instance-${this.senders.length}`,
      limits: new ColdLimits({
        clock: this.clock,
        getInstances: () => this.describeKnown(sender),
      }),
      startedAtMs: -Infinity,
      listDelayMs: this.random.next() * MAX_LIST_DELAY_MS,
      cutOffAtMs: Infinity,
      ...options,
    };
    this.senders.push(sender);
    return sender;
  }

  /**
   * Runs the fleet; every instance sends as much as it may to all upstreams.
   *
   * @param burstMs interval between bursts for which all save up; 0 to send all the time
   */
  async run(
    upstreams: readonly string[],
    durationMs: number,
    each: ColdBound,
    burstMs = 0,
  ): Promise<void> {
    const startMs = this.clock.monotonicMs();
    for (let step = 0; step * STEP_MS < durationMs; step += 1) {
      const nowMs = this.clock.monotonicMs();
      for (const { limits, listDelayMs, startedAtMs } of this.senders) {
        if (nowMs < startedAtMs || nowMs - startMs < listDelayMs) continue;
        if (step % 10 === 0) limits.refresh();
        if (burstMs > 0 && (nowMs - startMs) % burstMs < burstMs - WINDOW_MS) continue;
        for (const upstream of upstreams) this.sendAll(limits, upstream, each);
      }
      await this.clock.advance(STEP_MS);
    }
  }

  /** Returns the largest number of requests that an upstream received in one second. */
  getPeak(): number {
    let peak = 0;
    for (const times of this.sent.values()) {
      let first = 0;
      for (let index = 0; index < times.length; index += 1) {
        while (times[index]! - times[first]! >= WINDOW_MS) first += 1;
        peak = Math.max(peak, index - first + 1);
      }
    }
    return peak;
  }

  countSent(): number {
    return [...this.sent.values()].reduce((sum, times) => sum + times.length, 0);
  }

  private sendAll(limits: ColdLimits, upstream: string, each: ColdBound): void {
    const times = this.sent.get(upstream) ?? [];
    this.sent.set(upstream, times);
    while (limits.getWaitMs(upstream, each) <= 0) {
      limits.recordSent(upstream);
      times.push(this.clock.monotonicMs());
    }
  }

  private describeKnown(self: Sender): KnownInstances {
    const nowMs = Math.min(this.clock.monotonicMs(), self.cutOffAtMs);
    const others = this.senders
      .filter(({ startedAtMs }) => startedAtMs <= Math.max(self.startedAtMs, nowMs - HEARD_MS))
      .map(({ name }) => name)
      .filter((name) => name !== self.name);
    return {
      self: self.name,
      others,
      count: others.length + 1,
      isIntroduced: this.clock.monotonicMs() - self.startedAtMs >= INTRODUCED_MS,
    };
  }
}

function listUpstreams(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `upstream-${index}`);
}

describe('computeColdQuota', () => {
  it('divides the requests of a second whole among the ranks', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 400 }),
        fc.double({ min: 0, max: 300, noNaN: true }),
        (size, max) => {
          let sum = 0;
          for (let rank = 0; rank < size; rank += 1) sum += computeColdQuota(rank, size, max);
          assert.equal(sum, Math.floor(max));
        },
      ),
      { seed: SEED },
    );
  });

  // Instances know groups of different sizes; none may take more because it knows more.
  it('gives no more when a further instance is known', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 400 }),
        fc.integer({ min: 0, max: 399 }),
        fc.double({ min: 0, max: 300, noNaN: true }),
        (size, rank, max) => {
          const quota = computeColdQuota(rank, size, max);
          assert.ok(computeColdQuota(rank, size + 1, max) <= quota);
          assert.ok(computeColdQuota(rank + 1, size + 1, max) <= quota);
        },
      ),
      { seed: SEED },
    );
  });
});

describe('ColdLimits', () => {
  SIZES.forEach((size) => {
    describe(`of ${size} instances`, () => {
      // Cold upstreams crashed under what many instances sent at once (FAILBACK on a small day).
      [0, 4000, 7000].forEach((burstMs) => {
        const title = `keeps each second within the bound as instances come and go (${burstMs} ms)`;
        it(title, async () => {
          const fleet = new Fleet(createRandom(SEED));
          const nowMs = fleet.clock.monotonicMs();
          for (let index = 0; index < size; index += 1) {
            const isLate = index % 5 === 4;
            fleet.add({
              ...(isLate ? { startedAtMs: nowMs + 500 * (index % 17) } : {}),
              ...(index % 7 === 3 ? { cutOffAtMs: nowMs + 9000 } : {}),
            });
          }
          await fleet.run(listUpstreams(4), 15_000, bound, burstMs);
          assert.ok(fleet.getPeak() <= bound.maxRequests, `${fleet.getPeak()} in a second`);
          assert.ok(fleet.countSent() > 0);
        });
      });

      it('keeps the bound for any rate and slack', async () => {
        const random = createRandom(SEED);
        for (const each of [
          createBound(0.2, 1, 0),
          createBound(1, 1, 0),
          createBound(1, 1, 1),
          createBound(5, 1, 0),
          createBound(12, 1.5, 5),
          createBound(40, 1.1, 2),
        ]) {
          const fleet = new Fleet(random);
          for (let index = 0; index < size; index += 1) fleet.add();
          await fleet.run(listUpstreams(1), 12_000, each, 4000);
          assert.ok(
            fleet.getPeak() <= each.maxRequests,
            `${fleet.getPeak()} for ${each.maxRequests}`,
          );
        }
      });

      // A bound that only refuses would keep the limit and serve nobody.
      it('sends what the rate allows to a pool that is cold as a whole', async () => {
        const fleet = new Fleet(createRandom(SEED));
        for (let index = 0; index < size; index += 1) fleet.add({ listDelayMs: 0 });
        const upstreams = listUpstreams(6);
        const durationMs = 12_000;
        await fleet.run(upstreams, durationMs, bound);
        const allowed = (upstreams.length * bound.requestsPerSecond * durationMs) / 1000;
        assert.ok(fleet.countSent() >= 0.9 * allowed, `${fleet.countSent()} of ${allowed}`);
      });
    });
  });

  // All holders sent their first request at once, to an upstream that had just started.
  it('spreads the first requests of the instances', async () => {
    const fleet = new Fleet(createRandom(SEED));
    for (let index = 0; index < 64; index += 1) fleet.add({ listDelayMs: 0 });
    await fleet.run(listUpstreams(3), 10_000, bound);
    assert.ok(fleet.getPeak() <= bound.requestsPerSecond + 1, `${fleet.getPeak()} in a second`);
  });

  it('lets an instance send nothing before the others can know it', () => {
    const clock = new ManualClock();
    const known = { self: 'a', others: [], count: 1, isIntroduced: false };
    const limits = new ColdLimits({ clock, getInstances: () => known });
    limits.refresh();
    assert.equal(limits.getWaitMs('upstream', bound), Infinity);
    known.isIntroduced = true;
    limits.refresh();
    assert.equal(limits.getWaitMs('upstream', bound), 0);
  });

  it('counts instances whose names are not known as if they came first', () => {
    const clock = new ManualClock();
    const count = Math.floor(bound.maxRequests);
    const getInstances = () => ({ self: 'a', others: [], count: count + 1, isIntroduced: true });
    const limits = new ColdLimits({ clock, getInstances });
    limits.refresh();
    assert.equal(limits.getWaitMs('upstream', bound), Infinity);
  });

  // Requests that were sent before an upstream became cold again count within the same second.
  it('grants nothing at once if requests were sent just before', async () => {
    const clock = new ManualClock();
    const getInstances = () => ({ self: 'a', others: [], count: 1, isIntroduced: true });
    const limits = new ColdLimits({ clock, getInstances });
    limits.refresh();
    limits.recordSent('upstream');
    await clock.advance(100);
    assert.ok(limits.getWaitMs('upstream', bound) > 0);
    limits.end('upstream');
    await clock.advance(2000);
    assert.equal(limits.getWaitMs('upstream', bound), 0);
  });
});
