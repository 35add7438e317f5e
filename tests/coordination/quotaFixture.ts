import type { ObjectStore, QuotaLeaseOptions } from '@cactusstair/coordination';
import { MemoryObjectStore, QuotaLease } from '@cactusstair/coordination';
import type { Random } from '@cactusstair/utils';
import { createRandom, LifecycleManager, ManualClock } from '@cactusstair/utils';

import { runPending } from './runUntil.js';

export const WORKSPACE = 'club';
export const WINDOW_MS = 60_000;
const STEP_MS = 50;

/** One instance that consumes tokens of the workspace. */
export interface QuotaInstance {
  quota: QuotaLease;
  lifecycle: LifecycleManager;
}

/** Instances that share one limit; `offer` sends them requests in steps of 50 ms. */
export class QuotaFixture {
  readonly clock = new ManualClock(100 * WINDOW_MS);

  readonly memory = new MemoryObjectStore();

  readonly instances: QuotaInstance[] = [];

  readonly random: Random;

  instanceCount: number;

  constructor(
    seed: number,
    readonly limit: number,
    count: number,
    options: Partial<QuotaLeaseOptions> = {},
    store: (memory: MemoryObjectStore, clock: ManualClock) => ObjectStore = (memory) => memory,
  ) {
    this.random = createRandom(seed);
    this.instanceCount = count;
    const shared = store(this.memory, this.clock);
    for (let index = 0; index < count; index += 1) {
      const lifecycle = new LifecycleManager();
      const quota = new QuotaLease({
        store: shared,
        clock: this.clock,
        random: createRandom(seed + index + 1),
        lifecycle,
        instance: `i${index}`,
        incarnation: 1,
        getInstanceCount: () => this.instanceCount,
        ...options,
      });
      this.instances.push({ quota, lifecycle });
    }
  }

  /**
   * Offers requests of `tokens` tokens for `durationMs`, `demand` times the limit in all, to the
   * given instances, and returns the tokens served.
   */
  async offer(
    durationMs: number,
    demand: number,
    tokens: number,
    instances: readonly QuotaInstance[] = this.instances,
  ): Promise<number> {
    let served = 0;
    let due = 0;
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      due += (demand * this.limit * STEP_MS) / WINDOW_MS / tokens;
      for (; due >= 1; due -= 1) {
        const instance = instances[this.random.nextInt(instances.length)];
        if (instance?.quota.tryConsume(WORKSPACE, this.limit, tokens).isOk()) served += tokens;
      }
      await this.clock.advance(STEP_MS);
      await runPending();
    }
    return served;
  }
}
