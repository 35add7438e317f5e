import type { CascadeEvidence, CascadeEvidenceCell } from '@cactusstair/protocol';

/** Bins of ratings: bin k holds [k/20, (k+1)/20), and the last one holds the rating 1. */
const BIN_COUNT = 21;
const BINS_PER_UNIT = BIN_COUNT - 1;

// Absorbs rounding errors: ratings such as 0.85 would otherwise fall just below their bin.
const BIN_TOLERANCE = 1e-9;

/** Identifies the requests and model version that a rating counts for. */
export interface EvidenceKey {
  workspace: string;
  requestClass: string;
  model: string;
  version: string;
  /** Whether a lower rung's answer to the request was rated below the target. */
  escalated: boolean;
}

/** Weighted numbers of ratings that met a target and that missed it. */
export interface RatingCounts {
  met: number;
  missed: number;
}

/** Options of the evidence table. */
export interface EvidenceTableOptions {
  instance: string;
  incarnation: number;
  /** Length of the periods by which ratings are counted, in milliseconds. */
  periodMs: number;
  /** Age at which the weight of a rating is halved, in milliseconds. */
  halfLifeMs: number;
}

type PeriodCounts = Map<number /* start */, number[] /* counts per bin */>;

/** Evidence older than this many half-lives counts less than 2 % and is dropped. */
const MAX_AGE_HALF_LIVES = 6;

// A difference of this many standard errors between recent and older ratings counts as drift.
const DRIFT_STANDARD_ERRORS = 3;
// Drift is not detected with fewer ratings than this on either side.
const DRIFT_MIN_RATINGS = 12;

function serializeKey(key: EvidenceKey): string {
  const { workspace, requestClass, model, version, escalated } = key;
  return JSON.stringify([workspace, requestClass, model, version, escalated]);
}

function sumFrom(counts: number[], firstBin: number): number {
  return counts.reduce((sum, count, bin) => (bin >= firstBin ? sum + count : sum), 0);
}

/** Whether the shares of two sets of ratings differ significantly. */
function detectDrift(recent: RatingCounts, older: RatingCounts): boolean {
  const recentTotal = recent.met + recent.missed;
  const olderTotal = older.met + older.missed;
  if (Math.min(recentTotal, olderTotal) < DRIFT_MIN_RATINGS) return false;
  const pooled = (recent.met + older.met + 1) / (recentTotal + olderTotal + 2);
  const error = Math.sqrt(pooled * (1 - pooled) * (1 / recentTotal + 1 / olderTotal));
  const difference = recent.met / recentTotal - older.met / olderTotal;
  return Math.abs(difference) > DRIFT_STANDARD_ERRORS * error;
}

/**
 * Counts ratings per key, period and instance. Each count belongs to one incarnation of one
 * instance and only grows. An import takes the larger of two counts, so that duplicated and
 * reordered exports have no effect.
 */
export class EvidenceTable {
  private readonly totals = new Map<string, PeriodCounts>();

  private readonly byInstance = new Map<string, Map<string, PeriodCounts>>();

  private readonly keys = new Map<string, EvidenceKey>();

  constructor(private readonly options: EvidenceTableOptions) {}

  /** Adds one rating of this instance. */
  add(key: EvidenceKey, rating: number, nowMs: number): void {
    const { instance, incarnation, periodMs } = this.options;
    const bin = Math.min(BIN_COUNT - 1, Math.floor(rating * BINS_PER_UNIT + BIN_TOLERANCE));
    const periodStartMs = Math.floor(nowMs / periodMs) * periodMs;
    const counts = [...this.getCounts(this.getInstance(instance, incarnation), key, periodStartMs)];
    counts[bin] = (counts[bin] ?? 0) + 1;
    this.raiseCounts(instance, incarnation, key, periodStartMs, counts);
  }

  /** Returns the counts of this instance that are not outdated. */
  export(nowMs: number): CascadeEvidence {
    const { instance, incarnation } = this.options;
    this.dropOutdated(nowMs);
    const cells = [...this.getInstance(instance, incarnation)].flatMap(([keyText, periods]) => {
      const key = this.keys.get(keyText);
      if (!key) return [];
      return [...periods].map(([periodStartMs, counts]): CascadeEvidenceCell => ({
        ...key,
        periodStartMs,
        counts,
      }));
    });
    return { instance, incarnation, cells: structuredClone(cells) };
  }

