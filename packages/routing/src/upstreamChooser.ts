import type { Random } from '@cactusstair/utils';

import type { PrefixIndex } from './prefixIndex.js';

/** Whether an upstream may be given new work. */
export type UpstreamAvailability = 'ready' | 'slow_start' | 'ejected' | 'leaving';

/** What an entry instance knows about one upstream at the moment of a choice. */
export interface UpstreamView {
  name: string;
  zone: string;
  /** Requests that the upstream runs at once. Values below 1 count as 1. */
  slots: number;
  /** Requests of this instance that the upstream has not finished. */
  outstanding: number;
  /** Last load report, over the requests of all instances; undefined without a report. */
  reported: { active: number; queued: number; ageMs: number } | undefined;
  /** Requests that this instance sent to the upstream after the report was taken. */
  sentSinceReport: number;
  availability: UpstreamAvailability;
  /** Time since the upstream last became available. */
  readyForMs: number;
}

/** The properties of a request that decide where it runs. */
export interface ChoiceRequest {
  /** Zone of the choosing instance. */
  zone: string;
  /** Cumulative hashes of the prompt's leading blocks, shortest prefix first. */
  prefixHashes: string[];
  /** Names of upstreams that this request must not use, for example those already tried. */
  exclude: Set<string>;
  /** True for a crash suspect, which must not share an upstream with another suspect. */
  exclusive: boolean;
}

/** Options of `chooseUpstream`. */
export interface ChooserOptions {
  /** Age at which a load report has lost half of its weight. Default 5,000. */
  reportHalfLifeMs?: number;
  /** Work per slot of the own zone above which other zones are considered. Default 0.5. */
  spillWorkPerSlot?: number;
  /** Work per slot by which the holder of the whole prompt may be busier than the alternative; a
   * holder of a part gets a part of it. Default 0.6. */
  affinityWorkPerSlot?: number;
  /** No prefix holder is preferred above this factor of the mean work per slot. Default 1.5. */
  affinityLoadFactor?: number;
  /** Below this work per slot a prefix holder is within bounds whatever the mean is. Default 0.5. */
  affinityFreeWorkPerSlot?: number;
  /** Time over which the weight of an upstream in slow start grows to 1. Default 30,000. */
  slowStartMs?: number;
  /** Weight of an upstream at the beginning of slow start, in (0, 1]. Default 0.1. */
  slowStartMinWeight?: number;
}

/** What the chooser reads besides the views. */
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
  spillWorkPerSlot: 0.5,
  affinityWorkPerSlot: 0.6,
  affinityLoadFactor: 1.5,
  affinityFreeWorkPerSlot: 0.5,
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

/** Requests of other instances at the time of the report, as far as the report tells. */
function estimateReportedOthers(view: UpstreamView): number {
  if (!view.reported) return 0;
  const ownInReport = view.outstanding - Math.min(view.sentSinceReport, view.outstanding);
  return Math.max(0, view.reported.active + view.reported.queued - ownInReport);
}

interface OwnTotals {
  outstanding: number;
  sentSinceReport: number;
}

function sumOwn(views: readonly UpstreamView[]): OwnTotals {
  const totals = { outstanding: 0, sentSinceReport: 0 };
  for (const view of views) {
    totals.outstanding += view.outstanding;
    totals.sentSinceReport += view.sentSinceReport;
  }
  return totals;
}

/**
 * Weight of a report in [0, 1]. Besides its age in milliseconds, its age in residence times counts:
 * by Little's law that is what was sent since the report over what is outstanding. A report that is
 * older than the requests it counted says little.
 */
function computeTrust(view: UpstreamView, own: OwnTotals, halfLifeMs: number): number {
  if (!view.reported) return 0;
  const residenceTimes = own.outstanding > 0 ? own.sentSinceReport / own.outstanding : 0;
  return 2 ** (-Math.max(0, view.reported.ageMs) / halfLifeMs) * Math.exp(-residenceTimes);
}

