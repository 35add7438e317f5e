/** Routing policies, usable without the daemon. */

// Cascade policy, sequential test and rollout policy.
export type {
  CascadePolicyOptions,
  CascadeRating,
  CascadeRequest,
  CascadeTarget,
  EscalationRequest,
  RungInfo,
  StartChoice,
} from './cascadePolicy.js';
export { CascadePolicy } from './cascadePolicy.js';
export type { RolloutDecision, RolloutPolicyOptions } from './rolloutPolicy.js';
export { assignArm, decideRollout } from './rolloutPolicy.js';
export type {
  RolloutArm,
  SequentialEvidence,
  SequentialTestOptions,
  SequentialVerdict,
} from './sequentialTest.js';
export { SequentialTest } from './sequentialTest.js';
export type { VersionOutcome, VersionStatsRecorderOptions } from './versionStatsRecorder.js';
export { VersionStatsRecorder } from './versionStatsRecorder.js';
export { sumVersionStats, VersionStatsTable } from './versionStatsTable.js';
