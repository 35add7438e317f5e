import type { EvidenceTable, RatingCounts } from './cascadeEvidence.js';
import type { PlanRung } from './cascadePlan.js';

/** Posterior distribution of the probability that an answer meets the target. */
export interface Posterior {
  mean: number;
  /** Standard deviation. */
  deviation: number;
  /** Weighted number of ratings it is based on, without the prior. */
  ratings: number;
}

/** Posteriors of one rung. */
export interface RungPosterior {
  first: Posterior;
  /** After an answer of the rung below was rated below the target. */
  afterMiss: Posterior;
}

/** A workspace and class whose rungs are estimated. */
export interface PosteriorScope {
  workspace: string;
  requestClass: string;
  rungs: { model: string; version: string }[];
  qualityTarget: number;
  targetShare: number;
}

/** Weight in ratings of the prior of a rung without evidence. */
const PRIOR_WEIGHT = 1;
// Assumes that an unproven rung is bad, so that it gets requests based on ratings, not on the
// prior.
const PRIOR_MEAN = 0.2;

// The strongest rung is the fallback, so it is assumed to meet the target until ratings show
// otherwise.
const STRONGEST_PRIOR_MEAN = 0.95;

/**
 * Weight, in ratings, of the prior for answers after a miss, which is derived from first answers.
 */
const IMPLIED_WEIGHT = 4;

/** Returns the Beta posterior of counts under a prior with the given weight and mean. */
export function createPosterior(
  counts: RatingCounts,
  prior: { weight: number; mean: number },
): Posterior {
  const ratings = counts.met + counts.missed;
  const weight = ratings + prior.weight;
  const mean = (counts.met + prior.weight * prior.mean) / weight;
  return { mean, deviation: Math.sqrt((mean * (1 - mean)) / (weight + 1)), ratings };
}

/** Returns the value `standardDeviations` from the mean, within 0..1. */
export function calculateBound(posterior: Posterior, standardDeviations: number): number {
  const bound = posterior.mean + standardDeviations * posterior.deviation;
  return Math.min(1, Math.max(0, bound));
}

/** Creates the plan input for a rung, with bounds at `standardDeviations` from the mean. */
export function createPlanRung(
  info: { expectedCost: number; expectedLatencyMs: number },
  posterior: RungPosterior,
  standardDeviations: number,
): PlanRung {
  const first = {
    mean: posterior.first.mean,
    bound: calculateBound(posterior.first, standardDeviations),
  };
  // Requests that a lower rung missed are harder, so the estimate after a miss is never higher.
  const afterMiss = {
    mean: Math.min(first.mean, posterior.afterMiss.mean),
    bound: Math.min(first.bound, calculateBound(posterior.afterMiss, standardDeviations)),
  };
  return {
    cost: info.expectedCost,
    latencyMs: info.expectedLatencyMs,
    metFirst: first,
    metAfterMiss: afterMiss,
  };
}

/**
 * Estimates each rung. Evidence of other workspaces for the class is part of the prior, with a
 * total weight of at most `sharedWeight` ratings because their mixes of requests differ.
 */
export function estimateRungs(
  scope: PosteriorScope,
  evidence: EvidenceTable,
  sharedWeight: number,
  nowMs: number,
): RungPosterior[] {
  const { workspace, requestClass, qualityTarget } = scope;
  const posteriors: RungPosterior[] = [];
  scope.rungs.forEach(({ model, version }, index) => {
    const cell = { requestClass, model, version };
    const count = (name: string, escalated: boolean) =>
      evidence.count({ ...cell, workspace: name, escalated }, qualityTarget, nowMs);
    const shared = evidence
      .listWorkspaces({ ...cell, escalated: false })
      .filter((name) => name !== workspace)
      .map((name) => count(name, false))
      .reduce((a, b) => ({ met: a.met + b.met, missed: a.missed + b.missed }), {
        met: 0,
        missed: 0,
      });
    const sharedTotal = shared.met + shared.missed;
    const sharedPriorWeight = Math.min(sharedTotal, sharedWeight);
    const strongest = index === scope.rungs.length - 1;
    const priorMean = strongest ? Math.max(STRONGEST_PRIOR_MEAN, scope.targetShare) : PRIOR_MEAN;
    const sharedMean = sharedTotal > 0 ? shared.met / sharedTotal : 0;
    const prior = {
      weight: PRIOR_WEIGHT + sharedPriorWeight,
      mean:
        (PRIOR_WEIGHT * priorMean + sharedPriorWeight * sharedMean) /
        (PRIOR_WEIGHT + sharedPriorWeight),
    };
    const first = createPosterior(count(workspace, false), prior);
    // Assumes that a stronger model meets the target wherever a weaker one does. This is then its
    // probability of meeting the target for requests that the weaker one misses.
    const below = posteriors[index - 1]?.first.mean ?? 0;
    const implied = Math.max(0, first.mean - below) / Math.max(1 - below, 0.01);
    const impliedPrior = { weight: IMPLIED_WEIGHT, mean: Math.min(1, implied) };
    posteriors.push({ first, afterMiss: createPosterior(count(workspace, true), impliedPrior) });
  });
  return posteriors;
}
