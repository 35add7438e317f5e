import type { Clock } from '@cactusstair/utils';

/** Options of `WriteRateLimiter`. */
export interface WriteRateOptions {
  clock: Clock;
  /** Sustained rate of writes. */
  writesPerSecond: number;
  /** Writes that may start without delay after an idle time. */
  burst: number;
}

/** Limits the rate of writes to the object API, whatever the rate of requests. */
export class WriteRateLimiter {
  private nextAtMs = -Infinity;

  constructor(private readonly options: WriteRateOptions) {}

  /** Resolves when the next write may start, or when `signal` aborts. */
  async acquire(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    this.recordWrite();
    const delayMs = this.nextAtMs - clock.monotonicMs();
    if (delayMs > 0) await clock.sleep(delayMs, signal);
  }

  /** Counts a write that starts without waiting, such as a retry; it delays later writes. */
  recordWrite(): void {
    const { clock, writesPerSecond, burst } = this.options;
    const intervalMs = 1000 / writesPerSecond;
    const earliestMs = clock.monotonicMs() - burst * intervalMs;
    this.nextAtMs = Math.max(this.nextAtMs, earliestMs) + intervalMs;
  }
}
