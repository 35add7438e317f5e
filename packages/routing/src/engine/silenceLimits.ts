import type { LogNormal } from './logSums.js';
import { computeQuantile } from './logSums.js';

/** What is known of a stream from which nothing arrives, and of its upstream. */
export interface SilentStream {
  /** Whether the caller has received an event of this run. */
  hasEvents: boolean;
  /** Time within which the first event is due. */
  latencyGoalMs: number;
  /** Longest pause between two events that the route allows. */
  maxEventGapMs: number;
  /** Learned time between two events of the model at an upstream as full as this one. */
  gap: LogNormal;
  /** Learned waits for a first event relative to the expected ones. */
  waitRatio: LogNormal;
  /** Expected wait for the first event of this run. */
  firstEventMs: number;
  /** Prompts that wait or are read at the upstream, in milliseconds of its time. */
  promptQueueMs: number;
  /** Whether the zone is unreachable or a connection to the upstream was refused. */
  isUnreachable: boolean;
  /** Expected wait for the first event at another upstream; Infinity when none has room. */
  replacementMs: number;
}

/** Silence after which a stream is given up, in milliseconds. */
export interface SilenceLimits {
  /** Silence on all connections to the upstream. */
  upstreamMs: number;
  /** Silence of this stream while its upstream sends others. */
  streamMs: number;
}

/** Standard deviations to the quantiles of 0.999 and 0.99. */
const GAP_DEVIATIONS = 3.09;
const WAIT_DEVIATIONS = 2.33;
/** Spread that is assumed at least, since pauses are seldom sampled. */
const MIN_GAP_DEVIATION = 0.5;
/** An unreachable upstream is left after this time, which covers a few round trips. */
const UNREACHABLE_TIMEOUT_MS = 250;
/** Share of the allowed pause for which a silent upstream is waited for in any case. */
const MIN_PAUSE_SHARE = 0.8;
// In allowed pauses and latency goals. A late stream that goes on is worth more than another run,
// unless its upstream has lost it.
const STREAM_TIMEOUT_FACTOR = 1.6;
// Callers abandon a stream after the longest of these.
const MIN_CALLER_PATIENCE_MS = 2000;
const CALLER_PATIENCE_GOALS = 4;
const CALLER_PATIENCE_GAPS = 8;
/** Covers the interval between two checks and the way to the caller. */
const PATIENCE_MARGIN_MS = 200;

/** Returns the silence before which no stream is given up, whatever is expected. */
export function getMinSilenceMs(maxEventGapMs: number, isUnreachable: boolean): number {
  const waitedMs = MIN_PAUSE_SHARE * maxEventGapMs;
  return isUnreachable ? UNREACHABLE_TIMEOUT_MS : Math.max(UNREACHABLE_TIMEOUT_MS, waitedMs);
}

/**
 * Computes how long a silent stream is waited for. Serves engines that send nothing on any stream
 * while they read prompts, and events that hold many tokens of a slow model: both look like an
 * upstream that has stopped.
 */
export function computeSilenceLimits(stream: SilentStream): SilenceLimits {
  const { gap, waitRatio, latencyGoalMs, maxEventGapMs } = stream;
  const waitFactor = Math.max(1, computeQuantile(waitRatio, WAIT_DEVIATIONS));
  const gapMs = computeQuantile(
    { median: gap.median, deviation: Math.max(MIN_GAP_DEVIATION, gap.deviation) },
    GAP_DEVIATIONS,
  );
  const expectedMs = stream.hasEvents
    ? gapMs + waitFactor * stream.promptQueueMs
    : waitFactor * Math.max(stream.firstEventMs, stream.promptQueueMs);
  const replacementMs = Number.isFinite(stream.replacementMs) ? stream.replacementMs : 0;
  const patienceMs = Math.max(
    MIN_CALLER_PATIENCE_MS,
    CALLER_PATIENCE_GOALS * latencyGoalMs,
    CALLER_PATIENCE_GAPS * maxEventGapMs,
  );
  const minMs = getMinSilenceMs(maxEventGapMs, stream.isUnreachable);
  const lastMs = Math.max(minMs, patienceMs - replacementMs - PATIENCE_MARGIN_MS);
  // Later than this, the pause exceeds what the route allows whichever upstream goes on.
  const usefulMs = maxEventGapMs - replacementMs;
  const upstreamMs = stream.isUnreachable ? minMs : Math.max(minMs, expectedMs, usefulMs);
  const dueMs = stream.hasEvents ? maxEventGapMs : Math.max(latencyGoalMs, maxEventGapMs);
  const streamMs = Math.max(expectedMs, STREAM_TIMEOUT_FACTOR * dueMs);
  return {
    upstreamMs: Math.min(lastMs, upstreamMs),
    streamMs: Math.min(lastMs, streamMs),
  };
}
