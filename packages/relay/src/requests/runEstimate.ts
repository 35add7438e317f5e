import { createRunEstimate } from '@cactusstair/routing';
import type { LogNormal, RunEstimate } from '@cactusstair/routing';

import type { Selection } from '../upstreams/upstreamSelector.js';
import type { RelayContext } from './relayContext.js';
import type { RelayJob } from './relayJob.js';
import { estimateOutputTokens, estimateTimeFactor } from './sizePolicy.js';
import { chooseUpstream, getModelKey } from './upstreamChoice.js';

/** Options of `estimateRun`. */
export interface RunEstimateOptions {
  /** Ids of upstreams that must not be selected. */
  excluded?: ReadonlySet<string>;
  /** Events of the answer that the caller already has. */
  sentEvents?: number;
}

// Time for a token at a model of nominal speed. Only a prior: the first answers outweigh it.
const PRIOR_TOKEN_MS = 5;
// Added to expected waits, as where waits are recorded: a difference of milliseconds is no large
// ratio.
export const MIN_EXPECTED_WAIT_MS = 50;

const NO_EXCLUDED: ReadonlySet<string> = new Set();

function getEventTokens(job: RelayJob): number {
  return job.engine?.eventTokens ?? 1;
}

/** Returns the length of an answer relative to the caller's estimate; undefined without one. */
export function computeLengthRatio(job: RelayJob, eventCount: number): number | undefined {
  const tokens = estimateOutputTokens(job.request);
  return tokens > 0 ? (eventCount * getEventTokens(job)) / tokens : undefined;
}

/** Estimates the number of events that are still to come after the first one. */
export function estimateEvents(context: RelayContext, job: RelayJob, sentEvents = 0): LogNormal {
  const { maxOutputTokens } = job.request;
  const ratio = context.engines
    .get(job.service)
    .runTimes.getLengthRatio(job.exchange.route?.name ?? '');
  const tokens = estimateOutputTokens(job.request) * ratio.median;
  const bounded = maxOutputTokens > 0 ? Math.min(tokens, maxOutputTokens) : tokens;
  const median = Math.max(0, bounded / getEventTokens(job) - sentEvents - 1);
  return { median, deviation: ratio.deviation };
}

/**
 * Returns the expected time between two events of a model that was not observed, from the other
 * sizes of the route.
 */
function computePacePriorMs(
  context: RelayContext,
  job: RelayJob,
  sizeIndex: number | undefined,
  fullness: number,
): number {
  const sizes = job.exchange.route?.modelSizes ?? [];
  const { runTimes } = context.engines.get(job.service);
  const factor = estimateTimeFactor(sizeIndex ?? sizes.length - 1, sizes.length);
  const nominalMs = PRIOR_TOKEN_MS * getEventTokens(job);
  const known = sizes.findIndex((model, index) => index !== sizeIndex && runTimes.hasPace(model));
  if (known < 0) return nominalMs * factor;
  const knownFactor = estimateTimeFactor(known, sizes.length);
  const pace = runTimes.getPace(sizes[known]!, fullness, nominalMs * knownFactor);
  return (pace.median * factor) / knownFactor;
}

/** Returns the time between the events of a stream at an upstream that is `fullness` full. */
export function estimatePace(
  context: RelayContext,
  job: RelayJob,
  sizeIndex: number | undefined,
  fullness: number,
): LogNormal {
  const model = getModelKey(context, job, sizeIndex) ?? '';
  const priorMs = computePacePriorMs(context, job, sizeIndex, fullness);
  return context.engines.get(job.service).runTimes.getPace(model, fullness, priorMs);
}

/** Returns single pauses between the events of a stream, of which a few are much longer. */
export function estimateGap(
  context: RelayContext,
  job: RelayJob,
  sizeIndex: number | undefined,
  fullness: number,
): LogNormal {
  const model = getModelKey(context, job, sizeIndex) ?? '';
  const { runTimes } = context.engines.get(job.service);
  const paceMs = estimatePace(context, job, sizeIndex, fullness).median;
  return runTimes.getGap(model, fullness, paceMs);
}

/**
 * Estimates when the answer of a model size would begin and be complete if the request were sent
 * now.
 *
 * @param sizeIndex index into the route's model sizes; undefined when the caller named the model
 * @returns undefined when no upstream has room for the request
 */
export function estimateRun(
  context: RelayContext,
  job: RelayJob,
  sizeIndex: number | undefined,
  { excluded = NO_EXCLUDED, sentEvents = 0 }: RunEstimateOptions = {},
): RunEstimate | undefined {
  const selection = chooseUpstream(context, job, sizeIndex, excluded);
  return selection && estimateUpstreamRun(context, job, sizeIndex, selection, sentEvents);
}

/** Estimates a run at a given upstream. */
export function estimateUpstreamRun(
  context: RelayContext,
  job: RelayJob,
  sizeIndex: number | undefined,
  { upstream, firstEventMs }: Selection,
  sentEvents = 0,
): RunEstimate {
  const { exchange } = job;
  const ratio = context.engines.get(job.service).runTimes.getWaitRatio();
  const fullness = (upstream.running + 1) / upstream.record.slots;
  return createRunEstimate({
    firstEvent: {
      median: ratio.median * (firstEventMs + MIN_EXPECTED_WAIT_MS),
      deviation: ratio.deviation,
    },
    pace: estimatePace(context, job, sizeIndex, fullness),
    events: estimateEvents(context, job, sentEvents),
    goalLeftMs: exchange.route!.latencyGoalMs - exchange.elapsedMs,
    deadlineLeftMs: exchange.timeLeftMs,
  });
}
