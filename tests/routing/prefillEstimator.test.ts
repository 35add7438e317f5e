import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { addPrefillSums, estimateNominalMs, PrefillEstimator } from '@cactusstair/routing';
import type { PrefillSums } from '@cactusstair/routing';
import { createRandom } from '@cactusstair/utils';

/** Engines of one kind: prompt tokens per millisecond at each model. */
interface EngineKind {
  name: string;
  tokensPerMs: Record<string, number>;
}

const kinds: EngineKind[] = [
  { name: 'fast', tokensPerMs: { small: 370, large: 37 } },
  { name: 'slow', tokensPerMs: { small: 147, large: 14.7 } },
  { name: 'very slow, with sizes that differ little', tokensPerMs: { small: 8, large: 5 } },
];

const timeFactors: Record<string, number> = { small: 0.3, large: 3 };

/** Largest relative error at which a time-out or a choice by the estimate is still sound. */
const MAX_ERROR = 0.35;

/** Plays answers of idle and queued engines to `estimator`. */
function playAnswers(estimator: PrefillEstimator, kind: EngineKind, count: number, seed: number) {
  const random = createRandom(seed);
  for (let index = 0; index < count; index += 1) {
    const model = random.next() < 0.5 ? 'small' : 'large';
    const tokens = Math.round(300 + 9000 * random.next());
    const queueMs = random.next() < 0.5 ? 0 : 500 * random.next();
    const ownMs = tokens / kind.tokensPerMs[model]!;
    estimator.record({
      model,
      nominalMs: estimateNominalMs(tokens, tokens, timeFactors[model]!),
      backlogMs: queueMs * (0.7 + 0.6 * random.next()),
      waitMs: queueMs + ownMs * (0.9 + 0.2 * random.next()) + 12,
    });
  }
}

function computeError(estimator: PrefillEstimator, kind: EngineKind, model: string): number {
  const tokens = 6000;
  const nominalMs = estimateNominalMs(tokens, tokens, timeFactors[model]!);
  const trueMs = tokens / kind.tokensPerMs[model]!;
  return Math.abs(estimator.estimateMs(model, nominalMs) / trueMs - 1);
}

describe('PrefillEstimator', () => {
  for (const kind of kinds) {
    it(`learns engines that are ${kind.name}`, () => {
      const estimator = new PrefillEstimator();
      playAnswers(estimator, kind, 80, 7);
      for (const model of ['small', 'large']) {
        const error = computeError(estimator, kind, model);
        assert.ok(error < MAX_ERROR, `${model}: error ${error}`);
      }
    });
  }

  it('follows engines that become slower', () => {
    const estimator = new PrefillEstimator();
    playAnswers(estimator, kinds[0]!, 200, 1);
    playAnswers(estimator, kinds[1]!, 300, 2);
    assert.ok(computeError(estimator, kinds[1]!, 'large') < MAX_ERROR);
  });

  it('estimates a model without samples from the other models of the service', () => {
    const estimator = new PrefillEstimator();
    const before = estimator.estimateMs('other', 100);
    for (let count = 0; count < 50; count += 1) {
      estimator.record({ model: 'small', nominalMs: 100, backlogMs: 0, waitMs: 810 });
    }
    assert.ok(estimator.estimateMs('other', 100) > 4 * before);
  });

  it('is not moved far by one answer', () => {
    const estimator = new PrefillEstimator();
    playAnswers(estimator, kinds[0]!, 80, 3);
    const before = estimator.estimateMs('large', 500);
    estimator.record({ model: 'large', nominalMs: 500, backlogMs: 0, waitMs: 60_000 });
    assert.ok(estimator.estimateMs('large', 500) < 1.5 * before);
  });

  it('ignores a prompt without tokens and never returns a negative or infinite time', () => {
    const estimator = new PrefillEstimator();
    estimator.record({ model: 'small', nominalMs: 0, backlogMs: 0, waitMs: 5000 });
    estimator.record({ model: 'small', nominalMs: 1e-9, backlogMs: 1e9, waitMs: 0 });
    const estimate = estimator.estimateMs('small', 100);
    assert.ok(estimate > 0 && Number.isFinite(estimate));
  });

  it('combines the samples of several instances', () => {
    const alone = new PrefillEstimator();
    const peers: Record<string, PrefillSums> = {};
    for (let seed = 10; seed < 20; seed += 1) {
      const peer = new PrefillEstimator();
      playAnswers(peer, kinds[1]!, 8, seed);
      for (const [model, sums] of Object.entries(peer.exportSums())) {
        peers[model] ??= [0, 0, 0, 0, 0];
        addPrefillSums(peers[model], sums);
      }
    }
    alone.importPeerSums(peers);
    assert.ok(computeError(alone, kinds[1]!, 'large') < MAX_ERROR);
  });
});
