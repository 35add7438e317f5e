/**
 * The rule that `sizeChoice` replaced, to compare with: the smallest size first, its answer replaced
 * by the largest below a threshold of the confidence that falls with the load.
 */

/** Tokens of the request. */
export interface ThresholdRequest {
  promptTokens: number;
  outputTokens: number;
}

const PROMPT_HEAVY_CONFIDENCE = 0.57;
const OUTPUT_HEAVY_CONFIDENCE = 0.78;
const FULL_LOAD_REDUCTION = 0.6;
const MAX_LATE_CONFIDENCE = 0.4;
const OUTPUT_HEAVY_SHARE = 0.4;
const PROMPT_TOKEN_PRICE_RATIO = 0.25;

/** Returns the lowest confidence at which the smallest size's answer was kept. */
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
