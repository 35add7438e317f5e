import { Rollout, RolloutPhase } from '@cactusstair/protocol';
import type { VersionStats } from '@cactusstair/protocol';
import {
  assignArm,
  decideRollout,
  VersionStatsRecorder,
  VersionStatsTable,
} from '@cactusstair/routing';
import type { RolloutArm, RolloutDecision } from '@cactusstair/routing';
import { createRandom } from '@cactusstair/utils';
import type { Random } from '@cactusstair/utils';

import { findQuantile } from './quantile.js';
import type { Scenario } from './scenario.js';

const REQUESTS_PER_SECOND = 100;
const INSTANCES = 7;
const SESSION_REQUESTS = 4;
const RATED_SHARE = 0.05;
// More answers of the candidate can be sent for rating during its rollout.
const RAISED_CANDIDATE_SHARE = 0.25;
const MEAN_RATING_DELAY_MS = 30_000;
const DECISION_PERIOD_MS = 5000;
// Delay until the controller's decision reaches the instances with the configuration.
const PROPAGATION_MS = 2000;
const BAKE_MS = 300_000;
const MAX_RUN_MS = 3_600_000;
const MARGINS = { quality: 0.05, errors: 0.01, latency: 0.05 };
const SLOW_FIRST_TOKEN_MS = 1600;

const RUNS = 20;
const QUICK_RUNS = 6;

interface Behaviour {
  title: string;
  rating: number;
  errorShare: number;
  slowShare: number;
}

const BASELINE: Behaviour = { title: 'equal', rating: 0.8, errorShare: 0.01, slowShare: 0.05 };

const BAD_VERSIONS: Behaviour[] = [
  { ...BASELINE, title: 'rating -0.08', rating: 0.72 },
  { ...BASELINE, title: 'rating -0.15', rating: 0.65 },
  { ...BASELINE, title: 'rating -0.3', rating: 0.5 },
  { ...BASELINE, title: 'rating -0.6', rating: 0.2 },
  { ...BASELINE, title: 'errors +5 %', errorShare: 0.06 },
  { ...BASELINE, title: 'errors +20 %', errorShare: 0.21 },
  { ...BASELINE, title: 'errors +99 %', errorShare: 1 },
  { ...BASELINE, title: 'slow +15 %', slowShare: 0.2 },
  { ...BASELINE, title: 'slow +50 %', slowShare: 0.55 },
];

const GOOD_VERSIONS: Behaviour[] = [
  BASELINE,
  { ...BASELINE, title: 'rating +0.05', rating: 0.85 },
  { ...BASELINE, title: 'rating -0.02, within the margin', rating: 0.78 },
  { ...BASELINE, title: 'rating -0.05, at the margin', rating: 0.75 },
  { ...BASELINE, title: 'errors +1 %, at the margin', errorShare: 0.02 },
];

type Decide = (rollout: Rollout, stats: VersionStats[], nowMs: number) => RolloutDecision;

/** Baseline: advances after a fixed bake time unless a mean is beyond its margin at that time. */
function createBakePolicy(): Decide {
  let stepIndex = 0;
  let startedMs = 0;
  return (rollout, stats, nowMs) => {
    if (rollout.stepIndex !== stepIndex) {
      stepIndex = rollout.stepIndex;
      startedMs = nowMs;
    }
    if (nowMs - startedMs < BAKE_MS) return { type: 'wait', hold: false };
    const find = (version: string) => stats.find((entry) => entry.version === version);
    const baseline = find(rollout.baselineVersion);
    const candidate = find(rollout.candidateVersion);
    if (!baseline || !candidate) return { type: 'wait', hold: false };
    const compare = (get: (entry: VersionStats) => number) => get(candidate) - get(baseline);
    const drop = -compare((entry) => entry.ratingSum / Math.max(1, entry.ratings));
    const errors = compare((entry) => entry.errors / Math.max(1, entry.requests));
    // A slow answer takes 3000 ms longer: 5 % more slow answers raise the mean first-token time by
    // 150 ms.
    const slow = compare((entry) => entry.firstTokenMsSum / Math.max(1, entry.requests)) / 3000;
    const reason = 'a mean is beyond its margin';
    if (candidate.ratings > 0 && drop > MARGINS.quality) return { type: 'withdraw', reason };
    if (errors > MARGINS.errors || slow > MARGINS.latency) return { type: 'withdraw', reason };
    const next = rollout.steps[rollout.stepIndex + 1] ?? 100;
    return next >= 100 ? { type: 'complete' } : { type: 'advance' };
  };
}

