/** Options of `DrainRate`. */
export interface DrainRateOptions {
  /** Time constant of the measurement, in milliseconds of backlog. */
  timeConstantMs: number;
  /** Backlog time before the rate is known. */
  minBacklogMs: number;
}

/**
 * Measures how much cost leaves a queue per millisecond.
 *
 * Only time with a backlog counts: without one, the rate would be the arrival rate, and a quiet
 * pool would look slow.
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

  /** Moves time forward; `backlogged` says whether requests waited since the last call. */
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

  /** Cost per millisecond; undefined before there was enough backlog to measure. */
  getRate(): number | undefined {
    if (this.observedMs < this.options.minBacklogMs) return undefined;
    return this.cost / this.backlogMs;
  }
}
