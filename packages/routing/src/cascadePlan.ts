/** An estimated probability: its mean and the confidence bound that plans use. */
export interface Estimate {
  mean: number;
  bound: number;
}

/** Cost, latency and quality estimates of one rung. */
export interface PlanRung {
  cost: number;
  latencyMs: number;
  /** Probability that an answer meets the target. */
  metFirst: Estimate;
  /** The same after an answer of a lower rung was rated below the target. */
  metAfterMiss: Estimate;
}

/** The properties of a request that a plan depends on. */
export interface PlanRequest {
  rungs: PlanRung[];
  deadlineMs: number;
  /** Whether an answer can still be replaced; false for streams. */
  canEscalate: boolean;
}

/**
 * Starts at rung `start` and escalates answers that are rated below the target, up to rung `last`.
 * Below `acceptFrom`, answers without a rating escalate as well: such a rung is a cheap trial whose
 * answer is used only if a rating confirms it.
 */
export interface CascadeStrategy {
  start: number;
  last: number;
  acceptFrom: number;
  /** Expected cost, calculated with the means. */
  cost: number;
  /** Probability of meeting the target, calculated with the bounds. */
  met: number;
  /** Probability that a request reaches each rung. */
  reach: number[];
}

/** A strategy and the share of requests that use it. */
export interface WeightedStrategy {
  strategy: CascadeStrategy;
  weight: number;
}

/**
 * Maximum price, in cost per probability of meeting the target, at which a request is upgraded to a
 * better strategy. At exactly this price, the share `shareAtPrice` of the requests is upgraded.
 */
export interface PlanPrice {
  price: number;
  shareAtPrice: number;
}

type Chain = Pick<CascadeStrategy, 'start' | 'last' | 'acceptFrom'>;

// If the target cannot be met, a smaller gain does not justify a more expensive strategy.
const MET_TOLERANCE = 0.01;

// Relative difference below which two prices are treated as equal.
const PRICE_TOLERANCE = 1e-6;

/** Returns the share of requests that meet the target and the share that reach each rung. */
function followChain(
  rungs: PlanRung[],
  chain: Chain,
  ratedShare: number,
  kind: keyof Estimate,
): { met: number; reach: number[] } {
  const reach = rungs.map(() => 0);
  let unknown = 1;
  let missed = 0;
  let met = 0;
  for (let index = chain.start; index <= chain.last; index += 1) {
    const rung = rungs[index];
    if (!rung) break;
    reach[index] = unknown + missed;
    const good = unknown * rung.metFirst[kind] + missed * rung.metAfterMiss[kind];
    const bad = unknown + missed - good;
    if (index === chain.last) return { met: met + good, reach };
    const escalatesUnrated = index < chain.acceptFrom;
    met += escalatesUnrated ? ratedShare * good : good;
    unknown *= escalatesUnrated ? 1 - ratedShare : 0;
    missed = ratedShare * bad + (escalatesUnrated ? (1 - ratedShare) * missed : 0);
  }
  return { met, reach };
}

function createStrategy(rungs: PlanRung[], chain: Chain, ratedShare: number): CascadeStrategy {
  // The bounds decide whether the target is met; the means make the costs of rungs with much and
  // with little evidence comparable.
  const { met } = followChain(rungs, chain, ratedShare, 'bound');
  const { reach } = followChain(rungs, chain, ratedShare, 'mean');
  const cost = rungs.reduce((sum, rung, index) => sum + rung.cost * (reach[index] ?? 0), 0);
  return { ...chain, cost, met, reach };
}

/** Returns the last rung that a chain from `start` can reach within the deadline, or -1. */
function findLastReachable({ rungs, deadlineMs, canEscalate }: PlanRequest, start: number): number {
  let latencyMs = 0;
  let last = -1;
  for (let index = start; index < rungs.length; index += 1) {
    latencyMs += rungs[index]?.latencyMs ?? 0;
    if (latencyMs > deadlineMs || (index > start && !canEscalate)) break;
    last = index;
  }
  return last;
}