  /** Merges another instance's counts; own, outdated and malformed ones are ignored. */
  import(evidence: CascadeEvidence, nowMs: number): void {
    const { instance, incarnation } = this.options;
    if (evidence.instance === instance && evidence.incarnation === incarnation) return;
    this.dropOutdated(nowMs);
    evidence.cells.forEach((cell) => {
      const { periodStartMs, counts, ...key } = cell;
      if (periodStartMs < this.getOldestMs(nowMs)) return;
      // A period far in the future comes from a wrong clock and would be kept for too long.
      if (periodStartMs > nowMs + 2 * this.options.periodMs) return;
      if (counts.length !== BIN_COUNT || !counts.every((count) => count >= 0)) return;
      this.raiseCounts(evidence.instance, evidence.incarnation, key, periodStartMs, counts);
    });
  }

  /** Ids of workspaces with evidence for a class and version. */
  listWorkspaces(key: Omit<EvidenceKey, 'workspace'>): string[] {
    return [...this.keys.values()]
      .filter(
        (known) =>
          known.requestClass === key.requestClass &&
          known.model === key.model &&
          known.version === key.version &&
          known.escalated === key.escalated,
      )
      .map((known) => known.workspace);
  }

  /**
   * Returns the weighted counts of ratings that met and missed a target. Older periods have less
   * weight, and periods before the latest drift are left out. For a target between two bins, only
   * ratings in the higher bins count as met, because those in its own bin may lie below it.
   */
  count(key: EvidenceKey, target: number, nowMs: number): RatingCounts {
    const firstBin = Math.ceil(target * BINS_PER_UNIT - BIN_TOLERANCE);
    const periods = [...(this.totals.get(serializeKey(key)) ?? [])].sort((a, b) => b[0] - a[0]);
    const sum = { met: 0, missed: 0 };
    const recent = { met: 0, missed: 0 };
    const oldestMs = this.getOldestMs(nowMs);
    for (const [startMs, counts] of periods) {
      if (startMs < oldestMs) break;
      const met = sumFrom(counts, firstBin);
      const older = { met, missed: sumFrom(counts, 0) - met };
      if (detectDrift(recent, older)) break;
      const ageMs = Math.max(0, nowMs - startMs - this.options.periodMs);
      const weight = 0.5 ** (ageMs / this.options.halfLifeMs);
      recent.met += older.met;
      recent.missed += older.missed;
      sum.met += weight * older.met;
      sum.missed += weight * older.missed;
    }
    return sum;
  }

  private getOldestMs(nowMs: number): number {
    return nowMs - MAX_AGE_HALF_LIVES * this.options.halfLifeMs;
  }

  private getInstance(instance: string, incarnation: number): Map<string, PeriodCounts> {
    const name = JSON.stringify([instance, incarnation]);
    const found = this.byInstance.get(name) ?? new Map<string, PeriodCounts>();
    this.byInstance.set(name, found);
    return found;
  }

  private getCounts(table: Map<string, PeriodCounts>, key: EvidenceKey, startMs: number): number[] {
    const keyText = serializeKey(key);
    const periods = table.get(keyText) ?? new Map<number, number[]>();
    const counts = periods.get(startMs) ?? new Array<number>(BIN_COUNT).fill(0);
    this.keys.set(keyText, key);
    table.set(keyText, periods);
    periods.set(startMs, counts);
    return counts;
  }

  private raiseCounts(
    instance: string,
    incarnation: number,
    key: EvidenceKey,
    startMs: number,
    counts: number[],
  ): void {
    const own = this.getCounts(this.getInstance(instance, incarnation), key, startMs);
    const total = this.getCounts(this.totals, key, startMs);
    counts.forEach((count, bin) => {
      const increase = Math.max(0, count - (own[bin] ?? 0));
      own[bin] = (own[bin] ?? 0) + increase;
      total[bin] = (total[bin] ?? 0) + increase;
    });
  }

  private dropOutdated(nowMs: number): void {
    const oldestMs = this.getOldestMs(nowMs);
    [...this.byInstance.values(), this.totals].forEach((table) => {
      table.forEach((periods, keyText) => {
        [...periods.keys()]
          .filter((startMs) => startMs < oldestMs)
          .forEach((startMs) => periods.delete(startMs));
        if (periods.size === 0) table.delete(keyText);
      });
    });
    this.byInstance.forEach((table, name) => {
      if (table.size === 0) this.byInstance.delete(name);
    });
    [...this.keys.keys()]
      .filter((keyText) => !this.totals.has(keyText))
      .forEach((keyText) => this.keys.delete(keyText));
  }
}
