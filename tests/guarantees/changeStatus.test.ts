import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { waitFor } from '@cactusstair/utils';

import { TestPlace, WAIT_MS } from './support/testPlace.js';

/** What an operator is told of a change in the first seconds of an instance. */
describe('the state of a change', () => {
  let test: TestPlace;

  before(async () => {
    test = await TestPlace.start({
      zones: [
        { name: 'riga-a', entries: 1, engines: [{ versions: ['small@1'] }] },
        { name: 'riga-b', entries: 1 },
      ],
      models: [{ name: 'small', versions: [{ version: '1' }] }],
      proxies: ['riga-a-1', 'riga-b-1'].map((name) => ({
        name: `peers-${name}`,
        from: '*',
        to: name,
        port: 'peers' as const,
      })),
      seed: 23,
    });
    // Before the first summary of riga-b, which an instance makes in its fifth second.
    for (const name of ['peers-riga-a-1', 'peers-riga-b-1']) {
      await test.place.injectFault(name, { fault: 'blackhole' });
    }
  });

  after(() => test.close());

  // A zone without a summary was left out, and the change counted as in force everywhere.
  it('names a zone that has sent no summary yet as one that it waits for', async () => {
    const operator = test.getOperator('riga-a-1');
    const change = await operator.withdrawVersion('small', '1');
    const status = await operator.getChange(change);
    assert.equal(status.inForceEverywhere, false);
    const zone = status.zones.find((each) => each.zone === 'riga-b');
    assert.deepEqual(zone?.waitingFor, ['riga-b-1']);
    await test.clearFaults('peers-riga-a-1', 'peers-riga-b-1');
    await waitFor(async () => (await operator.getChange(change)).inForceEverywhere, {
      what: 'the change to be in force once the zones have heard of each other',
      timeoutMs: WAIT_MS,
      intervalMs: 100,
    });
  });
});
