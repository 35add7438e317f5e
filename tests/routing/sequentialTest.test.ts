import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { SequentialTest } from '@cactusstair/routing';
import type { RolloutArm, SequentialVerdict } from '@cactusstair/routing';
import { createRandom } from '@cactusstair/utils';
import type { Random } from '@cactusstair/utils';

const ALPHA = 0.05;
const EXPERIMENTS = 1000;
const VALUES_PER_EXPERIMENT = 2000;

// Three standard errors of a binomial share above alpha.
const MAX_FALSE_SHARE = ALPHA + 3 * Math.sqrt((ALPHA * (1 - ALPHA)) / EXPERIMENTS);

interface Experiment {
  margin: number;
  candidateShare: number;
  draw: (arm: RolloutArm, random: Random) => number;
}

/** Runs one experiment, reading the verdict after every value. */
function runExperiment(
  seed: number,
  { margin, candidateShare, draw }: Experiment,
): { verdict: SequentialVerdict; values: number } {
  const random = createRandom(seed);
  const test = new SequentialTest({ margin, alpha: ALPHA });
  for (let values = 1; values <= VALUES_PER_EXPERIMENT; values += 1) {
    const arm = random.next() < candidateShare ? 'candidate' : 'baseline';
    test.addRating(arm, draw(arm, random));
    const verdict = test.getVerdict();
    if (verdict !== 'continue') return { verdict, values };
  }
  return { verdict: 'continue', values: VALUES_PER_EXPERIMENT };
}

function measureShare(experiment: Experiment, verdict: SequentialVerdict): number {
  let found = 0;
  for (let seed = 1; seed <= EXPERIMENTS; seed += 1) {
    if (runExperiment(seed, experiment).verdict === verdict) found += 1;
  }
  return found / EXPERIMENTS;
}

/** Draws 1 with the given probability, otherwise 0, which gives the largest possible variance. */
const drawBinary = (probability: number, random: Random) => (random.next() < probability ? 1 : 0);

describe('SequentialTest', () => {
  describe('error rate when the verdict is read after every value', () => {
    const cases: Record<string, Experiment> = {
      'equal arms without a margin': {
        margin: 0,
        candidateShare: 0.5,
        draw: (_arm, random) => random.next(),
      },
      'equal binary arms without a margin': {
        margin: 0,
        candidateShare: 0.5,
        draw: (_arm, random) => drawBinary(0.8, random),
      },
      'a candidate with few requests whose drop equals the margin': {
        margin: 0.1,
        candidateShare: 0.05,
        draw: (arm, random) => drawBinary(arm === 'candidate' ? 0.7 : 0.8, random),
      },
      'a candidate with most requests whose drop equals the margin': {
        margin: 0.1,
        candidateShare: 0.9,
        draw: (arm, random) => (arm === 'candidate' ? 0.3 : 0.4) + 0.6 * random.next(),
      },
      'a rare error at the margin': {
        margin: 0.02,
        candidateShare: 0.3,
        draw: (arm, random) => drawBinary(arm === 'candidate' ? 0.97 : 0.99, random),
      },
    };
    Object.entries(cases).forEach(([name, experiment]) => {
      it(`bounds false "worse" verdicts by alpha: ${name}`, () => {
        const share = measureShare(experiment, 'worse');
        assert.ok(share <= MAX_FALSE_SHARE, `share of false verdicts: ${share}`);
      });

      it(`bounds false "not_worse" verdicts by alpha: ${name}`, () => {
        const share = measureShare(experiment, 'not_worse');
        assert.ok(share <= MAX_FALSE_SHARE, `share of false verdicts: ${share}`);
      });
    });

    it('bounds false "worse" verdicts by alpha when both arms drift together', () => {
      let found = 0;
      for (let seed = 1; seed <= EXPERIMENTS; seed += 1) {
        const random = createRandom(seed);
        const test = new SequentialTest({ margin: 0.05, alpha: ALPHA });
        for (let values = 1; values <= VALUES_PER_EXPERIMENT; values += 1) {
          const late = values > VALUES_PER_EXPERIMENT / 2;
          // The mean falls from 0.9 to 0.5 as the candidate's share rises, so a comparison of the
          // overall means would show a drop of the candidate.
          const arm = random.next() < (late ? 0.5 : 0.05) ? 'candidate' : 'baseline';
          test.addRating(arm, drawBinary(late ? 0.5 : 0.9, random));
        }
        if (test.getVerdict() === 'worse') found += 1;
      }
      assert.ok(found / EXPERIMENTS <= MAX_FALSE_SHARE, `false verdicts: ${found}`);
    });
  });

  describe('verdict', () => {
    it('is "worse" for a clear drop', () => {
      const experiment: Experiment = {
        margin: 0.03,
        candidateShare: 0.3,
        draw: (arm, random) => (arm === 'candidate' ? 0.4 : 0.7) + 0.3 * random.next(),
      };
      assert.equal(measureShare(experiment, 'worse'), 1);
    });

    it('is "not_worse" for an equal version, so that a good rollout does not stall', () => {
      const experiment: Experiment = {
        margin: 0.1,
        candidateShare: 0.5,
        draw: (_arm, random) => 0.6 + 0.4 * random.next(),
      };
      assert.ok(measureShare(experiment, 'not_worse') >= 0.95);
    });

    it('is "worse" within 10 pairs when every answer of the candidate fails', () => {
      const test = new SequentialTest({ margin: 0.02, alpha: 0.01 });
      let pairs = 0;
      while (test.getVerdict() === 'continue' && pairs < 100) {
        test.addRating('baseline', 1);
        test.addRating('candidate', 0);
        pairs += 1;
      }
      assert.equal(test.getVerdict(), 'worse');
      assert.ok(pairs <= 10, `pairs: ${pairs}`);
    });
  });

  describe('invalid or missing input', () => {
    it('continues while one arm has no value', () => {
      const test = new SequentialTest({ margin: 0.02 });
      for (let value = 0; value < 1000; value += 1) test.addRating('candidate', 0);
      assert.equal(test.getVerdict(), 'continue');
    });

    it('ignores values outside 0..1, which would break the bound on the error rate', () => {
      const test = new SequentialTest({ margin: 0.02 });
      test.addRating('baseline', 1);
      [Number.NaN, -50, 50, Number.POSITIVE_INFINITY].forEach((value) => {
        test.addRating('candidate', value);
      });
      assert.equal(test.evidence.pairs, 0);
    });

    it('refuses a margin or alpha for which no bound holds', () => {
      assert.throws(() => new SequentialTest({ margin: 1 }), RangeError);
      assert.throws(() => new SequentialTest({ margin: 0, alpha: 0 }), RangeError);
    });
  });
});
