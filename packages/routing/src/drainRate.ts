/** Options of `DrainRate`. */
export interface DrainRateOptions {
  /** Time constant of the moving average, in milliseconds with a backlog. */
  timeConstantMs: number;
  /** Minimum time with a backlog before the rate is available. */
  minBacklogMs: number;
}

/**
 * Measures how much cost leaves a queue per millisecond.
 *
 * Only time with a backlog counts: without a backlog, the rate would equal the arrival rate and an
 * idle pool would look slow.
 */
export class DrainRate {
  private cost = 0;

  private backlogMs = 0;

  private observedMs = 0;

  private updatedAtMs: number;

  constructor(
    nowMs: number,
    private readonly options: DrainRateOptions,
  ) {
    this.updatedAtMs = nowMs;
  }

  /** Advances the time; `backlogged` tells whether requests were waiting since the last call. */
  advance(nowMs: number, backlogged: boolean): void {
    const elapsedMs = nowMs - this.updatedAtMs;
    this.updatedAtMs = nowMs;
    if (!backlogged || elapsedMs <= 0) return;
    const kept = Math.exp(-elapsedMs / this.options.timeConstantMs);
    this.cost *= kept;
    this.backlogMs = this.backlogMs * kept + elapsedMs;
    this.observedMs += elapsedMs;
  }

  /** Counts cost that left the queue. */
  add(cost: number): void {
    this.cost += cost;
  }

  /** Returns the cost per millisecond, or undefined before `minBacklogMs` of backlog. */
  getRate(): number | undefined {
    if (this.observedMs < this.options.minBacklogMs) return undefined;
    return this.cost / this.backlogMs;
  }
}
