import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  chooseReplacement,
  chooseStartSize,
  completePrices,
  computeAcceptConfidence,
  computeRunPrice,
  createRunEstimate,
  estimateAdequacy,
  estimateAnswerAdequacy,
  estimateAnswerValue,
} from '@cactusstair/routing';
import type { RunEstimate, SizeChoiceRequest, SizeOption } from '@cactusstair/routing';

const prices = [0.018, 0.13, 0.27];
const timeFactors = [0.3, 0.8, 3];

/** A kind of request at idle engines. */
interface Kind {
  prompt: number;
  output: number;
  goalMs: number;
  deadlineMs: number;
}

const digest: Kind = { prompt: 12_000, output: 380, goalMs: 8000, deadlineMs: 20_000 };
const letter: Kind = { prompt: 826, output: 290, goalMs: 2000, deadlineMs: 15_000 };

const TOKEN_MS = 4;
const PROMPT_TOKENS_PER_MS = 55;

function estimate(kind: Kind, timeFactor: number, elapsedMs = 0): RunEstimate {
  return createRunEstimate({
    firstEvent: {
      median: 50 + (kind.prompt * timeFactor) / PROMPT_TOKENS_PER_MS,
      deviation: 0.3,
    },
    pace: { median: TOKEN_MS * timeFactor, deviation: 0.2 },
    events: { median: kind.output, deviation: 0.5 },
    goalLeftMs: kind.goalMs - elapsedMs,
    deadlineLeftMs: kind.deadlineMs - elapsedMs,
  });
}

function createOption(kind: Kind, timeFactor: number, price: number, elapsedMs = 0): SizeOption {
  const run = estimate(kind, timeFactor, elapsedMs);
  const tokens = { prompt: kind.prompt, uncachedPrompt: kind.prompt, output: kind.output };
  return {
    price: computeRunPrice(price, tokens),
    workMs: kind.prompt * timeFactor,
    promptMs: (kind.prompt * timeFactor) / PROMPT_TOKENS_PER_MS,
    firstEventMs: run.firstEventMs,
    computeChances: run.computeChances,
  };
}

function createRequest(kind: Kind, pressure = 0, elapsedMs = 0): SizeChoiceRequest {
  return {
    sizes: prices.map((price, index) => createOption(kind, timeFactors[index]!, price, elapsedMs)),
    value: estimateAnswerValue(prices.at(-1)!, {
      prompt: kind.prompt,
      uncachedPrompt: kind.prompt,
      output: kind.output,
    }),
    pressure,
    averageWorkMs: 3000,
    latencyGoalMs: kind.goalMs,
    canEscalate: true,
  };
}

const inTime = { goalChance: 1, deadlineChance: 1 };

/** Returns the lowest confidence at which the smallest size's answer is kept. */
function findThreshold(request: SizeChoiceRequest, chances = inTime): number {
  for (let percent = 0; percent <= 100; percent += 1) {
    const answer = { sizeIndex: 0, confidence: percent / 100, chances };
    if (chooseReplacement(request, answer).sizeIndex === 0) return percent / 100;
  }
  return 1;
}

