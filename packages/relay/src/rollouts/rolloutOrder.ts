/** State of a rollout as stored. */
export type RolloutState = 'running' | 'completed' | 'rolled_back';

/** An operator's order to move a service to a version. */
export interface RolloutOrder {
  service: string;
  targetVersion: string;
  /** Time within which a good version must be in use everywhere. */
  durationMs: number;
  /** Undefined until an instance has started the rollout. */
  state?: RolloutState;
  /** Index into the result of `computeStepShares`; it only increases. */
  step: number;
  /** Start of the rollout, by the wall clock of the instance that started it. */
  startedAtWallMs?: number;
}

/** Progress of an order as an instance stores it. */
export interface RolloutProgress {
  targetVersion: string;
  state: RolloutState;
  step: number;
  startedAtWallMs: number;
}

/**
 * The last step, with all sessions on the target version. Step 0 is an order that has not been
 * started.
 */
export const LAST_STEP = 3;
/** The step with the first sessions on the new version. */
export const FIRST_STEP = 1;
/**
 * Fraction of the duration that the first step lasts. Sessions must not be moved to a new version
 * in the first half of its rollout.
 */
export const FIRST_STEP_TIME = 0.52;

/**
 * Fraction of the duration after which the last step is taken though there is not enough evidence to
 * say that the version is not worse.
 */
export const LAST_STEP_TIME = 0.78;

// Enough sessions to detect a version that fails a third of its requests.
const MAX_FIRST_SHARE = 0.08;
const MAX_SECOND_SHARE = 0.35;
/** Share of the first step, as a fraction of the allowed share, when that is below the maximum. */
const FIRST_SHARE_FACTOR = 0.85;
/**
 * Fraction of the allowed exposure that is planned for; the rest is a reserve for uneven traffic.
 */
const PLANNED_EXPOSURE = 0.9;
/** Fraction of the duration of a short rollout that passes in its second step. */
const SECOND_STEP_TIME = 0.14;

/**
 * Returns the share of new sessions on the target version at each step. A version that turns bad
 * before the last step has had no more than `canaryShare` of all requests by then.
 */
export function computeStepShares(canaryShare: number): readonly number[] {
  const first = Math.min(MAX_FIRST_SHARE, FIRST_SHARE_FACTOR * canaryShare);
  const left = Math.max(0, PLANNED_EXPOSURE * canaryShare - FIRST_STEP_TIME * first);
  const second = Math.min(MAX_SECOND_SHARE, Math.max(first, left / SECOND_STEP_TIME));
  return [0, first, second, 1];
}
