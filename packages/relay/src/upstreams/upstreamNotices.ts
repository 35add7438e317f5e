import type { UpstreamLimits, UpstreamNotice } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import type { ColdUpstreams } from './coldUpstreams.js';
import type { UpstreamRecord } from './upstreamRecord.js';

/** Options of `UpstreamNotices`. */
export interface UpstreamNoticesOptions {
  clock: Clock;
  limits: UpstreamLimits;
  cold: ColdUpstreams;
  /** Called when an upstream says something new about itself. */
  onEvent?: (event: 'leaving' | 'limit' | 'paused', fields: Record<string, unknown>) => void;
}

const MAX_UPSTREAMS = 10_000;

/** Adds an entry as the newest one; removes the oldest when there are too many. */
function putNewest(entries: Map<string, number>, id: string, value: number): void {
  entries.delete(id);
  entries.set(id, value);
  const oldest = entries.size > MAX_UPSTREAMS ? entries.keys().next() : undefined;
  if (oldest && !oldest.done) entries.delete(oldest.value);
}

/**
 * Remembers what upstreams say about themselves in the heads of their answers, and whether they
 * accept a request now.
 */
export class UpstreamNotices {
  /** Start of the run that said that it leaves, by upstream id. Entries outlive the list's. */
  private readonly leaving = new Map<string, number>();

  /** End of the pause that an upstream has asked for, on the monotonic clock, by its id. */
  private readonly pausedUntilMs = new Map<string, number>();

  constructor(private readonly options: UpstreamNoticesOptions) {}

  /** Records what the head of an answer of an upstream says. */
  record(upstream: UpstreamRecord, notice: UpstreamNotice): void {
    const { limits, onEvent } = this.options;
    const { isLeaving, requestsPerSecond, pauseMs } = notice;
    if (pauseMs !== undefined) this.recordPause(upstream, pauseMs);
    if (limits.record(upstream.id, requestsPerSecond)) {
      onEvent?.('limit', { upstream: upstream.id, requestsPerSecond: requestsPerSecond ?? null });
    }
    if (isLeaving && !this.isLeaving(upstream)) {
      putNewest(this.leaving, upstream.id, upstream.startedAtMs);
      onEvent?.('leaving', { upstream: upstream.id });
    }
  }

  /** Whether this run of an upstream has said that it leaves. */
  isLeaving({ id, startedAtMs }: UpstreamRecord): boolean {
    const leavingRunMs = this.leaving.get(id);
    return leavingRunMs !== undefined && startedAtMs <= leavingRunMs;
  }

  /** Returns the time until an upstream accepts a request of this instance, in milliseconds. */
  getWaitMs({ id }: UpstreamRecord): number {
    const { cold, limits } = this.options;
    return Math.max(this.getPauseLeftMs(id), limits.getWaitMs(id), cold.getWaitMs(id));
  }

  /** Whether an upstream was cold when it was last looked at. */
  get hasCold(): boolean {
    return this.options.cold.count > 0;
  }

  /** Whether an upstream warms up and takes few requests until then. */
  isCold({ id }: UpstreamRecord): boolean {
    return this.options.cold.isCold(id);
  }

  /** Whether an upstream takes more requests than this instance sends to it. */
  hasSpare({ id }: UpstreamRecord): boolean {
    return this.options.limits.hasSpare(id);
  }

  /** Counts a request that is sent to an upstream. */
  recordSent({ id }: UpstreamRecord): void {
    this.options.limits.tryTake(id);
    this.options.cold.recordSent(id);
  }

  /** Records that a connection to an upstream was opened. */
  recordReached({ id }: UpstreamRecord): void {
    this.options.cold.recordReached(id);
  }

  /** Forgets what an earlier run of an upstream said. */
  forget({ id }: UpstreamRecord): void {
    this.pausedUntilMs.delete(id);
    this.options.limits.forget(id);
  }

  /** Records a pause; a shorter one does not end a longer one. */
  private recordPause({ id }: UpstreamRecord, pauseMs: number): void {
    const { clock, onEvent } = this.options;
    const leftMs = this.getPauseLeftMs(id);
    if (leftMs <= 0) onEvent?.('paused', { upstream: id, pauseMs });
    putNewest(this.pausedUntilMs, id, clock.monotonicMs() + Math.max(leftMs, pauseMs));
  }

  private getPauseLeftMs(id: string): number {
    const untilMs = this.pausedUntilMs.get(id);
    if (untilMs === undefined) return 0;
    const leftMs = untilMs - this.options.clock.monotonicMs();
    if (leftMs <= 0) this.pausedUntilMs.delete(id);
    return Math.max(0, leftMs);
  }
}
