import { hashFraction } from '@cactusstair/utils';

import type { EngineProfile } from '../config/relayConfig.js';
import type { PromptPart } from '../requests/relayRequest.js';
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

// Each further request in a batch slows down all the others.
const RUNNING_COST_MS = 4;
/** Cost of an upstream of a plain service when all of its slots are occupied. */
const FULL_SERVICE_COST_MS = 100;
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

/** Sums the tokens of the leading prompt parts that were already sent to an upstream. */
function countCachedTokens(upstream: Upstream, model: string, parts: readonly PromptPart[]) {
  let tokens = 0;
  for (const part of parts) {
    if (!upstream.hasCachedPart(model, part.id)) break;
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
  if (upstream.fullLeftMs > 0) return false;
  if (upstream.running >= countUpstreamPlaces(upstream, engine !== undefined)) return false;
  if (!engine) return true;
  const memory = engine.memoryTokens * USABLE_MEMORY_SHARE;
  return memory <= 0 || upstream.heldTokens + request.heldTokens <= memory;
}

function computeSharedCosts(upstream: Upstream, request: SelectionRequest): number {
  const { zone } = upstream.record;
  return (
    (zone === request.zone ? 0 : OTHER_ZONE_COST_MS) +
    (upstream.isDown || request.isZoneUnreachable(zone) ? DOWN_COST_MS : 0) +
    upstream.failureRate * FAILURE_COST_MS +
    (upstream.warmupLeftMs > 0 ? WARMUP_COST_MS : 0) +
    Math.random() * JITTER_MS
  );
}

/** Returns `count` random items, or all of them when there are fewer; reorders `items`. */
function takeSample<T>(items: T[], count: number): T[] {
  for (let index = 0; index < Math.min(count, items.length); index += 1) {
    const other = index + Math.floor(Math.random() * (items.length - index));
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
  const available = candidates.filter(
    (upstream) =>
      !upstream.isDown &&
      !request.isZoneUnreachable(upstream.record.zone) &&
      hasRoom(upstream, request),
  );
  const isOwnZone = (upstream: Upstream) => upstream.record.zone === request.zone;
  const sample = [
    ...takeSample(available.filter(isOwnZone), SAMPLED_OWN_ZONE),
    ...takeSample(
      available.filter((upstream) => !isOwnZone(upstream)),
      SAMPLED_OTHER_ZONES,
    ),
  ];
  if (sample.length === 0) return candidates;
  return preferred && available.includes(preferred) ? [...sample, preferred] : sample;
}

/**
 * Chooses the upstream with the lowest cost for a request. The cost covers the backlog, prompt
 * tokens that are not cached, concurrent requests, traffic between zones and recent failures.
 *
 * @returns undefined when no candidate has room.
 */
export function selectUpstream(
  candidates: readonly Upstream[],
  request: SelectionRequest,
): Selection | undefined {
  const { engine, model = '', promptParts } = request;
  const shared = promptParts.slice(0, -1);
  const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
  const preferredKey = shared.at(-1)?.id;
  const preferred =
    preferredKey === undefined
      ? undefined
      : findPreferredUpstream(candidates, `${model}/${preferredKey}`);
  let best: Selection | undefined;
  let bestCost = Infinity;
  for (const upstream of sampleCandidates(candidates, request, preferred)) {
    if (!hasRoom(upstream, request)) continue;
    let uncachedTokens = 0;
    let backlogMs = 0;
    let cost = computeSharedCosts(upstream, request);
    if (engine) {
      const known = countCachedTokens(upstream, model, promptParts);
      const expected = upstream === preferred ? sharedTokens * EXPECTED_CACHED_SHARE : 0;
      const cached = Math.max(known, expected);
      uncachedTokens = Math.max(0, request.promptTokens - cached);
      backlogMs = request.estimatePrefillMs(uncachedTokens) * upstream.slowdown;
      cost +=
        upstream.backlogMs +
        request.getQueueBiasMs(upstream.record.zone) +
        backlogMs +
        upstream.running * RUNNING_COST_MS +
        Math.max(0, sharedTokens - cached) * REREAD_COST_MS_PER_TOKEN;
    } else {
      cost += (upstream.running / upstream.record.slots) * FULL_SERVICE_COST_MS;
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