describe('chooseReplacement', () => {
  it('requires a higher confidence for answers that are mostly generated text', () => {
    assert.ok(findThreshold(createRequest(letter)) > findThreshold(createRequest(digest)) + 0.05);
  });

  it('requires a lower confidence under load and when the larger size would be late', () => {
    for (const kind of [digest, letter]) {
      const calm = findThreshold(createRequest(kind));
      assert.ok(findThreshold(createRequest(kind, 0.5)) < calm - 0.05);
      assert.ok(findThreshold(createRequest(kind, 0, kind.goalMs)) < calm - 0.05);
    }
  });

  // The costs of models must not rise; sizeComparison.test.ts compares them under load.
  it('replaces no more answers than the thresholds before at idle engines', () => {
    for (const kind of [digest, letter]) {
      const tokens = { promptTokens: kind.prompt, outputTokens: kind.output };
      const before = computeAcceptConfidence(tokens, 0, false);
      const now = findThreshold(createRequest(kind));
      assert.ok(now <= before, `${before}, ${now}`);
    }
  });

  // A prompt that one engine reads for seconds makes all others late that wait behind it.
  it('keeps any answer when a larger size reads the prompt for as long as the goal', () => {
    const request = createRequest(digest);
    const sizes = request.sizes.map((option, index) =>
      index === 0 ? option : { ...option!, promptMs: digest.goalMs },
    );
    const answer = { sizeIndex: 0, confidence: 0, chances: inTime };
    assert.equal(chooseReplacement({ ...request, sizes }, answer).sizeIndex, 0);
  });

  it('keeps an answer that can be complete in time when no larger size can', () => {
    const request = createRequest(letter);
    const slow = {
      ...request.sizes[2]!,
      computeChances: () => ({ goalChance: 0.3, deadlineChance: 0.3 }),
    };
    const only = { ...request, sizes: [request.sizes[0], undefined, slow], value: 1000 };
    const answer = { sizeIndex: 0, confidence: 0, chances: inTime };
    assert.equal(chooseReplacement(only, answer).sizeIndex, 0);
  });

  it('replaces an answer that cannot be complete in time by one that can', () => {
    const late = { goalChance: 0, deadlineChance: 0.1 };
    const answer = { sizeIndex: 0, confidence: 1, chances: late };
    assert.ok(chooseReplacement(createRequest(letter), answer).sizeIndex > 0);
  });

  it('uses a size in between when the largest cannot be complete in time', () => {
    const request = createRequest(letter);
    const none = { goalChance: 0, deadlineChance: 0 };
    const sizes = [...request.sizes];
    sizes[2] = { ...sizes[2]!, computeChances: () => none };
    const answer = { sizeIndex: 0, confidence: 0, chances: inTime };
    assert.equal(chooseReplacement({ ...request, sizes }, answer).sizeIndex, 1);
  });

  it('keeps any answer when no further run is allowed or no larger size can run', () => {
    const request = createRequest(letter);
    const answer = { sizeIndex: 0, confidence: 0, chances: inTime };
    assert.equal(chooseReplacement({ ...request, canEscalate: false }, answer).sizeIndex, 0);
    const sizes = [request.sizes[0], undefined, undefined];
    assert.equal(chooseReplacement({ ...request, sizes }, answer).sizeIndex, 0);
  });
});

describe('chooseStartSize', () => {
  it('starts with the smallest size at idle engines', () => {
    for (const kind of [digest, letter]) {
      assert.equal(chooseStartSize(createRequest(kind)).sizeIndex, 0);
    }
  });

  // Every answer of the smallest size that is replaced comes after two waits.
  it('starts with a larger size when there is no time for two runs', () => {
    const request = createRequest(letter);
    const goalMs = 1000;
    const waitMs = 700;
    const sizes = request.sizes.map((option) => ({
      ...option!,
      firstEventMs: waitMs,
      computeChances: (delayMs: number) => ({
        goalChance: delayMs + waitMs <= goalMs ? 1 : 0,
        deadlineChance: 1,
      }),
    }));
    assert.equal(chooseStartSize({ ...request, sizes }).sizeIndex, 2);
  });

  it('leaves out sizes that cannot run', () => {
    const request = createRequest(letter);
    const { sizeIndex, values } = chooseStartSize({
      ...request,
      sizes: [undefined, ...request.sizes.slice(1)],
    });
    assert.ok(sizeIndex > 0);
    assert.equal(values[0], undefined);
    assert.equal(chooseStartSize({ ...request, sizes: [undefined, undefined] }).sizeIndex, 0);
  });
});

describe('assumed adequacy', () => {
  it('has the documented shares for three sizes and grows with the size for others', () => {
    assert.deepEqual(
      [0, 1, 2].map((index) => estimateAdequacy(index, 3)),
      [0.56, 0.65, 1],
    );
    const five = [0, 1, 2, 3, 4].map((index) => estimateAdequacy(index, 5));
    assert.deepEqual([...five].sort(), five);
    assert.deepEqual([five[0], five[4], estimateAdequacy(0, 1)], [0.56, 1, 1]);
  });

  it('grows with the confidence, and is full for the largest size', () => {
    assert.ok(estimateAnswerAdequacy(0.56, 0.2) < 0.2);
    assert.ok(estimateAnswerAdequacy(0.56, 0.8) > 0.9);
    assert.equal(estimateAnswerAdequacy(1, 0), 1);
  });
});

describe('estimateAnswerValue', () => {
  // Without a value no answer would ever be replaced.
  it('is positive also for a request that states no tokens', () => {
    assert.ok(estimateAnswerValue(0.27, { prompt: 0, uncachedPrompt: 0, output: 0 }) > 0);
  });
});

describe('completePrices', () => {
  it('estimates a missing price from the others and the speeds', () => {
    const [small, , large] = completePrices([undefined, 0.1, 0.4], [0.3, 1, 4]);
    assert.ok(Math.abs(small! - 0.03) < 1e-9);
    assert.equal(large, 0.4);
  });

  it('takes no senseless price for one', () => {
    for (const price of [0, -1, NaN, Infinity]) {
      assert.deepEqual(completePrices([price, 0.2], [0.5, 1]), [0.1, 0.2]);
    }
    assert.deepEqual(completePrices([undefined, undefined], [0.3, 3]), [0.3, 3]);
  });
});
