/** State of an order as the store holds it. */
export type RolloutState = 'running' | 'completed' | 'rolled_back';

/** An operator's order to move a service to a version. */
export interface RolloutOrder {
  service: string;
  targetVersion: string;
  /** Time within which a good version is to be in use everywhere. */
  durationMs: number;
  /** Undefined until an instance has taken the order up. */
  state?: RolloutState;
  /** Index into the share steps; it only rises. */
  step: number;
  /** Wall-clock time at which the order was taken up, by the clock of the instance that did. */
  startedAtWallMs?: number;
}

/** What an instance stores of an order's progress. */
export interface RolloutProgress {
  targetVersion: string;
  state: RolloutState;
  step: number;
  startedAtWallMs: number;
}

/** Steps of a rollout, from the untouched order to all sessions on the target version. */
export const LAST_STEP = 3;
/** The step with the first sessions on the new version. */
export const FIRST_STEP = 1;
/** Sessions must not be moved to a new version in the first half of its rollout. */
export const FIRST_HALF = 0.52;

// Enough sessions for a verdict on a version that fails a third of its requests.
const MAX_FIRST_SHARE = 0.08;
const MAX_SECOND_SHARE = 0.35;
/** Part of the allowed exposure that the first half may take. */
const FIRST_HALF_PART = 0.85;
/** Part of the allowed exposure that is planned for; the rest is for uneven traffic. */
const PLANNED_PART = 0.9;
/** Part of a short rollout's time that passes in its second step. */
const SECOND_STEP_TIME = 0.14;

/**
 * Returns the share of new sessions on the target version at each step. A version that turns bad
 * before the last step has had no more than `canaryShare` of all requests by then.
 */
export function computeStepShares(canaryShare: number): readonly number[] {
  const first = Math.min(MAX_FIRST_SHARE, FIRST_HALF_PART * canaryShare);
  const left = Math.max(0, PLANNED_PART * canaryShare - FIRST_HALF * first);
  const second = Math.min(MAX_SECOND_SHARE, Math.max(first, left / SECOND_STEP_TIME));
  return [0, first, second, 1];
}
