import type { Clock } from '@cactusstair/utils';

/** Time after the first event at which the pace of a stream is measured, if it has not ended. */
const MEASURE_AFTER_MS = 1000;

/**
 * Measures once how fast an upstream sends the events of a stream. A slow stream is measured while
 * it runs, because the slowest ones end last, or not at all.
 */
export class StreamPace {
  private firstAtMs: number | undefined;

  private gaps = 0;

  private isMeasured = false;

  /**
   * @param onPace called with the mean time between two events, in milliseconds, and whether the
   * stream ran on after it was measured
   */
  constructor(
    private readonly clock: Clock,
    private readonly onPace: (paceMs: number, isLong: boolean) => void,
  ) {}

  recordEvent(): void {
    const nowMs = this.clock.monotonicMs();
    if (this.firstAtMs === undefined) {
      this.firstAtMs = nowMs;
      return;
    }
    this.gaps += 1;
    if (nowMs - this.firstAtMs >= MEASURE_AFTER_MS) this.measure(true);
  }

  recordEnd(): void {
    if (this.gaps > 0) this.measure(false);
  }

  private measure(isLong: boolean): void {
    if (this.isMeasured) return;
    this.isMeasured = true;
    this.onPace((this.clock.monotonicMs() - this.firstAtMs!) / this.gaps, isLong);
  }
}
