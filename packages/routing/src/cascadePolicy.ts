import type { Cascade, CascadeEvidence } from '@cactusstair/protocol';
import { createRandom, systemClock } from '@cactusstair/utils';
import type { Clock, Random } from '@cactusstair/utils';

import { EvidenceTable } from './cascadeEvidence.js';
import { planCascade } from './cascadePlan.js';
import type { WeightedStrategy } from './cascadePlan.js';
import { createPlanRung, estimateRungs } from './cascadePosterior.js';
import type { RungPosterior } from './cascadePosterior.js';

/** A rung of a cascade, with what a request is expected to cost there. */
export interface RungInfo {
  model: string;
  version: string;
  /** Expected price of the request on this rung, in any one unit. */
  expectedCost: number;
  /** Expected time to the complete answer, in milliseconds. */
  expectedLatencyMs: number;
}

/** The part of a cascade object that the policy reads. */
export type CascadeTarget = Pick<Cascade, 'name' | 'qualityTarget' | 'targetShare'>;

/** A request for which a rung is chosen. */
export interface CascadeRequest {
  workspace: string;
  requestClass: string;
  cascade: CascadeTarget;
  /** From cheap to strong. */
  rungs: RungInfo[];
  /** Time until the answer has to be complete, in milliseconds. */
  deadlineMs: number;
  streaming: boolean;
}

/** The rung to start with; `explored` marks a rung that the evidence does not support yet. */
export interface StartChoice {
  rung: number;
  explored: boolean;
}

/** A finished answer of a rung below the strongest. */
export interface EscalationRequest extends CascadeRequest {
  rung: number;
  /** Rating in 0..1 of the answer, if it came in time. */
  rating: number | undefined;
  remainingMs: number;
}

/** A rating of an answer, at whatever time it arrives. */
export interface CascadeRating {
  workspace: string;
  requestClass: string;
  model: string;
  version: string;
  /** In 0..1. */
  rating: number;
  /** Whether a lower rung's answer to the request was rated below the target; default false. */
  escalated?: boolean;
}

/** Options of the cascade policy. */
export interface CascadePolicyOptions {
  /** Id and wall-clock start in milliseconds of the instance; they name its counters. */
  instance?: string;
  incarnation?: number;
  clock?: Clock;
  random?: Random;
  /** Share of requests that may start at a rung the evidence does not support, in 0..1. */
  explorationShare?: number;
  /** Largest expected cost of exploration as a share of all expected cost, in 0..1. */
  explorationCostShare?: number;
  /** Standard deviations between the mean of a posterior and the bound that plans rely on. */
  confidence?: number;
  /** Age at which a rating counts half, in milliseconds. */
  halfLifeMs?: number;
  /** Length of the periods by which ratings are counted, in milliseconds. */
  periodMs?: number;
  /** Ratings that the other workspaces' evidence counts as at most. */
  sharedWeight?: number;
}

const DEFAULT_OPTIONS = {
  explorationShare: 0.03,
  explorationCostShare: 0.02,
  confidence: 1,
  halfLifeMs: 3_600_000,
  periodMs: 300_000,
  sharedWeight: 8,
};

// Posteriors are kept this long; few ratings arrive in the meantime.
const POSTERIOR_LIFETIME_MS = 1000;
const MAX_KEPT_POSTERIORS = 10_000;

/** Ratings at which a rung that the plan does not use is explored half as often. */
const EXPLORED_RATINGS = 30;

// Exploration needs the prospect of a saving of this share; less is within the error.
const MIN_EXPLORATION_SAVING = 0.02;

/** Weight that the share of ratings in time loses with each finished answer. */
const RATED_DECAY = 0.995;

interface KeptPosteriors {
  expiresAtMs: number;
  posteriors: RungPosterior[];
}

interface RatedCount {
  rated: number;
  total: number;
}

function sumCost(strategies: WeightedStrategy[]): number {
  return strategies.reduce((sum, { strategy, weight }) => sum + weight * strategy.cost, 0);
}