interface RunResult {
  end: 'withdraw' | 'complete' | 'open';
  exposed: number;
  durationMs: number;
}

interface LateRating {
  instance: number;
  version: string;
  rating: number;
}

/** One rollout with session traffic over several instances and delayed ratings. */
class RolloutRun {
  private readonly random: Random;

  private readonly rollout = Rollout.fromPartial({
    name: 'bench',
    model: 'review',
    baselineVersion: 'v1',
    candidateVersion: 'v2',
    steps: [1, 5, 25, 50, 100],
    phase: RolloutPhase.RUNNING,
    minRatingsPerStep: 20,
    qualityMargin: MARGINS.quality,
  });

  private readonly recorders: VersionStatsRecorder[];

  private readonly table = new VersionStatsTable();

  /** Delayed ratings by the second in which they arrive. */
  private readonly ratings = new Map<number, LateRating[]>();

  private readonly sessions: { arm: RolloutArm; remaining: number }[] = [];

  private exposed = 0;

  private sessionCount = 0;

  constructor(
    private readonly seed: number,
    private readonly candidate: Behaviour,
    private readonly decide: Decide,
    private readonly candidateRatedShare: number,
  ) {
    this.random = createRandom(seed);
    this.recorders = Array.from(
      { length: INSTANCES },
      (_, index) =>
        new VersionStatsRecorder({
          instance: `instance-${index}`,
          incarnation: 1,
          slowFirstTokenMs: SLOW_FIRST_TOKEN_MS,
          errorMargin: MARGINS.errors,
          latencyMargin: MARGINS.latency,
        }),
    );
    this.recorders.forEach((recorder) => recorder.setRollouts([this.rollout]));
  }

  run(): RunResult {
    let nextDecisionMs = 0;
    let pending: { dueMs: number; decision: RolloutDecision } | undefined;
    let nowMs = 0;
    for (; nowMs < MAX_RUN_MS; nowMs += 1000 / REQUESTS_PER_SECOND) {
      if (pending && nowMs >= pending.dueMs) {
        const { decision } = pending;
        if (decision.type === 'withdraw' || decision.type === 'complete') {
          return { end: decision.type, exposed: this.exposed, durationMs: nowMs };
        }
        this.apply(decision);
        pending = undefined;
      }
      if (nowMs >= nextDecisionMs) {
        nextDecisionMs = nowMs + DECISION_PERIOD_MS;
        this.recorders.forEach((recorder) => this.table.importStats(recorder.exportStats()));
        const decision = this.decide(this.rollout, this.table.sumStats(), nowMs);
        pending = { dueMs: nowMs + PROPAGATION_MS, decision };
      }
      this.deliverRatings(nowMs);
      this.answer(nowMs);
    }
    return { end: 'open', exposed: this.exposed, durationMs: nowMs };
  }

  private apply(decision: RolloutDecision): void {
    if (decision.type === 'advance') this.rollout.stepIndex += 1;
    this.rollout.hold = decision.type === 'wait' && decision.hold;
    this.recorders.forEach((recorder) => recorder.setRollouts([this.rollout]));
  }

  private drawArm(): RolloutArm {
    // Each request belongs to a random slot of 100 sessions; a finished session is replaced.
    const index = this.random.nextInt(REQUESTS_PER_SECOND);
    const session = this.sessions[index] ?? { arm: 'baseline' as const, remaining: 0 };
    if (session.remaining === 0) {
      this.sessionCount += 1;
      session.arm = assignArm(this.rollout, `${this.seed}-${this.sessionCount}`);
      session.remaining = SESSION_REQUESTS;
    }
    session.remaining -= 1;
    this.sessions[index] = session;
    return session.arm;
  }

