import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';

import { ZoneEvacuations } from '@cactusstair/relay';
import { ManualClock } from '@cactusstair/utils';

/** Operators have written their orders again within this time. */
const SETTLE_MS = 10_000;

describe('evacuations after a restore of the store', () => {
  const item = { name: 'zone-2', revision: 1, value: { zone: 'zone-2' } };
  let clock: ManualClock;
  let events: string[];
  let evacuations: ZoneEvacuations;

  beforeEach(() => {
    clock = new ManualClock();
    events = [];
    evacuations = new ZoneEvacuations({
      clock,
      isFollowed: true,
      onEvent: (state, zone) => events.push(`${zone} ${state}`),
    });
    evacuations.applySnapshot([item]);
  });

  // The upstreams of the zone would get requests until the operator has written the order again.
  it('keeps a zone evacuated whose order the copy lacks', async () => {
    evacuations.startRestore();
    evacuations.applySnapshot([]);
    await clock.advance(SETTLE_MS - 1);
    assert.equal(evacuations.isEvacuated('zone-2'), true);
    evacuations.applyChange({ ...item, isDeleted: false });
    await clock.advance(SETTLE_MS);
    assert.equal(evacuations.isEvacuated('zone-2'), true);
    assert.deepEqual(events, ['zone-2 started']);
  });

  // An order that was taken back while the store was away would stay in force for good.
  it('ends when the order is not written again', async () => {
    evacuations.startRestore();
    evacuations.applySnapshot([]);
    await clock.advance(SETTLE_MS);
    assert.equal(evacuations.isEvacuated('zone-2'), false);
    assert.deepEqual(events, ['zone-2 started', 'zone-2 ended']);
  });

  it('ends at once when the order is taken back in the new era', () => {
    evacuations.startRestore();
    evacuations.applySnapshot([item]);
    evacuations.applyChange({ ...item, isDeleted: true });
    assert.equal(evacuations.isEvacuated('zone-2'), false);
  });

  it('has the same state as at an instance that never had the order', () => {
    evacuations.startRestore();
    evacuations.applySnapshot([]);
    const other = new ZoneEvacuations({ clock, isFollowed: true });
    other.applySnapshot([]);
    assert.equal(evacuations.formatState(), other.formatState());
  });
});
