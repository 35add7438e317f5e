import { estimateNominalMs } from '@cactusstair/routing';

import type { Upstream } from '../upstreams/upstream.js';
import { countUpstreamPlaces, hasRoom, selectUpstream } from '../upstreams/upstreamSelector.js';
import type { Selection, SelectionRequest } from '../upstreams/upstreamSelector.js';
import type { RelayContext } from './relayContext.js';
import type { RelayJob } from './relayJob.js';
import type { ServicePlaces } from './serviceQueues.js';
import { estimateOutputTokens, estimateTimeFactor } from './sizePolicy.js';

/** Returns the model to ask for: the one at `sizeIndex` of the route's sizes, or the caller's. */
export function getModel(job: RelayJob, sizeIndex: number | undefined): string | undefined {
  if (sizeIndex === undefined) return job.request.model;
  return job.exchange.route?.modelSizes[sizeIndex];
}

/**
 * Returns the name by which what is learned of the model is remembered; undefined if the caller named
 * none.
 */
export function getModelKey(
  context: Pick<RelayContext, 'engines'>,
  { engine, exchange, request, service }: RelayJob,
  sizeIndex: number | undefined,
): string | undefined {
  const sizes = exchange.route?.modelSizes ?? [];
  if (sizeIndex !== undefined) return sizes[sizeIndex];
  if (request.model === undefined) return undefined;
  const listed = [...sizes, ...Object.keys(engine?.priceByModel ?? {})];
  return context.engines.get(service).modelNames.resolve(request.model, listed);
}

/** Returns the class of a request whose times at the upstreams of a service are comparable. */
export function getWorkClass({ engine, exchange }: RelayJob, model: string | undefined): string {
  return (engine ? model : exchange.route?.name) ?? '';
}

/** Nominal time in which an engine reads a part of the request's prompt. */
export function estimateJobNominalMs(
  { exchange, request }: RelayJob,
  sizeIndex: number | undefined,
  uncachedTokens: number,
): number {
  const sizeCount = exchange.route?.modelSizes.length ?? 0;
  const timeFactor = estimateTimeFactor(sizeIndex ?? sizeCount - 1, sizeCount);
  return estimateNominalMs(uncachedTokens, request.promptTokens, timeFactor);
}

/** Returns the upstreams that may run the request, also those that accept no request now. */
function listCandidates(
  context: RelayContext,
  { request, service }: RelayJob,
  excluded: ReadonlySet<string>,
): Upstream[] {
  const usable = context.directory.listUsable(service);
  const allowed = context.rollouts.filterUpstreams(service, request.session, usable);
  return allowed.filter((upstream) => !excluded.has(upstream.id));
}

/** Returns the upstreams of a service that accept a request now. */
export function listAcceptingUpstreams(context: RelayContext, service: string): Upstream[] {
  return context.directory
    .listUsable(service)
    .filter(({ record }) => context.notices.getWaitMs(record) <= 0);
}

/**
 * Returns the upstreams that can be reached as far as is known, or all if none can. One that is down
 * has free places because it has lost its requests; requests that wait for a place would all be sent
 * to it.
 */
function listReachable(
  context: Pick<RelayContext, 'reachability'>,
  upstreams: Upstream[],
): Upstream[] {
  const reachable = upstreams.filter(
    ({ isDown, record }) => !isDown && !context.reachability.isUnreachable(record.zone),
  );
  return reachable.length > 0 ? reachable : upstreams;
}

/** Work of a request at an engine, in milliseconds of the time of an assumed engine. */
export function estimateWorkMs(job: RelayJob, sizeIndex: number | undefined): number {
  return estimateJobNominalMs(job, sizeIndex, job.request.promptTokens);
}

function createSelectionRequest(
  context: RelayContext,
  job: RelayJob,
  sizeIndex: number | undefined,
): SelectionRequest {
  const { request, service, engine } = job;
  const model = getModelKey(context, job, sizeIndex);
  const { prefill, queueBias } = context.engines.get(service);
  return {
    // The learned capacity of engines is not used: sharing it fills the links of small machines.
    ...(engine
      ? {}
      : { capacity: context.capacities.get(service, false), workClass: getWorkClass(job, model) }),
    zone: context.zone,
    isZoneUnreachable: (zone) => context.reachability.isUnreachable(zone),
    ...(engine ? { engine } : {}),
    ...(model === undefined ? {} : { model }),
    estimatePrefillMs: (uncachedTokens) =>
      prefill.estimateMs(model ?? '', estimateJobNominalMs(job, sizeIndex, uncachedTokens)),
    getQueueBiasMs: (zone) => queueBias.getMs(zone),
    promptTokens: request.promptTokens,
    heldTokens: request.promptTokens + estimateOutputTokens(request),
    promptParts: request.promptParts,
  };
}

