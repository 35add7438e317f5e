import type { Cascade, CascadeEvidence } from '@cactusstair/protocol';
import { createRandom, systemClock } from '@cactusstair/utils';
import type { Clock, Random } from '@cactusstair/utils';

import { EvidenceTable } from './cascadeEvidence.js';
import { serializeShape, findPrice, listEfficientStrategies, planCascade } from './cascadePlan.js';
import type { CascadeStrategy, PlanPrice, PlanRequest, WeightedStrategy } from './cascadePlan.js';
import { createPlanRung, estimateRungs } from './cascadePosterior.js';
import type { RungPosterior } from './cascadePosterior.js';

/** A rung of a cascade, with the expected cost and latency of a request. */
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
  /** Ordered from cheapest to strongest. */
  rungs: RungInfo[];
  /** Time within which the answer must be complete, in milliseconds. */
  deadlineMs: number;
  streaming: boolean;
}

/** The rung to start with. `explored` is set for a rung that the evidence does not support yet. */
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

/** A rating of an answer; it may arrive after the answer was returned. */
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
  /** Id and wall-clock start (in milliseconds) of the instance; both identify its counters. */
  instance?: string;
  incarnation?: number;
  clock?: Clock;
  random?: Random;
  /** Maximum share of requests that start at a rung the evidence does not support, in 0..1. */
  explorationShare?: number;
  /** Largest expected cost of exploration as a share of all expected cost, in 0..1. */
  explorationCostShare?: number;
  /** Standard deviations between the mean of a posterior and the bound that plans use. */
  confidence?: number;
  /** Age at which the weight of a rating is halved, in milliseconds. */
  halfLifeMs?: number;
  /** Length of the periods by which ratings are counted, in milliseconds. */
  periodMs?: number;
  /** Maximum weight of the other workspaces' evidence, in ratings. */
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

// Estimates are cached for this time, in which few new ratings arrive.
const SCOPE_LIFETIME_MS = 1000;
const MAX_SCOPES = 10_000;

/** Number of recent requests of a workspace and class over which the target share is planned. */
const SAMPLE_REQUESTS = 48;
const MAX_SHAPES = 200;

/** Number of ratings at which a rung outside the plan is explored half as often. */
const EXPLORATION_HALF_RATINGS = 30;

// Minimum expected saving of exploration, as a share of the plan's cost; less is within the error.
const MIN_EXPLORATION_SAVING = 0.02;

/** Factor on the earlier counts of rated and finished answers with each finished answer. */
const RATED_COUNT_DECAY = 0.995;

type RequestShape = Pick<CascadeRequest, 'rungs' | 'deadlineMs' | 'streaming'>;

/** Cached estimates and plans per workspace, class and cascade. */
interface Scope {
  expiresAtMs: number;
  posteriors: RungPosterior[];
  ratedShare: number;
  samples: RequestShape[];
  nextSample: number;
  limit: PlanPrice;
  /** Strategies by shape of the request. */
  hulls: Map<string, CascadeStrategy[]>;
}

interface RatedCount {
  rated: number;
  total: number;
}

function sumCost(strategies: WeightedStrategy[]): number {
  return strategies.reduce((sum, { strategy, weight }) => sum + weight * strategy.cost, 0);
}

/** Returns the cost of a rung as a share of the request's most expensive rung. */
function calculateCostShare(rungs: RungInfo[], rung: number): number {
  const dearest = Math.max(...rungs.map((info) => info.expectedCost));
  return dearest > 0 ? (rungs[rung]?.expectedCost ?? 0) / dearest : 0;
}

function findFastest(rungs: RungInfo[]): number {
  const latencies = rungs.map((rung) => rung.expectedLatencyMs);
  return Math.max(0, latencies.indexOf(Math.min(...latencies)));
}

/**
 * Chooses rungs to minimise the expected cost while the target share of answers reaches the quality
 * target within the deadline. Plans use lower confidence bounds: a rung without evidence gets only
 * the requests that the margin of the proven rungs allows, and a bounded share of exploration.
 */
export class CascadePolicy {
  private readonly options: Required<CascadePolicyOptions>;

  private readonly evidence: EvidenceTable;

  private readonly scopes = new Map<string, Scope>();

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

