import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { EngineEstimators } from '@cactusstair/relay';
import { ManualClock } from '@cactusstair/utils';

describe('EngineEstimators', () => {
  function createPair() {
    const clock = new ManualClock();
    return { clock, own: new EngineEstimators(clock), other: new EngineEstimators(clock) };
  }

  const getPace = (engines: EngineEstimators) =>
    engines.get('service').runTimes.getPace('large', 0.5, 50).median;

  // Older builds refuse a whole message in which a list has another length.
  it('exports run times in the form of prefill sums', () => {
    const { other } = createPair();
    other.get('service').prefill.record({ model: 'm', nominalMs: 9, backlogMs: 0, waitMs: 30 });
    other.get('service').runTimes.recordPace('large', 0.5, 400);
    const lists = Object.values(other.exportSums()).flatMap((models) => Object.values(models));
    assert.equal(lists.length, 2);
    for (const sums of lists) {
      assert.equal(sums.length, 5);
      assert.ok(sums.every((sum) => Number.isFinite(sum) && sum >= 0));
    }
  });

  it('forgets the run times of instances that no longer report', () => {
    const { own, other } = createPair();
    for (let count = 0; count < 50; count += 1) {
      other.get('service').runTimes.recordPace('large', 0.5, 400);
    }
    own.importPeerSums(other.exportSums());
    assert.ok(getPace(own) > 300, `${getPace(own)}`);
    own.importPeerSums({});
    assert.ok(getPace(own) < 60, `${getPace(own)}`);
  });

  it('sends no sums of requests from long ago', async () => {
    const { clock, other } = createPair();
    other.get('service').runTimes.recordPace('large', 0.5, 400);
    await clock.advance(60_000);
    assert.deepEqual(Object.values(other.exportSums()['service#runs']!), []);
  });
});
