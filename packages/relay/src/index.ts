/** The relay: serves routes of a configuration from upstreams, whatever platform names them. */
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
  SourceFailure,
  SourceItem,
  WriteOutcome,
} from './follow/changeSource.js';
export type { ClockReading } from './follow/beliefAge.js';
export type { SourceFollowerOptions } from './follow/sourceFollower.js';
export { SourceFollower } from './follow/sourceFollower.js';
export type { EventLogOptions, LogSink } from './observe/eventLog.js';
export { EventLog } from './observe/eventLog.js';
export type { RelayNodeOptions, RelayStore } from './relayNode.js';
export { RelayNode } from './relayNode.js';
export type { PeerRecord, RelayBounds, SocketAddress } from './relayOptions.js';
export type {
  AnswerHead,
  AttemptFields,
  Dialect,
  PromptPart,
  RelayRequest,
} from './requests/relayRequest.js';
export type { RolloutOrder, RolloutProgress, RolloutState } from './rollouts/rolloutOrder.js';
export type { UpstreamRecord } from './upstreams/upstreamRecord.js';
