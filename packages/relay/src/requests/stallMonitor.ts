import type { Clock } from '@cactusstair/utils';

/** A call that is checked for progress. */
export interface MonitoredCall {
  /** Returns the reason if the call has stalled, else undefined. */
  describeStall(nowMs: number): string | undefined;
  onStall(reason: string): void;
}

const CHECK_INTERVAL_MS = 100;
/**
 * A longer gap between two checks means that this process was paused: data that arrived meanwhile
 * has not been read yet, so the check is skipped.
 */
const PAUSE_GAP_MS = 300;
/** A later check shows that this process is slow itself, so the time before it proves no stall. */
const MAX_ON_TIME_GAP_MS = 150;

/** Checks all calls of this instance for progress with one timer. */
export class StallMonitor {
  private readonly calls = new Set<MonitoredCall>();

  private timer: NodeJS.Timeout | undefined;

  private checkedAtMs = 0;

  private punctualMs = 0;

  constructor(private readonly clock: Clock) {}

  /**
   * Time for which checks were on time, in milliseconds. It stands still while this process is too
   * slow to serve its connections.
   */
  get onTimeMs(): number {
    return this.punctualMs;
  }

  add(call: MonitoredCall): void {
    this.calls.add(call);
    if (this.timer) return;
    this.checkedAtMs = this.clock.monotonicMs();
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  remove(call: MonitoredCall): void {
    this.calls.delete(call);
    if (this.calls.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** Checks all calls once; called by the timer. */
  check(): void {
    const nowMs = this.clock.monotonicMs();
    const gapMs = nowMs - this.checkedAtMs;
    this.checkedAtMs = nowMs;
    if (gapMs <= MAX_ON_TIME_GAP_MS) this.punctualMs += gapMs;
    if (gapMs > PAUSE_GAP_MS) return;
    for (const call of [...this.calls]) {
      const reason = call.describeStall(nowMs);
      if (reason !== undefined) call.onStall(reason);
    }
  }
}
