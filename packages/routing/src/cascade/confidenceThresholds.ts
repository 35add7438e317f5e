/**
 * Thresholds of the confidence below which the largest size replaces a smaller one's answer. A poor
 * answer loses nearly all of its value, while the largest size costs a share of it. That share is
 * smallest for answers that are mostly generated text, so they need a higher confidence. Serves
 * engines from idle to full: the thresholds fall with the load.
 */

/** Tokens of the request. */
export interface ThresholdRequest {
  promptTokens: number;
  outputTokens: number;
}

/** Lowest confidence when prompt tokens are most of the price, from 0 to 1. */
const PROMPT_HEAVY_CONFIDENCE = 0.57;
/** The same when generated tokens are a large part of the price. */
const OUTPUT_HEAVY_CONFIDENCE = 0.78;
/** Amount by which both are lowered when the engines are full. */
const FULL_LOAD_REDUCTION = 0.6;
/** Upper bound when the largest size would miss the latency goal. */
const MAX_LATE_CONFIDENCE = 0.4;
/** Share of generated tokens in the price from which an answer counts as mostly generated. */
const OUTPUT_HEAVY_SHARE = 0.4;
/** Price of a prompt token relative to a generated token. */
const PROMPT_TOKEN_PRICE_RATIO = 0.25;

/** Returns the lowest confidence at which a smaller size's answer is kept. */
export function computeAcceptConfidence(
  { promptTokens, outputTokens }: ThresholdRequest,
  pressure: number,
  isLate: boolean,
): number {
  const paid = Math.max(1, promptTokens * PROMPT_TOKEN_PRICE_RATIO + outputTokens);
  const weight = Math.min(1, outputTokens / paid / OUTPUT_HEAVY_SHARE);
  const base =
    PROMPT_HEAVY_CONFIDENCE + weight * (OUTPUT_HEAVY_CONFIDENCE - PROMPT_HEAVY_CONFIDENCE);
  const required = base - pressure * FULL_LOAD_REDUCTION;
  return isLate ? Math.min(required, MAX_LATE_CONFIDENCE) : required;
}
