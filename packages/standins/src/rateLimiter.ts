/** Token bucket whose capacity is the tokens of one second. */
export class RateLimiter {
  private tokens = Infinity;

  private lastMs = performance.now();

  /** Takes one token if there is one; without a rate there is no limit. */
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
