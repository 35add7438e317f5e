/** Token bucket with a burst of one second. */
export class RateLimiter {
  private tokens = Infinity;

  private lastMs = performance.now();

  /** Takes one token; an undefined rate always allows. */
  tryTake(ratePerSecond: number | undefined): boolean {
    if (ratePerSecond === undefined) return true;
    const nowMs = performance.now();
    const refill = ((nowMs - this.lastMs) / 1000) * ratePerSecond;
    this.lastMs = nowMs;
    this.tokens = Math.min(Math.max(1, ratePerSecond), this.tokens + refill);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
