import type { CapacityEstimator } from '@cactusstair/routing';
import { hashFraction } from '@cactusstair/utils';

import type { EngineProfile } from '../config/relayConfig.js';
import type { PromptPart } from '../requests/relayRequest.js';
import type { PartKey } from './cachedParts.js';
import { computePartKey } from './cachedParts.js';
import type { Upstream } from './upstream.js';

/** Properties of a request on which the choice of upstream depends. */
export interface SelectionRequest {
  /** Zone of this instance. */
  zone: string;
  /** Whether a zone cannot be reached. */
  isZoneUnreachable: (zone: string) => boolean;
  /** Absent for plain services. */
  engine?: EngineProfile;
  model?: string;
  /** Estimates the time in which an engine reads a part of the prompt, in milliseconds. */
  estimatePrefillMs: (uncachedTokens: number) => number;
  /** Returns the wait beyond the known loads to expect in a zone, in milliseconds. */
  getQueueBiasMs: (zone: string) => number;
  promptTokens: number;
  /** Tokens that the request will occupy in memory when it completes. */
  heldTokens: number;
  promptParts: readonly PromptPart[];
  /** What is learned about the upstreams of the service; absent while nothing is. */
  capacity?: CapacityEstimator;
  /** Class of the request by which `capacity` compares times. */
  workClass?: string;
  /** Source of random numbers in [0, 1). Default `Math.random`. */
  random?: () => number;
}

/** A chosen upstream with the estimated cost of the request there. */
export interface Selection {
  upstream: Upstream;
  /** Prompt tokens that are not expected in the upstream's cache. */
  uncachedTokens: number;
  /** Time to process these tokens, in milliseconds of the upstream's time. */
  backlogMs: number;
  /** Unfinished prompt processing for other requests at the upstream. */
  queuedMs: number;
  /** Estimated time until the first event: the upstream's backlog and the request's prompt. */
  firstEventMs: number;
}

/** How the expected time at an upstream of a kind is weighed. */
interface TimeCost {
  /** Assumed duration of a call before one of its class has completed, in milliseconds. */
  priorMs: number;
  /** Weight of the expected time. */
  time: number;
  /** Share of the expected time that is added for the load, at the limit of an upstream. */
  load: number;
}

// Equally fast upstreams are to be used evenly: the loads known here are old, and each request slows
// down the others.
const SERVICE_COST: TimeCost = { priorMs: 50, time: 1, load: 2 };
// The callers of a stream wait for its first event; its whole duration matters less than that.
const ENGINE_COST: TimeCost = { priorMs: 1000, time: 0.05, load: 1 };
// Without a learned capacity, each further request in a batch counts as this much of a wait.
const RUNNING_COST_MS = 4;
/** An upstream that fails a larger share of its requests does not count as having capacity. */
const MAX_CAPACITY_FAILURE_RATE = 0.3;
/** An engine with more unread prompts does not count as having capacity. */
const MAX_CAPACITY_BACKLOG_MS = 1000;
/**
 * Weight of an upstream of the own zone in samples of an idle service; it falls to 1 as the capacity
 * of the service is used up, since the zones of instances and upstreams may differ in size.
 */
const OWN_ZONE_WEIGHT = 4;
/** Share of the choices at a fully used service that compare two upstreams. */
const MIN_COMPARED_SHARE = 0.1;
const MIN_USED_SHARE = 0.01;
// Traffic between zones is billed, and upstreams in the same zone stay reachable in a partition.
const OTHER_ZONE_COST_MS = 12;
const FAILURE_COST_MS = 3000;
const DOWN_COST_MS = 100_000;
const WARMUP_COST_MS = 150;
/** Random cost, so that instances with the same data do not all choose the same upstream. */
const JITTER_MS = 6;
// Share of the shared prompt parts expected in the cache of their preferred upstream. All instances
// send them there, but its memory may have evicted them.
const EXPECTED_CACHED_SHARE = 0.7;
// Processing a shared part again also costs money, weighed as 15 ms of waiting per 1,000 tokens.
const REREAD_COST_MS_PER_TOKEN = 0.015;
// In a large fleet all instances see the same loads, which are a few hundred milliseconds old, and
// would all choose the upstream that looks best. Each request compares a random sample instead.
const MAX_COMPARED = 40;
const SAMPLED_OWN_ZONE = 8;
const SAMPLED_OTHER_ZONES = 2;
/** Share of an engine's memory to fill; the rest is kept free for growing requests. */
const USABLE_MEMORY_SHARE = 0.92;

