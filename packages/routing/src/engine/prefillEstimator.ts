/**
 * Learns how long the engines of a service take to read a prompt, from the times to the first
 * event of its answers. Serves deployments whose hardware and models are unknown in advance.
 */

/**
 * Decayed sums of a weighted linear regression of the wait for the first event (ms) on the prompt's
 * nominal prefill time (ms). Sums of several instances add up.
 */
export type PrefillSums = [
  weight: number,
  nominal: number,
  wait: number,
  nominalSquared: number,
  nominalWait: number,
];

/** One observed first event. */
export interface PrefillSample {
  model: string;
  /** Nominal prefill time of the request's own prompt, from `estimateNominalMs`. */
  nominalMs: number;
  /** Estimated unfinished prefill of other requests when this one was sent. */
  backlogMs: number;
  /** Time from sending the request to its first event. */
  waitMs: number;
}

/** Prompt tokens per millisecond for which the nominal time is defined. */
const NOMINAL_TOKENS_PER_MS = 50;
/** Share by which the cost of a prompt token grows with each token before it, due to attention. */
const ATTENTION_COST_PER_TOKEN = 2e-5;
/** Wait for the first event that does not depend on the prompt, before the first samples. */
const PRIOR_OFFSET_MS = 10;
/** Weight of the prior offset, in samples. */
const PRIOR_OFFSET_WEIGHT = 2;
// The prior of the slope weighs as much as one sample with a prompt of this nominal time, so that a
// few long prompts outweigh it and any number of short ones, which say little, do not.
const PRIOR_NOMINAL_MS = 50;
/** Bounds on an engine's slowdown relative to the nominal time. */
const MIN_SLOWDOWN = 0.05;
const MAX_SLOWDOWN = 40;
/** A wait counts as at most this many times the expected one, so that no single answer decides. */
const MAX_SURPRISE = 4;
/** Weight that remains of earlier samples of a model when a new one is added. */
const SAMPLE_DECAY = 0.98;

export function createPrefillSums(): PrefillSums {
  return [0, 0, 0, 0, 0];
}

export function addPrefillSums(total: PrefillSums, part: PrefillSums): void {
  for (let index = 0; index < total.length; index += 1) total[index]! += part[index]!;
}

/**
 * Returns the time that an engine of nominal speed takes to read the part of a prompt that is not
 * in its cache.
 *
 * @param timeFactor processing time of the model relative to one of nominal speed
 */
export function estimateNominalMs(
  uncachedTokens: number,
  promptTokens: number,
  timeFactor: number,
): number {
  const perToken = (1 + promptTokens * ATTENTION_COST_PER_TOKEN) / NOMINAL_TOKENS_PER_MS;
  return uncachedTokens * perToken * timeFactor;
}

/** Returns the slope of the regression, with a prior that weighs as much as one long prompt. */
function computeSlope(sums: PrefillSums, priorSlope: number): number {
  const [weight, nominal, wait, nominalSquared, nominalWait] = sums;
  const offsetWeight = weight + PRIOR_OFFSET_WEIGHT;
  const offsetWait = wait + PRIOR_OFFSET_WEIGHT * PRIOR_OFFSET_MS;
  const priorWeight = PRIOR_NOMINAL_MS ** 2;
  const squares = nominalSquared + priorWeight;
  const products = nominalWait + priorWeight * priorSlope;
  const determinant = offsetWeight * squares - nominal * nominal;
  const slope = (offsetWeight * products - nominal * offsetWait) / determinant;
  return Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, slope));
}

/** Estimates prefill times at the engines of one service, by model. */
export class PrefillEstimator {
  private readonly ownSums = new Map<string, PrefillSums>();

  private peerSums: ReadonlyMap<string, PrefillSums> = new Map();

  private readonly slowdowns = new Map<string, number>();

  record(sample: PrefillSample): void {
    const { model, nominalMs, backlogMs, waitMs } = sample;
    if (nominalMs <= 0) return;
    const ownMs = this.estimateMs(model, nominalMs);
    // A wait that consists mostly of the queue says little about the prompt's own time.
    const weight = ownMs / (ownMs + backlogMs);
    const longestMs = MAX_SURPRISE * (ownMs + PRIOR_OFFSET_MS);
    const ownWaitMs = Math.min(longestMs, Math.max(0, waitMs - backlogMs));
    const sums = this.ownSums.get(model) ?? createPrefillSums();
    for (let index = 0; index < sums.length; index += 1) sums[index]! *= SAMPLE_DECAY;
    addPrefillSums(sums, [
      weight,
      weight * nominalMs,
      weight * ownWaitMs,
      weight * nominalMs * nominalMs,
      weight * nominalMs * ownWaitMs,
    ]);
    this.ownSums.set(model, sums);
    this.slowdowns.clear();
  }

  /** Returns the expected prefill time of a prompt at an idle engine, in milliseconds. */
  estimateMs(model: string, nominalMs: number): number {
    return nominalMs * this.getSlowdown(model);
  }

  /** Returns the sums of this instance by model. */
  exportSums(): Record<string, PrefillSums> {
    return Object.fromEntries(this.ownSums);
  }

  /** Replaces the sums of all other instances, by model. */
  importPeerSums(sums: Readonly<Record<string, PrefillSums>>): void {
    this.peerSums = new Map(Object.entries(sums));
    this.slowdowns.clear();
  }

  /** Prefill time of a model relative to its nominal time. */
  private getSlowdown(model: string): number {
    const known = this.slowdowns.get(model);
    if (known !== undefined) return known;
    const sums = this.sumModel(model);
    const slowdown = computeSlope(sums, this.computeServiceSlope());
    this.slowdowns.set(model, slowdown);
    return slowdown;
  }

  /** Slope over all models, which is the prior of a model with few samples of its own. */
  private computeServiceSlope(): number {
    const total = createPrefillSums();
    const models = new Set([...this.ownSums.keys(), ...this.peerSums.keys()]);
    for (const model of models) addPrefillSums(total, this.sumModel(model));
    return computeSlope(total, 1);
  }

  private sumModel(model: string): PrefillSums {
    const total = createPrefillSums();
    const own = this.ownSums.get(model);
    if (own) addPrefillSums(total, own);
    const peers = this.peerSums.get(model);
    if (peers) addPrefillSums(total, peers);
    return total;
  }
}
