import type { EvidenceSums, RolloutOrder, RolloutProgress, WriteOutcome } from '@cactusstair/relay';
import {
  addLoadedPace,
  createEvidence,
  formatVersionKey,
  RolloutController,
  RolloutRouter,
} from '@cactusstair/relay';
import { ManualClock } from '@cactusstair/utils';

/** The order that the rollout tests start from. */
export const order: RolloutOrder = {
  service: 'app',
  targetVersion: 'v2',
  durationMs: 24_000,
  step: 0,
};

/** Adds the paces of streams, of which each second one takes `factor` times as long. */
export function addStreams(sums: EvidenceSums, count: number, factor: number): void {
  for (let stream = 0; stream < count; stream += 1) {
    addLoadedPace(sums, 'small', 4 + (stream % 5), 30 * (stream % 2 === 0 ? 1 : factor));
  }
}

/** Creates the evidence of answers of which some are bad. */
export function createEvidenceOf(answers: number, bad: number, latencyMs = 100): EvidenceSums {
  const timed = answers - bad;
  return { answers, bad, timed, latencySumMs: timed * latencyMs };
}

/** Creates a controller with the evidence of two versions, and a store that keeps its steps. */
export function createController(rank = 0) {
  const clock = new ManualClock(10_000);
  const router = new RolloutRouter({ clock, sessionTtlMs: 5000, canaryShare: 0.15 });
  const target = createEvidence();
  const others = createEvidenceOf(100, 1);
  addStreams(others, 60, 1);
  const stored: RolloutProgress[] = [];
  let oldCalls = 3;
  let revision = 1;
  const apply = (progress: Partial<RolloutOrder>) => {
    revision += 1;
    const value = { ...order, ...progress };
    router.applyChange({ name: 'app', revision, value, isDeleted: false });
  };
  const controller = new RolloutController({
    clock,
    router,
    listEvidence: () => [
      {
        [formatVersionKey('app', 'v1')]: { ...others },
        [formatVersionKey('app', 'v2')]: { ...target },
      },
    ],
    countOldVersionCalls: () => oldCalls,
    getRank: () => rank,
    storeProgress: (_tracked, progress): Promise<WriteOutcome> => {
      stored.push(progress);
      apply(progress);
      return Promise.resolve('written');
    },
  });
  apply({});
  const runFor = async (durationMs: number) => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 200) {
      for (const tracked of router.listOrders()) await controller.check(tracked);
      await clock.advance(200);
    }
  };
  const setOldCalls = (count: number) => (oldCalls = count);
  return { runFor, stored, target, setOldCalls, router, clock, apply };
}
