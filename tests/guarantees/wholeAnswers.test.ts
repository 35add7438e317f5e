import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { createAnswerText } from '@cactusstair/standins';
import { waitFor } from '@cactusstair/utils';

import type { CallerAnswer } from './support/callerClient.js';
import { TestCluster, WAIT_MS } from './support/testCluster.js';

const ENGINES = ['riga-a-engine-1', 'riga-a-engine-2'];
const TOKENS = 40;
const LONG_TOKENS = 2000;

describe('an answer', () => {
  let test: TestCluster;
  let url: string;

  before(async () => {
    test = await TestCluster.start({
      zones: [
        {
          name: 'riga-a',
          engines: [{ versions: ['small@1'], count: 2, options: { firstTokenMs: 10, tokenMs: 2 } }],
        },
      ],
      models: [{ name: 'small', versions: [{ version: '1' }] }],
      proxies: [{ name: 'callers-1', from: '*', to: 'riga-a-1' }],
      seed: 16,
      entrySettings: { limits: { interTokenMs: 2000, firstTokenMs: 3000 } },
    });
    url = test.getCallersUrl('riga-a-1');
  });

  after(() => test.close());

  const injectIntoEngines = async (fault: { fault: string } & Record<string, unknown>) => {
    for (const engine of ENGINES) await test.cluster.injectFault(engine, fault);
  };

  /** Checks that an answer is complete and belongs to its request, or reports a failure. */
  const assertCompleteOrFailed = (answer: CallerAnswer, tokens: number) => {
    if (answer.isComplete) assert.equal(answer.text, createAnswerText(answer.requestId, tokens));
    else assert.ok(answer.code > 0 || answer.connectionError, JSON.stringify(answer));
  };

  it('is resumed without a gap when its stream is cut half-way', async () => {
    await injectIntoEngines({ fault: 'cutStream', afterTokens: TOKENS / 2, count: 1 });
    const answers = await Promise.all(
      Array.from({ length: 4 }, () =>
        test.caller.chat(url, 'small', { stream: true, maxTokens: TOKENS }),
      ),
    );
    await test.clearFaults(...ENGINES);
    for (const answer of answers) {
      assert.ok(answer.isComplete, JSON.stringify(answer));
      assertCompleteOrFailed(answer, TOKENS);
    }
    const runs = await test.listEngineRuns();
    assert.ok(
      runs.some((run) => run.resumeFrom > 0),
      'no run was resumed',
    );
  });

  // An event that the instance could not read was skipped, and the answer ended as complete.
  const spoiltTexts = { 'data:': 'dxta:', '"content"': '"contenx"', '"delta"': '"delxa"' };
  Object.entries(spoiltTexts).forEach(([text, replacement]) => {
    it(`is resumed without a gap when a byte of an event is spoilt (${replacement})`, async () => {
      const afterTokens = TOKENS / 2;
      await injectIntoEngines({ fault: 'spoilEvent', afterTokens, text, replacement, count: 1 });
      const answers = await Promise.all(
        [true, false, true, false].map((stream) =>
          test.caller.chat(url, 'small', { stream, maxTokens: TOKENS }),
        ),
      );
      await test.clearFaults(...ENGINES);
      for (const answer of answers) {
        assert.ok(answer.isComplete, JSON.stringify(answer));
        assertCompleteOrFailed(answer, TOKENS);
      }
    });
  });

  it('ends with an error event when every attempt is cut', async () => {
    await injectIntoEngines({ fault: 'cutStream', afterTokens: 5 });
    const answer = await test.caller.chat(url, 'small', { stream: true, maxTokens: TOKENS });
    await test.clearFaults(...ENGINES);
    assert.deepEqual([answer.isComplete, answer.code], [false, 3102], JSON.stringify(answer));
    assert.ok(createAnswerText(answer.requestId, TOKENS).startsWith(answer.text));
  });

  it('belongs to its own request when engines swap answers', async () => {
    await injectIntoEngines({ fault: 'swapAnswers' });
    const send = (stream: boolean) => test.caller.chat(url, 'small', { stream, maxTokens: TOKENS });
    const answers = await Promise.all([false, true, false, true, false, true].map(send));
    await test.clearFaults(...ENGINES);
    for (const answer of answers) assertCompleteOrFailed(answer, TOKENS);
  });

  it('is complete for a caller that reads slowly', async () => {
    await test.cluster.injectFault('callers-1', { fault: 'throttle', bytesPerSecond: 20_000 });
    const [slow, fast] = await Promise.all([
      test.caller.chat(url, 'small', { stream: true, maxTokens: 200 }),
      test.caller.chat(url, 'small', { maxTokens: TOKENS }),
    ]);
    await test.clearFaults('callers-1');
    assert.equal(slow.isComplete, true, JSON.stringify(slow));
    assert.equal(slow.text, createAnswerText(slow.requestId, 200));
    assert.equal(fast.text, createAnswerText(fast.requestId, TOKENS));
  });

  it('is cancelled at the engine when its caller disconnects', async () => {
    const disconnection = new AbortController();
    const answer = await test.caller.chat(url, 'small', {
      stream: true,
      maxTokens: LONG_TOKENS,
      signal: disconnection.signal,
      onText: (text) => {
        if (text.length > 0) disconnection.abort();
      },
    });
    assert.equal(answer.isComplete, false);
    const run = await waitFor(
      async () => {
        const [found] = await test.listEngineRuns(answer.requestId);
        return found && found.outcome !== 'running' && found;
      },
      { what: 'the run to end', timeoutMs: WAIT_MS },
    );
    assert.equal(run.outcome, 'cancelled');
    assert.ok(run.tokens < LONG_TOKENS);
  });
});
