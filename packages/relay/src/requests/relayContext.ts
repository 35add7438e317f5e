import type { CrashAttribution, RetryBudget } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import type { ConfigIndex } from '../config/configIndex.js';
import type { RequestMetrics } from '../observe/requestMetrics.js';
import type { RolloutRouter } from '../rollouts/rolloutRouter.js';
import type { AnswerMemory } from '../upstreams/answerMemory.js';
import type { CrashDetector } from '../upstreams/crashDetector.js';
import type { EngineEstimators } from '../upstreams/engineEstimators.js';
import type { Upstream } from '../upstreams/upstream.js';
import type { UpstreamCapacities } from '../upstreams/upstreamCapacities.js';
import type { UpstreamDirectory } from '../upstreams/upstreamDirectory.js';
import type { UpstreamNotices } from '../upstreams/upstreamNotices.js';
import type { ZoneReachability } from '../upstreams/zoneReachability.js';
import type { AnswerDeliveries } from './answerDeliveries.js';
import type { Dialect } from './relayRequest.js';
import type { ServiceQueues } from './serviceQueues.js';
import type { StallMonitor } from './stallMonitor.js';

/** Dependencies that all requests of an instance share. */
export interface RelayContext {
  clock: Clock;
  /** Availability zone of this instance. */
  zone: string;
  dialect: Dialect;
  directory: UpstreamDirectory;
  notices: UpstreamNotices;
  reachability: ZoneReachability;
  engines: EngineEstimators;
  /** Queues of the requests that wait for an upstream. */
  queues: ServiceQueues;
  metrics: RequestMetrics;
  capacities: UpstreamCapacities;
  rollouts: RolloutRouter;
  crashes: CrashAttribution;
  stallMonitor: StallMonitor;
  /** Memory for the answers that are buffered. */
  answerMemory: AnswerMemory;
  /** The large answers that are being sent. */
  deliveries: AnswerDeliveries;
  crashDetector: CrashDetector;
  /** Called when a request has been added to the load of an upstream. */
  onLoadGrowth: (upstream: Upstream) => void;
  /** Returns the configuration in force; undefined before the first was read. */
  getConfig: () => ConfigIndex | undefined;
  /** Whether the API keys were read recently enough to accept them. */
  areKeysConfirmed: () => boolean;
  /** Returns this instance's share of the retry budget of a service. */
  getBudget: (service: string) => RetryBudget;
}
