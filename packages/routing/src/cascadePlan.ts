/** What a plan needs to know about a rung. */
export interface PlanRung {
  cost: number;
  latencyMs: number;
  /** Probability that an answer meets the target. */
  metFirst: number;
  /** Probability that an answer meets the target after a lower rung was seen to miss it. */
  metAfterMiss: number;
}

/** Start at a rung and escalate answers that are seen to miss the target up to `last`. */
export interface CascadeStrategy {
  start: number;
  last: number;
  cost: number;
  met: number;
}

/** A strategy and the share of requests that use it. */
export interface WeightedStrategy {
  strategy: CascadeStrategy;
  weight: number;
}

/** Options of `planCascade`. */
export interface PlanOptions {
  /** Share of answers that have to meet the quality target. */
  targetShare: number;
  /** Probability that the rating of an answer comes in time to escalate. */
  ratedShare: number;
  deadlineMs: number;
  /** Whether an answer can be replaced after it was started. */
  canEscalate: boolean;
}

// Within this difference of the probability to meet the target the cheaper strategy is taken.
const MET_TOLERANCE = 0.005;

function listStrategies(rungs: PlanRung[], options: PlanOptions): CascadeStrategy[] {
  return rungs.flatMap((first, start) => {
    const strategies: CascadeStrategy[] = [];
    let { cost, metFirst: met, latencyMs } = first;
    let missedShare = options.ratedShare * (1 - met);
    for (let last = start; last < rungs.length; last += 1) {
      if (last > start) {
        const rung = rungs[last];
        if (!rung || !options.canEscalate) break;
        latencyMs += rung.latencyMs;
        cost += missedShare * rung.cost;
        met += missedShare * rung.metAfterMiss;
        missedShare *= options.ratedShare * (1 - rung.metAfterMiss);
      }
      if (latencyMs > options.deadlineMs) break;
      strategies.push({ start, last, cost, met });
    }
    return strategies;
  });
}

function chooseBest(strategies: CascadeStrategy[]): CascadeStrategy | undefined {
  const best = Math.max(...strategies.map((strategy) => strategy.met));
  return strategies
    .filter((strategy) => strategy.met >= best - MET_TOLERANCE)
    .sort((a, b) => a.cost - b.cost)[0];
}

/**
 * Returns the cheapest mix of strategies that meets the target share within the deadline. The
 * optimum of this linear program mixes at most two strategies. If no mix meets the share, the
 * plan is the strategy that comes closest; it is empty if no rung answers within the deadline.
 */
export function planCascade(rungs: PlanRung[], options: PlanOptions): WeightedStrategy[] {
  const strategies = listStrategies(rungs, options);
  const meeting = strategies.filter((strategy) => strategy.met >= options.targetShare);
  const missing = strategies.filter((strategy) => strategy.met < options.targetShare);
  if (meeting.length === 0) {
    const best = chooseBest(strategies);
    return best ? [{ strategy: best, weight: 1 }] : [];
  }
  const pure = meeting.map((strategy) => ({
    cost: strategy.cost,
    plan: [{ strategy, weight: 1 }],
  }));
  const mixed = meeting.flatMap((high) =>
    missing
      .filter((low) => low.cost < high.cost)
      .map((low) => {
        const weight = (options.targetShare - low.met) / (high.met - low.met);
        return {
          cost: weight * high.cost + (1 - weight) * low.cost,
          plan: [
            { strategy: low, weight: 1 - weight },
            { strategy: high, weight },
          ],
        };
      }),
  );
  return [...pure, ...mixed].sort((a, b) => a.cost - b.cost)[0]?.plan ?? [];
}