function listStrategies(request: PlanRequest, ratedShare: number): CascadeStrategy[] {
  const { rungs } = request;
  const strategies: CascadeStrategy[] = [];
  rungs.forEach((_, start) => {
    const limit = findLastReachable(request, start);
    for (let last = start; last <= limit; last += 1) {
      for (let acceptFrom = start; acceptFrom <= last; acceptFrom += 1) {
        strategies.push(createStrategy(rungs, { start, last, acceptFrom }, ratedShare));
      }
    }
  });
  return strategies;
}

/** Returns a key that is equal for requests with the same strategies and costs. */
export function serializeShape(request: PlanRequest): string {
  return request.rungs
    .map(({ cost }, start) => `${cost.toFixed(4)}/${findLastReachable(request, start)}`)
    .join(' ');
}

/**
 * Returns the strategies on the lower convex hull of cost over the probability of meeting the
 * target, in order of cost. The result is empty if no rung answers within the deadline.
 */
export function listEfficientStrategies(
  request: PlanRequest,
  ratedShare: number,
): CascadeStrategy[] {
  const hull: CascadeStrategy[] = [];
  listStrategies(request, ratedShare)
    .sort((a, b) => a.cost - b.cost || b.met - a.met)
    .forEach((strategy) => {
      if (strategy.met <= (hull.at(-1)?.met ?? -1)) return;
      while (hull.length > 1) {
        const [below, top] = hull.slice(-2) as [CascadeStrategy, CascadeStrategy];
        if (calculatePrice(below, top) < calculatePrice(top, strategy)) break;
        hull.pop();
      }
      hull.push(strategy);
    });
  return hull;
}

/** Returns the extra cost per gained probability of meeting the target of `high` over `low`. */
function calculatePrice(low: CascadeStrategy, high: CascadeStrategy): number {
  return (high.cost - low.cost) / (high.met - low.met);
}

/**
 * Finds the price at which the mean over sample requests meets the target share. This is the dual
 * solution of the linear program that minimises the expected cost: all requests are upgraded up to
 * the same price. If the target share cannot be reached, the price is infinite.
 */
export function findPrice(hulls: CascadeStrategy[][], targetShare: number): PlanPrice {
  const reachable = hulls.filter((hull) => hull.length > 0);
  let missing = reachable.reduce((sum, hull) => sum + targetShare - (hull[0]?.met ?? 0), 0);
  if (missing <= 0) return { price: 0, shareAtPrice: 0 };
  const upgrades = reachable
    .flatMap((hull) =>
      hull.slice(1).map((high, index) => {
        const low = hull[index] as CascadeStrategy;
        return { price: calculatePrice(low, high), met: high.met - low.met };
      }),
    )
    .sort((a, b) => a.price - b.price);
  for (let index = 0; index < upgrades.length;) {
    const price = upgrades[index]?.price ?? 0;
    let step = 0;
    for (; isSamePrice(upgrades[index]?.price, price); index += 1)
      step += upgrades[index]?.met ?? 0;
    if (step >= missing) return { price, shareAtPrice: missing / step };
    missing -= step;
  }
  return { price: Number.POSITIVE_INFINITY, shareAtPrice: 1 };
}

function isSamePrice(value: number | undefined, price: number): boolean {
  if (value === undefined || !Number.isFinite(price)) return false;
  return Math.abs(value - price) <= PRICE_TOLERANCE * price;
}

/** Returns the cheapest strategy within `MET_TOLERANCE` of the best one. */
function chooseNearBest(hull: CascadeStrategy[]): CascadeStrategy {
  const best = hull.at(-1) as CascadeStrategy;
  return hull.find((strategy) => strategy.met >= best.met - MET_TOLERANCE) ?? best;
}

/** Returns the mix of at most two strategies for a request at the given price limit. */
export function planCascade(hull: CascadeStrategy[], limit: PlanPrice): WeightedStrategy[] {
  let [strategy] = hull;
  if (!strategy) return [];
  if (limit.price === Number.POSITIVE_INFINITY)
    return [{ strategy: chooseNearBest(hull), weight: 1 }];
  for (const next of hull.slice(1)) {
    const price = calculatePrice(strategy, next);
    if (isSamePrice(price, limit.price)) {
      return [
        { strategy, weight: 1 - limit.shareAtPrice },
        { strategy: next, weight: limit.shareAtPrice },
      ];
    }
    if (price > limit.price) break;
    strategy = next;
  }
  return [{ strategy, weight: 1 }];
}
