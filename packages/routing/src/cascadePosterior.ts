import type { EvidenceTable, RatingCounts } from './cascadeEvidence.js';
import type { PlanRung } from './cascadePlan.js';

/** Posterior of the probability that an answer meets the target. */
export interface Posterior {
  mean: number;
  /** Standard deviation. */
  deviation: number;
  /** Weighted number of ratings behind it, without the prior. */
  ratings: number;
}

/** Posteriors of one rung. */
export interface RungPosterior {
  first: Posterior;
  /** After the rung below was seen to miss the target. */
  afterMiss: Posterior;
}

/** A workspace and class whose rungs are judged. */
export interface PosteriorScope {
  workspace: string;
  requestClass: string;
  rungs: { model: string; version: string }[];
  qualityTarget: number;
  targetShare: number;
}

/** Weight in ratings of the prior of a rung without evidence. */
const PRIOR_WEIGHT = 1;
// Presumes an unproven rung to be bad, so that ratings and not the prior give it requests.
const PRIOR_MEAN = 0.2;

// The strongest rung is the fallback, so it is presumed to meet the target until ratings differ.
const STRONGEST_PRIOR_MEAN = 0.95;

/** Weight in ratings of the estimate for answers after a miss that other evidence implies. */
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

/** Returns what a plan assumes of a rung, with bounds at a number of standard deviations. */
export function createPlanRung(
  info: { expectedCost: number; expectedLatencyMs: number },
  posterior: RungPosterior,
  standardDeviations: number,
): PlanRung {
  const first = {
    mean: posterior.first.mean,
    bound: calculateBound(posterior.first, standardDeviations),
  };
  // Requests that a lower rung missed are the harder ones, so a miss raises no estimate.
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
 * Estimates each rung. Evidence of other workspaces of the class enters the prior with a total
 * weight of at most `sharedWeight` ratings, since their mixes of requests differ.
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
    const kept = Math.min(sharedTotal, sharedWeight);
    const strongest = index === scope.rungs.length - 1;
    const priorMean = strongest ? Math.max(STRONGEST_PRIOR_MEAN, scope.targetShare) : PRIOR_MEAN;
    const sharedMean = sharedTotal > 0 ? shared.met / sharedTotal : 0;
    const prior = {
      weight: PRIOR_WEIGHT + kept,
      mean: (PRIOR_WEIGHT * priorMean + kept * sharedMean) / (PRIOR_WEIGHT + kept),
    };
    const first = createPosterior(count(workspace, false), prior);
    // If a stronger model meets the target wherever a weaker one does, this is its probability
    // among the answers that the weaker one misses.
    const below = posteriors[index - 1]?.first.mean ?? 0;
    const implied = Math.max(0, first.mean - below) / Math.max(1 - below, 0.01);
    const impliedPrior = { weight: IMPLIED_WEIGHT, mean: Math.min(1, implied) };
    posteriors.push({ first, afterMiss: createPosterior(count(workspace, true), impliedPrior) });
  });
  return posteriors;
}
