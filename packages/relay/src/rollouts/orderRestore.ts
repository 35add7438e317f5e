import type { Clock } from '@cactusstair/utils';

import type { SourceItem } from '../follow/changeSource.js';
import type { RolloutOrder, RolloutProgress } from './rolloutOrder.js';

/**
 * Time after the list of a restored store for which older orders are kept out of force. The operators
 * write again what the store has lost; what it says after this time counts as intended.
 */
const RESTORE_SETTLE_MS = 10_000;
/** Replaced targets that are remembered for each service. */
const MAX_REPLACED_TARGETS = 8;

const RANK_BY_STATE = { running: 1, completed: 2, rolled_back: 2 } as const;

/**
 * Returns the progress that is in force if the stored order for the same target is behind it;
 * undefined otherwise.
 */
export function findLostProgress(
  inForce: RolloutOrder,
  stored: RolloutOrder,
): RolloutProgress | undefined {
  const { targetVersion, state, step, startedAtWallMs } = inForce;
  if (state === undefined || startedAtWallMs === undefined) return undefined;
  const rank = RANK_BY_STATE[state];
  const storedRank = stored.state === undefined ? 0 : RANK_BY_STATE[stored.state];
  const isBehind = storedRank < rank || (storedRank === 1 && rank === 1 && stored.step < step);
  return isBehind ? { targetVersion, state, step, startedAtWallMs } : undefined;
}

/** Tells which orders of a store that was restored are older than those in force. */
export class OrderRestore {
  private listedAtMs = -Infinity;

  /** Targets that were replaced or deleted before the restore, by service, oldest first. */
  private readonly replaced = new Map<string, Set<string>>();

  /** What the store has for a service while an older order is kept out; undefined for no order. */
  private readonly deferred = new Map<string, SourceItem<RolloutOrder> | undefined>();

  constructor(private readonly clock: Clock) {}

  /** Starts the time in which older orders are kept out, at the first list of a restored store. */
  start(): void {
    this.listedAtMs = this.clock.monotonicMs();
  }

  get isSettling(): boolean {
    return this.clock.monotonicMs() - this.listedAtMs < RESTORE_SETTLE_MS;
  }

  /** Records that an order was replaced by one with another target, or deleted. */
  recordReplaced({ service, targetVersion }: RolloutOrder): void {
    const targets = this.replaced.get(service) ?? new Set<string>();
    this.replaced.set(service, targets);
    targets.delete(targetVersion);
    targets.add(targetVersion);
    const [oldest] = targets;
    if (targets.size > MAX_REPLACED_TARGETS && oldest !== undefined) targets.delete(oldest);
  }

  /** Records that an order was put in force. */
  recordInForce({ service, targetVersion }: RolloutOrder): void {
    this.replaced.get(service)?.delete(targetVersion);
    this.deferred.delete(service);
  }

  /** Whether an order from the store is older than the one in force, or was deleted before. */
  isOlder(inForce: RolloutOrder | undefined, stored: RolloutOrder): boolean {
    if (!this.isSettling || inForce?.targetVersion === stored.targetVersion) return false;
    if (this.replaced.get(stored.service)?.has(stored.targetVersion)) return true;
    return (stored.startedAtWallMs ?? Infinity) < (inForce?.startedAtWallMs ?? -Infinity);
  }

  /** Keeps what the store has for a service until the restore has settled. */
  defer(service: string, item: SourceItem<RolloutOrder> | undefined): void {
    this.deferred.set(service, item);
  }

  /** Drops what was deferred for a service, because the store says something newer. */
  drop(service: string): void {
    this.deferred.delete(service);
  }

  /** Drops all that was deferred, because a list says what the store has now. */
  dropAll(): void {
    this.deferred.clear();
  }

  listDeferred(): SourceItem<RolloutOrder>[] {
    return [...this.deferred.values()].flatMap((item) => item ?? []);
  }

  /** Returns what was deferred, by service, once the restore has settled, and forgets it. */
  takeSettled(): [service: string, item: SourceItem<RolloutOrder> | undefined][] {
    if (this.deferred.size === 0 || this.isSettling) return [];
    const settled = [...this.deferred];
    this.deferred.clear();
    return settled;
  }
}
