import { RetryBudget } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import type { RelayBounds } from '../relayOptions.js';

/** Share of the retry budget in use; the rest covers differences between the instances' counts. */
const BUDGET_SHARE = 0.75;
// Retries beyond the ratio are divided among the living instances without coordination. The divisor
// is at least this, because starting or partitioned instances do not know how many others run.
const MIN_SHARING_INSTANCES = 10;

/** This instance's share of the retry budget of each service. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly clock: Clock,
    private readonly bounds: RelayBounds,
    /** Returns the number of living instances. */
    private readonly countInstances: () => number,
  ) {}

  get(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known) return known;
    const { retryRatio, retrySlack, retryWindowMs } = this.bounds;
    const budget = new RetryBudget({
      clock: this.clock,
      ratio: retryRatio * BUDGET_SHARE,
      getMinPerWindow: () => {
        const sharers = Math.max(MIN_SHARING_INSTANCES, this.countInstances());
        return Math.max(1, Math.floor((retrySlack * BUDGET_SHARE) / sharers));
      },
      windowMs: retryWindowMs,
    });
    this.budgets.set(service, budget);
    return budget;
  }
}
