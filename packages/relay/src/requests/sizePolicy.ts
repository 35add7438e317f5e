import type { Upstream } from '../upstreams/upstream.js';
import type { RelayRequest } from './relayRequest.js';

/**
 * Thresholds for keeping a smaller model's answer. The engines' confidence values are not
 * calibrated; the thresholds come from docs/cascades.md, which measures the share of adequate
 * answers against them.
 */
export interface SizePolicyOptions {
  /** Lowest accepted confidence when prompt tokens are most of the price, from 0 to 1. */
  promptHeavyConfidence: number;
  /** Lowest accepted confidence when generated tokens are a large part of the price. */
  outputHeavyConfidence: number;
  /** Amount by which both thresholds are lowered when the engines are fully loaded. */
  fullLoadReduction: number;
  /** Upper bound on the threshold when the larger model would miss the latency goal. */
  maxLateConfidence: number;
}

export const defaultSizePolicy: SizePolicyOptions = {
  promptHeavyConfidence: 0.57,
  outputHeavyConfidence: 0.78,
  fullLoadReduction: 0.6,
  maxLateConfidence: 0.4,
};

/** Share of generated tokens in the price from which an answer counts as output-heavy. */
const OUTPUT_HEAVY_SHARE = 0.4;
/** Price of a prompt token relative to a generated token. */
const PROMPT_TOKEN_PRICE_RATIO = 0.25;
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
 * Returns the lowest confidence at which a smaller model's answer is kept. A wrong answer loses
 * nearly all of its value, while a larger model costs a share of it. That share is smallest for
 * answers that are mostly generated text, so they need a higher confidence.
 */
export function computeAcceptConfidence(
  request: RelayRequest,
  pressure: number,
  isLate: boolean,
  options: SizePolicyOptions = defaultSizePolicy,
): number {
  const output = estimateOutputTokens(request);
  const outputShare =
    output / Math.max(1, request.promptTokens * PROMPT_TOKEN_PRICE_RATIO + output);
  const weight = Math.min(1, outputShare / OUTPUT_HEAVY_SHARE);
  const base =
    options.promptHeavyConfidence +
    weight * (options.outputHeavyConfidence - options.promptHeavyConfidence);
  const required = base - pressure * options.fullLoadReduction;
  return isLate ? Math.min(required, options.maxLateConfidence) : required;
}

/**
 * Estimates the processing time of a model size relative to the engine's base speed. The smallest
 * of several sizes takes about a tenth of the time of the largest.
 */
export function estimateTimeFactor(sizeIndex: number, sizeCount: number): number {
  if (sizeCount <= 1) return 1;
  return 0.3 * 10 ** (sizeIndex / (sizeCount - 1));
}
