import type { Random } from '@cactusstair/utils';

import type { PrefixIndex } from './prefixIndex.js';

/** Availability of an upstream; only `ready` and `slow_start` upstreams get new requests. */
export type UpstreamAvailability = 'ready' | 'slow_start' | 'ejected' | 'leaving';

/** State of one upstream as known to an instance at the time of a choice. */
export interface UpstreamView {
  name: string;
  zone: string;
  /** Requests that the upstream runs concurrently. Values below 1 count as 1. */
  slots: number;
  /** Requests of this instance that the upstream has not finished. */
  outstanding: number;
  /** Last load report, over the requests of all instances; undefined without a report. */
  reported: { active: number; queued: number; ageMs: number } | undefined;
  /** Requests that this instance sent to the upstream after the report was taken. */
  sentSinceReport: number;
  availability: UpstreamAvailability;
  /** Time since the upstream last became available, including slow start. */
  readyForMs: number;
}

/** The properties of a request that determine its upstream. */
export interface ChoiceRequest {
  /** Zone of the choosing instance. */
  zone: string;
  /** Cumulative hashes of the prompt's leading blocks, shortest prefix first. */
  prefixHashes: string[];
  /** Names of upstreams that this request must not use, for example those already tried. */
  exclude: Set<string>;
  /** True for a crash suspect, which must not run on the same upstream as another suspect. */
  exclusive: boolean;
}

/** Options of `chooseUpstream`. */
export interface ChooserOptions {
  /** Age at which the weight of a load report is halved. Default 5,000. */
  reportHalfLifeMs?: number;
  /** Work per slot of the own zone above which other zones are considered. Default 0.5. */
  zoneOverflowWorkPerSlot?: number;
  /**
   * Extra work per slot at which a holder of the whole prompt is still preferred to the
   * alternative; in proportion for a holder of a part of the prompt. Default 0.6.
   */
  affinityWorkPerSlot?: number;
  /** Multiple of the mean work per slot up to which a prefix holder is preferred. Default 1.5. */
  affinityLoadFactor?: number;
  /** Minimum of that bound, for a low mean work per slot. Default 0.5. */
  affinityMinBoundWorkPerSlot?: number;
  /** Time in which the weight of an upstream in slow start grows to 1. Default 30,000. */
  slowStartMs?: number;
  /** Weight of an upstream at the beginning of slow start, in (0, 1]. Default 0.1. */
  slowStartMinWeight?: number;
}

/** Inputs of the choice other than the views and the request. */
export interface ChooserState {
  random: Random;
  /** Prefix cache contents; without it there is no affinity. */
  prefixIndex?: PrefixIndex;
  /** Upstreams that run a crash suspect, from `CrashQuarantine.getSuspectUpstreams`. */
  exclusiveUpstreams?: ReadonlySet<string>;
  options?: ChooserOptions;
}

const DEFAULT_OPTIONS: Required<ChooserOptions> = {
  reportHalfLifeMs: 5000,
  zoneOverflowWorkPerSlot: 0.5,
  affinityWorkPerSlot: 0.6,
  affinityLoadFactor: 1.5,
  affinityMinBoundWorkPerSlot: 0.5,
  slowStartMs: 30_000,
  slowStartMinWeight: 0.1,
};

interface Candidate {
  view: UpstreamView;
  slots: number;
  /** Slow start weight in (0, 1]. */
  weight: number;
  /** Estimated requests on the upstream, from all instances. */
  work: number;
}

function computeWeight(view: UpstreamView, options: Required<ChooserOptions>): number {
  if (view.availability !== 'slow_start') return 1;
  const progress = Math.min(1, Math.max(0, view.readyForMs / options.slowStartMs));
  return options.slowStartMinWeight + (1 - options.slowStartMinWeight) * progress;
}

/** Returns the requests of other instances at the time of the report; 0 without a report. */
function estimateReportedOthers(view: UpstreamView): number {
  if (!view.reported) return 0;
  const ownInReport = view.outstanding - Math.min(view.sentSinceReport, view.outstanding);
  return Math.max(0, view.reported.active + view.reported.queued - ownInReport);
}

interface OwnTotals {
  outstanding: number;
  sentSinceReport: number;
}

