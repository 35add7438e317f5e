/** Tokens of a request and its answer. */
export interface AnswerTokens {
  prompt: number;
  /** Prompt tokens that the engine has to read, which are those that are paid for. */
  uncachedPrompt: number;
  output: number;
}

/** Price of a prompt token relative to a generated token. */
const PROMPT_TOKEN_PRICE_RATIO = 0.25;
// The value of an answer is not in the configuration, so it is derived from the price of the largest
// model: a prompt that is only read is worth a few times its price, generated text many times.
const BASE_VALUE = 1.5;
const OUTPUT_VALUE = 28;
const TOKENS_PER_PRICE = 1000;

/**
 * Returns the price of each size per 1,000 generated tokens. One that the configuration does not
 * price is assumed to cost what its processing time costs at the others.
 *
 * @param prices undefined or not positive where unknown
 * @param timeFactors processing time of each size relative to one of nominal speed
 */
export function completePrices(
  prices: readonly (number | undefined)[],
  timeFactors: readonly number[],
): number[] {
  let knownPrice = 0;
  let knownTime = 0;
  prices.forEach((price, index) => {
    if (!(price !== undefined && price > 0 && Number.isFinite(price))) return;
    knownPrice += price;
    knownTime += timeFactors[index]!;
  });
  const unit = knownTime > 0 ? knownPrice / knownTime : 1;
  return prices.map((price, index) =>
    price !== undefined && price > 0 && Number.isFinite(price) ? price : unit * timeFactors[index]!,
  );
}

/** Returns the price of a run of a size. */
export function computeRunPrice(price: number, { uncachedPrompt, output }: AnswerTokens): number {
  return (price * (uncachedPrompt * PROMPT_TOKEN_PRICE_RATIO + output)) / TOKENS_PER_PRICE;
}

/** Estimates the value of a good answer in time from the price of the largest size. */
export function estimateAnswerValue(largestPrice: number, tokens: AnswerTokens): number {
  const { prompt } = tokens;
  // A request that states no tokens is worth as much as one token, so that its answers compare.
  const output = prompt + tokens.output > 0 ? tokens.output : 1;
  const paid = prompt * PROMPT_TOKEN_PRICE_RATIO + output;
  const outputShare = paid > 0 ? output / paid : 0;
  const price = computeRunPrice(largestPrice, { prompt, uncachedPrompt: prompt, output });
  return price * (BASE_VALUE + OUTPUT_VALUE * outputShare);
}
