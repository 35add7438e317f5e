import type { BillStep, ModelVersion } from '@cactusstair/protocol';

import type { Usage } from '../upstreams/engineClient.js';

const TOKENS_PER_KILOTOKEN = 1000;

/** Returns the price of one answer in millionths of the billing currency, rounded up. */
export function computeCostMicros(version: ModelVersion, usage: Usage): number {
  return Math.ceil(
    (version.promptMicrosPerKilotoken * usage.promptTokens +
      version.completionMicrosPerKilotoken * usage.completionTokens) /
      TOKENS_PER_KILOTOKEN,
  );
}

/** Sums the tokens and costs of the billed steps of a request. */
export function sumSteps(steps: readonly BillStep[]) {
  const sum = { promptTokens: 0, completionTokens: 0, costMicros: 0 };
  for (const step of steps) {
    sum.promptTokens += step.promptTokens;
    sum.completionTokens += step.completionTokens;
    sum.costMicros += step.costMicros;
  }
  return sum;
}
