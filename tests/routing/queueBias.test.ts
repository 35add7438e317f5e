import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { QueueBias } from '@cactusstair/routing';

describe('QueueBias', () => {
  it('learns what waits in a zone exceed the expectation by, apart from other zones', () => {
    const bias = new QueueBias();
    for (let count = 0; count < 100; count += 1) {
      bias.record('far', 500, 200);
      bias.record('near', 210, 200);
    }
    assert.ok(Math.abs(bias.getMs('far') - 300) < 30);
    assert.ok(bias.getMs('near') < 15);
    assert.equal(bias.getMs('unknown'), 0);
  });

  it('forgets a bias that is gone, and is never negative', () => {
    const bias = new QueueBias();
    for (let count = 0; count < 100; count += 1) bias.record('far', 500, 200);
    for (let count = 0; count < 100; count += 1) bias.record('far', 100, 200);
    assert.equal(bias.getMs('far'), 0);
  });

  it('is not moved far by one wait', () => {
    const bias = new QueueBias();
    for (let count = 0; count < 30; count += 1) bias.record('far', 200, 200);
    bias.record('far', 1e9, 0);
    assert.ok(bias.getMs('far') <= 100);
  });
});