  /** Chooses the first rung, or the fastest one if no rung answers within the deadline. */
  chooseStart(request: CascadeRequest): StartChoice {
    this.addSample(request);
    const plan = this.createPlan(request);
    const planned = this.drawStart(plan) ?? findFastest(request.rungs);
    this.spent.total += sumCost(plan);
    const explored = this.drawExploration(request, plan, planned);
    if (explored === undefined) return { rung: planned, explored: false };
    this.spent.exploration += calculateCostShare(request.rungs, explored);
    return { rung: explored, explored: true };
  }

  /**
   * Decides whether to run the next rung instead of returning an answer. Streams never escalate,
   * and neither do answers that met the target. An answer that missed it escalates up to the last
   * rung of the plan. An answer without a rating escalates if the evidence does not support its
   * rung, or if the plan uses the rung only for answers that a rating confirms.
   */
  shouldEscalate(request: EscalationRequest): boolean {
    const { rung, rating, rungs, cascade } = request;
    const next = rungs[rung + 1];
    if (request.streaming || !next) return false;
    this.countRated(request, rating !== undefined);
    if (next.expectedLatencyMs > request.remainingMs) return false;
    if (rating !== undefined && rating >= cascade.qualityTarget) return false;
    const plan = this.createPlan(request);
    // An empty plan means that no rung answers within the deadline.
    if (plan.length === 0) return false;
    const reaching = plan.map(({ strategy, weight }) => ({
      weight: weight * (strategy.reach[rung] ?? 0),
      escalates: rung < (rating === undefined ? strategy.acceptFrom : strategy.last),
    }));
    const sumWeights = (part: typeof reaching) => part.reduce((sum, { weight }) => sum + weight, 0);
    const total = sumWeights(reaching);
    // The plan does not reach this rung: it was explored or reached under an earlier plan.
    if (total === 0) {
      return rating !== undefined || plan.every(({ strategy }) => strategy.start > rung);
    }
    return (
      this.options.random.next() * total < sumWeights(reaching.filter(({ escalates }) => escalates))
    );
  }

  /** Records a rating. Values outside 0..1, which only a faulty service sends, are ignored. */
  recordRating(rated: CascadeRating): void {
    const { rating, escalated = false, workspace, requestClass, model, version } = rated;
    if (!(rating >= 0 && rating <= 1)) return;
    const key = { workspace, requestClass, model, version, escalated };
    this.evidence.add(key, rating, this.options.clock.wallMs());
  }

  /** Returns this instance's counters. They only grow until their period is outdated. */
  exportEvidence(): CascadeEvidence {
    return this.evidence.export(this.options.clock.wallMs());
  }

  /** Merges another instance's counters; importing them again has no effect. */
  importEvidence(evidence: CascadeEvidence): void {
    this.evidence.import(evidence, this.options.clock.wallMs());
  }

  private getScope(request: CascadeRequest): Scope {
    const { workspace, requestClass, cascade, rungs } = request;
    const { name, qualityTarget, targetShare } = cascade;
    const versions = rungs.map(({ model, version }) => ({ model, version }));
    const target = { workspace, requestClass, rungs: versions, qualityTarget, targetShare };
    const key = JSON.stringify([name, target]);
    const nowMs = this.options.clock.monotonicMs();
    const known = this.scopes.get(key);
    if (known && known.expiresAtMs > nowMs) return known;
    if (this.scopes.size >= MAX_SCOPES) this.scopes.clear();
    const wallMs = this.options.clock.wallMs();
    const scope: Scope = {
      expiresAtMs: nowMs + SCOPE_LIFETIME_MS,
      posteriors: estimateRungs(target, this.evidence, this.options.sharedWeight, wallMs),
      ratedShare: this.getRatedShare(request),
      samples: known?.samples ?? [request],
      nextSample: known?.nextSample ?? 0,
      limit: { price: Number.POSITIVE_INFINITY, shareAtPrice: 1 },
      hulls: new Map(),
    };
    const hulls = scope.samples.map((sample) => this.listStrategies(sample, scope));
    scope.limit = findPrice(hulls, targetShare);
    this.scopes.set(key, scope);
    return scope;
  }

  private addSample(request: CascadeRequest): void {
    const scope = this.getScope(request);
    const { rungs, deadlineMs, streaming } = request;
    scope.samples[scope.nextSample] = { rungs, deadlineMs, streaming };
    scope.nextSample = (scope.nextSample + 1) % SAMPLE_REQUESTS;
  }

