import {
  chooseReplacement,
  chooseStartSize,
  completePrices,
  computeAcceptConfidence,
  computeRunPrice,
  estimateAnswerValue,
} from '@cactusstair/routing';
import type { SizeChoiceRequest } from '@cactusstair/routing';

import type { RuleView, SizeRule } from './sizeSimulation.js';

const isServed = ({ deployment }: RuleView, sizeIndex: number) =>
  deployment.sizes[sizeIndex]!.isServed !== false;

/** The size that an answer is always asked of. */
function createFixedRule(name: string, choose: (sizeCount: number) => number): SizeRule {
  return {
    name,
    start: ({ deployment }) => choose(deployment.sizes.length),
    review: () => undefined,
  };
}

const thresholds: SizeRule = {
  name: 'rule before',
  start: () => 0,
  review: (view, sizeIndex, confidence) => {
    const largest = view.deployment.sizes.length - 1;
    const estimate = view.estimateSize(largest);
    if (sizeIndex >= largest || !estimate) return undefined;
    const { kind, arrivedMs, promptTokens, hintTokens } = view.request;
    const isLate = view.nowMs - arrivedMs + estimate.firstEventMs > kind.goalMs;
    const tokens = { promptTokens, outputTokens: hintTokens };
    const required = computeAcceptConfidence(tokens, view.pressure, isLate);
    return confidence < required ? largest : undefined;
  },
};

/** Describes a request as the relay does. */
function createChoiceRequest(view: RuleView): SizeChoiceRequest {
  const { deployment, request } = view;
  const { sizes } = deployment;
  const prices = completePrices(
    sizes.map(({ price, isPriced }) => (isPriced === false ? undefined : price)),
    sizes.map((_, index) => 0.3 * 10 ** (index / (sizes.length - 1))),
  );
  const tokens = {
    prompt: request.promptTokens,
    uncachedPrompt: request.uncachedTokens,
    output: request.hintTokens,
  };
  return {
    sizes: sizes.map((_, index) => {
      const estimate = view.estimateSize(index);
      return (
        estimate && {
          price: computeRunPrice(prices[index]!, tokens),
          workMs: view.estimateWorkMs(index),
          promptMs: view.estimatePromptMs(index),
          firstEventMs: estimate.firstEventMs,
          computeChances: estimate.computeChances,
        }
      );
    }),
    value: estimateAnswerValue(prices.at(-1)!, tokens),
    pressure: view.pressure,
    averageWorkMs: view.averageWorkMs,
    latencyGoalMs: request.kind.goalMs,
    canEscalate: true,
  };
}

const expectedValue: SizeRule = {
  name: 'expected value',
  start: (view) => chooseStartSize(createChoiceRequest(view)).sizeIndex,
  review: (view, sizeIndex, confidence, chances) =>
    chooseReplacement(createChoiceRequest(view), { sizeIndex, confidence, chances }).sizeIndex,
};

/** Knows which sizes are good enough, and the values and prices of the deployment. */
const oracle: SizeRule = {
  name: 'oracle',
  start: (view) => {
    const { deployment, request } = view;
    let best = 0;
    let bestValue = -Infinity;
    deployment.sizes.forEach(({ price }, index) => {
      const estimate = isServed(view, index) ? view.estimateSize(index) : undefined;
      if (!estimate) return;
      const { goalChance, deadlineChance } = estimate;
      const { value, lateValue } = request.kind;
      const timely = goalChance * value + (deadlineChance - goalChance) * lateValue;
      const tokens = {
        prompt: request.promptTokens,
        uncachedPrompt: request.uncachedTokens,
        output: request.outputTokens,
      };
      const net = timely * (request.isGood[index] ? 1 : 0.05) - computeRunPrice(price, tokens);
      // The time of an engine that is not needed is left to others.
      const found = net - value * view.pressure * (index / deployment.sizes.length);
      if (found > bestValue) {
        bestValue = found;
        best = index;
      }
    });
    return best;
  },
  review: () => undefined,
};

export const sizeRules = {
  smallest: createFixedRule('always smallest', () => 0),
  largest: createFixedRule('always largest', (sizeCount) => sizeCount - 1),
  thresholds,
  expectedValue,
  oracle,
};