/**
 * Estimates the work of each view: own requests, those of other instances according to the report,
 * and those that the other instances probably sent after it.
 *
 * - Other instances read the same reports and decide alike, so each own request sent since the
 *   report stands for as many of theirs as their share of the load is larger. Without this, all
 *   instances send to the upstream with the lowest report until the next one.
 * - What a report loses in weight is replaced by the pool's mean and not by zero: an upstream that
 *   stops reporting would otherwise look idle.
 * - A report below the mean counts as the mean. A busy upstream is avoided on the word of its
 *   report, but no one is drawn to an upstream by a report that all others have read too.
 */
function estimateCandidates(
  views: readonly UpstreamView[],
  options: Required<ChooserOptions>,
): Candidate[] {
  const own = sumOwn(views);
  const reports = views.map((view) => ({
    trust: computeTrust(view, own, options.reportHalfLifeMs),
    others: estimateReportedOthers(view),
    slots: Math.max(1, view.slots),
  }));
  let slotsTotal = 0;
  let trustedSlots = 0;
  let trustedOthers = 0;
  for (const report of reports) {
    slotsTotal += report.slots;
    trustedSlots += report.trust * report.slots;
    trustedOthers += report.trust * report.others;
  }
  const meanOthersPerSlot = trustedSlots > 0 ? trustedOthers / trustedSlots : 0;
  const othersPerOwn = (meanOthersPerSlot * slotsTotal) / Math.max(1, own.outstanding);
  return views.map((view, index) => {
    const { trust, others, slots } = reports[index]!;
    const meanOthers = meanOthersPerSlot * slots;
    const reportedOthers = meanOthers + trust * Math.max(0, others - meanOthers);
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
 * Work per slot after the request is added; the lower one wins a comparison. In slow start the
 * present work counts more, so that the upstream holds a share that grows with its weight. The new
 * request itself is not weighted: otherwise a small upstream would get nothing at all.
 */
function computeCost(candidate: Candidate): number {
  return (candidate.work / candidate.weight + 1) / candidate.slots;
}

/** Limits the choice to the own zone unless that zone is above the threshold and another is less loaded. */
function selectZone(
  candidates: Candidate[],
  zone: string,
  options: Required<ChooserOptions>,
): Candidate[] {
  const own = candidates.filter((candidate) => candidate.view.zone === zone);
  if (own.length === 0 || own.length === candidates.length) return candidates;
  const ownWorkPerSlot = computeMeanWorkPerSlot(own);
  if (ownWorkPerSlot <= options.spillWorkPerSlot) return own;
  return candidates.filter(
    (candidate) =>
      candidate.view.zone === zone || candidate.work / candidate.slots < ownWorkPerSlot,
  );
}

/** Picks one candidate with a probability proportional to its usable slots. */
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

function pickOfTwo(candidates: readonly Candidate[], random: Random): Candidate {
  const first = pickWeighted(candidates, random);
  if (candidates.length === 1) return first;
  const second = pickWeighted(
    candidates.filter((candidate) => candidate !== first),
    random,
  );
  return computeCost(second) < computeCost(first) ? second : first;
}

/**
 * Returns a holder of the prompt's prefix instead of `alternative` if the prompt tokens that it
 * saves outweigh the work that it has more, within the load bound.
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
    options.affinityFreeWorkPerSlot,
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

/** A suspect goes where it endangers and blames the fewest requests of this instance. */
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

/** Estimated requests per slot of each view; operators' pages and tests read it. */
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
 * Order of the rules: upstreams that are excluded, ejected or leaving are skipped; a suspect gets
 * the upstream with the fewest requests and no other suspect; the own zone is used until its work
 * per slot passes a threshold; of two random upstreams the less loaded one is compared with the
 * holders of the prompt's prefix whose load is bounded.
 *
 * @returns undefined when no upstream may be used.
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
  // Other requests avoid an upstream that may crash, as long as there is another one.
  const usable = withoutSuspects.length > 0 ? withoutSuspects : eligible;
  if (usable.length === 0) return undefined;
  const candidates = selectZone(estimateCandidates(usable, options), request.zone, options);
  const alternative = pickOfTwo(candidates, state.random);
  return preferPrefixHolder(alternative, candidates, request, state, options).view;
}
