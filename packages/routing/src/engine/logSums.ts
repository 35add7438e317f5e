/** Weighted sums of the logarithms of positive samples. Sums of several instances add up. */
export type LogSums = [weight: number, sum: number, squares: number];

/** A log-normal distribution. */
export interface LogNormal {
  median: number;
  /** Standard deviation of the logarithm. */
  deviation: number;
}

/** A distribution that counts as this many samples. */
export interface LogPrior extends LogNormal {
  weight: number;
}

// Instances exchange only non-negative sums, so logarithms are taken of multiples of this value.
const SMALLEST_SAMPLE = 1e-3;
/** Bounds the median that the sums of a faulty instance lead to; exp(23) x 0.001 ms is 2.7 hours. */
const MAX_LOG = 23;
/** Keeps a few equal samples from being taken for certainty. */
const MIN_DEVIATION = 0.1;
const MAX_DEVIATION = 1.5;
/** A sample counts as at most this many times more or less than the median, or deviations. */
const MAX_SURPRISE = 8;
const MAX_SURPRISE_DEVIATIONS = 4;
// Logistic approximation of the normal distribution, whose error is below 0.01.
const LOGISTIC_SCALE = 1.702;

export function createLogSums(): LogSums {
  return [0, 0, 0];
}

export function addLogSums(total: LogSums, part: readonly number[]): void {
  for (let index = 0; index < total.length; index += 1) total[index]! += part[index] ?? 0;
}

export function addLogSample(sums: LogSums, value: number, expected: LogNormal): void {
  const { median, deviation } = expected;
  const bound = Math.max(MAX_SURPRISE, Math.exp(MAX_SURPRISE_DEVIATIONS * deviation));
  const bounded = Math.min(median * bound, Math.max(median / bound, value));
  const log = Math.log(Math.max(1, bounded / SMALLEST_SAMPLE));
  addLogSums(sums, [1, log, log * log]);
}

/** Returns the distribution of the samples and the prior. */
export function toLogNormal(sums: LogSums, prior: LogPrior): LogNormal {
  const priorMean = Math.log(Math.max(1, prior.median / SMALLEST_SAMPLE));
  const weight = sums[0] + prior.weight;
  const mean = Math.min(MAX_LOG, (sums[1] + prior.weight * priorMean) / weight);
  const squares = sums[2] + prior.weight * (priorMean ** 2 + prior.deviation ** 2);
  const deviation = Math.sqrt(Math.max(0, squares / weight - mean * mean));
  return {
    median: SMALLEST_SAMPLE * Math.exp(mean),
    deviation: Math.min(MAX_DEVIATION, Math.max(MIN_DEVIATION, deviation)),
  };
}

/** Returns the quantile that lies `deviations` standard deviations above the median. */
export function computeQuantile({ median, deviation }: LogNormal, deviations: number): number {
  return median * Math.exp(deviations * deviation);
}

/** Returns the probability of a value of at most `limit`. */
export function computeChance({ median, deviation }: LogNormal, limit: number): number {
  if (limit <= 0) return 0;
  if (median <= 0) return 1;
  return 1 / (1 + Math.exp((-LOGISTIC_SCALE * Math.log(limit / median)) / deviation));
}