/**
 * Requests that may wait at a plain upstream, in multiples of its slots. Loads of peers are up to a
 * second old and runs of plain services are short, so a lower number leaves slots unused.
 */
const PLAIN_QUEUE_RUNS = 2;
const MIN_PLAIN_QUEUE = 8;

/**
 * Sums the tokens of the leading prompt parts that were already sent to an upstream.
 *
 * @param keys those of the parts
 */
function countCachedTokens(
  { cachedParts }: Upstream,
  parts: readonly PromptPart[],
  keys: readonly PartKey[],
) {
  let tokens = 0;
  for (const [index, part] of parts.entries()) {
    if (!cachedParts.has(keys[index]!)) break;
    tokens += part.tokens;
  }
  return tokens;
}

/** Finds the upstream that all instances prefer for a shared prompt part, by rendezvous hashing. */
function findPreferredUpstream(upstreams: readonly Upstream[], key: string): Upstream | undefined {
  let preferred: Upstream | undefined;
  let best = -1;
  for (const upstream of upstreams) {
    const weight = hashFraction(`${key}@${upstream.id}`);
    if (weight > best) {
      best = weight;
      preferred = upstream;
    }
  }
  return preferred;
}

/** Returns the duration of a call that is assumed before one of its class has completed. */
export function getPriorCallMs(isEngine: boolean): number {
  return (isEngine ? ENGINE_COST : SERVICE_COST).priorMs;
}

function estimateLoad(upstream: Upstream, { engine, capacity, workClass = '' }: SelectionRequest) {
  const priorMs = getPriorCallMs(engine !== undefined);
  return upstream.estimateLoad(capacity?.estimateCallMs(workClass) ?? priorMs);
}

/** Returns the number of requests that an upstream may hold. */
export function countUpstreamPlaces({ record }: Upstream, isEngine: boolean): number {
  if (isEngine) return record.slots;
  return record.slots + Math.max(MIN_PLAIN_QUEUE, PLAIN_QUEUE_RUNS * record.slots);
}

/** Whether an upstream has a free place and, if it is an engine, memory for the request. */
export function hasRoom(
  upstream: Upstream,
  request: Pick<SelectionRequest, 'engine' | 'heldTokens'>,
): boolean {
  const { engine } = request;
  if (upstream.record.slots < 1 || upstream.fullLeftMs > 0) return false;
  if (upstream.running >= countUpstreamPlaces(upstream, engine !== undefined)) return false;
  if (!engine) return true;
  const memory = engine.memoryTokens * USABLE_MEMORY_SHARE;
  return memory <= 0 || upstream.heldTokens + request.heldTokens <= memory;
}

function isHealthy(upstream: Upstream, request: SelectionRequest): boolean {
  const { record } = upstream;
  if (upstream.isDown || request.isZoneUnreachable(record.zone)) return false;
  return (
    upstream.warmupLeftMs <= 0 &&
    upstream.failureRate <= MAX_CAPACITY_FAILURE_RATE &&
    hasRoom(upstream, request)
  );
}

/**
 * Whether an upstream has room and is below the concurrency that it handles well. One that is down,
 * failing, cold or behind with its prompts does not keep others from being loaded further.
 */
export function hasCapacity(upstream: Upstream, request: SelectionRequest): boolean {
  if (!isHealthy(upstream, request) || upstream.backlogMs > MAX_CAPACITY_BACKLOG_MS) return false;
  return Math.round(estimateLoad(upstream, request).running) < getLimit(upstream, request);
}

