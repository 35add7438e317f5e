import type { LogNormal, LogPrior, LogSums } from './logSums.js';
import { addLogSample, addLogSums, createLogSums, toLogNormal } from './logSums.js';

/** Time in which the weight of a sample halves, so that a change is followed within seconds. */
const HALF_LIFE_MS = 3000;
/** The same for the samples that serve as the prior when there are no recent ones. */
const PRIOR_HALF_LIFE_MS = 120_000;
/** Number of samples for which a prior counts at most. */
const PRIOR_WEIGHT = 4;
/** Number of samples for which the earlier ones count; the recent ones outweigh them soon. */
const EARLIER_WEIGHT = 1;
/** The more requests an engine runs, the slower each of them is; each quarter is learned apart. */
const FULLNESS_LEVELS = 4;
// Deviation of the priors: a factor of e in both directions until there are samples.
const PRIOR_DEVIATION = 1;
/** The caller's length estimate is assumed to be off by a factor of two in most cases. */
const LENGTH_PRIOR: LogPrior = { median: 1, deviation: 0.7, weight: PRIOR_WEIGHT };
/** Services without an engine profile have no expectation; a few waits outweigh the prior. */
const WAIT_PRIOR: LogPrior = { median: 1, deviation: 0.7, weight: 2 };

interface Cell {
  /** Recent samples, which instances share. */
  recent: LogSums;
  earlier: LogSums;
  updatedAtMs: number;
}

function decaySums(sums: LogSums, ageMs: number, halfLifeMs: number): void {
  const factor = 0.5 ** (ageMs / halfLifeMs);
  for (let index = 0; index < sums.length; index += 1) sums[index]! *= factor;
}

/** Returns the level of an engine of whose slots a share is in use. */
function toLevel(fullness: number): number {
  // An upstream that states no slots has no share of them in use.
  if (!(fullness > 0)) return 0;
  return Math.min(FULLNESS_LEVELS - 1, Math.floor(fullness * FULLNESS_LEVELS));
}

/**
 * Learns how long runs at the engines of one service take: the time between the events of a
 * stream by model and share of slots in use, the first event relative to what was expected, and
 * the length of an answer relative to the caller's estimate. Serves fleets whose instances each
 * see a few requests per second, and engines whose speed changes while they run.
 */
export class RunTimeEstimator {
  private readonly cells = new Map<string, Cell>();

  private peerSums: ReadonlyMap<string, readonly number[]> = new Map();

  constructor(private readonly getNowMs: () => number) {}

  /** Records the mean time between the events of one stream. */
  recordPace(model: string, fullness: number, paceMs: number): void {
    this.record(`pace ${toLevel(fullness)} ${model}`, paceMs);
  }

  /** Records a single pause between two events. */
  recordGap(model: string, fullness: number, gapMs: number): void {
    this.record(`gap ${toLevel(fullness)} ${model}`, gapMs);
  }

  /** Records the wait for a first event relative to the expected one. */
  recordWait(ratio: number): void {
    this.record('wait', ratio, WAIT_PRIOR);
  }

  /** Records the length of an answer on a route relative to the caller's estimate. */
  recordLength(route: string, ratio: number): void {
    this.record(`length ${route}`, ratio, LENGTH_PRIOR);
  }

  /**
   * Returns the distribution of the mean time between two events of a stream.
   *
   * @param priorMs the expected time while there are no samples
   */
  getPace(model: string, fullness: number, priorMs: number): LogNormal {
    return this.getByLevel('pace', model, fullness, priorMs);
  }

  /** Returns the distribution of single pauses between two events. */
  getGap(model: string, fullness: number, priorMs: number): LogNormal {
    return this.getByLevel('gap', model, fullness, priorMs);
  }

  getWaitRatio(): LogNormal {
    return this.get('wait', WAIT_PRIOR);
  }

  getLengthRatio(route: string): LogNormal {
    return this.get(`length ${route}`, LENGTH_PRIOR);
  }

  /** Whether the time between the events of a model has been observed. */
  hasPace(model: string): boolean {
    return this.sumLevels('pace', model)[0] >= 1;
  }

  /** Returns the sums of this instance by what they describe. */
  exportSums(): Record<string, LogSums> {
    const sums: [string, LogSums][] = [];
    for (const [key, cell] of this.cells) {
      this.age(cell);
      // Cells without recent samples are left out, which bounds the message.
      if (cell.recent[0] >= 0.01) sums.push([key, [...cell.recent]]);
    }
    return Object.fromEntries(sums);
  }

  /** Replaces the sums of all other instances. */
  importPeerSums(sums: Readonly<Record<string, readonly number[]>>): void {
    this.peerSums = new Map(Object.entries(sums));
  }

  private record(key: string, value: number, prior?: LogPrior): void {
    if (!(value > 0) || !Number.isFinite(value)) return;
    let cell = this.cells.get(key);
    if (!cell) {
      cell = { recent: createLogSums(), earlier: createLogSums(), updatedAtMs: this.getNowMs() };
      this.cells.set(key, cell);
    }
    // The first sample of a cell without a prior is taken as it is.
    const first = { median: value, deviation: PRIOR_DEVIATION, weight: PRIOR_WEIGHT };
    const expected = this.get(key, prior ?? first);
    this.age(cell);
    addLogSample(cell.recent, value, expected);
    addLogSample(cell.earlier, value, expected);
  }

  private age(cell: Cell): void {
    const nowMs = this.getNowMs();
    const ageMs = Math.max(0, nowMs - cell.updatedAtMs);
    if (ageMs === 0) return;
    cell.updatedAtMs = nowMs;
    decaySums(cell.recent, ageMs, HALF_LIFE_MS);
    decaySums(cell.earlier, ageMs, PRIOR_HALF_LIFE_MS);
  }

  private getByLevel(kind: string, model: string, fullness: number, priorMs: number): LogNormal {
    const prior = { median: priorMs, deviation: PRIOR_DEVIATION, weight: PRIOR_WEIGHT };
    // Other levels of the model say more about a level without samples than the prior does.
    const any = toLogNormal(this.sumLevels(kind, model), { ...prior, weight: 1 });
    return this.get(`${kind} ${toLevel(fullness)} ${model}`, { ...any, weight: PRIOR_WEIGHT });
  }

  private get(key: string, fallback: LogPrior): LogNormal {
    const cell = this.cells.get(key);
    if (cell) this.age(cell);
    const total = createLogSums();
    if (cell) addLogSums(total, cell.recent);
    addLogSums(total, this.peerSums.get(key) ?? []);
    return toLogNormal(total, cell ? this.toPrior(cell.earlier, fallback) : fallback);
  }

  /** Returns what earlier samples lead one to expect, or mostly `fallback` if there are few. */
  private toPrior(earlier: LogSums, fallback: LogPrior): LogPrior {
    if (earlier[0] < 1) return fallback;
    const known = toLogNormal(earlier, { ...fallback, weight: Math.min(1, fallback.weight) });
    return { ...known, weight: EARLIER_WEIGHT };
  }

  private sumLevels(kind: string, model: string): LogSums {
    const total = createLogSums();
    for (let level = 0; level < FULLNESS_LEVELS; level += 1) {
      const key = `${kind} ${level} ${model}`;
      const cell = this.cells.get(key);
      if (cell) {
        this.age(cell);
        // Samples from long ago stand for the level only while there are no recent ones.
        addLogSums(total, cell.recent[0] >= 1 ? cell.recent : cell.earlier);
      }
      addLogSums(total, this.peerSums.get(key) ?? []);
    }
    return total;
  }
}
