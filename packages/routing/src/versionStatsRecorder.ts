import type { Rollout, StepEvidence, VersionStats, VersionStatsList } from '@cactusstair/protocol';

import { SequentialTest } from './sequentialTest.js';
import type { RolloutArm } from './sequentialTest.js';

/** Options of the recorder of an instance. */
export interface VersionStatsRecorderOptions {
  instance: string;
  /** Wall-clock start of the instance in milliseconds; distinguishes restarts of one instance. */
  incarnation: number;
  /** A first token after this time counts as slow, in milliseconds. */
  slowFirstTokenMs?: number;
  /** A longer mean time between tokens counts as slow, in milliseconds. */
  slowTokenGapMs?: number;
  /** Largest accepted rise of the share of failed requests, in 0..1. */
  errorMargin?: number;
  /** Largest accepted rise of the share of slow requests, in 0..1. */
  latencyMargin?: number;
}

/** The outcome of one request to a model version. */
export interface VersionOutcome {
  model: string;
  version: string;
  failed: boolean;
  /** Undefined if there was no first token. */
  firstTokenMs?: number | undefined;
  /** Mean time between tokens; undefined for answers of fewer than two. */
  tokenGapMs?: number | undefined;
}

// At the design size, 95 % of the requests must get their first token within 1.6 s, and the others
// 45 ms apart.
const DEFAULT_SLOW_FIRST_TOKEN_MS = 1600;
const DEFAULT_SLOW_TOKEN_GAP_MS = 45;
const DEFAULT_ERROR_MARGIN = 0.02;
const DEFAULT_LATENCY_MARGIN = 0.05;

interface StepTests {
  requests: number;
  ratings: number;
  quality: SequentialTest;
  errors: SequentialTest;
  latency: SequentialTest;
}

interface TrackedRollout {
  rollout: Rollout;
  steps: Map<number, StepTests>;
}

function createStats(model: string, version: string): VersionStats {
  return {
    model,
    version,
    requests: 0,
    errors: 0,
    ratings: 0,
    ratingSum: 0,
    ratingSquareSum: 0,
    firstTokenMsSum: 0,
  };
}

function findArm(rollout: Rollout, version: string): RolloutArm | undefined {
  if (version === rollout.candidateVersion) return 'candidate';
  return version === rollout.baselineVersion ? 'baseline' : undefined;
}

/** Counts the outcomes and ratings of one instance for `decideRollout`. */
export class VersionStatsRecorder {
  private readonly options: Required<VersionStatsRecorderOptions>;

  private readonly stats = new Map<string, VersionStats>();

  private readonly trackedRollouts = new Map<string, TrackedRollout>();

  constructor(options: VersionStatsRecorderOptions) {
    this.options = {
      slowFirstTokenMs: DEFAULT_SLOW_FIRST_TOKEN_MS,
      slowTokenGapMs: DEFAULT_SLOW_TOKEN_GAP_MS,
      errorMargin: DEFAULT_ERROR_MARGIN,
      latencyMargin: DEFAULT_LATENCY_MARGIN,
      ...options,
    };
  }

  /** Sets the active rollouts; the counters of other rollouts are dropped. */
  setRollouts(rollouts: Rollout[]): void {
    const names = new Set(rollouts.map((rollout) => rollout.name));
    [...this.trackedRollouts.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.trackedRollouts.delete(name));
    rollouts.forEach((rollout) => {
      const known = this.trackedRollouts.get(rollout.name);
      // A rollout that is created again under its old name starts without evidence.
      const same =
        known?.rollout.candidateVersion === rollout.candidateVersion &&
        known.rollout.baselineVersion === rollout.baselineVersion;
      this.trackedRollouts.set(rollout.name, {
        rollout,
        steps: same ? known.steps : new Map<number, StepTests>(),
      });
    });
  }

  /** Records a finished request. */
  recordOutcome(outcome: VersionOutcome): void {
    const stats = this.getStats(outcome.model, outcome.version);
    stats.requests += 1;
    stats.errors += outcome.failed ? 1 : 0;
    stats.firstTokenMsSum += outcome.firstTokenMs ?? 0;
    this.forEachTest(outcome.model, outcome.version, (tests, arm) => {
      if (arm === 'candidate') tests.requests += 1;
      tests.errors.addRating(arm, outcome.failed ? 0 : 1);
      if (outcome.firstTokenMs === undefined) return;
      tests.latency.addRating(arm, this.isSlow(outcome) ? 0 : 1);
    });
  }

  private isSlow({ firstTokenMs = 0, tokenGapMs = 0 }: VersionOutcome): boolean {
    const { slowFirstTokenMs, slowTokenGapMs } = this.options;
    return firstTokenMs > slowFirstTokenMs || tokenGapMs > slowTokenGapMs;
  }

  /** Records a rating in 0..1; it counts for the step in which it arrives. */
  recordRating(rated: { model: string; version: string; rating: number }): void {
    if (!(rated.rating >= 0 && rated.rating <= 1)) return;
    const stats = this.getStats(rated.model, rated.version);
    stats.ratings += 1;
    stats.ratingSum += rated.rating;
    stats.ratingSquareSum += rated.rating ** 2;
    this.forEachTest(rated.model, rated.version, (tests, arm) => {
      if (arm === 'candidate') tests.ratings += 1;
      tests.quality.addRating(arm, rated.rating);
    });
  }

  /** Returns the counters since the instance started, as sent in reply to GetVersionStats. */
  exportStats(): VersionStatsList {
    const stats = [...this.stats.values()].map((entry) => ({ ...entry }));
    this.trackedRollouts.forEach(({ rollout, steps }) => {
      const candidate = stats.find(
        (entry) => entry.model === rollout.model && entry.version === rollout.candidateVersion,
      );
      if (!candidate) return;
      candidate.evidence = {
        rollout: rollout.name,
        steps: [...steps].map(([stepIndex, tests]): StepEvidence => ({
          stepIndex,
          requests: tests.requests,
          ratings: tests.ratings,
          quality: tests.quality.exportSums(),
          errors: tests.errors.exportSums(),
          latency: tests.latency.exportSums(),
        })),
      };
    });
    return { instance: this.options.instance, incarnation: this.options.incarnation, stats };
  }

  private getStats(model: string, version: string): VersionStats {
    const key = `${model}\n${version}`;
    const found = this.stats.get(key) ?? createStats(model, version);
    this.stats.set(key, found);
    return found;
  }

  private forEachTest(
    model: string,
    version: string,
    apply: (tests: StepTests, arm: RolloutArm) => void,
  ): void {
    this.trackedRollouts.forEach(({ rollout, steps }) => {
      if (rollout.model !== model) return;
      const arm = findArm(rollout, version);
      if (!arm) return;
      const tests = steps.get(rollout.stepIndex) ?? this.createTests(rollout.qualityMargin);
      steps.set(rollout.stepIndex, tests);
      apply(tests, arm);
    });
  }

  private createTests(qualityMargin: number): StepTests {
    return {
      requests: 0,
      ratings: 0,
      quality: new SequentialTest({ margin: qualityMargin }),
      errors: new SequentialTest({ margin: this.options.errorMargin }),
      latency: new SequentialTest({ margin: this.options.latencyMargin }),
    };
  }
}
