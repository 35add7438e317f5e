import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { createAnswerText } from '@cactusstair/standins';
import { waitFor } from '@cactusstair/utils';

import type { CallerAnswer } from './support/callerClient.js';
import { TestCluster, WAIT_MS } from './support/testCluster.js';

const INSTANCES = ['riga-a-1', 'riga-a-2', 'riga-b-1'];
const ENGINES = [1, 2, 3, 4].map((number) => `riga-a-engine-${number}`);
const CRASHING_PROMPT = 'Draw the ladder. CRASH-ENGINE';
const CONCURRENT_ANSWER_TOKENS = 150;
const QUARANTINED_CODE = 1110;

describe('a request that crashes every engine that runs it', () => {
  let test: TestCluster;
  /** Answers of the requests that are in flight during the crashes. */
  let concurrentAnswers: Promise<CallerAnswer>[] = [];

  before(async () => {
    test = await TestCluster.start({
      zones: [
        {
          name: 'riga-a',
          entries: 2,
          engines: [{ versions: ['small@1'], count: 4, options: { firstTokenMs: 10, tokenMs: 4 } }],
        },
        { name: 'riga-b', entries: 1 },
      ],
      models: [{ name: 'small', versions: [{ version: '1' }] }],
      seed: 17,
    });
    for (const engine of ENGINES) {
      await test.cluster.injectFault(engine, { fault: 'crashOnMarker', downMs: 300 });
    }
  });

  after(() => test.close());

  it('is refused with 1110 by every instance and then crashes no more engines', async () => {
    concurrentAnswers = INSTANCES.flatMap((name) =>
      Array.from({ length: 4 }, () =>
        test.caller.chat(test.getCallersUrl(name), 'small', {
          stream: true,
          maxTokens: CONCURRENT_ANSWER_TOKENS,
        }),
      ),
    );
    const send = (name: string) =>
      test.caller.chat(test.getCallersUrl(name), 'small', { prompt: CRASHING_PROMPT });
    let turn = 0;
    // Each repeat goes through a different instance.
    await waitFor(
      async () => {
        turn += 1;
        return (await send(INSTANCES[turn % INSTANCES.length] ?? '')).code === QUARANTINED_CODE;
      },
      { what: 'the request to be refused with 1110', timeoutMs: WAIT_MS, intervalMs: 100 },
    );
    for (const name of INSTANCES) {
      await waitFor(async () => (await send(name)).code === QUARANTINED_CODE, {
        what: `${name} to refuse the request`,
        timeoutMs: WAIT_MS,
        intervalMs: 100,
      });
    }
    const countCrashes = async () =>
      (await test.listEngineRuns()).filter((run) => run.outcome === 'crashed').length;
    const crashes = await countCrashes();
    for (const name of INSTANCES) {
      const answer = await send(name);
      assert.deepEqual([answer.code, answer.ran], [QUARANTINED_CODE, 'no']);
    }
    assert.equal(await countCrashes(), crashes, 'a refused request crashed an engine');
  });

  it('does not affect the answers of concurrent requests', async () => {
    const answers = await Promise.all(concurrentAnswers);
    assert.ok(answers.length > 0);
    for (const answer of answers) {
      assert.ok(answer.isComplete, JSON.stringify(answer));
      assert.equal(answer.text, createAnswerText(answer.requestId, CONCURRENT_ANSWER_TOKENS));
    }
  });
});
