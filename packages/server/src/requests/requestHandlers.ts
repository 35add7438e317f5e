import type { CascadePolicy, CrashQuarantine, VersionStatsRecorder } from '@cactusstair/routing';
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

/** The parts of an instance that its request handlers use. */
export interface RequestHandlerDependencies {
  settings: EntrySettings;
  coordination: Coordination;
  directory: UpstreamDirectory;
  peerClients: PeerClients;
  quarantine: CrashQuarantine;
  cascades: CascadePolicy;
  versionStats: VersionStatsRecorder;
  metrics: EntryMetrics;
  invariants: Invariants;
  clock: Clock;
  random: Random;
}

/** The handlers of callers' requests. */
export interface RequestHandlers {
  chat: ChatHandler;
  services: ServiceHandler;
}

/** All calls on a silent link fail together; an instance with little load must repeat them. */
const MIN_RETRIES_PER_WINDOW = 30;

/** Creates the request handlers of an instance; both draw on one retry budget. */
export function createRequestHandlers(parts: RequestHandlerDependencies): RequestHandlers {
  const retryBudget = new RetryBudget({
    clock: parts.clock,
    minPerWindow: MIN_RETRIES_PER_WINDOW,
  });
  return {
    chat: createChatHandler(parts, retryBudget),
    services: createServiceHandler(parts, retryBudget),
  };
}

function createChatHandler(
  parts: RequestHandlerDependencies,
  retryBudget: RetryBudget,
): ChatHandler {
  const { settings, coordination, clock, metrics, invariants, quarantine, cascades } = parts;
  const { limits, ratings } = settings;
  const resolver = new VersionResolver(coordination.replica, settings.permits);
  const rungs = new RungRunner({
    directory: parts.directory,
    resolver,
    engines: new EngineClient(),
    quarantine,
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
    quarantine,
    cascades,
    rungs,
    rater: new AnswerRater({
      ratings: new RatingClient(settings.platform.rating),
      counters: parts.versionStats,
      cascades,
      random: parts.random,
      sampleShare: ratings.sampleShare,
      candidateShare: ratings.candidateShare,
    }),
    counters: parts.versionStats,
    metrics,
    invariants,
    clock,
    requestMs: limits.requestMs,
  });
}

function createServiceHandler(
  parts: RequestHandlerDependencies,
  retryBudget: RetryBudget,
): ServiceHandler {
  const { coordination, metrics, clock } = parts;
  return new ServiceHandler({
    directory: parts.directory,
    services: new ServiceClient(),
    claims: coordination.claims,
    peers: parts.peerClients,
    billing: coordination.billing,
    retryBudget,
    metrics,
    clock,
    answerMs: parts.settings.limits.serviceAnswerMs,
  });
}
