import { RetryBudget } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import type { RelayBounds } from '../relayOptions.js';

/** Part of the retry budget that is used; the rest covers what instances count differently. */
const BUDGET_SHARE = 0.75;
// Repeats beyond the ratio are shared without asking: by the living instances, but by no fewer than
// this, since those that start or were cut off do not know how many there are.
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
