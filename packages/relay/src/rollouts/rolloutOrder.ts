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

/** Share of new sessions on the target version at each step. */
export const STEP_SHARES: readonly number[] = [0, 0.08, 0.35, 1];
