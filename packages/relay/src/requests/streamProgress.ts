import type { Attempt } from './attempt.js';
import type { MonitoredCall } from './stallMonitor.js';

// An upstream that has sent nothing on any connection for this long is considered dead.
const SILENT_UPSTREAM_TIMEOUT_MS = 700;
/** The same when its zone is known to be unreachable. */
const UNREACHABLE_ZONE_TIMEOUT_MS = 250;
/** Prompt processing at an upstream may take this many times its estimate. */
const PREFILL_TIMEOUT_FACTOR = 2;
const MAX_PREFILL_TIMEOUT_MS = 3000;
// In latency goals; after this wait for a first event, another upstream is faster in most cases.
const FIRST_EVENT_TIMEOUT_GOALS = 1.6;
/** In maximum event gaps; a longer pause moves a stream even if its upstream serves others. */
const EVENT_TIMEOUT_GAPS = 1.6;

/** Options of `StreamProgress`. */
export interface StreamProgressOptions {
  /** Time within which the first event is due, in milliseconds. */
  latencyGoalMs: number;
  /** Longest pause between two events of a healthy stream, in milliseconds. */
  maxEventGapMs: number;
  /**
   * Reserves everything that another attempt needs. Returns false if the stream has to stay where
   * it is, because cancelling it would only lose it.
   */
  tryReserveMove: () => boolean;
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
    private readonly attempt: Attempt,
    private readonly options: StreamProgressOptions,
  ) {
    this.progressAtMs = options.getNowMs();
  }

  recordEvent(): void {
    this.hasEvents = true;
    this.progressAtMs = this.options.getNowMs();
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
    const { context, upstream } = this.attempt;
    const upstreamSilentMs = Math.min(silentMs, nowMs - upstream.lastProgressMs);
    // An engine sends nothing while it processes prompts, whichever instance sent them.
    const prefillTimeoutMs = Math.min(
      MAX_PREFILL_TIMEOUT_MS,
      PREFILL_TIMEOUT_FACTOR * upstream.backlogMs,
    );
    const timeoutMs = context.reachability.isUnreachable(upstream.record.zone)
      ? UNREACHABLE_ZONE_TIMEOUT_MS
      : SILENT_UPSTREAM_TIMEOUT_MS + prefillTimeoutMs;
    if (upstreamSilentMs > timeoutMs) {
      return `the upstream sent nothing for ${Math.round(timeoutMs)} ms`;
    }
    const limitMs = this.hasEvents
      ? EVENT_TIMEOUT_GAPS * this.options.maxEventGapMs
      : FIRST_EVENT_TIMEOUT_GOALS * this.options.latencyGoalMs + prefillTimeoutMs;
    return silentMs > limitMs ? `no event for ${Math.round(silentMs)} ms` : undefined;
  }

  onStall(reason: string): void {
    if (this.options.tryReserveMove()) this.attempt.cancel(reason);
  }
}
