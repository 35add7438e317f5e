import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { createAnswerText } from '@cactusstair/standins';
import { waitFor } from '@cactusstair/utils';

import type { CallerAnswer } from './support/callerClient.js';
import { TestPlace, WAIT_MS } from './support/testPlace.js';

const INSTANCES = ['riga-a-1', 'riga-a-2', 'riga-b-1'];
const ENGINES = [1, 2, 3, 4].map((number) => `riga-a-engine-${number}`);
const BAD_PROMPT = 'Draw the ladder. CRASH-ENGINE';
const INNOCENT_TOKENS = 150;
const REFUSED = 1110;

describe('a request that crashes every engine that runs it', () => {
  let test: TestPlace;
  /** Requests that are in flight beside it. */
  let innocent: Promise<CallerAnswer>[] = [];

  before(async () => {
    test = await TestPlace.start({
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
      await test.place.injectFault(engine, { fault: 'crashOnMarker', downMs: 300 });
    }
  });

  after(() => test.close());

  it('is refused with 1110 at every instance and then crashes no engine', async () => {
    innocent = INSTANCES.flatMap((name) =>
      Array.from({ length: 4 }, () =>
        test.caller.chat(test.getCallersUrl(name), 'small', {
          stream: true,
          maxTokens: INNOCENT_TOKENS,
        }),
      ),
    );
    const send = (name: string) =>
      test.caller.chat(test.getCallersUrl(name), 'small', { prompt: BAD_PROMPT });
    let turn = 0;
    // The caller sends it again through another instance each time.
    await waitFor(
      async () => {
        turn += 1;
        return (await send(INSTANCES[turn % INSTANCES.length] ?? '')).code === REFUSED;
      },
      { what: 'the request to be refused with 1110', timeoutMs: WAIT_MS, intervalMs: 100 },
    );
    for (const name of INSTANCES) {
      await waitFor(async () => (await send(name)).code === REFUSED, {
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
      assert.deepEqual([answer.code, answer.ran], [REFUSED, 'no']);
    }
    assert.equal(await countCrashes(), crashes, 'a refused request crashed an engine');
  });

  it('leaves the requests in flight beside it with whole answers', async () => {
    const answers = await Promise.all(innocent);
    assert.ok(answers.length > 0);
    for (const answer of answers) {
      assert.ok(answer.whole, JSON.stringify(answer));
      assert.equal(answer.text, createAnswerText(answer.requestId, INNOCENT_TOKENS));
    }
  });
});
