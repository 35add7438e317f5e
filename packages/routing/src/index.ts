/** Routing decisions as a library, independent of the server process. */
// Load balancing: upstream choice, health, admission, limits, retry budget and crash quarantine.
export type {
  AdmissionQueueOptions,
  AdmissionRequest,
  Permit,
  RequestClass,
} from './admissionQueue.js';
export { AdmissionQueue } from './admissionQueue.js';
export { PlaceCredit } from './admission/placeCredit.js';
export type { QueueOrder } from './admission/queueOrder.js';
export { computeQueueOrder } from './admission/queueOrder.js';
export type { ReturningRequest, ReturnScheduleOptions } from './admission/returnSchedule.js';
export { ReturnSchedule } from './admission/returnSchedule.js';
export type { RunTime } from './admission/runTimes.js';
export { RunTimes } from './admission/runTimes.js';
export type {
  QueuePosition,
  Refusal,
  RefusalReason,
  ServiceQueueOptions,
} from './admission/serviceQueue.js';
export { ServiceQueue } from './admission/serviceQueue.js';
export type { WaitingRequest } from './admission/waitingRequest.js';
export { DEFAULT_PRIORITY, MAX_PRIORITY, toPriority } from './admission/waitingRequest.js';
export { WorkspaceUsage } from './admission/workspaceUsage.js';
export type { CapacitySample, CapacityTarget } from './capacity/capacityEstimator.js';
export { CapacityEstimator } from './capacity/capacityEstimator.js';
export type { CapacitySums, ClassSums, UpstreamSums } from './capacity/capacitySums.js';
export { addCapacitySums, isCapacitySums, roundCapacitySums } from './capacity/capacitySums.js';
export type { LoadEstimate } from './capacity/peerLoadEstimate.js';
export { PeerLoadEstimate } from './capacity/peerLoadEstimate.js';
export type { ConcurrencyLimitOptions, LatencySample } from './concurrencyLimit.js';
export { ConcurrencyLimit } from './concurrencyLimit.js';
export type {
  CrashAdmission,
  CrashAttributionOptions,
  ExportScope,
  SuspectRun,
} from './crashAttribution.js';
export { CrashAttribution } from './crashAttribution.js';
export type { CrashCause, CrashSuspects, TraitHistory } from './crashCauses.js';
export type { CrashReport } from './crashReport.js';
export { findCrashCauses } from './crashCauses.js';
export { CrashFeed } from './crashFeed.js';
export type { CrashQuarantineOptions, QuarantineClass, RunOutcome } from './crashQuarantine.js';
export { computeFingerprint, CrashQuarantine, MIN_PROGRESS_TOKENS } from './crashQuarantine.js';
export type { PrefillSample, PrefillSums } from './engine/prefillEstimator.js';
export {
  addPrefillSums,
  createPrefillSums,
  estimateNominalMs,
  PrefillEstimator,
} from './engine/prefillEstimator.js';
export { QueueBias } from './engine/queueBias.js';
export type { LogNormal, LogSums } from './engine/logSums.js';
export { computeChance, computeQuantile } from './engine/logSums.js';
export type { RunChances, RunEstimate, RunParts } from './engine/runEstimate.js';
export { createRunEstimate } from './engine/runEstimate.js';
export { RunTimeEstimator } from './engine/runTimeEstimator.js';
export type { SilenceLimits, SilentStream } from './engine/silenceLimits.js';
export { computeSilenceLimits, getMinSilenceMs } from './engine/silenceLimits.js';
export { WorkAverage } from './engine/workAverage.js';
export type { UrgencyRequest } from './engine/requestUrgency.js';
export { computeUrgency } from './engine/requestUrgency.js';
export type { ColdBound, ColdLimitsOptions, KnownInstances } from './limits/coldLimits.js';
export { ColdLimits, computeColdQuota } from './limits/coldLimits.js';
export type { ArrivingBody, BodyListener, BodyOptions, BodyRefusal } from './limits/bodyBudget.js';
export { BodyBudget, BodyLease, chooseBodyToEnd } from './limits/bodyBudget.js';
export type { BodyResult, ReadBodyOptions, ReceivedBody } from './limits/bodyReader.js';
export { readBody } from './limits/bodyReader.js';
export type { MemoryGrant } from './limits/memoryShares.js';
export { MemoryShares } from './limits/memoryShares.js';
export { RateAllowance } from './limits/rateAllowance.js';
export type { InstanceGroup, LimitedUpstream } from './limits/rateLimitShares.js';
export { computeRateShares } from './limits/rateLimitShares.js';
export type { LimitReport, LimitScope, UpstreamLimitsOptions } from './limits/upstreamLimits.js';
export type { UpstreamNotice } from './limits/upstreamNotice.js';
export { UpstreamLimits } from './limits/upstreamLimits.js';
export type { CacheEvent, PrefixIndexOptions } from './prefixIndex.js';
export { PrefixIndex } from './prefixIndex.js';
export type { RetryBudgetOptions } from './retryBudget.js';
export { RetryBudget } from './retryBudget.js';
export type {
  ChoiceRequest,
  ChooserOptions,
  ChooserState,
  UpstreamAvailability,
  UpstreamView,
} from './upstreamChooser.js';
export { chooseUpstream, estimateWorkPerSlot } from './upstreamChooser.js';
export type {
  LeavingSignal,
  UpstreamFailureKind,
  UpstreamHealthOptions,
} from './upstreamHealth.js';
export { UpstreamHealth } from './upstreamHealth.js';
export type { UpstreamHealthPoolOptions } from './upstreamHealthPool.js';
export { UpstreamHealthPool } from './upstreamHealthPool.js';

// Choice among the model sizes of a request.
export { estimateAdequacy, estimateAnswerAdequacy } from './cascade/adequacy.js';
export type { AnswerTokens } from './cascade/answerValue.js';
export { completePrices, computeRunPrice, estimateAnswerValue } from './cascade/answerValue.js';
export type {
  AnswerAtHand,
  SizeChoice,
  SizeChoiceRequest,
  SizeOption,
} from './cascade/sizeChoice.js';
export { chooseReplacement, chooseStartSize } from './cascade/sizeChoice.js';
export type { ThresholdRequest } from './cascade/confidenceThresholds.js';
export { computeAcceptConfidence } from './cascade/confidenceThresholds.js';

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
export type { PaceComparison, PaceSums, PaceVerdict } from './rollout/paceModel.js';
export { addPaceSample, addPaceSums, createPaceSums, judgePace } from './rollout/paceModel.js';
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