  /** Plans with the lower bound of every rung, except the upper bound for rung `optimistic`. */
  private listStrategies(request: RequestShape, scope: Scope, optimistic?: number) {
    const { confidence } = this.options;
    const rungs = request.rungs.flatMap((info, index) => {
      const posterior = scope.posteriors[index];
      const deviations = index === optimistic ? confidence : -confidence;
      if (!posterior) return [];
      // Absolute costs would send the long requests of a class to cheap rungs and the short ones to
      // strong rungs, so that the ratings of a rung would come from requests of one length only.
      const cost = calculateCostShare(request.rungs, index);
      return [{ ...createPlanRung(info, posterior, deviations), cost }];
    });
    const planned: PlanRequest = {
      rungs,
      deadlineMs: request.deadlineMs,
      canEscalate: !request.streaming,
    };
    if (optimistic !== undefined) return listEfficientStrategies(planned, scope.ratedShare);
    const shape = serializeShape(planned);
    const hull = scope.hulls.get(shape) ?? listEfficientStrategies(planned, scope.ratedShare);
    if (scope.hulls.size < MAX_SHAPES) scope.hulls.set(shape, hull);
    return hull;
  }

  private createPlan(request: CascadeRequest): WeightedStrategy[] {
    const scope = this.getScope(request);
    return planCascade(this.listStrategies(request, scope), scope.limit);
  }

  private drawStart(plan: WeightedStrategy[]): number | undefined {
    let draw = plan.length > 1 ? this.options.random.next() : 0;
    for (const { strategy, weight } of plan) {
      if (draw < weight) return strategy.start;
      draw -= weight;
    }
    return plan.at(-1)?.strategy.start;
  }

  /** Returns a cheaper rung to explore with this request to gather evidence, if any. */
  private drawExploration(
    request: CascadeRequest,
    plan: WeightedStrategy[],
    planned: number,
  ): number | undefined {
    const { explorationShare, explorationCostShare, random } = this.options;
    // A streamed answer cannot be replaced, so a stream uses unproven rungs only within the plan.
    if (request.streaming || plan.length === 0) return undefined;
    if (random.next() >= explorationShare) return undefined;
    const scope = this.getScope(request);
    const lowest = Math.min(...plan.map(({ strategy }) => strategy.start));
    const fallback = request.rungs[planned];
    const candidate = request.rungs
      .map((info, rung) => ({ info, rung, ratings: scope.posteriors[rung]?.first.ratings ?? 0 }))
      .filter(({ rung }) => rung < lowest)
      // After a miss there must be enough time left for the planned rung.
      .filter(
        ({ info }) =>
          info.expectedLatencyMs + (fallback?.expectedLatencyMs ?? 0) <= request.deadlineMs,
      )
      .sort((a, b) => a.ratings - b.ratings)[0];
    if (!candidate) return undefined;
    if (random.next() >= EXPLORATION_HALF_RATINGS / (EXPLORATION_HALF_RATINGS + candidate.ratings))
      return undefined;
    const budget = explorationCostShare * this.spent.total;
    const cost = calculateCostShare(request.rungs, candidate.rung);
    if (this.spent.exploration + cost > budget) return undefined;
    const hull = this.listStrategies(request, scope, candidate.rung);
    const optimisticPlan = planCascade(hull, findPrice([hull], request.cascade.targetShare));
    return sumCost(optimisticPlan) < (1 - MIN_EXPLORATION_SAVING) * sumCost(plan)
      ? candidate.rung
      : undefined;
  }

  private countRated(request: CascadeRequest, rated: boolean): void {
    const key = JSON.stringify([request.workspace, request.requestClass]);
    const count = this.ratedCounts.get(key) ?? { rated: 0, total: 0 };
    this.ratedCounts.set(key, {
      rated: RATED_COUNT_DECAY * count.rated + (rated ? 1 : 0),
      total: RATED_COUNT_DECAY * count.total + 1,
    });
  }

  /** Returns the share of answers whose rating arrives in time; low without evidence. */
  private getRatedShare(request: CascadeRequest): number {
    const key = JSON.stringify([request.workspace, request.requestClass]);
    const { rated, total } = this.ratedCounts.get(key) ?? { rated: 0, total: 0 };
    return (rated + 0.5) / (total + 2);
  }
}