function findFastest(rungs: RungInfo[]): number {
  const latencies = rungs.map((rung) => rung.expectedLatencyMs);
  return Math.max(0, latencies.indexOf(Math.min(...latencies)));
}

/**
 * Chooses rungs so that the expected cost is lowest while the target share of answers reaches the
 * quality target within the deadline. Plans use lower confidence bounds: a rung without evidence
 * gets only what the slack of the proven rungs allows, and a bounded share of exploration.
 */
export class CascadePolicy {
  private readonly options: Required<CascadePolicyOptions>;

  private readonly evidence: EvidenceTable;

  private readonly kept = new Map<string, KeptPosteriors>();

  private readonly ratedCounts = new Map<string, RatedCount>();

  private readonly spent = { exploration: 0, total: 0 };

  constructor(options: CascadePolicyOptions = {}) {
    const clock = options.clock ?? systemClock;
    const incarnation = options.incarnation ?? clock.wallMs();
    this.options = {
      ...DEFAULT_OPTIONS,
      instance: 'local',
      incarnation,
      clock,
      random: createRandom(incarnation % 2 ** 31),
      ...options,
    };
    this.evidence = new EvidenceTable(this.options);
  }

  /** Chooses the first rung. If none answers within the deadline, it is the fastest one. */
  chooseStart(request: CascadeRequest): StartChoice {
    const plan = this.createPlan(request);
    const planned = this.drawStart(plan) ?? findFastest(request.rungs);
    this.spent.total += plan.length > 0 ? sumCost(plan) : 0;
    const explored = this.drawExploration(request, plan, planned);
    if (explored === undefined) return { rung: planned, explored: false };
    this.spent.exploration += request.rungs[explored]?.expectedCost ?? 0;
    return { rung: explored, explored: true };
  }

  /**
   * Decides whether to run the next rung instead of returning an answer. Streams never escalate.
   * An answer that met the target is returned. One that missed it escalates as far as the plan
   * needs. One without a rating escalates only if its rung is below all that the plan starts with.
   */
  shouldEscalate(request: EscalationRequest): boolean {
    const { rung, rating, rungs, cascade } = request;
    const next = rungs[rung + 1];
    if (request.streaming || !next) return false;
    this.countRated(request, rating !== undefined);
    if (next.expectedLatencyMs > request.remainingMs) return false;
    if (rating !== undefined && rating >= cascade.qualityTarget) return false;
    const plan = this.createPlan(request);
    const isBelowPlan = plan.every(({ strategy }) => strategy.start > rung);
    if (isBelowPlan || rating === undefined) return isBelowPlan;
    const passing = plan.filter(({ strategy }) => strategy.start <= rung && strategy.last >= rung);
    const going = passing.filter(({ strategy }) => strategy.last > rung);
    const sumWeights = (part: WeightedStrategy[]) =>
      part.reduce((sum, { weight }) => sum + weight, 0);
    // A rung that the plan passes by was reached under an earlier plan.
    if (passing.length === 0) return true;
    return this.options.random.next() * sumWeights(passing) < sumWeights(going);
  }

  /** Records a rating; values outside 0..1, which only a faulty service gives, are ignored. */
  recordRating(rated: CascadeRating): void {
    const { rating, escalated = false, workspace, requestClass, model, version } = rated;
    if (!(rating >= 0 && rating <= 1)) return;
    const key = { workspace, requestClass, model, version, escalated };
    this.evidence.add(key, rating, this.options.clock.wallMs());
  }

  /** Returns this instance's counters, which grow until their period is outdated. */
  exportEvidence(): CascadeEvidence {
    return this.evidence.export(this.options.clock.wallMs());
  }

  /** Takes in another instance's counters; importing them again has no effect. */
  importEvidence(evidence: CascadeEvidence): void {
    this.evidence.import(evidence, this.options.clock.wallMs());
  }

