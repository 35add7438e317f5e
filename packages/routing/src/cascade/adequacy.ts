/**
 * What is assumed of how often a model's answer is good enough. Nothing that the engines send says
 * whether an answer was; docs/cascades.md says where the figures come from and what a wrong one costs.
 */

/** Share of the requests for which a size is good enough, by its position from 0 to 1. */
const ADEQUACY_BY_POSITION = [
  { position: 0, share: 0.56 },
  { position: 0.5, share: 0.65 },
  { position: 1, share: 1 },
] as const;
// An answer of the smallest size is good enough in half of the cases at the first value; how fast the
// chance rises around it is the second.
const MIDDLE_CONFIDENCE = 0.45;
const CONFIDENCE_SLOPE = 10;

/** One value of the confidence and how often it occurs. */
export interface ConfidenceShare {
  confidence: number;
  share: number;
}

// A fifth of the answers has no confidence and a fifth full confidence; the rest is spread evenly.
const EXTREME_SHARE = 0.2;
const MIDDLE_STEPS = 10;
export const confidenceShares: readonly ConfidenceShare[] = [
  { confidence: 0, share: EXTREME_SHARE },
  ...Array.from({ length: MIDDLE_STEPS }, (_, index) => ({
    confidence: (index + 0.5) / MIDDLE_STEPS,
    share: (1 - 2 * EXTREME_SHARE) / MIDDLE_STEPS,
  })),
  { confidence: 1, share: EXTREME_SHARE },
];

/** Returns the share of the requests for which the size at an index is good enough. */
export function estimateAdequacy(sizeIndex: number, sizeCount: number): number {
  const position = sizeCount <= 1 ? 1 : sizeIndex / (sizeCount - 1);
  const upper = ADEQUACY_BY_POSITION.find((point) => point.position >= position)!;
  const lower = [...ADEQUACY_BY_POSITION].reverse().find((point) => point.position <= position)!;
  if (upper.position === lower.position) return upper.share;
  const part = (position - lower.position) / (upper.position - lower.position);
  return lower.share + part * (upper.share - lower.share);
}

/** Returns the chance that an answer with this confidence is good enough. */
export function estimateAnswerAdequacy(adequacy: number, confidence: number): number {
  if (adequacy >= 1) return 1;
  const middle = MIDDLE_CONFIDENCE - (adequacy - ADEQUACY_BY_POSITION[0].share);
  return 1 / (1 + Math.exp(-CONFIDENCE_SLOPE * (confidence - middle)));
}

/**
 * Returns the chance that a larger size is good enough where a smaller one has answered.
 *
 * @param chance chance that the smaller size's answer is good enough
 */
export function estimateLargerAdequacy(chance: number, smaller: number, larger: number): number {
  if (larger >= 1 || smaller >= 1) return 1;
  return chance + (1 - chance) * Math.max(0, (larger - smaller) / (1 - smaller));
}
