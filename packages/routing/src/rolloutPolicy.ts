import { createHash } from 'node:crypto';

import { RolloutPhase } from '@cactusstair/protocol';
import type { Rollout, StepEvidence, VersionStats } from '@cactusstair/protocol';

import { addTestSums, calculateEValue, createTestSums, DEFAULT_ALPHA } from './sequentialTest.js';
import type { RolloutArm } from './sequentialTest.js';

/** The next action of the rollout controller. */
export type RolloutDecision =
  /** The controller sets `hold` in the rollout object to this value. */
  | { type: 'wait'; hold: boolean }
  | { type: 'advance' }
  | { type: 'complete' }
  | { type: 'withdraw'; reason: string };

/** Options of `decideRollout`. */
export interface RolloutPolicyOptions {
  /** Upper bound on the probability that a version within all margins is ever withdrawn. */
  alpha?: number;
  /** Upper bound on the probability that the last step completes for a version beyond a margin. */
  completeAlpha?: number;
  /** The same bound for advancing from an earlier step; the later steps still test the version. */
  advanceAlpha?: number;
  /** Requests that a step may expose before its first rating arrives. */
  unratedRequestsPerStep?: number;
  /** Additional requests that a step may expose per rating received. */
  requestsPerRating?: number;
  /** Maximum number of requests that a step may expose before it advances. */
  maxRequestsPerStep?: number;
}

const DEFAULT_ADVANCE_ALPHA = 0.2;
const DEFAULT_UNRATED_REQUESTS_PER_STEP = 500;
// Allows the default of one rated answer in 20, with a margin for late ratings.
const DEFAULT_REQUESTS_PER_RATING = 40;
const DEFAULT_MAX_REQUESTS_PER_STEP = 100_000;

/** A held step resumes when its requests are below this share of the exposure limit. */
const RESUME_LIMIT_SHARE = 0.9;

type Metric = 'quality' | 'errors' | 'latency';
const METRICS: Metric[] = ['quality', 'errors', 'latency'];

// Ratings are the scarcest evidence, so their test gets the largest part of alpha.
const ALPHA_SHARES: Record<Metric, number> = { quality: 0.5, errors: 0.25, latency: 0.25 };

const HASH_RANGE = 2 ** 32;

function findStep(steps: StepEvidence[], stepIndex: number): StepEvidence | undefined {
  return steps.find((step) => step.stepIndex === stepIndex);
}

/**
 * Returns the e-value against the hypothesis "within the margin at every step". A separate test
 * starts at each step, so that the evidence of good earlier steps does not delay the detection of a
 * version that gets worse later. The weighted average over the tests is an e-value as well; a test
 * of a step that has not started contributes its weight.
 */
function calculateWorseEValue(steps: StepEvidence[], metric: Metric, stepCount: number): number {
  const later = Math.max(0, stepCount - 1);
  let total = 0;
  const suffix = createTestSums();
  for (let start = stepCount - 1; start >= 0; start -= 1) {
    addTestSums(suffix, findStep(steps, start)?.[metric]);
    // Half of the weight goes to the first step, where most bad versions are detected.
    const weight = start > 0 ? 0.5 / later : 1 - (later > 0 ? 0.5 : 0);
    total += weight * calculateEValue(suffix.worseLogs);
  }
  return total;
}

function findWorseMetric(steps: StepEvidence[], rollout: Rollout, alpha: number) {
  // Counts the evidence of a step index beyond the list too, as left by an edited rollout.
  const stepCount = Math.max(rollout.steps.length, rollout.stepIndex + 1, 1);
  return METRICS.map((metric) => ({
    metric,
    eValue: calculateWorseEValue(steps, metric, stepCount),
    threshold: 1 / (alpha * ALPHA_SHARES[metric]),
  })).find(({ eValue, threshold }) => eValue >= threshold);
}

function isNotWorse(step: StepEvidence, alpha: number): boolean {
  return METRICS.every((metric) => {
    const sums = step[metric];
    // Answers that are not streamed have no first token, so there may be no latency evidence.
    if (metric === 'latency' && (sums?.pairs ?? 0) === 0) return true;
    return sums !== undefined && calculateEValue(sums.notWorseLogs) >= 1 / alpha;
  });
}

