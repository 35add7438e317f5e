import type { PairedTestSums } from '@cactusstair/protocol';

/** The arm of a rollout that answered a request. */
export type RolloutArm = 'baseline' | 'candidate';

/** Result of a sequential test. `continue` means that the evidence does not decide yet. */
export type SequentialVerdict = 'continue' | 'worse' | 'not_worse';

/** Options of a sequential test. */
export interface SequentialTestOptions {
  /** Largest accepted drop of the candidate's mean below the baseline's, in [0, 1). */
  margin: number;
  /** Bound on the probability of each wrong verdict, over the whole life of the test. */
  alpha?: number;
}

/** The evidence of a test in the form that operators see. */
export interface SequentialEvidence {
  pairs: number;
  /** E-value against "the drop is at most the margin". */
  worseEValue: number;
  /** E-value against "the drop is at least the margin". */
  notWorseEValue: number;
}

export const DEFAULT_ALPHA = 0.05;

/**
 * Bets as a share of the largest bet that cannot lose more than the whole wealth. Large ones
 * find large drops within a few pairs, small ones find drops close to the margin.
 */
const BETS = [0.95, 0.5, 0.2, 0.07];

/** Creates the sums of a test without evidence. */
export function createTestSums(): PairedTestSums {
  return { pairs: 0, worseLogs: BETS.map(() => 0), notWorseLogs: BETS.map(() => 0) };
}

/** Adds `other` to `sums`; sums with another table of bets are left out. */
export function addTestSums(sums: PairedTestSums, other: PairedTestSums | undefined): void {
  if (other?.worseLogs.length !== BETS.length || other.notWorseLogs.length !== BETS.length) return;
  sums.pairs += other.pairs;
  other.worseLogs.forEach((value, index) => {
    sums.worseLogs[index] = (sums.worseLogs[index] ?? 0) + value;
  });
  other.notWorseLogs.forEach((value, index) => {
    sums.notWorseLogs[index] = (sums.notWorseLogs[index] ?? 0) + value;
  });
}

/** Returns the e-value of a mixture of bets from their log wealth, each bet with equal weight. */
export function calculateEValue(logs: number[]): number {
  return logs.reduce((sum, value) => sum + Math.exp(Math.min(value, 700)), 0) / BETS.length;
}

/**
 * Always-valid test of the candidate's mean against the baseline's mean minus a margin, on
 * values in 0..1.
 *
 * Values are paired in the order of arrival: a pair is the mean of the candidate's values and
 * the mean of the baseline's values since the last pair. Its length depends on the arms only,
 * never on the values, so the difference d of a pair has the mean (candidate - baseline).
 * With D = d + margin, each factor 1 - bet * D has a mean of at most 1 while the drop is at most
 * the margin, hence the product over pairs is a non-negative supermartingale and so is its
 * average over the bets. By Ville's inequality it ever exceeds 1/alpha with probability at most
 * alpha. The bound covers all times at once: the verdict may be read after every value and the
 * test stopped or continued on what was read. `not_worse` uses the factors 1 + bet * D likewise.
 *
 * Pairs of separate instances multiply, so their log wealth adds up and the bound stays valid.
 * Assumes that arms are assigned without regard to the quality of the answer.
 */
export class SequentialTest {
  private readonly options: Required<SequentialTestOptions>;

  private readonly sums = createTestSums();

  private readonly pending = {
    baseline: { sum: 0, count: 0 },
    candidate: { sum: 0, count: 0 },
  };

  private readonly reached = { worse: false, notWorse: false };

  constructor(options: SequentialTestOptions) {
    this.options = { alpha: DEFAULT_ALPHA, ...options };
    const { alpha, margin } = this.options;
    if (!(margin >= 0 && margin < 1)) throw new RangeError(`margin ${margin} is not in [0, 1)`);
    if (!(alpha > 0 && alpha < 1)) throw new RangeError(`alpha ${alpha} is not in (0, 1)`);
  }

  /** Adds a value in 0..1; other values, which only a faulty source gives, are ignored. */
  addRating(arm: RolloutArm, rating: number): void {
    if (!(rating >= 0 && rating <= 1)) return;
    const { baseline, candidate } = this.pending;
    this.pending[arm].sum += rating;
    this.pending[arm].count += 1;
    if (baseline.count === 0 || candidate.count === 0) return;
    this.addPair(candidate.sum / candidate.count - baseline.sum / baseline.count);
    Object.assign(baseline, { sum: 0, count: 0 });
    Object.assign(candidate, { sum: 0, count: 0 });
  }

  /** Returns the verdict; once reached it stays, and `worse` takes precedence. */
  getVerdict(): SequentialVerdict {
    if (this.reached.worse) return 'worse';
    return this.reached.notWorse ? 'not_worse' : 'continue';
  }

  /** Evidence so far. */
  get evidence(): SequentialEvidence {
    return {
      pairs: this.sums.pairs,
      worseEValue: calculateEValue(this.sums.worseLogs),
      notWorseEValue: calculateEValue(this.sums.notWorseLogs),
    };
  }

  /** Returns a copy of the sums, which add up over instances. */
  exportSums(): PairedTestSums {
    const { pairs, worseLogs, notWorseLogs } = this.sums;
    return { pairs, worseLogs: [...worseLogs], notWorseLogs: [...notWorseLogs] };
  }

  private addPair(difference: number): void {
    const { margin } = this.options;
    const shifted = difference + margin;
    this.sums.pairs += 1;
    BETS.forEach((bet, index) => {
      // The largest values of D and -D are 1 + margin and 1 - margin.
      const worse = Math.log1p((-bet * shifted) / (1 + margin));
      const notWorse = Math.log1p((bet * shifted) / (1 - margin));
      this.sums.worseLogs[index] = (this.sums.worseLogs[index] ?? 0) + worse;
      this.sums.notWorseLogs[index] = (this.sums.notWorseLogs[index] ?? 0) + notWorse;
    });
    const { reached, sums } = this;
    reached.worse ||= this.reachesThreshold(sums.worseLogs);
    reached.notWorse ||= this.reachesThreshold(sums.notWorseLogs);
  }

  private reachesThreshold(logs: number[]): boolean {
    const threshold = 1 / this.options.alpha;
    // The average is at most the largest term, which saves the exponentials of most pairs.
    return Math.max(...logs) >= Math.log(threshold) && calculateEValue(logs) >= threshold;
  }
}
