import type { Route } from '../config/relayConfig.js';
import type { RelayRequest } from './relayRequest.js';

/** Options of the choice of model size. */
export interface SizePolicyOptions {
  /** Answers expected to be at most this long start at the smallest model. */
  shortAnswerTokens: number;
  /** Confidence from which the answer of a model below the largest is kept, from 0 to 1. */
  acceptConfidence: number;
}

export const defaultSizePolicy: SizePolicyOptions = {
  shortAnswerTokens: 60,
  acceptConfidence: 0.6,
};

/** Estimates the tokens that an answer will have. */
export function estimateOutputTokens(request: RelayRequest): number {
  const hint = request.outputTokensHint ?? request.maxOutputTokens;
  return request.maxOutputTokens > 0 ? Math.min(hint, request.maxOutputTokens) : hint;
}

/** Chooses the index of the model size to begin with. */
export function chooseStartSize(
  route: Route,
  request: RelayRequest,
  options: SizePolicyOptions = defaultSizePolicy,
): number {
  const largest = route.modelSizes.length - 1;
  return estimateOutputTokens(request) <= options.shortAnswerTokens ? 0 : largest;
}

/**
 * Chooses the size to which an answer is escalated, or undefined when it is kept. Sizes between
 * are skipped: by the platform's sheets the middle one costs half of the largest and is right
 * little more often than the smallest.
 */
export function chooseEscalation(
  route: Route,
  sizeIndex: number,
  confidence: number | undefined,
  options: SizePolicyOptions = defaultSizePolicy,
): number | undefined {
  const largest = route.modelSizes.length - 1;
  if (sizeIndex >= largest || confidence === undefined) return undefined;
  return confidence >= options.acceptConfidence ? undefined : largest;
}

/**
 * Time factor of a size relative to the base speed of an engine. The smallest of several sizes
 * takes about a tenth of the largest's time.
 */
export function estimatePace(sizeIndex: number, sizeCount: number): number {
  if (sizeCount <= 1) return 1;
  return 0.3 * 10 ** (sizeIndex / (sizeCount - 1));
}
