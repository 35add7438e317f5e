import type { Clock } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';

/** Options of `RetryBudget`. */
export interface RetryBudgetOptions {
  clock?: Clock;
  /** Extra upstream calls per recent request. Default 0.1. */
  ratio?: number;
  /** Extra calls allowed per window in addition to the ratio. Default 3. */
  minPerWindow?: number;
  /** Replaces `minPerWindow` with a value that can change over time. */
  getMinPerWindow?: () => number;
  /** Length of the sliding window. Default 10,000. */
  windowMs?: number;
}

const BUCKET_COUNT = 10;

interface Bucket {
  index: number;
  requests: number;
  taken: number;
}

/**
 * Limits the upstream calls beyond the first one of each request. Retries, cascade steps and hedged
 * calls of an instance share one budget, so that they cannot multiply each other.
 */
export class RetryBudget {
  private readonly clock: Clock;

  private readonly ratio: number;

  private readonly getMinPerWindow: () => number;

  private readonly bucketMs: number;

  private readonly buckets: Bucket[] = Array.from({ length: BUCKET_COUNT }, () => ({
    index: -Infinity,
    requests: 0,
    taken: 0,
  }));

  constructor(options: RetryBudgetOptions = {}) {
    this.clock = options.clock ?? systemClock;
    this.ratio = options.ratio ?? 0.1;
    const { minPerWindow = 3 } = options;
    this.getMinPerWindow = options.getMinPerWindow ?? (() => minPerWindow);
    this.bucketMs = (options.windowMs ?? 10_000) / BUCKET_COUNT;
  }

  /** Counts the first attempt of a request. */
  recordRequest(): void {
    this.getBucket().requests += 1;
  }

  /** Takes one extra call; false if the budget is used up and the caller gets the failure. */
  tryTake(): boolean {
    const bucket = this.getBucket();
    const { requests, taken } = this.sumWindow(bucket.index);
    if (taken + 1 > requests * this.ratio + this.getMinPerWindow()) return false;
    bucket.taken += 1;
    return true;
  }

  /** Returns an extra call that was taken and not used. */
  giveBack(): void {
    const bucket = this.getBucket();
    bucket.taken -= 1;
  }

  private getBucket(): Bucket {
    const index = Math.floor(this.clock.monotonicMs() / this.bucketMs);
    const bucket = this.buckets[index % BUCKET_COUNT]!;
    if (bucket.index !== index) Object.assign(bucket, { index, requests: 0, taken: 0 });
    return bucket;
  }

  private sumWindow(currentIndex: number): { requests: number; taken: number } {
    let requests = 0;
    let taken = 0;
    for (const bucket of this.buckets) {
      if (currentIndex - bucket.index >= BUCKET_COUNT) continue;
      requests += bucket.requests;
      taken += bucket.taken;
    }
    return { requests, taken };
  }
}
