import type { UpstreamNotice } from '../requests/relayRequest.js';
import type { UpstreamRecord } from './upstreamRecord.js';

/** Options of `UpstreamNotices`. */
export interface UpstreamNoticesOptions {
  /** Called when an upstream says something new about itself. */
  onEvent?: (event: 'leaving' | 'limit' | 'paused', fields: Record<string, unknown>) => void;
}

interface NoticeState {
  /** Start of the run of the upstream that the notices are about. */
  startedAtMs: number;
  isLeaving: boolean;
  requestsPerSecond: number | undefined;
}

// Runs of upstreams of which something is remembered; most say nothing about themselves.
const MAX_UPSTREAMS = 10_000;

/** Remembers what upstreams say about themselves in the heads of their answers. */
export class UpstreamNotices {
  private readonly states = new Map<string, NoticeState>();

  constructor(private readonly options: UpstreamNoticesOptions = {}) {}

  /** Records what the head of an answer of an upstream says. */
  record(upstream: UpstreamRecord, notice: UpstreamNotice): void {
    const { onEvent } = this.options;
    const known = this.find(upstream);
    const { isLeaving, requestsPerSecond, pauseMs } = notice;
    if (pauseMs !== undefined) onEvent?.('paused', { upstream: upstream.id, pauseMs });
    if (!known && !isLeaving && requestsPerSecond === undefined) return;
    const state = known ?? this.add(upstream);
    if (isLeaving && !state.isLeaving) {
      state.isLeaving = true;
      onEvent?.('leaving', { upstream: upstream.id });
    }
    if (requestsPerSecond === state.requestsPerSecond) return;
    state.requestsPerSecond = requestsPerSecond;
    onEvent?.('limit', { upstream: upstream.id, requestsPerSecond: requestsPerSecond ?? null });
  }

  private find({ id, startedAtMs }: UpstreamRecord): NoticeState | undefined {
    const state = this.states.get(id);
    return state && startedAtMs <= state.startedAtMs ? state : undefined;
  }

  private add({ id, startedAtMs }: UpstreamRecord): NoticeState {
    const state = { startedAtMs, isLeaving: false, requestsPerSecond: undefined };
    this.states.delete(id);
    this.states.set(id, state);
    const oldest = this.states.size > MAX_UPSTREAMS ? this.states.keys().next() : undefined;
    if (oldest && !oldest.done) this.states.delete(oldest.value);
    return state;
  }
}