/** Returns the upstreams with capacity, or all if there are none. */
function filterUnloaded(
  candidates: readonly Upstream[],
  request: SelectionRequest,
): readonly Upstream[] {
  const unloaded = candidates.filter((upstream) => hasCapacity(upstream, request));
  return unloaded.length > 0 ? unloaded : candidates;
}

/** Returns the cost of the expected time at an upstream. */
function computeTimeCost(upstream: Upstream, request: SelectionRequest): number {
  const { engine, capacity, workClass = '' } = request;
  if (engine && !capacity) return upstream.running * RUNNING_COST_MS;
  const cost = engine ? ENGINE_COST : SERVICE_COST;
  const { running } = estimateLoad(upstream, request);
  const timeMs = capacity?.estimateMs(upstream.record, workClass, running + 1) ?? cost.priorMs;
  return timeMs * cost.time * (1 + (cost.load * running) / getLimit(upstream, request));
}

function getLimit({ record }: Upstream, { capacity }: SelectionRequest): number {
  return capacity?.getLimit(record) ?? Math.max(1, record.slots);
}

/** Removes a random item from `items`, with a probability in proportion to its throughput. */
function takeByThroughput(
  items: Upstream[],
  request: SelectionRequest,
  ownZoneWeight: number,
): Upstream {
  const { capacity, random = Math.random, zone } = request;
  const weights = items.map(
    ({ record }) =>
      (capacity?.getThroughput(record) ?? record.slots) *
      (record.zone === zone ? ownZoneWeight : 1),
  );
  let left = random() * weights.reduce((sum, weight) => sum + weight, 0);
  const index = weights.findIndex((weight) => {
    left -= weight;
    return left < 0;
  });
  return items.splice(Math.max(0, index), 1)[0]!;
}

/**
 * Returns the upstreams to compare where the known loads say little about the calls that run now.
 * All instances see the same loads and would choose the same upstream until the next report. Of two
 * that are drawn in proportion to their throughput none gets more than twice its share, and less
 * than that where more of the service's capacity is in use. Among three or more, or with a strict
 * preference for upstreams below their limit, the loads swing between the reports.
 *
 * @returns undefined where the loads are known, as with few instances
 */
function sampleByThroughput(
  candidates: readonly Upstream[],
  request: SelectionRequest,
): Upstream[] | undefined {
  const { random = Math.random } = request;
  const healthy = candidates.filter((upstream) => isHealthy(upstream, request));
  const total = { own: 0, unknown: 0, running: 0, limit: 0 };
  for (const upstream of healthy) {
    const { running, unknown } = estimateLoad(upstream, request);
    total.own += upstream.calls.size;
    total.unknown += unknown;
    const limit = getLimit(upstream, request);
    // The queue of one upstream doesn't occupy the others.
    total.running += Math.min(running, limit);
    total.limit += limit;
  }
  const unknownShare = total.unknown / (total.unknown + total.own + 1);
  if (healthy.length < 2 || random() >= unknownShare) return undefined;
  // An upstream that all pairs prefer gets at most what it can take: twice its share of a service
  // of which half is in use, and no more than its share of one that is full.
  const usedShare = Math.max(MIN_USED_SHARE, total.running / total.limit);
  const ownZoneWeight = 1 + (OWN_ZONE_WEIGHT - 1) * Math.max(0, 1 - usedShare);
  const first = takeByThroughput(healthy, request, ownZoneWeight);
  const comparedShare = Math.max(MIN_COMPARED_SHARE, 1 / usedShare - 1);
  if (random() >= comparedShare) return [first];
  const pair = [first, takeByThroughput(healthy, request, ownZoneWeight)];
  const unloaded = pair.filter((upstream) => hasCapacity(upstream, request));
  return unloaded.length > 0 ? unloaded : pair;
}

function computeSharedCosts(upstream: Upstream, request: SelectionRequest): number {
  const { zone } = upstream.record;
  return (
    (zone === request.zone ? 0 : OTHER_ZONE_COST_MS) +
    (upstream.isDown || request.isZoneUnreachable(zone) ? DOWN_COST_MS : 0) +
    upstream.failureRate * FAILURE_COST_MS +
    (upstream.warmupLeftMs > 0 ? WARMUP_COST_MS : 0) +
    (request.random ?? Math.random)() * JITTER_MS
  );
}

