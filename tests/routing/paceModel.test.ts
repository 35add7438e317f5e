import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { PaceSums } from '@cactusstair/routing';
import { addPaceSample, createPaceSums, judgePace } from '@cactusstair/routing';
import type { Random } from '@cactusstair/utils';
import { createRandom } from '@cactusstair/utils';

const DRAWS = 100;
const BASELINE_ANSWERS = 120;
const TARGET_ANSWERS = 30;

/** Draws answers whose pace rises with the load, of which a part takes `factor` times as long. */
function drawPaces(
  random: Random,
  count: number,
  options: { minLoad: number; maxLoad: number; share?: number; factor?: number },
): PaceSums {
  const { minLoad, maxLoad, share = 0, factor = 1 } = options;
  const sums = createPaceSums();
  for (let answer = 0; answer < count; answer += 1) {
    const running = minLoad + random.next() * (maxLoad - minLoad);
    const noise = Math.exp((random.next() + random.next() - 1) * 0.8);
    const slow = random.next() < share ? factor : 1;
    addPaceSample(sums, running, 20 * (1 + running) ** 0.5 * noise * slow);
  }
  return sums;
}

/** Counts the verdicts on a version whose upstreams have few requests, as in a rollout. */
function countVerdicts(seed: number, target: { share?: number; factor?: number }) {
  const random = createRandom(seed);
  const counts = { worse: 0, not_worse: 0, not_yet: 0 };
  for (let draw = 0; draw < DRAWS; draw += 1) {
    const { verdict } = judgePace([
      {
        target: drawPaces(random, TARGET_ANSWERS, { minLoad: 1, maxLoad: 8, ...target }),
        baseline: drawPaces(random, BASELINE_ANSWERS, { minLoad: 4, maxLoad: 40 }),
      },
    ]);
    counts[verdict] += 1;
  }
  return counts;
}

describe('judgePace', () => {
  it('finds versions that are slow on a part of their requests, though they have little load', () => {
    const cases = [
      { share: 0.4, factor: 4 },
      { share: 0.3, factor: 10 },
      { share: 1, factor: 2 },
    ];
    for (const target of cases) {
      const { worse, not_worse: missed } = countVerdicts(1, target);
      assert.ok(worse >= 0.85 * DRAWS, `${worse} of ${DRAWS} found: ${JSON.stringify(target)}`);
      assert.ok(
        missed <= 0.03 * DRAWS,
        `${missed} of ${DRAWS} called sound: ${JSON.stringify(target)}`,
      );
    }
  });

  it('says of a sound version that it is not worse, and hardly ever that it is', () => {
    const { worse, not_worse: sound } = countVerdicts(2, {});
    assert.ok(worse <= 0.02 * DRAWS, `${worse} called worse`);
    assert.ok(sound >= 0.7 * DRAWS, `${sound} of ${DRAWS} called sound`);
  });

  it('does not take load for slowness', () => {
    const random = createRandom(3);
    const baseline = drawPaces(random, BASELINE_ANSWERS, { minLoad: 1, maxLoad: 40 });
    const target = drawPaces(random, TARGET_ANSWERS, { minLoad: 30, maxLoad: 60 });
    assert.notEqual(judgePace([{ target, baseline }]).verdict, 'worse');
  });

  it('gives no verdict while little is known', () => {
    const random = createRandom(4);
    const few = drawPaces(random, 3, { minLoad: 1, maxLoad: 8, share: 1, factor: 8 });
    const many = drawPaces(random, BASELINE_ANSWERS, { minLoad: 1, maxLoad: 8 });
    assert.equal(judgePace([{ target: few, baseline: many }]).verdict, 'not_yet');
    assert.equal(judgePace([{ target: many, baseline: few }]).verdict, 'not_yet');
    assert.equal(judgePace([]).verdict, 'not_yet');
  });
});