  private getPosteriors(request: CascadeRequest): RungPosterior[] {
    const { workspace, requestClass, cascade, rungs } = request;
    const { qualityTarget, targetShare } = cascade;
    const nowMs = this.options.clock.monotonicMs();
    const versions = rungs.map(({ model, version }) => ({ model, version }));
    const scope = { workspace, requestClass, rungs: versions, qualityTarget, targetShare };
    const key = JSON.stringify(scope);
    const kept = this.kept.get(key);
    if (kept && kept.expiresAtMs > nowMs) return kept.posteriors;
    if (this.kept.size >= MAX_KEPT_POSTERIORS) this.kept.clear();
    const wallMs = this.options.clock.wallMs();
    const posteriors = estimateRungs(scope, this.evidence, this.options.sharedWeight, wallMs);
    this.kept.set(key, { expiresAtMs: nowMs + POSTERIOR_LIFETIME_MS, posteriors });
    return posteriors;
  }

  /** Plans with the lower bounds of all rungs, but with the upper bound of `optimistic`. */
  private createPlan(request: CascadeRequest, optimistic?: number): WeightedStrategy[] {
    const posteriors = this.getPosteriors(request);
    const { confidence } = this.options;
    const rungs = request.rungs.flatMap((info, index) => {
      const posterior = posteriors[index];
      const deviations = index === optimistic ? confidence : -confidence;
      return posterior ? [createPlanRung(info, posterior, deviations)] : [];
    });
    return planCascade(rungs, {
      targetShare: request.cascade.targetShare,
      ratedShare: this.getRatedShare(request),
      deadlineMs: request.deadlineMs,
      canEscalate: !request.streaming,
    });
  }

  private drawStart(plan: WeightedStrategy[]): number | undefined {
    let draw = plan.length > 1 ? this.options.random.next() : 0;
    for (const { strategy, weight } of plan) {
      if (draw < weight) return strategy.start;
      draw -= weight;
    }
    return plan.at(-1)?.strategy.start;
  }

  /** Returns a cheaper rung whose evidence is to be extended with this request, if any. */
  private drawExploration(
    request: CascadeRequest,
    plan: WeightedStrategy[],
    planned: number,
  ): number | undefined {
    const { explorationShare, explorationCostShare, random } = this.options;
    // The answer of a stream cannot be replaced, so only the plan's slack serves as its trial.
    if (request.streaming || plan.length === 0) return undefined;
    if (random.next() >= explorationShare) return undefined;
    const posteriors = this.getPosteriors(request);
    const lowest = Math.min(...plan.map(({ strategy }) => strategy.start));
    const fallback = request.rungs[planned];
    const open = request.rungs
      .map((info, rung) => ({ info, rung, ratings: posteriors[rung]?.first.ratings ?? 0 }))
      .filter(({ rung }) => rung < lowest)
      // A miss must leave the time for the planned rung.
      .filter(
        ({ info }) =>
          info.expectedLatencyMs + (fallback?.expectedLatencyMs ?? 0) <= request.deadlineMs,
      )
      .sort((a, b) => a.ratings - b.ratings)[0];
    if (!open) return undefined;
    if (random.next() >= EXPLORED_RATINGS / (EXPLORED_RATINGS + open.ratings)) return undefined;
    const budget = explorationCostShare * this.spent.total;
    if (this.spent.exploration + open.info.expectedCost > budget) return undefined;
    const hoped = sumCost(this.createPlan(request, open.rung));
    return hoped < (1 - MIN_EXPLORATION_SAVING) * sumCost(plan) ? open.rung : undefined;
  }

  private countRated(request: CascadeRequest, rated: boolean): void {
    const key = JSON.stringify([request.workspace, request.requestClass]);
    const count = this.ratedCounts.get(key) ?? { rated: 0, total: 0 };
    this.ratedCounts.set(key, {
      rated: RATED_DECAY * count.rated + (rated ? 1 : 0),
      total: RATED_DECAY * count.total + 1,
    });
  }

  /** Returns the share of answers whose rating comes in time; low without evidence. */
  private getRatedShare(request: CascadeRequest): number {
    const key = JSON.stringify([request.workspace, request.requestClass]);
    const { rated, total } = this.ratedCounts.get(key) ?? { rated: 0, total: 0 };
    return (rated + 0.5) / (total + 2);
  }
}
