import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { EventOrder } from '@cactusstair/relay';

/** Bytes of an event that differ from those of all others. */
let eventCount = 0;
function createBytes(): Buffer {
  eventCount += 1;
  return Buffer.from(`data: piece ${eventCount}\n\n`);
}

/** Records the ids of a first run; returns whether it could be resumed after each. */
function recordAll(ids: readonly (string | undefined)[], order = new EventOrder()): boolean[] {
  return ids.map((id) => {
    assert.equal(order.record(id, createBytes()), 'new');
    return order.canResume;
  });
}

describe('EventOrder', () => {
  it('can be resumed before the first event and after each that fits', () => {
    assert.equal(new EventOrder().canResume, true);
    assert.deepEqual(recordAll(['1', '2', '3']), [true, true, true]);
    assert.deepEqual(recordAll(['7', '8'], new EventOrder('6')), [true, true]);
  });

  it('cannot be resumed after a first id that is not the expected one until the next fits', () => {
    assert.deepEqual(recordAll(['7', '8']), [false, true]);
    assert.deepEqual(recordAll(['1', '2'], new EventOrder('6')), [false, true]);
  });

  it('cannot be resumed after a spoilt first id until two of those that follow fit', () => {
    assert.deepEqual(recordAll(['9', '2', '3']), [false, false, true]);
    assert.deepEqual(recordAll(['0', '2', '3']), [false, false, true]);
    assert.deepEqual(recordAll(['2', '2', '3']), [false, false, true]);
  });

  ['32', '2', 'x', '', '1e1', undefined].forEach((spoilt) => {
    it(`cannot be resumed after a spoilt id (${spoilt}), but after those that follow`, () => {
      const ids = ['10', '11', spoilt, '13', '14'];
      assert.deepEqual(recordAll(ids, new EventOrder('9')), [true, true, false, true, true]);
    });
  });

  it('cannot be resumed after a spoilt first id until two follow each other', () => {
    assert.deepEqual(recordAll(['x', '2', '3']), [false, false, true]);
  });

  it('drops an event that is the one before once more, and no other', () => {
    const order = new EventOrder();
    const bytes = createBytes();
    const kinds = [bytes, bytes, createBytes()].map((next) => order.record('1', next));
    assert.deepEqual(kinds, ['new', 'repeated', 'new']);
  });

  it('passes on equal events that have no id', () => {
    const order = new EventOrder();
    const bytes = createBytes();
    assert.deepEqual(
      [order.record(undefined, bytes), order.record(undefined, bytes)],
      ['new', 'new'],
    );
  });

  it('accepts ids that rise by more than one', () => {
    assert.deepEqual(recordAll(['5', '10', '15']), [false, false, true]);
  });

  describe('in a run that goes on', () => {
    function createOrder(ids: readonly string[]): EventOrder {
      const order = new EventOrder();
      recordAll(ids, order);
      return order;
    }

    it('drops repeated events and takes those that follow', () => {
      const order = createOrder(['1', '2', '3']);
      const kinds = ['2', '3', '4', '5'].map((id) => order.recordResumed(id, createBytes()));
      assert.deepEqual(kinds, ['repeated', 'repeated', 'new', 'new']);
    });

    // A last event whose id was spoilt was dropped as a repeat of an earlier one.
    it('cannot end after an event that only looks like a repeat', () => {
      const order = createOrder(['1', '2', '3']);
      order.startResumedRun();
      assert.equal(order.canEnd, true);
      assert.equal(order.recordResumed('3', createBytes()), 'repeated');
      assert.equal(order.canEnd, false);
      assert.equal(order.recordResumed('4', createBytes()), 'new');
      assert.equal(order.canEnd, true);
    });

    it('can end after the last event once more', () => {
      const order = createOrder(['1', '2']);
      const bytes = createBytes();
      order.record('3', bytes);
      order.startResumedRun();
      assert.equal(order.recordResumed('3', bytes), 'repeated');
      assert.equal(order.canEnd, true);
    });

    it('takes no gap after an event that only looks like a repeat, but a further run may', () => {
      const order = createOrder(['5', '10', '15']);
      order.startResumedRun();
      assert.equal(order.recordResumed('10', createBytes()), 'repeated');
      assert.equal(order.recordResumed('25', createBytes()), 'out_of_order');
      order.startResumedRun();
      assert.equal(order.recordResumed('20', createBytes()), 'new');
    });

    ['5', 'x', undefined].forEach((id) => {
      it(`takes no event that does not follow (${id})`, () => {
        assert.equal(createOrder(['1', '2', '3']).recordResumed(id, createBytes()), 'out_of_order');
      });
    });

    it('takes events that follow with a gap where the first run had gaps', () => {
      const order = createOrder(['5', '10', '15']);
      assert.equal(order.recordResumed('20', createBytes()), 'new');
    });
  });
});
