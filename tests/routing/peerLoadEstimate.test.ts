import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { PeerLoadEstimate } from '@cactusstair/routing';
import { ManualClock } from '@cactusstair/utils';

const REPORT_GAP_MS = 500;
const SHORT_CALL_MS = 40;
const LONG_CALL_MS = 20_000;

describe('PeerLoadEstimate', () => {
  async function record(loads: number[]) {
    const clock = new ManualClock(1000);
    const estimate = new PeerLoadEstimate(clock);
    for (const load of loads) {
      await clock.advance(REPORT_GAP_MS);
      estimate.record(load);
    }
    return { clock, estimate };
  }

  const steady = (load: number, count = 20) => new Array<number>(count).fill(load);

  it('takes the first report as it is', async () => {
    const { estimate } = await record([3]);
    assert.deepEqual(estimate.estimate(SHORT_CALL_MS), { running: 3, unknown: 0 });
    assert.equal(new PeerLoadEstimate(new ManualClock()).estimate(SHORT_CALL_MS).running, 0);
  });

  // All instances sent their next requests to the upstream that was idle when the report was made.
  it('takes a report that is older than a call for one of a mean', async () => {
    const { estimate } = await record([...steady(4), 2]);
    const { running, unknown } = estimate.estimate(SHORT_CALL_MS);
    assert.ok(Math.abs(running - 4) < 0.1, `${running}`);
    assert.ok(unknown > 0.95 * running, `${unknown} of ${running}`);
  });

  it('believes a report that is younger than a call', async () => {
    const { estimate } = await record([...steady(4), 2]);
    const { running, unknown } = estimate.estimate(LONG_CALL_MS);
    assert.ok(Math.abs(running - 2) < 0.1, `${running}`);
    assert.ok(unknown < 0.1, `${unknown}`);
  });

  it('believes a report that arrivals do not explain', async () => {
    const { estimate } = await record([...steady(2), 60]);
    assert.ok(estimate.estimate(SHORT_CALL_MS).running > 40);
    const ended = await record([...steady(60), 0]);
    assert.ok(ended.estimate.estimate(SHORT_CALL_MS).running <= 2);
  });

  it('follows a lasting change within some seconds', async () => {
    const { estimate } = await record([...steady(3), ...steady(5, 12)]);
    assert.ok(Math.abs(estimate.estimate(SHORT_CALL_MS).running - 5) < 0.3);
  });

  it('forgets all reports of an earlier run', async () => {
    const { estimate } = await record(steady(5));
    estimate.reset();
    assert.deepEqual(estimate.estimate(SHORT_CALL_MS), { running: 0, unknown: 0 });
  });
});
