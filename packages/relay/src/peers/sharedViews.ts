import type { Clock } from '@cactusstair/utils';

import type { ClockReading } from '../follow/clockReading.js';
import { computeAgeMs } from '../follow/clockReading.js';
import type { SourceFollower } from '../follow/sourceFollower.js';
import type { ViewName, ViewState } from './peerMessage.js';

/** One followed state. */
export interface SharedView {
  follower: Pick<SourceFollower<unknown>, 'isLoaded' | 'getAgeMs' | 'adopt' | 'confirm'>;
  /** Describes the state, so that two instances can tell whether they hold the same one. */
  formatState: () => string;
}

// The first of the living instances confirms its views by reads of its own, the others through it
// and only after its silence by reads of theirs: each call to the store has its price. At a bound of
// 2 s on configurations and leaving upstreams the ages stay below it; they grow with the bound.
const BOUND_OF_AGES_MS = 2000;
const MAX_AGES_MS: Record<ViewName, { first: number; others: number }> = {
  config: { first: 900, others: 1900 },
  upstreams: { first: 900, others: 1700 },
  rollouts: { first: 2500, others: 5000 },
};
/** Beyond it the ages would come near the bound on revoked keys. */
const MAX_AGE_FACTOR = 1.5;
/** Pause between two reads of one view because a peer holds another state. */
const MISMATCH_PAUSE_MS = 400;

/** The states that the instances confirm for each other. */
export class SharedViews {
  private readonly mismatchReadMs = new Map<ViewName, number>();

  constructor(
    private readonly clock: Clock,
    private readonly views: Record<ViewName, SharedView>,
  ) {}

  /**
   * Returns the age above which an instance of `rank` reads by itself, in milliseconds.
   *
   * @param boundMs time within which a change in the store must be in force.
   */
  static getMaxAgeMs(name: ViewName, rank: number, boundMs: number): number {
    const { first, others } = MAX_AGES_MS[name];
    const factor = Math.min(MAX_AGE_FACTOR, Math.max(1, boundMs / BOUND_OF_AGES_MS));
    return (rank === 0 ? first : others) * factor;
  }

  /** Returns the states that are confirmed, with the ages of their confirmations. */
  listStates(): Partial<Record<ViewName, ViewState>> {
    const states: Partial<Record<ViewName, ViewState>> = {};
    for (const [name, { follower, formatState }] of Object.entries(this.views)) {
      const ageMs = follower.getAgeMs();
      if (Number.isFinite(ageMs)) states[name as ViewName] = [formatState(), ageMs];
    }
    return states;
  }

  /** Takes over a peer's confirmation, or reads again when a peer with a newer one differs. */
  applyPeerState(name: ViewName, state: string, since: ClockReading): void {
    const view = this.views[name];
    if (!view?.follower.isLoaded) return;
    if (view.formatState() === state) {
      view.follower.adopt(since);
      return;
    }
    const nowMs = this.clock.monotonicMs();
    const isNewer = computeAgeMs(this.clock, since) < view.follower.getAgeMs();
    const readMs = this.mismatchReadMs.get(name) ?? -Infinity;
    if (!isNewer || nowMs - readMs < MISMATCH_PAUSE_MS) return;
    this.mismatchReadMs.set(name, nowMs);
    void view.follower.confirm();
  }
}
