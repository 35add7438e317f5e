import type { Clock } from '@cactusstair/utils';

const MS_PER_SECOND = 1000;
/** By default the requests of this time can be saved up, but at least one. */
const MAX_SAVED_MS = 1500;

/** A token bucket that starts empty, so that a new rate allows no burst. */
export class RateAllowance {
  private requestsPerSecond = 0;

  private maxTokens = 1;

  private tokens = 0;

  private updatedAtMs: number;

  constructor(private readonly clock: Clock) {
    this.updatedAtMs = clock.monotonicMs();
  }

  /**
   * @param maxSaved requests that can be saved up; by default those of 1,500 ms, but at least one
   */
  setRate(
    requestsPerSecond: number,
    maxSaved = Math.max(1, (requestsPerSecond * MAX_SAVED_MS) / MS_PER_SECOND),
  ): void {
    this.update();
    this.requestsPerSecond = requestsPerSecond;
    this.maxTokens = maxSaved;
    this.tokens = Math.min(this.tokens, maxSaved);
  }

  /** Grants all requests that can be saved up but `missing`. */
  fill(missing = 0): void {
    this.update();
    this.tokens = Math.max(0, this.maxTokens - missing);
  }

  /** Takes the right to send one request; false if there is none now. */
  tryTake(): boolean {
    this.update();
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Returns the time until a request may be sent, in milliseconds; Infinity if none ever may. */
  getWaitMs(): number {
    this.update();
    if (this.tokens >= 1) return 0;
    if (this.requestsPerSecond <= 0) return Infinity;
    return ((1 - this.tokens) / this.requestsPerSecond) * MS_PER_SECOND;
  }

  /** Whether a request that is not sent now is lost, since no more can be saved up. */
  isFull(): boolean {
    this.update();
    return this.tokens >= this.maxTokens;
  }

  private update(): void {
    const nowMs = this.clock.monotonicMs();
    const gained = ((nowMs - this.updatedAtMs) / MS_PER_SECOND) * this.requestsPerSecond;
    this.updatedAtMs = nowMs;
    this.tokens = Math.min(this.maxTokens, this.tokens + gained);
  }
}
