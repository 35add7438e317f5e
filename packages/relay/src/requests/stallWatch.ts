import type { Clock } from '@cactusstair/utils';

/** Something that may stop making progress. */
export interface WatchedCall {
  /** Returns why the call counts as stalled, or undefined. */
  describeStall(nowMs: number): string | undefined;
  onStall(reason: string): void;
}

const CHECK_INTERVAL_MS = 100;
/**
 * After a gap of this length between two checks this process did not run, and what the upstreams
 * sent meanwhile has not been read yet.
 */
const PAUSE_GAP_MS = 300;

/** Checks all calls of this instance for progress with one timer. */
export class StallWatch {
  private readonly calls = new Set<WatchedCall>();

  private timer: NodeJS.Timeout | undefined;

  private checkedAtMs = 0;

  constructor(private readonly clock: Clock) {}

  add(call: WatchedCall): void {
    this.calls.add(call);
    if (this.timer) return;
    this.checkedAtMs = this.clock.monotonicMs();
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  remove(call: WatchedCall): void {
    this.calls.delete(call);
    if (this.calls.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** Checks all calls once; the timer calls it. */
  check(): void {
    const nowMs = this.clock.monotonicMs();
    const gapMs = nowMs - this.checkedAtMs;
    this.checkedAtMs = nowMs;
    if (gapMs > PAUSE_GAP_MS) return;
    for (const call of [...this.calls]) {
      const reason = call.describeStall(nowMs);
      if (reason !== undefined) call.onStall(reason);
    }
  }
}