/**
 * Returns the upstreams that are neither cold nor expected to fail or to refuse a request. Plain
 * services refuse what exceeds their slots, and the request would need a further attempt.
 */
function filterWarm(context: RelayContext, upstreams: readonly Upstream[]): readonly Upstream[] {
  return upstreams.filter(
    ({ isDown, record, running }) =>
      !isDown &&
      running < record.slots &&
      !context.reachability.isUnreachable(record.zone) &&
      !context.notices.isCold(record),
  );
}

/**
 * Chooses an upstream that has room and accepts a request now; undefined if there is none. Cold ones
 * are chosen only if no warm one has room.
 */
export function chooseUpstream(
  context: RelayContext,
  job: RelayJob,
  sizeIndex: number | undefined,
  excluded: ReadonlySet<string>,
): Selection | undefined {
  return createChooser(context, job, excluded)(sizeIndex);
}

/**
 * Returns a function that chooses as `chooseUpstream` does, for several sizes at the same moment:
 * the upstreams that accept a request are the same for all of them.
 */
export function createChooser(
  context: RelayContext,
  job: RelayJob,
  excluded: ReadonlySet<string>,
): (sizeIndex: number | undefined) => Selection | undefined {
  const accepting = listReachable(
    context,
    listCandidates(context, job, excluded).filter(
      ({ record }) => context.notices.getWaitMs(record) <= 0,
    ),
  );
  const warm = context.notices.hasCold ? filterWarm(context, accepting) : undefined;
  return (sizeIndex) =>
    (warm && chooseAccepting(context, job, sizeIndex, warm)) ??
    chooseAccepting(context, job, sizeIndex, accepting);
}

/**
 * Chooses among the upstreams that accept a request now.
 *
 * Upstreams that limit the rate of their requests take few of any size. Small requests leave them
 * to the large ones, unless nothing else has room.
 */
function chooseAccepting(
  context: RelayContext,
  job: RelayJob,
  sizeIndex: number | undefined,
  accepting: readonly Upstream[],
): Selection | undefined {
  const request = createSelectionRequest(context, job, sizeIndex);
  const { work } = context.engines.get(job.service);
  if (job.engine && !work.isLarge(estimateWorkMs(job, sizeIndex))) {
    const spare = accepting.filter(({ record }) => context.notices.hasSpare(record));
    const selection = selectUpstream(spare, request);
    if (selection) return selection;
  }
  return selectUpstream(accepting, request);
}

/** Whether an upstream that is not excluded has room for the request. */
export function hasUpstreamWithRoom(
  context: RelayContext,
  job: RelayJob,
  excluded: ReadonlySet<string>,
  sizeIndex: number | undefined,
): boolean {
  return chooseUpstream(context, job, sizeIndex, excluded) !== undefined;
}

/**
 * Returns the time until one of the upstreams that may run the request accepts it, in milliseconds;
 * Infinity if none may run it.
 */
export function getAcceptWaitMs(
  context: RelayContext,
  job: RelayJob,
  excluded: ReadonlySet<string>,
): number {
  const waits = listCandidates(context, job, excluded).map(({ record }) =>
    context.notices.getWaitMs(record),
  );
  return Math.min(Infinity, ...waits);
}

/** Counts the places of a service's upstreams, as far as their loads are known. */
export function countServicePlaces(
  context: Pick<RelayContext, 'directory' | 'getConfig' | 'notices' | 'reachability'>,
  service: string,
): ServicePlaces {
  const engine = context.getConfig()?.findService(service)?.engine;
  const request = { ...(engine ? { engine } : {}), heldTokens: 0 };
  const places: ServicePlaces = { total: 0, free: 0, nextAcceptMs: Infinity };
  const accepting: Upstream[] = [];
  for (const upstream of context.directory.listUsable(service)) {
    const waitMs = Math.max(context.notices.getWaitMs(upstream.record), upstream.fullLeftMs);
    if (waitMs <= 0) accepting.push(upstream);
    else places.nextAcceptMs = Math.min(places.nextAcceptMs, waitMs);
  }
  for (const upstream of listReachable(context, accepting)) {
    places.total += upstream.record.slots;
    if (!hasRoom(upstream, request)) continue;
    const held = countUpstreamPlaces(upstream, engine !== undefined);
    places.free += Math.max(1, held - upstream.running);
  }
  return places;
}