function sumOwnRequests(views: readonly UpstreamView[]): OwnTotals {
  const totals = { outstanding: 0, sentSinceReport: 0 };
  for (const view of views) {
    totals.outstanding += view.outstanding;
    totals.sentSinceReport += view.sentSinceReport;
  }
  return totals;
}

/**
 * Returns the weight of a report in [0, 1]. It decreases with the age in milliseconds and in
 * residence times, since most requests counted in an old report have ended. By Little's law, the
 * age in residence times is the number of requests sent since the report over those outstanding.
 */
function computeReportWeight(view: UpstreamView, own: OwnTotals, halfLifeMs: number): number {
  if (!view.reported) return 0;
  const residenceTimes = own.outstanding > 0 ? own.sentSinceReport / own.outstanding : 0;
  return 2 ** (-Math.max(0, view.reported.ageMs) / halfLifeMs) * Math.exp(-residenceTimes);
}

/**
 * Estimates the work of each view: own requests, those of other instances according to the report,
 * and those that the other instances probably sent after it.
 *
 * - Other instances read the same reports and choose the same way, so that each own request sent
 *   since the report counts as several of theirs, in proportion to their share of the load. Without
 *   this, all instances send to the upstream with the lowest report until the next report.
 * - The missing weight of an old report is filled with the pool's mean and not with zero, because
 *   an upstream that stops reporting would otherwise look idle.
 * - A report below the mean counts as the mean. Reports are used to avoid busy upstreams but not to
 *   prefer idle ones, since all instances read the same reports.
 */
function estimateCandidates(
  views: readonly UpstreamView[],
  options: Required<ChooserOptions>,
): Candidate[] {
  const own = sumOwnRequests(views);
  const reports = views.map((view) => ({
    reportWeight: computeReportWeight(view, own, options.reportHalfLifeMs),
    others: estimateReportedOthers(view),
    slots: Math.max(1, view.slots),
  }));
  let slotsTotal = 0;
  let weightedSlots = 0;
  let weightedOthers = 0;
  for (const report of reports) {
    slotsTotal += report.slots;
    weightedSlots += report.reportWeight * report.slots;
    weightedOthers += report.reportWeight * report.others;
  }
  const meanOthersPerSlot = weightedSlots > 0 ? weightedOthers / weightedSlots : 0;
  const othersPerOwn = (meanOthersPerSlot * slotsTotal) / Math.max(1, own.outstanding);
  return views.map((view, index) => {
    const { reportWeight, others, slots } = reports[index]!;
    const meanOthers = meanOthersPerSlot * slots;
    const reportedOthers = meanOthers + reportWeight * Math.max(0, others - meanOthers);
    const sentByOthers = othersPerOwn * Math.min(view.sentSinceReport, view.outstanding);
    const work = view.outstanding + reportedOthers + sentByOthers;
    return { view, slots, weight: computeWeight(view, options), work };
  });
}

function computeMeanWorkPerSlot(candidates: readonly Candidate[]): number {
  let work = 0;
  let slots = 0;
  for (const candidate of candidates) {
    work += candidate.work;
    slots += candidate.slots;
  }
  return slots > 0 ? work / slots : 0;
}

/**
 * Returns the work per slot including the new request; the upstream with the lower cost is chosen.
 * In slow start the current work counts more, so that the upstream's share grows with its weight.
 * The new request itself is not weighted: otherwise a small upstream would get no requests.
 */
function computeCost(candidate: Candidate): number {
  return (candidate.work / candidate.weight + 1) / candidate.slots;
}

/**
 * Limits the choice to the own zone unless its mean work per slot is above the threshold; then
 * less loaded upstreams of other zones are considered too.
 */
function selectZone(
  candidates: Candidate[],
  zone: string,
  options: Required<ChooserOptions>,
): Candidate[] {
  const own = candidates.filter((candidate) => candidate.view.zone === zone);
  if (own.length === 0 || own.length === candidates.length) return candidates;
  const ownWorkPerSlot = computeMeanWorkPerSlot(own);
  if (ownWorkPerSlot <= options.zoneOverflowWorkPerSlot) return own;
  return candidates.filter(
    (candidate) =>
      candidate.view.zone === zone || candidate.work / candidate.slots < ownWorkPerSlot,
  );
}

