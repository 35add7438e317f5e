import type { Clock } from '@cactusstair/utils';

import type { ClockReading } from '../follow/clockReading.js';
import { computeAgeMs } from '../follow/clockReading.js';
import { AGE_CHECK_INTERVAL_MS } from '../follow/sourceFollower.js';
import type { SourceFollower } from '../follow/sourceFollower.js';
import type { ViewName, ViewState } from './peerMessage.js';
import { PEER_CALL_TIMEOUT_MS } from './peerSource.js';

/** A followed state that instances confirm for each other. */
export interface SharedView {
  follower: Pick<
    SourceFollower<unknown>,
    'isLoaded' | 'getAgeMs' | 'adopt' | 'confirm' | 'stateEra'
  >;
  /**
   * Identifies the state, so that two instances can check whether they hold the same one. Undefined
   * while none is in force.
   */
  formatState: () => string | undefined;
  /**
   * Whether `formatState` describes contents and no revisions. Only such states can be compared
   * between eras of the store. Default false.
   */
  isContent?: boolean;
}

// Each call to the store has a cost. The live instance of rank 0 therefore confirms its views by
// reading the store, and the others through its messages; they read the store themselves only when
// its confirmations stop. With a bound of 2 s on configurations and leaving upstreams the ages stay
// below the bound; they grow with it.
const BASE_BOUND_MS = 2000;
// At the bound of 5 s on evacuations, a read that times out (1.2 s) and the next one still fit.
const EVACUATION_BASE_BOUND_MS = 5000;
const MAX_AGES_MS: Record<ViewName, { first: number; others: number }> = {
  config: { first: 900, others: 1900 },
  upstreams: { first: 900, others: 1700 },
  rollouts: { first: 2500, others: 5000 },
  evacuations: { first: 1000, others: 2000 },
};
/** With a smaller factor the reads would be a load on the store. */
const MIN_EVACUATION_FACTOR = 0.3;
/** With a larger factor the ages would come close to the bound on revoked keys. */
const MAX_AGE_FACTOR = 1.5;
/** Time for the answer of the store and for applying it on a small machine. */
const STORE_READ_MS = 200;
/** Longest time from the age at which a state is due to be read until the read is applied. */
const READ_TIME_MS = AGE_CHECK_INTERVAL_MS + PEER_CALL_TIMEOUT_MS + STORE_READ_MS;
/** Minimum time between two reads of a view that are caused by a peer with a different state. */
const MISMATCH_READ_INTERVAL_MS = 400;

/** Formats the state of a view with the era of its revisions, if the store names one. */
function formatSharedState({ follower, formatState, isContent }: SharedView): string | undefined {
  const { stateEra } = follower;
  const state = formatState();
  return isContent || stateEra === undefined || state === undefined
    ? state
    : `${stateEra}/${state}`;
}

/** Manages the states that instances confirm for each other. */
export class SharedViews {
  private readonly mismatchReadAtMs = new Map<ViewName, number>();

  constructor(
    private readonly clock: Clock,
    private readonly views: Partial<Record<ViewName, SharedView>>,
  ) {}

  /**
   * Returns the age in milliseconds above which an instance of `rank` reads the store itself.
   *
   * @param boundMs time within which a change in the store must be in force.
   */
  static getMaxAgeMs(name: ViewName, rank: number, boundMs: number): number {
    const { first, others } = MAX_AGES_MS[name];
    if (name === 'evacuations') {
      const ratio = boundMs / EVACUATION_BASE_BOUND_MS;
      const factor = Math.min(MAX_AGE_FACTOR, Math.max(MIN_EVACUATION_FACTOR, ratio));
      return (rank === 0 ? first : others) * factor;
    }
    const factor = Math.min(MAX_AGE_FACTOR, Math.max(1, boundMs / BASE_BOUND_MS));
    if (rank === 0) return first * factor;
    return Math.max(others, Math.min(others * factor, boundMs - READ_TIME_MS));
  }

  /** Returns the confirmed states and the ages of their confirmations. */
  listStates(): Partial<Record<ViewName, ViewState>> {
    const states: Partial<Record<ViewName, ViewState>> = {};
    for (const [name, view] of Object.entries(this.views)) {
      const ageMs = view.follower.getAgeMs();
      const state = formatSharedState(view);
      if (state === undefined || !Number.isFinite(ageMs)) continue;
      states[name as ViewName] = [state, ageMs];
    }
    return states;
  }

  /**
   * Adopts a peer's confirmation of the same state. If the peer confirmed a different state more
   * recently, reads the store.
   */
  applyPeerState(name: ViewName, state: string, since: ClockReading): void {
    const view = this.views[name];
    if (!view?.follower.isLoaded) return;
    if (formatSharedState(view) === state) {
      view.follower.adopt(since);
      return;
    }
    const nowMs = this.clock.monotonicMs();
    const isNewer = computeAgeMs(this.clock, since) < view.follower.getAgeMs();
    const readMs = this.mismatchReadAtMs.get(name) ?? -Infinity;
    if (!isNewer || nowMs - readMs < MISMATCH_READ_INTERVAL_MS) return;
    this.mismatchReadAtMs.set(name, nowMs);
    void view.follower.confirm();
  }
}
