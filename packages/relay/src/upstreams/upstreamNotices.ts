import type { UpstreamLimits } from '@cactusstair/routing';

import type { UpstreamNotice } from '../requests/relayRequest.js';
import type { UpstreamRecord } from './upstreamRecord.js';

/** Options of `UpstreamNotices`. */
export interface UpstreamNoticesOptions {
  limits: UpstreamLimits;
  /** Called when an upstream says something new about itself. */
  onEvent?: (event: 'leaving' | 'limit' | 'paused', fields: Record<string, unknown>) => void;
}

const MAX_LEAVING = 10_000;

/**
 * Remembers what upstreams say about themselves in the heads of their answers, and whether they
 * accept a request now.
 */
export class UpstreamNotices {
  /** Start of the run that said that it leaves, by upstream id. Entries outlive the list's. */
  private readonly leaving = new Map<string, number>();

  constructor(private readonly options: UpstreamNoticesOptions) {}

  /** Records what the head of an answer of an upstream says. */
  record(upstream: UpstreamRecord, notice: UpstreamNotice): void {
    const { limits, onEvent } = this.options;
    const { isLeaving, requestsPerSecond, pauseMs } = notice;
    if (pauseMs !== undefined) onEvent?.('paused', { upstream: upstream.id, pauseMs });
    if (limits.record(upstream.id, requestsPerSecond)) {
      onEvent?.('limit', { upstream: upstream.id, requestsPerSecond: requestsPerSecond ?? null });
    }
    if (isLeaving && !this.isLeaving(upstream)) {
      this.addLeaving(upstream);
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
    return this.options.limits.getWaitMs(id);
  }

  /** Whether an upstream takes more requests than this instance sends to it. */
  hasSpare({ id }: UpstreamRecord): boolean {
    return this.options.limits.hasSpare(id);
  }

  /** Counts a request that is sent to an upstream. */
  recordSent({ id }: UpstreamRecord): void {
    this.options.limits.tryTake(id);
  }

  /** Forgets the limit that an earlier run of an upstream named. */
  forget({ id }: UpstreamRecord): void {
    this.options.limits.forget(id);
  }

  private addLeaving({ id, startedAtMs }: UpstreamRecord): void {
    this.leaving.delete(id);
    this.leaving.set(id, startedAtMs);
    const oldest = this.leaving.size > MAX_LEAVING ? this.leaving.keys().next() : undefined;
    if (oldest && !oldest.done) this.leaving.delete(oldest.value);
  }
}
