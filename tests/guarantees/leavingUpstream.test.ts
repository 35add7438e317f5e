import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { waitFor } from '@cactusstair/utils';

import { TestCluster, WAIT_MS } from './support/testCluster.js';

const MAX_START_DELAY_MS = 3000;
const OBSERVED_MS = 6000;
const INSTANCES = ['riga-a-1', 'riga-a-2'];

describe('a leaving upstream', () => {
  let test: TestCluster;

  before(async () => {
    test = await TestCluster.start({
      zones: [
        {
          name: 'riga-a',
          entries: 2,
          engines: [{ versions: ['small@1'], count: 4, options: { firstTokenMs: 5, tokenMs: 1 } }],
        },
      ],
      models: [{ name: 'small', versions: [{ version: '1' }] }],
      proxies: [{ name: 'link-3', from: '*', to: 'riga-a-engine-3' }],
      // The limit counts from the moment the platform lists the upstream as leaving, so the list's
      // own delay is minimized.
      platform: { instanceLagMs: 1 },
      seed: 19,
    });
  });

  after(() => test.close());

  /** Sends load before, during and after the limit; returns the runs that started after it. */
  const listLateStarts = async (engine: string, startLeaving: () => Promise<void>) => {
    let leavingAtMs = Infinity;
    const send = async (name: string) => {
      while (Date.now() < leavingAtMs + OBSERVED_MS) {
        const answer = await test.caller.chat(test.getCallersUrl(name), 'small', { maxTokens: 2 });
        assert.ok(answer.isComplete, JSON.stringify(answer));
      }
    };
    const senders = INSTANCES.flatMap((name) => [send(name), send(name)]);
    await waitFor(async () => (await test.listEngineRuns()).some((run) => run.engine === engine), {
      what: `load on ${engine}`,
      timeoutMs: WAIT_MS,
    });
    await startLeaving();
    leavingAtMs = Date.now();
    await Promise.all(senders);
    const runs = await test.listEngineRuns();
    const late = runs.filter((run) => (run.startedAtMs ?? 0) > leavingAtMs + MAX_START_DELAY_MS);
    assert.ok(late.some((run) => run.engine !== engine));
    return late.filter((run) => run.engine === engine);
  };

  it('gets no new requests 3 s after it announces that it is leaving', async () => {
    const late = await listLateStarts('riga-a-engine-1', () =>
      test.cluster.injectFault('riga-a-engine-1', { fault: 'leaving' }),
    );
    assert.deepEqual(late, []);
  });

  it('gets no new requests 3 s after the platform lists it as leaving', async () => {
    const late = await listLateStarts('riga-a-engine-2', () =>
      test.cluster.updateInstanceList('riga-a-engine-2', 'leaving'),
    );
    assert.deepEqual(late, []);
  });

  it('gets no new requests 3 s after its first failed probe', async () => {
    const late = await listLateStarts('riga-a-engine-3', () =>
      test.cluster.injectFault('link-3', { fault: 'cut' }),
    );
    assert.deepEqual(late, []);
  });
});
