import { hashFraction, hashText } from '@cactusstair/utils';

const WORDS =
  'ladder match season club point result court round player draw layer water sheet edge colour print paper order'.split(
    ' ',
  );
// Largest effect of a request's difficulty on the quality; it is the same for every model.
const DIFFICULTY_SPREAD = 0.1;
const VERSION_SPREAD = 0.05;

/** Returns token `index` of the answer to a request. Token 0 names the request. */
export function createToken(requestId: string, index: number): string {
  if (index === 0) return `${requestId}:`;
  return ` ${WORDS[hashText(`${requestId}/${index}`) % WORDS.length]}`;
}

/** Returns the whole answer to a request; the soak checker compares it with the received answer. */
export function createAnswerText(requestId: string, tokenCount: number): string {
  return Array.from({ length: tokenCount }, (_, index) => createToken(requestId, index)).join('');
}

/** What determines the quality of an answer. */
export interface QualityInput {
  requestId: string;
  model: string;
  version: string;
  /** Mean quality of the version in 0..1. */
  meanQuality: number;
}

/** Returns the true quality of an answer in 0..1; the same for the same input. */
export function computeQuality(input: QualityInput): number {
  const { requestId, model, version, meanQuality } = input;
  const difficulty = (hashFraction(`difficulty/${requestId}`) - 0.5) * 2 * DIFFICULTY_SPREAD;
  const noise = (hashFraction(`${requestId}/${model}/${version}`) - 0.5) * 2 * VERSION_SPREAD;
  return Math.min(1, Math.max(0, meanQuality + difficulty + noise));
}
