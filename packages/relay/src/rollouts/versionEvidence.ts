import { createDictionary } from '@cactusstair/utils';
import type { PaceSums, PaceVerdict } from '@cactusstair/routing';
import { addPaceSample, addPaceSums, createPaceSums, judgePace } from '@cactusstair/routing';

/** Outcome of one answer. */
export interface VersionOutcome {
  isBad: boolean;
  /** Time to the first event of a stream, or to the whole answer. */
  latencyMs: number;
}

/** Sums over the answers of one version; they only increase while an instance runs. */
export interface EvidenceSums {
  answers: number;
  bad: number;
  /** Answers with a latency, and the sum of their latencies. */
  timed: number;
  latencySumMs: number;
  /**
   * Answers with a pace, and the sum of its natural logarithms. Logarithms keep a single answer that
   * stalled from deciding the mean. Absent in messages of older builds.
   */
  paced?: number;
  paceLogSum?: number;
  /** Paces of long streams by the load of their upstream, by model. Absent as above. */
  paces?: Record<string, PaceSums>;
}

export function createEvidence(): Required<EvidenceSums> {
  return { answers: 0, bad: 0, timed: 0, latencySumMs: 0, paced: 0, paceLogSum: 0, paces: {} };
}

export function addOutcome(sums: EvidenceSums, outcome: VersionOutcome): void {
  sums.answers += 1;
  if (outcome.isBad) {
    sums.bad += 1;
    return;
  }
  sums.timed += 1;
  sums.latencySumMs += outcome.latencyMs;
}

/** Adds the pace of one answer: the time for one event of a stream, or for a whole other answer. */
export function addPace(sums: EvidenceSums, paceMs: number): void {
  sums.paced = (sums.paced ?? 0) + 1;
  sums.paceLogSum = (sums.paceLogSum ?? 0) + Math.log(Math.max(MIN_PACE_MS, paceMs));
}

function getPaces(sums: EvidenceSums, model: string): PaceSums {
  sums.paces ??= createDictionary();
  return (sums.paces[model] ??= createPaceSums());
}

/** Adds the pace of a long stream at an upstream with `running` requests. */
export function addLoadedPace(
  sums: EvidenceSums,
  model: string,
  running: number,
  paceMs: number,
): void {
  addPaceSample(getPaces(sums, model), running, paceMs);
}

export function addEvidence(total: EvidenceSums, part: EvidenceSums): void {
  total.answers += part.answers;
  total.bad += part.bad;
  total.timed += part.timed;
  total.latencySumMs += part.latencySumMs;
  total.paced = (total.paced ?? 0) + (part.paced ?? 0);
  total.paceLogSum = (total.paceLogSum ?? 0) + (part.paceLogSum ?? 0);
  for (const [model, sums] of Object.entries(part.paces ?? {})) {
    addPaceSums(getPaces(total, model), sums);
  }
}

export function subtractEvidence(total: EvidenceSums, part: EvidenceSums): EvidenceSums {
  return {
    answers: total.answers - part.answers,
    bad: total.bad - part.bad,
    timed: total.timed - part.timed,
    latencySumMs: total.latencySumMs - part.latencySumMs,
    paced: (total.paced ?? 0) - (part.paced ?? 0),
    paceLogSum: (total.paceLogSum ?? 0) - (part.paceLogSum ?? 0),
  };
}

// Fewer bad answers can be caused by faults that hit one version by chance.
const MIN_BAD_ANSWERS = 5;
/**
 * A version is bad if its share of bad answers exceeds `BASELINE_FACTOR` times the baseline share
 * by more than this.
 */
const BAD_SHARE_MARGIN = 0.15;
const BASELINE_FACTOR = 2;
/** Minimum number of answers with a latency before mean latencies are compared. */
const MIN_TIMED_ANSWERS = 8;
// The prompt caches of a new version are empty, which alone doubles the time to the first event.
const SLOW_FACTOR = 3.5;
const SLOW_MARGIN_MS = 400;

/** Minimum number of answers with a pace before paces are compared. */
const MIN_PACED_ANSWERS = 8;
/** Ratio of the typical paces from which a version counts as slow; load alone causes less. */
const PACE_FACTOR = 2;
/** Paces below this are no sign of slowness, and would make ratios of a few milliseconds large. */
const MIN_PACE_MS = 5;

/** Returns the geometric mean of the paces; undefined when there are too few. */
function computeTypicalPaceMs({ paced = 0, paceLogSum = 0 }: EvidenceSums): number | undefined {
  return paced < MIN_PACED_ANSWERS ? undefined : Math.exp(paceLogSum / paced);
}

/** Returns why a version is worse than the others, or undefined if it is not. */
export function describeBadVersion(
  target: EvidenceSums,
  baseline: EvidenceSums,
): string | undefined {
  const baselineShare = baseline.answers > 0 ? baseline.bad / baseline.answers : 0;
  const share = target.answers > 0 ? target.bad / target.answers : 0;
  if (target.bad >= MIN_BAD_ANSWERS && share > BASELINE_FACTOR * baselineShare + BAD_SHARE_MARGIN) {
    return `${target.bad} of ${target.answers} answers are bad, ${baseline.bad} of ${baseline.answers} on the other versions`;
  }
  if (target.timed >= MIN_TIMED_ANSWERS && baseline.timed >= MIN_TIMED_ANSWERS) {
    const mean = target.latencySumMs / target.timed;
    const baselineMean = baseline.latencySumMs / baseline.timed;
    if (mean > SLOW_FACTOR * baselineMean + SLOW_MARGIN_MS) {
      return `mean latency ${Math.round(mean)} ms, ${Math.round(baselineMean)} ms on the other versions`;
    }
  }
  const paceMs = computeTypicalPaceMs(target);
  const baselinePaceMs = computeTypicalPaceMs(baseline);
  if (paceMs !== undefined && baselinePaceMs !== undefined) {
    if (paceMs > PACE_FACTOR * baselinePaceMs) {
      return `an event or answer takes ${Math.round(paceMs)} ms, ${Math.round(baselinePaceMs)} ms on the other versions`;
    }
  }
  return undefined;
}

/** Judges whether a version is slower than the others under the same load. */
export function judgeVersionPace(target: EvidenceSums, baseline: EvidenceSums): PaceVerdict {
  return judgePace(
    Object.entries(target.paces ?? {}).map(([model, sums]) => ({
      target: sums,
      baseline: baseline.paces?.[model] ?? createPaceSums(),
    })),
  );
}
