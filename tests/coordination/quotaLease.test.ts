import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { createRandom } from '@cactusstair/utils';

import type { CallOutcome } from './faultyStore.js';
import { FaultyStore } from './faultyStore.js';
import { QuotaFixture, WINDOW_MS, WORKSPACE } from './quotaFixture.js';
import { runPending } from './runUntil.js';

const LIMIT = 70_000;
const INSTANCES = 7;
const TOKENS = 100;

describe('QuotaLease', () => {
  describe('with the object API', () => {
    it('serves between 95% and 110% of the limit when the demand exceeds it', async (t) => {
      const fixture = new QuotaFixture(1, LIMIT, INSTANCES);
      for (let window = 0; window < 3; window += 1) {
        const served = await fixture.offer(WINDOW_MS, 3, TOKENS);
        t.diagnostic(`window ${window}: served ${served} of ${LIMIT}`);
        assert.ok(served <= LIMIT * 1.1, `${served} served`);
        assert.ok(served >= LIMIT * 0.95, `${served} served`);
      }
    });

    it('serves 95% to 110% of the limit on one instance when only that one has requests', async () => {
      const fixture = new QuotaFixture(2, LIMIT, INSTANCES);
      const served = await fixture.offer(WINDOW_MS, 2, TOKENS, fixture.instances.slice(0, 1));
      assert.ok(served >= LIMIT * 0.95 && served <= LIMIT * 1.1, `${served} served`);
    });

    it('refuses nothing while the demand is below the limit', async () => {
      const fixture = new QuotaFixture(3, LIMIT, INSTANCES);
      const served = await fixture.offer(WINDOW_MS, 0.5, TOKENS);
      assert.ok(served >= LIMIT * 0.5 - TOKENS, `${served} served`);
    });

    it('serves a first request that is larger than the advance', () => {
      const fixture = new QuotaFixture(4, 1000, INSTANCES);
      const [instance] = fixture.instances;
      assert.ok(instance?.quota.tryConsume(WORKSPACE, 1000, 400).isOk());
    });

    it('makes far fewer writes than requests, and larger chunks at a higher rate', async () => {
      const countWrites = async (limit: number) => {
        const fixture = new QuotaFixture(5, limit, INSTANCES);
        await fixture.offer(WINDOW_MS, 0.8, TOKENS);
        return fixture.memory.calls.write;
      };
      const [low, high] = [await countWrites(70_000), await countWrites(700_000)];
      // 560 and 5,600 requests.
      assert.ok(low <= 110, `${low} writes`);
      assert.ok(high <= low * 2, `${high} writes at ten times the rate, ${low} before`);
    });

    it('returns the unused chunk of an instance that becomes idle, for use by the others', async () => {
      const fixture = new QuotaFixture(6, LIMIT, 2);
      const [a, b] = fixture.instances;
      assert.ok(a && b);
      const first = await fixture.offer(10_000, 2, TOKENS, [a]);
      const second = await fixture.offer(WINDOW_MS - 10_000, 4, TOKENS, [b]);
      assert.ok(first + second >= LIMIT * 0.97, `${first + second} served`);
      assert.ok(first + second <= LIMIT * 1.1, `${first + second} served`);
    });

    it('returns all unused tokens when the instance stops', async () => {
      const fixture = new QuotaFixture(7, LIMIT, 2);
      const [a] = fixture.instances;
      assert.ok(a);
      const served = await fixture.offer(5000, 1, TOKENS, [a]);
      await a.lifecycle.close();
      const { value } = (await fixture.memory.get('quota', WORKSPACE))._unsafeUnwrap();
      assert.equal((value as { remaining: number }).remaining, LIMIT - served);
    });

    it('serves refunded tokens again, but not more than the allowance', async () => {
      const fixture = new QuotaFixture(8, 1000, 1);
      const [instance] = fixture.instances;
      assert.ok(instance);
      await fixture.offer(5000, 30, 100);
      assert.ok(instance.quota.tryConsume(WORKSPACE, 1000, 100).isErr());
      instance.quota.refund(WORKSPACE, 100);
      assert.ok(instance.quota.tryConsume(WORKSPACE, 1000, 100).isOk());
      instance.quota.refund(WORKSPACE, 50_000);
      let served = 0;
      while (instance.quota.tryConsume(WORKSPACE, 1000, 100).isOk()) served += 100;
      assert.ok(served <= 1000, `${served} served`);
    });

    it('returns a retry time when the window is used up, and serves in the next window', async () => {
      const fixture = new QuotaFixture(9, 1000, 1);
      const [instance] = fixture.instances;
      assert.ok(instance);
      await fixture.offer(20_000, 30, 100);
      const failure = instance.quota.tryConsume(WORKSPACE, 1000, 100)._unsafeUnwrapErr();
      assert.equal(failure.name, 'quota_exceeded');
      assert.ok((failure.retryAfterMs ?? 0) > 0);
      await fixture.clock.advance(40_000);
      assert.ok(instance.quota.tryConsume(WORKSPACE, 1000, 100).isOk());
    });

    it('applies a limit that is lowered or raised within a window', async () => {
      const fixture = new QuotaFixture(10, LIMIT, 1);
      const [instance] = fixture.instances;
      assert.ok(instance);
      await fixture.offer(10_000, 3, TOKENS);
      const consume = async (limit: number) => {
        let served = 0;
        for (let step = 0; step < 200; step += 1) {
          if (instance.quota.tryConsume(WORKSPACE, limit, TOKENS).isOk()) served += TOKENS;
          await fixture.clock.advance(50);
          await runPending();
        }
        return served;
      };
      // 35,000 of 70,000 are consumed or leased; a limit of 1,000 leaves at most the chunk.
      await consume(1000);
      assert.equal(await consume(1000), 0);
      assert.ok((await consume(LIMIT)) > 0);
    });

    it('does not limit a workspace without a limit', () => {
      const fixture = new QuotaFixture(11, 0, 1);
      assert.ok(fixture.instances[0]?.quota.tryConsume(WORKSPACE, 0, 1e12).isOk());
      assert.equal(fixture.memory.calls.read, 0);
    });

    it('ignores a window number that comes from a wrong clock', async () => {
      const fixture = new QuotaFixture(12, LIMIT, 1);
      await fixture.memory.create('quota', WORKSPACE, {
        window: 1e9,
        limitPerMinute: LIMIT,
        remaining: 0,
        changeId: 'x.1',
      });
      assert.ok((await fixture.offer(WINDOW_MS, 2, TOKENS)) >= LIMIT * 0.95);
    });
  });

  describe('lost answers', () => {
    for (const fate of ['lost_answer', 'lost_request', 'late'] as const) {
      it(`serves at most twice the limit with failed writes, then about the limit (${fate})`, async () => {
        const random = createRandom(13);
        let fates: CallOutcome[] = [fate];
        const stores: FaultyStore[] = [];
        const fixture = new QuotaFixture(13, LIMIT, INSTANCES, {}, (memory, clock) => {
          const store = new FaultyStore(memory, {
            delay: () => clock.sleep(random.nextInt(40)),
            chooseOutcome: (operation) =>
              operation !== 'get' && random.nextInt(3) === 0 ? (fates[0] ?? 'normal') : 'normal',
          });
          stores.push(store);
          return store;
        });
        let served = 0;
        for (let part = 0; part < 6; part += 1) {
          served += await fixture.offer(WINDOW_MS / 6, 3, TOKENS);
          await stores[0]?.deliverLateWrites();
        }
        assert.ok(served <= LIMIT * 2, `${served} served`);
        fates = [];
        const next = await fixture.offer(WINDOW_MS, 3, TOKENS);
        assert.ok(next <= LIMIT * 1.1 && next >= LIMIT * 0.9, `${next} served`);
      });
    }
  });

  describe('without the object API', () => {
    it('serves the static share of each instance from the start', async () => {
      const fixture = new QuotaFixture(14, LIMIT, INSTANCES);
      fixture.memory.fault = 'unavailable';
      const [first] = fixture.instances;
      assert.ok(first);
      const served = await fixture.offer(WINDOW_MS, 3, TOKENS);
      assert.ok(served <= LIMIT && served >= LIMIT * 0.95, `${served} served`);
      const alone = await fixture.offer(WINDOW_MS, 3, TOKENS, [first]);
      assert.ok(alone <= LIMIT / INSTANCES, `${alone} served by one instance`);
    });

    it('serves at most twice the limit in the window of the failure, then the limit', async (t) => {
      for (const healthyMs of [1000, 10_000, 30_000]) {
        const fixture = new QuotaFixture(15, LIMIT, INSTANCES);
        const [first] = fixture.instances;
        assert.ok(first);
        // One instance leases a large part, then the others serve their shares.
        const before = await fixture.offer(healthyMs, 4, TOKENS, [first]);
        fixture.memory.fault = 'unavailable';
        const after = await fixture.offer(WINDOW_MS - healthyMs, 4, TOKENS);
        const total = before + after;
        t.diagnostic(`failure after ${healthyMs} ms: ${(total / LIMIT).toFixed(2)} of the limit`);
        assert.ok(total <= LIMIT * 2, `${total} served`);
        const next = await fixture.offer(WINDOW_MS, 4, TOKENS);
        assert.ok(next <= LIMIT, `${next} served in the next window`);
      }
    });

    it('does not raise the shares when other instances seem lost in a network partition', async () => {
      const fixture = new QuotaFixture(16, LIMIT, INSTANCES);
      await fixture.offer(WINDOW_MS, 1, TOKENS);
      fixture.memory.fault = 'unavailable';
      fixture.instanceCount = 3;
      await fixture.offer(WINDOW_MS, 3, TOKENS);
      for (let window = 0; window < 5; window += 1) {
        const served = await fixture.offer(WINDOW_MS, 3, TOKENS);
        assert.ok(served <= LIMIT, `${served} served`);
      }
    });

    it('leases tokens again after the outage', async () => {
      const fixture = new QuotaFixture(17, LIMIT, INSTANCES);
      fixture.memory.fault = 'unavailable';
      await fixture.offer(WINDOW_MS, 3, TOKENS);
      fixture.memory.fault = 'none';
      const [first] = fixture.instances;
      assert.ok(first);
      const served = await fixture.offer(WINDOW_MS, 2, TOKENS, [first]);
      assert.ok(served >= LIMIT * 0.9, `${served} served`);
    });
  });
});
