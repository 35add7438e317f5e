import { RetryBudget } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import type { RelayBounds } from '../relayOptions.js';

/** Part of the retry budget that is used; the rest covers what instances count differently. */
const BUDGET_SHARE = 0.75;
/** Instances between which the repeats beyond the ratio are shared without asking. */
const SHARING_INSTANCES = 10;

/** This instance's share of the retry budget of each service. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly clock: Clock,
    private readonly bounds: RelayBounds,
  ) {}

  get(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known) return known;
    const { retryRatio, retrySlack, retryWindowMs } = this.bounds;
    const budget = new RetryBudget({
      clock: this.clock,
      ratio: retryRatio * BUDGET_SHARE,
      minPerWindow: Math.max(1, Math.floor((retrySlack * BUDGET_SHARE) / SHARING_INSTANCES)),
      windowMs: retryWindowMs,
    });
    this.budgets.set(service, budget);
    return budget;
  }
}
