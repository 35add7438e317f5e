import type { PairedTestSums } from '@cactusstair/protocol';

/** The arm of a rollout that answered a request. */
export type RolloutArm = 'baseline' | 'candidate';

/** Result of a sequential test. `continue` means that there is not enough evidence yet. */
export type SequentialVerdict = 'continue' | 'worse' | 'not_worse';

/** Options of a sequential test. */
export interface SequentialTestOptions {
  /** Largest accepted drop of the candidate's mean below the baseline's, in [0, 1). */
  margin: number;
  /** Upper bound on the probability of each wrong verdict over the whole test. */
  alpha?: number;
}

/** The evidence of a test as shown to operators. */
export interface SequentialEvidence {
  pairs: number;
  /** E-value against "the drop is at most the margin". */
  worseEValue: number;
  /** E-value against "the drop is at least the margin". */
  notWorseEValue: number;
}

export const DEFAULT_ALPHA = 0.05;

/**
 * Bets per unit of rating. Large bets detect large drops within a few pairs, small bets detect
 * drops close to the margin. Each bet is limited so that no pair can lose the whole wealth.
 */
const BETS = [5, 2, 0.8, 0.3];
const MAX_BET_SHARE = 0.95;

// The second form of the factor bounds the effect of the baseline's spread. The price of this bound
// pays off only for a much larger bet.
const MIN_BOUNDED_GAIN = 1.5;
// Keeps the price of the bound below 0.05 in log wealth per pair.
const BOUNDED_BET_FACTOR = 0.4;

// Weight, in values, of the prior mean 0.5 of the baseline.
const CENTRE_PRIOR_WEIGHT = 4;

/** Creates the sums of a test without evidence. */
export function createTestSums(): PairedTestSums {
  return { pairs: 0, worseLogs: BETS.map(() => 0), notWorseLogs: BETS.map(() => 0) };
}

/** Adds `other` to `sums`; sums with a different number of bets are ignored. */
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

interface Pair {
  candidate: number;
  baseline: number;
  baselineCount: number;
  margin: number;
  centre: number;
}

function limitBet(bet: number, limit: number): number {
  return Math.sign(bet) * Math.min(Math.abs(bet), limit);
}

/** Returns the log of the wealth factor of a pair; negative bets test for `worse`. */
function calculateLogFactor(pair: Pair, bet: number): number {
  const { candidate, baseline, baselineCount, margin, centre } = pair;
  // candidate - baseline + margin is at most 1 + margin, and its negative is at most 1 - margin.
  const limited = limitBet(bet, MAX_BET_SHARE / (bet < 0 ? 1 + margin : 1 - margin));
  const boundedLimit = Math.min(
    MAX_BET_SHARE / (bet < 0 ? 1 - centre : centre),
    Math.sqrt(BOUNDED_BET_FACTOR * baselineCount),
  );
  const bounded = limitBet(bet, boundedLimit);
  if (Math.abs(bounded) < MIN_BOUNDED_GAIN * Math.abs(limited)) {
    return Math.log1p(limited * (candidate - baseline + margin));
  }
  const price = bounded ** 2 / (8 * baselineCount);
  return (
    Math.log1p(bounded * (candidate - centre)) - bounded * (baseline - margin - centre) - price
  );
}

/**
 * Always-valid test of the candidate's mean against the baseline's mean minus a margin, on
 * values in 0..1.
 *
 * Values are paired in the order of arrival: a pair is the mean x of the candidate's values and
 * the mean y of the baseline's values since the last pair. Its length depends on the arms only,
 * never on the values. While the drop is at most the margin m, each factor of the wealth has a
 * mean of at most 1. Small bets have the factor 1 - bet * (x - y + m). Large ones, with n baseline
 * values, have (1 - bet * (x - c)) * exp(bet * (y - m - c) - bet^2 / (8 n)) for a centre c that is
 * known before the pair: Hoeffding's lemma bounds the mean of the second part by exp(bet * v) with
 * v = E[y] - m - c, and (1 - bet * u) * exp(bet * v) <= 1 holds for u = E[x] - c >= v. The second
 * form allows larger bets. `not_worse` uses the same factors with the opposite sign of the bet.
 *
 * The product over pairs is a non-negative supermartingale and so is its average over the bets.
 * By Ville's inequality it ever exceeds 1/alpha with probability at most alpha. The bound covers
 * all times at once: the verdict may be read after every value and the test stopped or continued
 * based on it. Pairs of separate instances multiply, so their log wealth adds up.
 *
 * Assumes that arms are assigned without regard to the quality of the answer and that the answers
 * are independent. Ratings within a session that depend on each other weaken the bound.
 */
