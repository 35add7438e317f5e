import assert from 'node:assert/strict';
import { randomUUID } from 'node:crypto';
import { after, before, describe, it } from 'node:test';

import { createAnswerText } from '@cactusstair/standins';
import { waitFor } from '@cactusstair/utils';

import { TestCluster, WAIT_MS } from './support/testCluster.js';

const REQUESTS = 6;
const TOKENS = 8;
const LINKS = ['link-engine-1', 'link-engine-2', 'link-service', 'link-platform'];

describe('when open connections permanently stop responding', () => {
  let test: TestCluster;
  let url: string;

  before(async () => {
    test = await TestCluster.start({
      zones: [
        {
          name: 'riga-a',
          engines: [{ versions: ['small@1'], count: 2, options: { firstTokenMs: 5, tokenMs: 1 } }],
          services: [{ service: 'standings' }],
        },
      ],
      models: [{ name: 'small', versions: [{ version: '1' }] }],
      proxies: [
        { name: 'link-engine-1', from: '*', to: 'riga-a-engine-1' },
        { name: 'link-engine-2', from: '*', to: 'riga-a-engine-2' },
        { name: 'link-service', from: '*', to: 'riga-a-standings-1' },
        { name: 'link-platform', from: '*', to: 'platform' },
      ],
      seed: 18,
      entrySettings: { limits: { firstTokenMs: 1000, interTokenMs: 1000, serviceAnswerMs: 2000 } },
    });
    url = test.getCallersUrl('riga-a-1');
  });

  after(() => test.close());

  const chatMany = () =>
    Promise.all(
      Array.from({ length: REQUESTS }, () =>
        test.caller.chat(url, 'small', { maxTokens: TOKENS, stream: true }),
      ),
    );

  const callService = (key: string) => test.caller.callService(url, 'standings', { key });

  const silenceConnections = async (names: string[]) => {
    for (const name of names) {
      await test.cluster.injectFault(name, { fault: 'blackhole', scope: 'existing' });
    }
  };

  it('answers every request over new connections', async () => {
    await chatMany();
    await silenceConnections(LINKS);
    const answers = await chatMany();
    const later = await chatMany();
    await test.clearFaults(...LINKS);
    for (const answer of [...answers, ...later]) {
      assert.ok(answer.isComplete, JSON.stringify(answer));
      assert.equal(answer.text, createAnswerText(answer.requestId, TOKENS));
    }
  });

  it('uses a new connection for each non-idempotent call', async () => {
    await callService(randomUUID());
    await silenceConnections(['link-service']);
    const answer = await callService(randomUUID());
    await test.clearFaults(...LINKS);
    assert.equal(answer.status, 200, JSON.stringify(answer));
  });

  it('reaches the object API over new connections and refuses claims as not run until then', async () => {
    await callService(randomUUID());
    await silenceConnections(['link-platform']);
    const key = randomUUID();
    const answer = await waitFor(
      async () => {
        const next = await callService(key);
        assert.ok(next.status === 200 || next.ran === 'no', JSON.stringify(next));
        return next.status === 200 && next;
      },
      { what: 'a claim over a new connection', timeoutMs: WAIT_MS },
    );
    await test.clearFaults(...LINKS);
    assert.equal((await test.listServiceRuns(key)).length, 1);
    assert.equal(answer.replayed, false);
  });
});
