import type { Upstream } from '../upstreams/upstream.js';
import type { RelayRequest } from './relayRequest.js';

// Backlog of the average engine, in multiples of the request's latency goal. The pressure is 0 up
// to the first value and 1 from the second, above which most answers of the larger model would be
// late.
const MIN_PRESSURE_BACKLOG_GOALS = 0.1;
const MAX_PRESSURE_BACKLOG_GOALS = 0.6;
// The same two bounds for the share of occupied slots.
const MIN_PRESSURE_RUNNING_SHARE = 0.35;
const MAX_PRESSURE_RUNNING_SHARE = 0.8;

/** Estimates the number of tokens of an answer. */
export function estimateOutputTokens(request: RelayRequest): number {
  const hint = request.outputTokensHint ?? request.maxOutputTokens;
  return request.maxOutputTokens > 0 ? Math.min(hint, request.maxOutputTokens) : hint;
}

/** Maps `value` from the range `low` to `high` to a number from 0 to 1. */
function normalize(value: number, low: number, high: number): number {
  return Math.min(1, Math.max(0, (value - low) / (high - low)));
}

/** Estimates the load of a set of engines relative to a latency goal, from 0 to 1. */
export function estimatePressure(upstreams: readonly Upstream[], latencyGoalMs: number): number {
  if (upstreams.length === 0) return 1;
  let backlogMs = 0;
  let running = 0;
  let slots = 0;
  for (const upstream of upstreams) {
    backlogMs += upstream.backlogMs;
    running += upstream.running;
    slots += upstream.record.slots;
  }
  return Math.max(
    normalize(
      backlogMs / upstreams.length / latencyGoalMs,
      MIN_PRESSURE_BACKLOG_GOALS,
      MAX_PRESSURE_BACKLOG_GOALS,
    ),
    normalize(running / slots, MIN_PRESSURE_RUNNING_SHARE, MAX_PRESSURE_RUNNING_SHARE),
  );
}

/**
 * Estimates the processing time of a model size relative to the engine's base speed. The smallest
 * of several sizes takes about a tenth of the time of the largest.
 */
export function estimateTimeFactor(sizeIndex: number, sizeCount: number): number {
  if (sizeCount <= 1) return 1;
  return 0.3 * 10 ** (sizeIndex / (sizeCount - 1));
}
