/** Time constant of the moving average, in milliseconds during which requests wait. */
const TIME_CONSTANT_MS = 3000;
/**
 * Weight of the expected rate, as time during which requests wait. Places come free one by one, so
 * in the first moments of a queue none or several of them say little about the rate.
 */
const PRIOR_MS = 1000;

/**
 * Measures how much work leaves a queue per millisecond, that is, how many places it uses. Only
 * time with waiting requests counts: otherwise the rate would be that of the arrivals.
 */
export class PlaceRate {
  private workMs = 0;

  private waitingMs = 0;

  private updatedAtMs: number;

  constructor(nowMs: number) {
    this.updatedAtMs = nowMs;
  }

  /** Advances the time; `isWaiting` tells whether requests have waited since the last call. */
  advance(nowMs: number, isWaiting: boolean): void {
    const elapsedMs = nowMs - this.updatedAtMs;
    this.updatedAtMs = nowMs;
    if (!isWaiting || elapsedMs <= 0) return;
    const kept = Math.exp(-elapsedMs / TIME_CONSTANT_MS);
    this.workMs *= kept;
    this.waitingMs = this.waitingMs * kept + elapsedMs;
  }

  /** Counts the work of a request that has left the queue to run. */
  add(workMs: number): void {
    this.workMs += workMs;
  }

  /** @param expected rate to assume as long as little is measured */
  getRate(expected: number): number {
    return (this.workMs + expected * PRIOR_MS) / (this.waitingMs + PRIOR_MS);
  }
}