export class SequentialTest {
  private readonly options: Required<SequentialTestOptions>;

  private readonly sums = createTestSums();

  private readonly pending = {
    baseline: { sum: 0, count: 0 },
    candidate: { sum: 0, count: 0 },
  };

  private readonly baselineTotal = { sum: 0, count: 0 };

  private readonly reached = { worse: false, notWorse: false };

  constructor(options: SequentialTestOptions) {
    this.options = { alpha: DEFAULT_ALPHA, ...options };
    const { alpha, margin } = this.options;
    if (!(margin >= 0 && margin < 1)) throw new RangeError(`margin ${margin} is not in [0, 1)`);
    if (!(alpha > 0 && alpha < 1)) throw new RangeError(`alpha ${alpha} is not in (0, 1)`);
  }

  /** Adds a value in 0..1. Other values, which only a faulty service sends, are ignored. */
  addRating(arm: RolloutArm, rating: number): void {
    if (!(rating >= 0 && rating <= 1)) return;
    const { baseline, candidate } = this.pending;
    this.pending[arm].sum += rating;
    this.pending[arm].count += 1;
    if (baseline.count === 0 || candidate.count === 0) return;
    this.addPair(candidate.sum / candidate.count, baseline.sum / baseline.count, baseline.count);
    this.baselineTotal.sum += baseline.sum;
    this.baselineTotal.count += baseline.count;
    Object.assign(baseline, { sum: 0, count: 0 });
    Object.assign(candidate, { sum: 0, count: 0 });
  }

  /** Returns the verdict. A verdict is final once reached, but `worse` takes precedence. */
  getVerdict(): SequentialVerdict {
    if (this.reached.worse) return 'worse';
    return this.reached.notWorse ? 'not_worse' : 'continue';
  }

  /** Current evidence. */
  get evidence(): SequentialEvidence {
    return {
      pairs: this.sums.pairs,
      worseEValue: calculateEValue(this.sums.worseLogs),
      notWorseEValue: calculateEValue(this.sums.notWorseLogs),
    };
  }

  /** Returns a copy of the sums, which can be added over instances. */
  exportSums(): PairedTestSums {
    const { pairs, worseLogs, notWorseLogs } = this.sums;
    return { pairs, worseLogs: [...worseLogs], notWorseLogs: [...notWorseLogs] };
  }

  private addPair(candidate: number, baseline: number, baselineCount: number): void {
    const { margin } = this.options;
    const { sum, count } = this.baselineTotal;
    const mean = (sum + 0.5 * CENTRE_PRIOR_WEIGHT) / (count + CENTRE_PRIOR_WEIGHT);
    const centre = Math.min(0.98, Math.max(0.02, mean - margin));
    this.sums.pairs += 1;
    BETS.forEach((bet, index) => {
      const pair = { candidate, baseline, baselineCount, margin, centre };
      const { worseLogs, notWorseLogs } = this.sums;
      worseLogs[index] = (worseLogs[index] ?? 0) + calculateLogFactor(pair, -bet);
      notWorseLogs[index] = (notWorseLogs[index] ?? 0) + calculateLogFactor(pair, bet);
    });
    const { reached, sums } = this;
    reached.worse ||= this.reachesThreshold(sums.worseLogs);
    reached.notWorse ||= this.reachesThreshold(sums.notWorseLogs);
  }

  private reachesThreshold(logs: number[]): boolean {
    const threshold = 1 / this.options.alpha;
    // The average is at most the largest term; checking it first avoids most exponentials.
    return Math.max(...logs) >= Math.log(threshold) && calculateEValue(logs) >= threshold;
  }
}
