import type { Upstream } from '../upstreams/upstream.js';
import type { RelayRequest } from './relayRequest.js';

/**
 * Options of the choice of model size. The engines' confidence is a number that says nothing by
 * itself; these values come from docs/cascades.md, where the share of adequate answers is measured
 * against it.
 */
export interface SizePolicyOptions {
  /** Confidence from which a smaller model's answer is kept when it is mostly prompt, 0 to 1. */
  promptHeavyConfidence: number;
  /** The same for an answer that is mostly generated text. */
  outputHeavyConfidence: number;
  /** Lowering of both when the engines are fully loaded. */
  loadedDrop: number;
  /** Highest confidence that is asked for when the larger model's answer would be late. */
  lateConfidence: number;
}

export const defaultSizePolicy: SizePolicyOptions = {
  promptHeavyConfidence: 0.57,
  outputHeavyConfidence: 0.78,
  loadedDrop: 0.6,
  lateConfidence: 0.4,
};

/** Share of generated tokens in the priced tokens from which an answer counts as output-heavy. */
const OUTPUT_HEAVY_SHARE = 0.4;
/** Tokens read count as a quarter of tokens generated. */
const READ_TOKEN_SHARE = 0.25;
// Prompt work that waits at the average engine, in latency goals of the request: below the first
// figure there is no pressure, above the second most answers of the larger model would be late.
const CALM_BACKLOG_GOALS = 0.1;
const FULL_BACKLOG_GOALS = 0.6;
/** Share of the places that are taken, with the same meaning. */
const CALM_RUNNING_SHARE = 0.35;
const FULL_RUNNING_SHARE = 0.8;

/** Estimates the tokens that an answer will have. */
export function estimateOutputTokens(request: RelayRequest): number {
  const hint = request.outputTokensHint ?? request.maxOutputTokens;
  return request.maxOutputTokens > 0 ? Math.min(hint, request.maxOutputTokens) : hint;
}

/** Places `value` between `low` and `high` as a number from 0 to 1. */
function scale(value: number, low: number, high: number): number {
  return Math.min(1, Math.max(0, (value - low) / (high - low)));
}

/** Estimates how loaded the engines are together for a request of a latency goal, from 0 to 1. */
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
    scale(backlogMs / upstreams.length / latencyGoalMs, CALM_BACKLOG_GOALS, FULL_BACKLOG_GOALS),
    scale(running / slots, CALM_RUNNING_SHARE, FULL_RUNNING_SHARE),
  );
}

/**
 * Returns the confidence from which the answer of a smaller model is kept. A wrong answer loses
 * nearly its whole value and a larger model costs a share of it; that share is smallest for
 * answers that are mostly generated text.
 */
export function computeAcceptConfidence(
  request: RelayRequest,
  pressure: number,
  isLate: boolean,
  options: SizePolicyOptions = defaultSizePolicy,
): number {
  const output = estimateOutputTokens(request);
  const outputShare = output / Math.max(1, request.promptTokens * READ_TOKEN_SHARE + output);
  const weight = Math.min(1, outputShare / OUTPUT_HEAVY_SHARE);
  const base =
    options.promptHeavyConfidence +
    weight * (options.outputHeavyConfidence - options.promptHeavyConfidence);
  const asked = base - pressure * options.loadedDrop;
  return isLate ? Math.min(asked, options.lateConfidence) : asked;
}

/**
 * Time factor of a size relative to the base speed of an engine. The smallest of several sizes
 * takes about a tenth of the largest's time.
 */
export function estimatePace(sizeIndex: number, sizeCount: number): number {
  if (sizeCount <= 1) return 1;
  return 0.3 * 10 ** (sizeIndex / (sizeCount - 1));
}
