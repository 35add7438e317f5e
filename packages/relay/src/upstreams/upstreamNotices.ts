import type { UpstreamLimits } from '@cactusstair/routing';

import type { UpstreamNotice } from '../requests/relayRequest.js';
import type { UpstreamRecord } from './upstreamRecord.js';

/** Options of `UpstreamNotices`. */
export interface UpstreamNoticesOptions {
  limits: UpstreamLimits;
  /** Called when an upstream says something new about itself. */
  onEvent?: (event: 'leaving' | 'limit' | 'paused', fields: Record<string, unknown>) => void;
}

interface NoticeState {
  /** Start of the run of the upstream that the notices are about. */
  startedAtMs: number;
  isLeaving: boolean;
}

// Runs of upstreams of which something is remembered; most say nothing about themselves.
const MAX_UPSTREAMS = 10_000;

/**
 * Remembers what upstreams say about themselves in the heads of their answers, and whether they
 * accept a request now.
 */
export class UpstreamNotices {
  private readonly states = new Map<string, NoticeState>();

  constructor(private readonly options: UpstreamNoticesOptions) {}

  /** Records what the head of an answer of an upstream says. */
  record(upstream: UpstreamRecord, notice: UpstreamNotice): void {
    const { limits, onEvent } = this.options;
    const known = this.find(upstream);
    const { isLeaving, requestsPerSecond, pauseMs } = notice;
    if (pauseMs !== undefined) onEvent?.('paused', { upstream: upstream.id, pauseMs });
    if (limits.record(upstream.id, requestsPerSecond)) {
      onEvent?.('limit', { upstream: upstream.id, requestsPerSecond: requestsPerSecond ?? null });
    }
    if (known || !isLeaving) return;
    this.add(upstream).isLeaving = true;
    onEvent?.('leaving', { upstream: upstream.id });
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

  /** Forgets what an earlier run of an upstream said. */
  forget({ id }: UpstreamRecord): void {
    this.options.limits.forget(id);
  }

  private find({ id, startedAtMs }: UpstreamRecord): NoticeState | undefined {
    const state = this.states.get(id);
    return state && startedAtMs <= state.startedAtMs ? state : undefined;
  }

  private add({ id, startedAtMs }: UpstreamRecord): NoticeState {
    const state = { startedAtMs, isLeaving: false };
    this.states.delete(id);
    this.states.set(id, state);
    const oldest = this.states.size > MAX_UPSTREAMS ? this.states.keys().next() : undefined;
    if (oldest && !oldest.done) this.states.delete(oldest.value);
    return state;
  }
}
