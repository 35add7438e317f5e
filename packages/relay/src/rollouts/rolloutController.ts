import type { PaceVerdict } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import type { WriteOutcome } from '../follow/changeSource.js';
import type { RolloutRouter, TrackedOrder } from './rolloutRouter.js';
import { formatVersionKey } from './rolloutRouter.js';
import type { RolloutProgress } from './rolloutOrder.js';
import { FIRST_STEP_TIME, LAST_STEP, LAST_STEP_TIME } from './rolloutOrder.js';
import type { EvidenceSums } from './versionEvidence.js';
import {
  addEvidence,
  createEvidence,
  describeBadVersion,
  judgeVersionPace,
  subtractEvidence,
} from './versionEvidence.js';

/** Options of `RolloutController`. */
export interface RolloutControllerOptions {
  clock: Clock;
  router: RolloutRouter;
  /** Evidence of all instances, this one included, by `formatVersionKey`. */
  listEvidence: () => Record<string, EvidenceSums>[];
  /** Counts the requests of all instances that run on versions other than the target. */
  countOldVersionCalls: (service: string, targetVersion: string) => number;
  /** Returns the rank of this instance among the live ones; the one of rank 0 acts first. */
  getRank: () => number;
  /** Stores progress if the order has not changed. */
  storeProgress: (tracked: TrackedOrder, progress: RolloutProgress) => Promise<WriteOutcome>;
  onEvent?: (event: string, fields: Record<string, unknown>) => void;
}

const CHECK_INTERVAL_MS = 200;
/** Delay per rank before an instance takes a due step, so that lower ranks act first. */
const RANK_DELAY_MS = 600;
/**
 * Minimum duration of a step. A version that fails only under more load shows it in the second
 * step.
 */
const MIN_STEP_MS = 2000;
// Fraction of the duration after which a rollout completes even if the old version still has
// requests. Old upstreams stop without draining at the completion, so their streams need time to
// end.
const LATEST_COMPLETION = 0.86;
const EVIDENCE_WINDOW_MS = 3000;

/** The next step of an order and what speaks for it. */
interface Decision {
  progress: RolloutProgress;
  reason: string;
  pace: PaceVerdict;
}

/** The target version against the others; `regression` says why the target is worse. */
interface Comparison {
  regression: string | undefined;
  pace: PaceVerdict;
}

interface Sample {
  atMs: number;
  target: EvidenceSums;
  baseline: EvidenceSums;
}

/** Advances all rollouts; any instance can take the next step. */
export class RolloutController {
  private readonly samples = new Map<string, Sample[]>();

  private readonly dueSinceMs = new Map<string, number>();