  private answer(nowMs: number): void {
    const { random } = this;
    const arm = this.drawArm();
    const behaviour = arm === 'candidate' ? this.candidate : BASELINE;
    const version = arm === 'candidate' ? 'v2' : 'v1';
    const instance = random.nextInt(INSTANCES);
    const failed = random.next() < behaviour.errorShare;
    const firstTokenMs = (random.next() < behaviour.slowShare ? 3000 : 0) + 500 * random.next();
    this.recorders[instance]?.recordOutcome({ model: 'review', version, failed, firstTokenMs });
    if (arm === 'candidate') this.exposed += 1;
    const ratedShare = arm === 'candidate' ? this.candidateRatedShare : RATED_SHARE;
    if (random.next() >= ratedShare) return;
    const spread = (random.next() + random.next() + random.next() - 1.5) * 0.4;
    const rating = Math.min(1, Math.max(0, behaviour.rating + spread));
    const dueMs = nowMs - MEAN_RATING_DELAY_MS * Math.log(1 - random.next());
    const dueSecond = Math.ceil(dueMs / 1000);
    const due = this.ratings.get(dueSecond) ?? [];
    due.push({ instance, version, rating });
    this.ratings.set(dueSecond, due);
  }

  private deliverRatings(nowMs: number): void {
    const second = Math.floor(nowMs / 1000);
    this.ratings.get(second)?.forEach(({ instance, version, rating }) => {
      this.recorders[instance]?.recordRating({ model: 'review', version, rating });
    });
    this.ratings.delete(second);
  }
}

const POLICIES: { name: string; create: () => Decide }[] = [
  {
    name: 'sequential test',
    create: () => (rollout, stats) => decideRollout(rollout, stats),
  },
  { name: 'five-minute bake', create: createBakePolicy },
];

interface RunSettings {
  candidate: Behaviour;
  candidateRatedShare: number;
  runs: number;
  seed: number;
}

function measure(settings: RunSettings, create: () => Decide): RunResult[] {
  const { candidate, candidateRatedShare, runs, seed } = settings;
  return Array.from({ length: runs }, (_, index) =>
    new RolloutRun(seed * 100_000 + index, candidate, create(), candidateRatedShare).run(),
  );
}

function countEnds(results: RunResult[], end: RunResult['end']): string {
  return (results.filter((result) => result.end === end).length / results.length).toFixed(2);
}

function createRows(
  versions: Behaviour[],
  options: Omit<RunSettings, 'candidate'>,
): (string | number)[][] {
  return versions.flatMap((candidate) =>
    POLICIES.map(({ name, create }) => {
      const results = measure({ ...options, candidate }, create);
      const exposed = results.map((result) => result.exposed);
      const minutes = results.map((result) => result.durationMs / 60_000);
      return [
        candidate.title,
        name,
        findQuantile(exposed, 0.5),
        findQuantile(exposed, 0.9),
        Math.max(...exposed),
        countEnds(results, 'withdraw'),
        countEnds(results, 'complete'),
        countEnds(results, 'open'),
        findQuantile(minutes, 0.5).toFixed(1),
      ];
    }),
  );
}

const COLUMNS = [
  'version',
  'policy',
  'exposed, median',
  '90 %',
  'most',
  'withdrawn',
  'completed',
  'open',
  'minutes, median',
];

/** Compares exposure to bad versions and false withdrawals with a fixed bake time. */
export const rolloutScenario: Scenario = {
  summary: 'requests that a bad version answers before its withdrawal, and false withdrawals',
  run: ({ seed, quick }) => {
    const runs = quick ? QUICK_RUNS : RUNS;
    const tables = [RATED_SHARE, RAISED_CANDIDATE_SHARE].flatMap((candidateRatedShare) => {
      const options = { candidateRatedShare, runs, seed };
      const suffix = `${candidateRatedShare} of the candidate's answers rated, ${runs} runs each`;
      return [
        {
          title: `rollout: bad versions; ${suffix}`,
          columns: COLUMNS,
          rows: createRows(BAD_VERSIONS, options),
        },
        {
          title: `rollout: good versions and versions at a margin; ${suffix}`,
          columns: COLUMNS,
          rows: createRows(GOOD_VERSIONS, options),
        },
      ];
    });
    return Promise.resolve({ scenario: 'rollout', seed, quick, tables, plots: [] });
  },
};
