import type { Clock } from '@cactusstair/utils';

/** Options of `WriteRateLimiter`. */
export interface WriteRateOptions {
  clock: Clock;
  /** Sustained rate of writes. */
  writesPerSecond: number;
  /** Writes that may follow each other at once after a quiet time. */
  burst: number;
}

/** Spaces writes to the object API, so that their number grows with time and not with requests. */
export class WriteRateLimiter {
  private nextAtMs = -Infinity;

  constructor(private readonly options: WriteRateOptions) {}

  /** Resolves when the next write may start, or when `signal` aborts. */
  async acquire(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    this.charge();
    const delayMs = this.nextAtMs - clock.monotonicMs();
    if (delayMs > 0) await clock.sleep(delayMs, signal);
  }

  /** Counts a write that starts now, such as a retry; later writes wait for it instead. */
  charge(): void {
    const { clock, writesPerSecond, burst } = this.options;
    const intervalMs = 1000 / writesPerSecond;
    const earliestMs = clock.monotonicMs() - burst * intervalMs;
    this.nextAtMs = Math.max(this.nextAtMs, earliestMs) + intervalMs;
  }
}