function isLastStep(rollout: Rollout): boolean {
  const next = rollout.steps[rollout.stepIndex + 1];
  // A step of 100 percent has no baseline to compare with, so the rollout completes instead.
  return next === undefined || next >= 100;
}

/**
 * Decides the next action of a rollout from the sums over all instances.
 *
 * `withdraw` is a false positive with probability at most `alpha` over the whole rollout, however
 * often the function is called. `advance` requires `not_worse` from the evidence of the current
 * step for ratings, errors and latency, and the step's minimum number of ratings. While a step
 * waits, it exposes at most min(`maxRequestsPerStep`, `unratedRequestsPerStep` +
 * `requestsPerRating` * ratings) requests before `hold` sends new sessions to the baseline;
 * existing sessions on the candidate stay there. A rollout that is not running waits.
 */
export function decideRollout(
  rollout: Rollout,
  stats: VersionStats[],
  options: RolloutPolicyOptions = {},
): RolloutDecision {
  if (rollout.phase !== RolloutPhase.RUNNING) return { type: 'wait', hold: rollout.hold ?? false };
  const candidate = stats.find(
    (entry) => entry.model === rollout.model && entry.version === rollout.candidateVersion,
  );
  const evidence = candidate?.evidence;
  const steps = evidence?.rollout === rollout.name ? evidence.steps : [];
  const worse = findWorseMetric(steps, rollout, options.alpha ?? DEFAULT_ALPHA);
  if (worse) {
    const { metric, eValue, threshold } = worse;
    const reason = `${metric} is worse than ${rollout.baselineVersion} by more than the margin: e-value ${eValue.toPrecision(3)}, threshold ${threshold.toPrecision(3)}`;
    return { type: 'withdraw', reason };
  }
  const step = findStep(steps, rollout.stepIndex);
  if (!step) return { type: 'wait', hold: false };
  const rated = step.ratings >= rollout.minRatingsPerStep;
  const last = isLastStep(rollout);
  const alpha = last
    ? (options.completeAlpha ?? DEFAULT_ALPHA)
    : (options.advanceAlpha ?? DEFAULT_ADVANCE_ALPHA);
  if (rated && isNotWorse(step, alpha)) return { type: last ? 'complete' : 'advance' };
  const limit = calculateExposureLimit(step, options);
  // The lower limit for resuming avoids two writes of `hold` for each rating.
  return {
    type: 'wait',
    hold: step.requests >= (rollout.hold ? RESUME_LIMIT_SHARE * limit : limit),
  };
}

/** Returns the number of requests that a step may expose with its current number of ratings. */
function calculateExposureLimit(step: StepEvidence, options: RolloutPolicyOptions): number {
  const unrated = options.unratedRequestsPerStep ?? DEFAULT_UNRATED_REQUESTS_PER_STEP;
  const perRating = options.requestsPerRating ?? DEFAULT_REQUESTS_PER_RATING;
  const maxRequests = options.maxRequestsPerStep ?? DEFAULT_MAX_REQUESTS_PER_STEP;
  return Math.min(maxRequests, unrated + perRating * step.ratings);
}

/** Returns the position of a session in [0, 100), which is constant during a rollout. */
function calculatePosition(rollout: Rollout, sessionId: string): number {
  const text = JSON.stringify([rollout.name, rollout.candidateVersion, sessionId]);
  const digest = createHash('sha256').update(text).digest();
  return (digest.readUInt32BE(0) / HASH_RANGE) * 100;
}

/**
 * Assigns a new session to an arm. The position of a session is constant during a rollout, and the
 * session is on the candidate while its position is below the percentage, so that a rising
 * percentage only adds sessions. A paused rollout keeps its percentage; `hold` sends all new
 * sessions to the baseline. The token of an existing session keeps its arm.
 */
export function assignArm(rollout: Rollout, sessionId: string): RolloutArm {
  if (rollout.phase === RolloutPhase.COMPLETED) return 'candidate';
  const serving = rollout.phase === RolloutPhase.RUNNING || rollout.phase === RolloutPhase.PAUSED;
  if (!serving || rollout.hold) return 'baseline';
  const percent = rollout.steps[rollout.stepIndex] ?? 0;
  return calculatePosition(rollout, sessionId) < percent ? 'candidate' : 'baseline';
}
