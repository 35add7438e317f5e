import { computeSilenceLimits, getMinSilenceMs } from '@cactusstair/routing';
import type { SilentStream } from '@cactusstair/routing';

import type { Upstream } from '../upstreams/upstream.js';
import type { MonitoredCall } from './stallMonitor.js';

/** The attempt that is tracked. */
export interface TrackedAttempt {
  readonly upstream: Pick<Upstream, 'lastProgressMs'>;
  cancel(reason: string): void;
}

/** Options of `StreamProgress`. */
export interface StreamProgressOptions {
  /** Longest pause between two events that the route allows. */
  maxEventGapMs: number;
  /** Whether the zone of the upstream is unreachable or it has refused a connection. */
  isUnreachable: () => boolean;
  /** Returns what else is known of the stream and its upstream; called only in long silences. */
  describeStream: () => Omit<SilentStream, 'hasEvents' | 'maxEventGapMs' | 'isUnreachable'>;
  /**
   * Reserves everything that another attempt needs. Returns false if the stream has to stay where
   * it is, because cancelling it would only lose it.
   */
  tryReserveMove: () => boolean;
  /** Called with each pause between two events in which the caller did not hold up the stream. */
  onGap: (gapMs: number) => void;
  getNowMs: () => number;
}

/**
 * Tracks the progress of one attempt at a stream and cancels it when it has stalled. Only events
 * are progress: an upstream in trouble may send other bytes forever.
 */
export class StreamProgress implements MonitoredCall {
  hasEvents = false;

  private progressAtMs: number;

  private isWaitingForCaller = false;

  constructor(
    private readonly attempt: TrackedAttempt,
    private readonly options: StreamProgressOptions,
  ) {
    this.progressAtMs = options.getNowMs();
  }

  recordEvent(): void {
    const nowMs = this.options.getNowMs();
    if (this.hasEvents) this.options.onGap(nowMs - this.progressAtMs);
    this.hasEvents = true;
    this.progressAtMs = nowMs;
  }

  /** Stops the clock while the caller does not read, as nothing is read from the upstream then. */
  startWaitingForCaller(): void {
    this.isWaitingForCaller = true;
  }

  stopWaitingForCaller(): void {
    this.isWaitingForCaller = false;
    this.progressAtMs = this.options.getNowMs();
  }

  describeStall(nowMs: number): string | undefined {
    if (this.isWaitingForCaller) return undefined;
    const silentMs = nowMs - this.progressAtMs;
    const { maxEventGapMs, describeStream } = this.options;
    const isUnreachable = this.options.isUnreachable();
    if (silentMs <= getMinSilenceMs(maxEventGapMs, isUnreachable)) return undefined;
    const upstreamSilentMs = Math.min(silentMs, nowMs - this.attempt.upstream.lastProgressMs);
    const { hasEvents } = this;
    const known = { hasEvents, maxEventGapMs, isUnreachable };
    const limits = computeSilenceLimits({ ...describeStream(), ...known });
    if (upstreamSilentMs > limits.upstreamMs) {
      return `the upstream sent nothing for ${Math.round(upstreamSilentMs)} ms`;
    }
    return silentMs > limits.streamMs ? `no event for ${Math.round(silentMs)} ms` : undefined;
  }

  onStall(reason: string): void {
    if (this.options.tryReserveMove()) this.attempt.cancel(reason);
  }
}
