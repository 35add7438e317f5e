import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { WorkAverage } from '@cactusstair/routing';

describe('WorkAverage', () => {
  it('takes each request as large before it knows any', () => {
    assert.equal(new WorkAverage().isLarge(0), true);
  });

  it('tells large requests from small ones by their average', () => {
    const average = new WorkAverage();
    for (let count = 0; count < 300; count += 1) average.record(count % 2 === 0 ? 10 : 100);
    assert.equal(average.isLarge(10), false);
    assert.equal(average.isLarge(100), true);
  });
});
