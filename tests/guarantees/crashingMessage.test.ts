import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { systemClock, waitFor } from '@cactusstair/utils';

import { TestCluster } from './support/testCluster.js';

const INSTANCES = ['riga-a-1', 'riga-a-2'];
const ENGINES = [1, 2, 3, 4].map((number) => `riga-a-engine-${number}`);
const CRASHING_MESSAGE = 'Rules of the club. CRASH-ENGINE';
/** Crashes after which, within `CONTACT_MS`, all instances refuse requests with the message. */
const MAX_CRASHES = 5;
const CONTACT_MS = 3000;
/** Crashes by requests that are sent later than that. */
const MAX_LATE_CRASHES = 3;
const ROUNDS = 12;
const SOUND_TOKENS = 20;

describe('a message that crashes every engine, in requests that are no two alike', () => {
  let test: TestCluster;

  before(async () => {
    test = await TestCluster.start({
      zones: [
        {
          name: 'riga-a',
          entries: 2,
          engines: [{ versions: ['small@1'], count: 4, options: { firstTokenMs: 10, tokenMs: 4 } }],
        },
      ],
      models: [{ name: 'small', versions: [{ version: '1' }] }],
      seed: 24,
    });
    for (const engine of ENGINES) {
      await test.cluster.injectFault(engine, { fault: 'crashOnMarker', downMs: 200 });
    }
  });

  after(() => test.close());

  const countCrashes = async () =>
    (await test.listEngineRuns()).filter((run) => run.outcome === 'crashed').length;

  /** Sends a request with the message, and a sound one that is alike but for the message. */
  async function playRound(round: number): Promise<void> {
    const url = test.getCallersUrl(INSTANCES[round % INSTANCES.length] ?? '');
    const prompt = `Question ${round}`;
    const context = 'Rules of the club.';
    const sound = test.caller.chat(url, 'small', { context, prompt, maxTokens: SOUND_TOKENS });
    await test.caller.chat(url, 'small', { context: CRASHING_MESSAGE, prompt });
    assert.ok((await sound).isComplete, JSON.stringify(await sound));
  }

  it('stops crashing engines, while sound requests that share the rest are answered', async () => {
    let round = 0;
    for (; round < ROUNDS && (await countCrashes()) < MAX_CRASHES; round += 1) {
      await playRound(round);
    }
    const startedAtMs = systemClock.monotonicMs();
    await waitFor(() => systemClock.monotonicMs() - startedAtMs >= CONTACT_MS, {
      what: 'the instances to have told each other',
      timeoutMs: 2 * CONTACT_MS,
    });
    const crashes = await countCrashes();
    for (let late = 0; late < ROUNDS; late += 1) await playRound(round + late);
    const lateCrashes = (await countCrashes()) - crashes;
    assert.ok(lateCrashes <= MAX_LATE_CRASHES, `${lateCrashes} crashes after ${crashes}`);
  });
});