/** Returns `count` random items, or all of them when there are fewer; reorders `items`. */
function takeSample<T>(items: T[], count: number, random: () => number): T[] {
  for (let index = 0; index < Math.min(count, items.length); index += 1) {
    const other = index + Math.floor(random() * (items.length - index));
    [items[index], items[other]] = [items[other]!, items[index]!];
  }
  return items.slice(0, count);
}

/** Returns the candidates to compare: in a large pool a random sample, mostly of its zone. */
function sampleCandidates(
  candidates: readonly Upstream[],
  request: SelectionRequest,
  preferred: Upstream | undefined,
): readonly Upstream[] {
  if (candidates.length <= MAX_COMPARED) return candidates;
  const { random = Math.random } = request;
  const available = candidates.filter(
    (upstream) =>
      !upstream.isDown &&
      !request.isZoneUnreachable(upstream.record.zone) &&
      hasRoom(upstream, request),
  );
  const isOwnZone = (upstream: Upstream) => upstream.record.zone === request.zone;
  const sample = [
    ...takeSample(available.filter(isOwnZone), SAMPLED_OWN_ZONE, random),
    ...takeSample(
      available.filter((upstream) => !isOwnZone(upstream)),
      SAMPLED_OTHER_ZONES,
      random,
    ),
  ];
  if (sample.length === 0) return candidates;
  return preferred && available.includes(preferred) ? [...sample, preferred] : sample;
}

/**
 * Chooses the upstream with the lowest cost for a request among those that are below the
 * concurrency that they handle well; if there are none, among those that have room. The cost covers
 * the backlog, prompt tokens that are not cached, the expected time at the upstream, traffic between
 * zones and recent failures.
 *
 * @returns undefined when no candidate has room.
 */
export function selectUpstream(
  candidates: readonly Upstream[],
  request: SelectionRequest,
): Selection | undefined {
  const { engine, model = '', promptParts } = request;
  const keys = promptParts.map(({ id }) => computePartKey(model, id));
  const shared = promptParts.slice(0, -1);
  const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
  const preferredKey = shared.at(-1)?.id;
  const preferred =
    preferredKey === undefined
      ? undefined
      : findPreferredUpstream(candidates, `${model}/${preferredKey}`);
  let best: Selection | undefined;
  let bestCost = Infinity;
  const isCapacityUsed = request.capacity !== undefined || !engine;
  const sample = isCapacityUsed ? sampleByThroughput(candidates, request) : undefined;
  if (sample && preferred && hasCapacity(preferred, request)) sample.push(preferred);
  const usable = isCapacityUsed && !sample ? filterUnloaded(candidates, request) : candidates;
  const compared = sample ?? sampleCandidates(usable, request, preferred);
  for (const upstream of compared) {
    if (!hasRoom(upstream, request)) continue;
    let uncachedTokens = 0;
    let backlogMs = 0;
    let cost = computeSharedCosts(upstream, request) + computeTimeCost(upstream, request);
    if (engine) {
      const known = countCachedTokens(upstream, promptParts, keys);
      const expected = upstream === preferred ? sharedTokens * EXPECTED_CACHED_SHARE : 0;
      const cached = Math.max(known, expected);
      uncachedTokens = Math.max(0, request.promptTokens - cached);
      backlogMs = request.estimatePrefillMs(uncachedTokens) * upstream.slowdown;
      cost +=
        upstream.backlogMs +
        request.getQueueBiasMs(upstream.record.zone) +
        backlogMs +
        Math.max(0, sharedTokens - cached) * REREAD_COST_MS_PER_TOKEN;
    }
    if (cost < bestCost) {
      bestCost = cost;
      best = {
        upstream,
        uncachedTokens,
        backlogMs,
        queuedMs: upstream.backlogMs,
        firstEventMs: upstream.backlogMs + backlogMs,
      };
    }
  }
  return best;
}
