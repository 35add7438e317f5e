import { hashFraction } from '@cactusstair/utils';

import type { EngineProfile } from '../config/relayConfig.js';
import type { PromptPart } from '../requests/relayRequest.js';
import type { Upstream } from './upstream.js';

/** What a choice of upstream depends on. */
export interface SelectionRequest {
  /** Zone of this instance. */
  zone: string;
  /** Whether a zone cannot be reached. */
  isZoneCut: (zone: string) => boolean;
  /** Absent for plain services. */
  engine?: EngineProfile;
  model?: string;
  /** Time factor of the model's size relative to the base speed. */
  pace: number;
  promptTokens: number;
  /** Tokens that the request will hold in memory at its end. */
  heldTokens: number;
  promptParts: readonly PromptPart[];
}

/** A chosen upstream with the work that the request brings it. */
export interface Selection {
  upstream: Upstream;
  /** Prompt work of the request, in milliseconds of the upstream's time. */
  backlogMs: number;
  /** Estimated time until the first event: the work that waits there and the request's own. */
  firstEventMs: number;
}

// Prompt tokens that an engine reads in a millisecond at pace 1, from the platform's sheets. Only
// the relation to the other costs below matters, so another engine's speed shifts the balance.
const PROMPT_TOKENS_PER_MS = 112;
// Attention to earlier tokens grows with the square of the prompt.
const PROMPT_MS_PER_SQUARED_TOKEN = 1.09e-7;
// Each request in a batch lengthens the steps of all others.
const RUNNING_COST_MS = 4;
/** Cost of a plain service whose slots are all taken. */
const FULL_SERVICE_COST_MS = 100;
// Traffic between zones is priced, and a zone's own upstreams survive its partition.
const OTHER_ZONE_COST_MS = 12;
const FAILURE_COST_MS = 3000;
const DOWN_COST_MS = 100_000;
const WARMUP_COST_MS = 150;
/** Random part, so that instances with equal knowledge do not choose the same upstream. */
const JITTER_MS = 6;
// Share of the shared parts that the first upstream in the order of a part is taken to hold: all
// instances send the part there, but its memory may have given it up.
const EXPECTED_CACHED_SHARE = 0.7;
// Reading a shared part again has a price beside its time: about 15 ms of waiting for 1,000 tokens.
const REREAD_COST_MS_PER_TOKEN = 0.015;
// In a large fleet all instances see the same loads, some hundred milliseconds old, and would all
// send to the upstream that looked best. Each request compares a few at random instead.
const MAX_COMPARED = 40;
const SAMPLED_OWN_ZONE = 4;
const SAMPLED_OTHER_ZONES = 2;
/** Engine memory kept free for the growth of running requests. */
const MEMORY_SHARE = 0.92;

/** Sums the leading parts that an upstream was sent before. */
function countCachedTokens(upstream: Upstream, model: string, parts: readonly PromptPart[]) {
  let tokens = 0;
  for (const part of parts) {
    if (!upstream.hasCachedPart(model, part.id)) break;
    tokens += part.tokens;
  }
  return tokens;
}

/** Finds the upstream that all instances prefer for a shared part of a prompt. */
function findHome(upstreams: readonly Upstream[], key: string): Upstream | undefined {
  let home: Upstream | undefined;
  let best = -1;
  for (const upstream of upstreams) {
    const weight = hashFraction(`${key}@${upstream.id}`);
    if (weight > best) {
      best = weight;
      home = upstream;
    }
  }
  return home;
}

/** Whether an engine has a place and memory for one more request. */
export function hasRoom(upstream: Upstream, request: SelectionRequest): boolean {
  const { engine } = request;
  if (!engine) return true;
  if (upstream.running >= upstream.record.slots) return false;
  const memory = engine.memoryTokens * MEMORY_SHARE;
  return memory <= 0 || upstream.heldTokens + request.heldTokens <= memory;
}

function computeSharedCosts(upstream: Upstream, request: SelectionRequest): number {
  const { zone } = upstream.record;
  return (
    (zone === request.zone ? 0 : OTHER_ZONE_COST_MS) +
    (upstream.isDown || request.isZoneCut(zone) ? DOWN_COST_MS : 0) +
    upstream.failureRate * FAILURE_COST_MS +
    (upstream.record.warmupLeftMs > 0 ? WARMUP_COST_MS : 0) +
    Math.random() * JITTER_MS
  );
}

/** Takes `count` of the items at random; fewer when there are not so many. */
function takeSample<T>(items: T[], count: number): T[] {
  for (let index = 0; index < Math.min(count, items.length); index += 1) {
    const other = index + Math.floor(Math.random() * (items.length - index));
    [items[index], items[other]] = [items[other]!, items[index]!];
  }
  return items.slice(0, count);
}

/** Returns the candidates that a request compares: in a large pool a sample, most of its own zone. */
function listCompared(
  candidates: readonly Upstream[],
  request: SelectionRequest,
  home: Upstream | undefined,
): readonly Upstream[] {
  if (candidates.length <= MAX_COMPARED) return candidates;
  const open = candidates.filter(
    (upstream) =>
      !upstream.isDown && !request.isZoneCut(upstream.record.zone) && hasRoom(upstream, request),
  );
  const isOwn = (upstream: Upstream) => upstream.record.zone === request.zone;
  const sample = [
    ...takeSample(open.filter(isOwn), SAMPLED_OWN_ZONE),
    ...takeSample(
      open.filter((upstream) => !isOwn(upstream)),
      SAMPLED_OTHER_ZONES,
    ),
  ];
  if (sample.length === 0) return candidates;
  return home && open.includes(home) ? [...sample, home] : sample;
}

/**
 * Chooses the upstream at which a request costs least: work that waits there, prompt tokens that
 * are not cached, requests that run beside it, distance, and recent failures.
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
  const homeKey = shared.at(-1)?.id;
  const home = homeKey === undefined ? undefined : findHome(candidates, `${model}/${homeKey}`);
  let best: Selection | undefined;
  let bestCost = Infinity;
  for (const upstream of listCompared(candidates, request, home)) {
    if (!hasRoom(upstream, request)) continue;
    let backlogMs = 0;
    let cost = computeSharedCosts(upstream, request);
    if (engine) {
      const known = countCachedTokens(upstream, model, promptParts);
      const expected = upstream === home ? sharedTokens * EXPECTED_CACHED_SHARE : 0;
      const cached = Math.max(known, expected);
      const uncached = Math.max(0, request.promptTokens - cached);
      backlogMs =
        (uncached / PROMPT_TOKENS_PER_MS +
          uncached * request.promptTokens * PROMPT_MS_PER_SQUARED_TOKEN) *
        request.pace;
      cost +=
        upstream.backlogMs +
        backlogMs +
        upstream.running * RUNNING_COST_MS +
        Math.max(0, sharedTokens - cached) * REREAD_COST_MS_PER_TOKEN;
    } else {
      cost += (upstream.running / upstream.record.slots) * FULL_SERVICE_COST_MS;
    }
    if (cost < bestCost) {
      bestCost = cost;
      best = { upstream, backlogMs, firstEventMs: upstream.backlogMs + backlogMs };
    }
  }
  return best;
}
