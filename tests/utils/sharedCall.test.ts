import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ManualClock, SharedCall } from '@cactusstair/utils';

describe('SharedCall', () => {
  function createSubject(call: (count: number) => Promise<string>) {
    const clock = new ManualClock();
    let count = 0;
    const shared = new SharedCall({
      clock,
      maxAgeMs: 100,
      call: () => {
        count += 1;
        return call(count);
      },
    });
    return { clock, shared };
  }

  it('gives all who ask within its time the same result', async () => {
    const { clock, shared } = createSubject((count) => Promise.resolve(`text ${count}`));
    assert.deepEqual(await Promise.all([shared.get(), shared.get()]), ['text 1', 'text 1']);
    await clock.advance(99);
    assert.equal(await shared.get(), 'text 1');
    await clock.advance(1);
    assert.equal(await shared.get(), 'text 2');
  });

  it('does not run twice at the same time, however long a call takes', async () => {
    let finish: (() => void) | undefined;
    const { clock, shared } = createSubject(
      (count) =>
        new Promise((resolve) => {
          finish = () => resolve(`text ${count}`);
        }),
    );
    const first = shared.get();
    await clock.advance(1000);
    const second = shared.get();
    finish?.();
    assert.deepEqual(await Promise.all([first, second]), ['text 1', 'text 1']);
  });

  it('calls again after a failure', async () => {
    const { shared } = createSubject((count) =>
      count === 1 ? Promise.reject(new Error('not yet')) : Promise.resolve(`text ${count}`),
    );
    await assert.rejects(shared.get(), /not yet/);
    assert.equal(await shared.get(), 'text 2');
  });
});