  constructor(private readonly options: RolloutControllerOptions) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(CHECK_INTERVAL_MS, signal);
      for (const tracked of this.options.router.listOrders()) {
        if (signal.aborted) return;
        await this.check(tracked);
      }
    }
  }

  /** Decides and stores the next step of one order, if one is due. */
  async check(tracked: TrackedOrder): Promise<void> {
    const next = restoreProgress(tracked) ?? this.decide(tracked);
    const key = `${tracked.name} ${tracked.revision}`;
    if (!next) {
      this.dueSinceMs.delete(key);
      return;
    }
    const nowMs = this.options.clock.monotonicMs();
    const dueSinceMs = this.dueSinceMs.get(key) ?? nowMs;
    this.dueSinceMs.set(key, dueSinceMs);
    if (nowMs - dueSinceMs < this.options.getRank() * RANK_DELAY_MS) return;
    // The store has no such order, or one of which the revision is not known.
    if (tracked.isUnconfirmed) return;
    const outcome = await this.options.storeProgress(tracked, next.progress);
    if (outcome === 'written') tracked.lostProgress = undefined;
    this.options.onEvent?.('rollout_step', {
      service: tracked.order.service,
      ...next.progress,
      reason: next.reason,
      paceRatio: Number(next.pace.ratio.toFixed(2)),
      pacedAnswers: next.pace.answers,
      outcome,
    });
  }

  private decide(tracked: TrackedOrder): Decision | undefined {
    const { order } = tracked;
    if (order.state === 'completed' || order.state === 'rolled_back') return undefined;
    const { clock } = this.options;
    const nowMs = clock.monotonicMs();
    const progress: RolloutProgress = {
      targetVersion: order.targetVersion,
      state: 'running',
      step: order.step,
      startedAtWallMs: order.startedAtWallMs ?? Math.round(clock.wallMs()),
    };
    const comparison = this.compareVersions(tracked, nowMs);
    const { pace } = comparison;
    if (comparison.regression !== undefined) {
      tracked.blockedAtStep = order.step;
      const rolledBack = { ...progress, state: 'rolled_back' as const };
      return { progress: rolledBack, reason: comparison.regression, pace };
    }
    releaseTarget(tracked);
    if (order.state === undefined) {
      return { progress: { ...progress, step: 1 }, reason: 'a new order', pace };
    }
    const elapsedMs = nowMs - tracked.seenAtMs;
    const stepMs = nowMs - tracked.stepSeenAtMs;
    if (order.step < LAST_STEP) {
      const isDue = elapsedMs >= FIRST_STEP_TIME * order.durationMs && stepMs >= MIN_STEP_MS;
      const isUncertain = order.step === LAST_STEP - 1 && pace.verdict === 'not_yet';
      const isLate = elapsedMs >= LAST_STEP_TIME * order.durationMs;
      if (!isDue || (isUncertain && !isLate)) return undefined;
      const reason = isUncertain
        ? 'too little is known, but time is short'
        : 'no regression was found';
      return { progress: { ...progress, step: order.step + 1 }, reason, pace };
    }
    const isEmpty =
      stepMs >= MIN_STEP_MS &&
      this.options.countOldVersionCalls(order.service, order.targetVersion) === 0;
    if (!isEmpty && elapsedMs < LATEST_COMPLETION * order.durationMs) return undefined;
    return {
      progress: { ...progress, state: 'completed' },
      reason: isEmpty ? 'the old version is idle' : 'the time limit is near',
      pace,
    };
  }

  /** Compares the versions over the whole rollout and over the recent window. */
  private compareVersions(tracked: TrackedOrder, nowMs: number): Comparison {
    const { target, baseline } = this.sumEvidence(tracked);
    const key = `${tracked.name} ${tracked.order.targetVersion}`;
    const samples = this.samples.get(key) ?? [];
    this.samples.set(key, samples);
    samples.push({ atMs: nowMs, target, baseline });
    while (samples.length > 1 && nowMs - samples[1]!.atMs >= EVIDENCE_WINDOW_MS) samples.shift();
    const [first] = samples as [Sample];
    const pace = judgeVersionPace(target, baseline);
    const regression =
      describeBadVersion(target, baseline) ??
      describeBadVersion(
        subtractEvidence(target, first.target),
        subtractEvidence(baseline, first.baseline),
      );
    if (regression !== undefined || pace.verdict !== 'worse') return { regression, pace };
    return { regression: describeSlowVersion(pace), pace };
  }

  /** Sums what all instances know of the target version and of the others. */
  private sumEvidence({ order }: TrackedOrder): Omit<Sample, 'atMs'> {
    const targetKey = formatVersionKey(order.service, order.targetVersion);
    const target = createEvidence();
    const baseline = createEvidence();
    for (const evidence of this.options.listEvidence()) {
      for (const [key, sums] of Object.entries(evidence)) {
        if (key === targetKey) addEvidence(target, sums);
        else if (key.startsWith(`${order.service} `)) addEvidence(baseline, sums);
      }
    }
    return { target, baseline };
  }
}

/** Returns the step that stores progress in force again after a restore of the store lost it. */
function restoreProgress({ lostProgress }: TrackedOrder): Decision | undefined {
  if (!lostProgress) return undefined;
  const pace: PaceVerdict = { verdict: 'not_yet', ratio: 1, answers: 0 };
  return { progress: lostProgress, reason: 'a restore of the store lost this step', pace };
}

/**
 * Lets the target version have requests again when the fleet has taken a further step. Without such
 * a step the missing evidence only says that the blocked version answers nothing here.
 */
function releaseTarget(tracked: TrackedOrder): void {
  const { blockedAtStep, order } = tracked;
  if (blockedAtStep !== undefined && order.step > blockedAtStep) tracked.blockedAtStep = undefined;
}

function describeSlowVersion({ ratio, answers }: PaceVerdict): string {
  return `${answers} answers are slower by a factor of ${ratio.toFixed(2)} than the other versions under this load`;
}
