import type {
  RolloutEvidence,
  StepEvidence,
  VersionStats,
  VersionStatsList,
} from '@cactusstair/protocol';

import { addTestSums, createTestSums } from './sequentialTest.js';

interface InstanceStats {
  incarnation: number;
  latest: VersionStats[];
  eventCount: number;
  /** Sums of the earlier incarnations of the instance. */
  earlier: VersionStats[];
}

function addStep(steps: StepEvidence[], added: StepEvidence): void {
  let step = steps.find((known) => known.stepIndex === added.stepIndex);
  if (!step) {
    step = {
      stepIndex: added.stepIndex,
      requests: 0,
      ratings: 0,
      quality: createTestSums(),
      errors: createTestSums(),
      latency: createTestSums(),
    };
    steps.push(step);
  }
  step.requests += added.requests;
  step.ratings += added.ratings;
  if (step.quality) addTestSums(step.quality, added.quality);
  if (step.errors) addTestSums(step.errors, added.errors);
  if (step.latency) addTestSums(step.latency, added.latency);
}

function addEvidence(
  evidence: RolloutEvidence | undefined,
  added: RolloutEvidence | undefined,
): RolloutEvidence | undefined {
  if (!added) return evidence;
  // Evidence of different rollouts of the same version must not be mixed.
  if (evidence && evidence.rollout !== added.rollout) return evidence;
  const sum = evidence ?? { rollout: added.rollout, steps: [] };
  added.steps.forEach((step) => addStep(sum.steps, step));
  return sum;
}

/** Returns the sum per model and version; the inputs stay unchanged. */
export function sumVersionStats(lists: VersionStats[][]): VersionStats[] {
  const sums = new Map<string, VersionStats>();
  lists.flat().forEach((added) => {
    const key = JSON.stringify([added.model, added.version]);
    const sum = sums.get(key);
    const evidence = addEvidence(sum?.evidence, added.evidence);
    sums.set(key, {
      model: added.model,
      version: added.version,
      requests: (sum?.requests ?? 0) + added.requests,
      errors: (sum?.errors ?? 0) + added.errors,
      ratings: (sum?.ratings ?? 0) + added.ratings,
      ratingSum: (sum?.ratingSum ?? 0) + added.ratingSum,
      ratingSquareSum: (sum?.ratingSquareSum ?? 0) + added.ratingSquareSum,
      firstTokenMsSum: (sum?.firstTokenMsSum ?? 0) + added.firstTokenMsSum,
      ...(evidence ? { evidence } : {}),
    });
  });
  return [...sums.values()];
}

/**
 * Stores the latest counters of each instance. Duplicated and out-of-order replies have no effect,
 * and the counts of an instance from before a restart stay in the sum.
 */
export class VersionStatsTable {
  private readonly instances = new Map<string, InstanceStats>();

  /** Imports a reply to GetVersionStats. */
  importStats(list: VersionStatsList): void {
    // Counts of requests and ratings never decrease within an incarnation, so a reply with no more
    // events than the latest one is a duplicate or out of order.
    const eventCount = list.stats.reduce((sum, stats) => sum + stats.requests + stats.ratings, 0);
    const known = this.instances.get(list.instance);
    if (known && known.incarnation > list.incarnation) return;
    if (known?.incarnation === list.incarnation && known.eventCount >= eventCount) return;
    const restarted = known !== undefined && known.incarnation < list.incarnation;
    this.instances.set(list.instance, {
      incarnation: list.incarnation,
      // No copy is needed because replies are not modified after decoding.
      latest: list.stats,
      eventCount,
      earlier: restarted ? sumVersionStats([known.earlier, known.latest]) : (known?.earlier ?? []),
    });
  }

  /** Returns the sums over all instances and incarnations. */
  sumStats(): VersionStats[] {
    return sumVersionStats(
      [...this.instances.values()].flatMap((entry) => [entry.earlier, entry.latest]),
    );
  }

  /** Drops the counters of a version whose rollout has ended. */
  removeVersion(model: string, version: string): void {
    const keep = (stats: VersionStats) => stats.model !== model || stats.version !== version;
    this.instances.forEach((entry) => {
      Object.assign(entry, {
        latest: entry.latest.filter(keep),
        earlier: entry.earlier.filter(keep),
      });
    });
  }
}
