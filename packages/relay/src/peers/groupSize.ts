import type { Clock } from '@cactusstair/utils';

/** The number of instances is counted this often; it changes seldom. */
const COUNT_INTERVAL_MS = 250;
/** A smaller number is taken over only after this time without a larger one. */
const SHRINK_AFTER_MS = 30_000;

/**
 * Number of instances among which places are divided. An instance that hears nothing of the others
 * still divides by the last known number: most of them serve callers as before.
 */
export class GroupSize {
  private size = 1;

  private countedAtMs = -Infinity;

  /** When the size was last confirmed by a count. */
  private seenAtMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly countInstances: () => number,
  ) {}

  get(): number {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.countedAtMs < COUNT_INTERVAL_MS) return this.size;
    this.countedAtMs = nowMs;
    const count = Math.max(1, this.countInstances());
    if (count >= this.size || nowMs - this.seenAtMs >= SHRINK_AFTER_MS) {
      this.size = count;
      this.seenAtMs = nowMs;
    }
    return this.size;
  }
}
