import type {
  CascadePolicy,
  CrashAttribution,
  CrashQuarantine,
  VersionStatsRecorder,
} from '@cactusstair/routing';
import { RetryBudget } from '@cactusstair/routing';
import type { Clock, Invariants, Random } from '@cactusstair/utils';

import type { Coordination } from '../coordination.js';
import type { EntryMetrics } from '../monitoring/entryMetrics.js';
import type { PeerClients } from '../peers/peerClients.js';
import type { EntrySettings } from '../settings.js';
import { EngineClient } from '../upstreams/engineClient.js';
import { ServiceClient } from '../upstreams/serviceClient.js';
import type { UpstreamDirectory } from '../upstreams/upstreamDirectory.js';
import { VersionResolver } from '../workspaces/versionResolver.js';
import { AnswerRater } from './answerRater.js';
import { ChatHandler } from './chatHandler.js';
import { RatingClient } from './ratingClient.js';
import { RungRunner } from './rungRunner.js';
import { ServiceHandler } from './serviceHandler.js';
import { SessionBinder } from './sessionBinder.js';

/** Components of the instance that the request handlers use. */
export interface RequestHandlerDependencies {
  settings: EntrySettings;
  coordination: Coordination;
  directory: UpstreamDirectory;
  peerClients: PeerClients;
  quarantine: CrashQuarantine;
  crashes: CrashAttribution;
  cascades: CascadePolicy;
  versionStats: VersionStatsRecorder;
  metrics: EntryMetrics;
  invariants: Invariants;
  clock: Clock;
  random: Random;
}

/** The handlers of chat and service requests. */
export interface RequestHandlers {
  chat: ChatHandler;
  services: ServiceHandler;
}

/**
 * Lower bound of the retry budget. When a connection stops responding, all calls on it fail at
 * once, and an instance with little load must still be able to retry them.
 */
const MIN_RETRIES_PER_WINDOW = 30;

/** Creates the request handlers of an instance, which share one retry budget. */
export function createRequestHandlers(dependencies: RequestHandlerDependencies): RequestHandlers {
  const retryBudget = new RetryBudget({
    clock: dependencies.clock,
    minPerWindow: MIN_RETRIES_PER_WINDOW,
  });
  return {
    chat: createChatHandler(dependencies, retryBudget),
    services: createServiceHandler(dependencies, retryBudget),
  };
}

function createChatHandler(
  dependencies: RequestHandlerDependencies,
  retryBudget: RetryBudget,
): ChatHandler {
  const { settings, coordination, clock, metrics, invariants, quarantine, crashes, cascades } =
    dependencies;
  const { limits, ratings } = settings;
  const resolver = new VersionResolver(coordination.replica, settings.permits);
  const rungs = new RungRunner({
    directory: dependencies.directory,
    resolver,
    engines: new EngineClient(),
    quarantine,
    crashes,
    retryBudget,
    metrics,
    invariants,
    clock,
    firstTokenMs: limits.firstTokenMs,
    interTokenMs: limits.interTokenMs,
    queueMs: { short: limits.queueShortMs, long: limits.queueLongMs },
  });
  return new ChatHandler({
    resolver,
    sessions: new SessionBinder({
      sessions: coordination.sessions,
      resolver,
      clock,
      lifetimeMs: settings.sessions.lifetimeMs,
    }),
    billing: coordination.billing,
    quotas: coordination.quotas,
    crashes,
    cascades,
    rungs,
    rater: new AnswerRater({
      ratings: new RatingClient(settings.platform.rating),
      versionStats: dependencies.versionStats,
      cascades,
      random: dependencies.random,
      sampleShare: ratings.sampleShare,
      candidateShare: ratings.candidateShare,
    }),
    versionStats: dependencies.versionStats,
    metrics,
    invariants,
    clock,
    requestMs: limits.requestMs,
  });
}

function createServiceHandler(
  dependencies: RequestHandlerDependencies,
  retryBudget: RetryBudget,
): ServiceHandler {
  const { coordination, metrics, clock } = dependencies;
  return new ServiceHandler({
    directory: dependencies.directory,
    services: new ServiceClient(),
    claims: coordination.claims,
    peers: dependencies.peerClients,
    billing: coordination.billing,
    retryBudget,
    metrics,
    clock,
    answerMs: dependencies.settings.limits.serviceAnswerMs,
  });
}
