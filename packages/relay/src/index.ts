/** The relay: forwards callers' requests to upstreams, independent of the platform. */
export { ConfigIndex } from './config/configIndex.js';
export type {
  CallerLimits,
  EngineProfile,
  RelayConfig,
  RequestKind,
  Route,
  RouteTarget,
  Service,
  Workspace,
} from './config/relayConfig.js';
export type {
  ChangeSource,
  SourceChange,
  SourceChanges,
  SourceFailure,
  SourceItem,
  SourceList,
  WriteOutcome,
} from './follow/changeSource.js';
export type { ClockReading } from './follow/clockReading.js';
export type { SourceFollowerOptions } from './follow/sourceFollower.js';
export { SourceFollower } from './follow/sourceFollower.js';
export type { EventLogOptions, LogSink } from './observe/eventLog.js';
export { EventLog } from './observe/eventLog.js';
export { RelayNode } from './relayNode.js';
export type { RelayNodeOptions } from './relayNodeOptions.js';
export type { InstanceLimits, PeerRecord, RelayBounds, SocketAddress } from './relayOptions.js';
export type { RelayStore } from './relayStore.js';
export type {
  AnswerHead,
  AttemptFields,
  Dialect,
  PromptPart,
  RelayRequest,
} from './requests/relayRequest.js';
export type { UpstreamNotice } from '@cactusstair/routing';
export type { RolloutOrder, RolloutProgress, RolloutState } from './rollouts/rolloutOrder.js';
export type { UpstreamRecord } from './upstreams/upstreamRecord.js';

// Components that can be used without `RelayNode`.
export type { CallerCapacity } from './instanceLimits.js';
export { computeCallerCapacity } from './instanceLimits.js';
export { computeAgeMs, readClocks } from './follow/clockReading.js';
export { RestoredConfig } from './config/restoredConfig.js';
export type { StoreEra } from './follow/storeHistory.js';
export type { PeerSourceOptions } from './peers/peerSource.js';
export { PeerSource } from './peers/peerSource.js';
export { SharedViews } from './peers/sharedViews.js';
export { ViewServer } from './peers/viewServer.js';
export type { ReportPart } from './peers/fleetReport.js';
export { createFleetReport } from './peers/fleetReport.js';
export type { PeerMessage } from './peers/peerMessage.js';
export { parseDatagram } from './peers/peerMessage.js';
export type { PeerExchangeOptions } from './peers/peerExchange.js';
export { PeerExchange } from './peers/peerExchange.js';
export type { ViewName, ViewState } from './peers/peerMessage.js';
export type { BufferedAnswer } from './requests/answerDelivery.js';
export { AnswerDeliveries } from './requests/answerDeliveries.js';
export { MAX_PROMPT_PARTS, selectPromptParts } from './requests/requestKeys.js';
export { CachedParts, computePartKey } from './upstreams/cachedParts.js';
export { ModelNames, OTHER_MODELS } from './upstreams/modelNames.js';
export { AnswerDelivery } from './requests/answerDelivery.js';
export type { EventKind } from './requests/eventOrder.js';
export { EventOrder } from './requests/eventOrder.js';
export { EventSplitter } from './requests/eventSplitter.js';
export type { StreamEvent } from './requests/eventSplitter.js';
export { StallMonitor } from './requests/stallMonitor.js';
export { estimatePressure } from './requests/sizePolicy.js';
export type { TrackedOrder } from './rollouts/rolloutRouter.js';
export { formatVersionKey, RolloutRouter } from './rollouts/rolloutRouter.js';
export { computeStepShares } from './rollouts/rolloutOrder.js';
export type { RolloutControllerOptions } from './rollouts/rolloutController.js';
export { RolloutController } from './rollouts/rolloutController.js';
export type { EvidenceSums, VersionOutcome } from './rollouts/versionEvidence.js';
export {
  addEvidence,
  addLoadedPace,
  addPace,
  createEvidence,
  describeBadVersion,
} from './rollouts/versionEvidence.js';
export { AnswerBody } from './upstreams/answerBody.js';
export { AnswerMemory } from './upstreams/answerMemory.js';
export { Upstream } from './upstreams/upstream.js';
export type { ColdReason, ColdUpstreamsOptions } from './upstreams/coldUpstreams.js';
export { ColdUpstreams } from './upstreams/coldUpstreams.js';
export { UpstreamNotices } from './upstreams/upstreamNotices.js';
export type { CapacityChange, CapacityReport } from './upstreams/upstreamCapacities.js';
export { UpstreamCapacities } from './upstreams/upstreamCapacities.js';
export { UpstreamDirectory } from './upstreams/upstreamDirectory.js';
export type { ZoneEvacuation, ZoneEvacuationsOptions } from './upstreams/zoneEvacuations.js';
export { ZoneEvacuations } from './upstreams/zoneEvacuations.js';
export type { Selection, SelectionRequest } from './upstreams/upstreamSelector.js';
export { hasCapacity, hasRoom, selectUpstream } from './upstreams/upstreamSelector.js';
export { ZoneReachability } from './upstreams/zoneReachability.js';
export { CrashDetector } from './upstreams/crashDetector.js';
export { EngineEstimators } from './upstreams/engineEstimators.js';
export { findPeers } from './peers/peerFinder.js';
export { InstanceRoster } from './peers/instanceRoster.js';
export { LoadExchange } from './peers/loadExchange.js';
export type { LoadNotice } from './peers/peerMessage.js';
