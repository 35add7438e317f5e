import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { waitFor } from '@cactusstair/utils';

import { TestCluster, WAIT_MS } from './support/testCluster.js';

describe('change status in the first seconds of an instance', () => {
  let test: TestCluster;

  before(async () => {
    test = await TestCluster.start({
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
    // Blocks the peers before riga-b sends its first zone summary, which an instance creates about
    // five seconds after its start.
    for (const name of ['peers-riga-a-1', 'peers-riga-b-1']) {
      await test.cluster.injectFault(name, { fault: 'blackhole' });
    }
  });

  after(() => test.close());

  // Guards against ignoring a zone without a summary, which reported the change as in force
  // everywhere.
  it('waits for a zone that has not sent a summary yet', async () => {
    const operator = test.getOperator('riga-a-1');
    const change = await operator.withdrawVersion('small', '1');
    const status = await operator.getChange(change);
    assert.equal(status.inForceEverywhere, false);
    const zone = status.zones.find((each) => each.zone === 'riga-b');
    assert.deepEqual(zone?.waitingFor, ['riga-b-1']);
    await test.clearFaults('peers-riga-a-1', 'peers-riga-b-1');
    await waitFor(async () => (await operator.getChange(change)).inForceEverywhere, {
      what: 'the change to be in force after the zones have exchanged summaries',
      timeoutMs: WAIT_MS,
      intervalMs: 100,
    });
  });
});