/** Picks one candidate with a probability proportional to its slots times its slow start weight. */
function pickWeighted(candidates: readonly Candidate[], random: Random): Candidate {
  let total = 0;
  for (const candidate of candidates) total += candidate.slots * candidate.weight;
  let point = random.next() * total;
  for (const candidate of candidates) {
    point -= candidate.slots * candidate.weight;
    if (point < 0) return candidate;
  }
  return candidates[candidates.length - 1]!;
}

function pickLessLoadedOfTwo(candidates: readonly Candidate[], random: Random): Candidate {
  const first = pickWeighted(candidates, random);
  if (candidates.length === 1) return first;
  const second = pickWeighted(
    candidates.filter((candidate) => candidate !== first),
    random,
  );
  return computeCost(second) < computeCost(first) ? second : first;
}

/**
 * Returns a holder of the prompt's prefix instead of `alternative` if it is within the load bound
 * and the prompt tokens that it saves outweigh its extra work.
 */
function preferPrefixHolder(
  alternative: Candidate,
  candidates: readonly Candidate[],
  request: ChoiceRequest,
  state: ChooserState,
  options: Required<ChooserOptions>,
): Candidate {
  if (!state.prefixIndex || request.prefixHashes.length === 0) return alternative;
  const matches = state.prefixIndex.find(request.prefixHashes);
  if (matches.size === 0) return alternative;
  const bound = Math.max(
    options.affinityMinBoundWorkPerSlot,
    options.affinityLoadFactor * computeMeanWorkPerSlot(candidates),
  );
  const computeScore = (candidate: Candidate) => {
    const matched = (matches.get(candidate.view.name) ?? 0) / request.prefixHashes.length;
    return computeCost(candidate) - options.affinityWorkPerSlot * matched;
  };
  let best = alternative;
  let bestScore = computeScore(alternative);
  for (const candidate of candidates) {
    if (!matches.has(candidate.view.name) || computeCost(candidate) > bound) continue;
    const score = computeScore(candidate);
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

/**
 * Chooses the upstream where a crash would affect and blame the fewest requests of this instance.
 */
function chooseForSuspect(candidates: readonly Candidate[]): Candidate | undefined {
  let best: Candidate | undefined;
  for (const candidate of candidates) {
    const fewer = best ? candidate.view.outstanding - best.view.outstanding : -1;
    if (!best || fewer < 0 || (fewer === 0 && computeCost(candidate) < computeCost(best))) {
      best = candidate;
    }
  }
  return best;
}

/** Returns the estimated requests per slot of each upstream; used by tests and diagnostics. */
export function estimateWorkPerSlot(
  views: readonly UpstreamView[],
  options: ChooserOptions = {},
): Map<string, number> {
  const candidates = estimateCandidates(views, { ...DEFAULT_OPTIONS, ...options });
  return new Map(candidates.map(({ view, work, slots }) => [view.name, work / slots]));
}

/**
 * Chooses the upstream for one request.
 *
 * Rules in order:
 * - Excluded, ejected and leaving upstreams are skipped.
 * - A suspect gets the upstream with the fewest requests and no other suspect.
 * - The own zone is used until its work per slot exceeds a threshold.
 * - The less loaded of two random upstreams is compared with the holders of the prompt's prefix
 *   whose load is within the bound.
 *
 * @returns undefined when no upstream is usable.
 */
export function chooseUpstream(
  views: readonly UpstreamView[],
  request: ChoiceRequest,
  state: ChooserState,
): UpstreamView | undefined {
  const options = { ...DEFAULT_OPTIONS, ...state.options };
  const eligible = views.filter(
    (view) =>
      (view.availability === 'ready' || view.availability === 'slow_start') &&
      !request.exclude.has(view.name),
  );
  const withoutSuspects = eligible.filter((view) => !state.exclusiveUpstreams?.has(view.name));
  if (request.exclusive) {
    return chooseForSuspect(estimateCandidates(withoutSuspects, options))?.view;
  }
  // Other requests avoid upstreams that run a suspect, as long as there is another one.
  const usable = withoutSuspects.length > 0 ? withoutSuspects : eligible;
  if (usable.length === 0) return undefined;
  const candidates = selectZone(estimateCandidates(usable, options), request.zone, options);
  const alternative = pickLessLoadedOfTwo(candidates, state.random);
  return preferPrefixHolder(alternative, candidates, request, state, options).view;
}
