import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { waitFor } from '@cactusstair/utils';

import { TestCluster, WAIT_MS } from './support/testCluster.js';

const INSTANCES = ['riga-a-1', 'riga-a-2'];
const SENDERS_PER_INSTANCE = 2;
const LIMIT_PER_S = 2;
/** Time in which all instances have heard of a limit. */
const KNOWN_AFTER_MS = 3000;
const OBSERVED_MS = 5000;
/** The load report lags, and must not revoke what answers say. */
const LOAD_LAG_MS = 3000;
const PAUSE_S = 4;
/** Requests that are on their way when the answer arrives. */
const ON_THE_WAY = SENDERS_PER_INSTANCE * INSTANCES.length;

describe('what upstreams say about themselves, at entry instances', () => {
  let test: TestCluster;

  before(async () => {
    const options = { firstTokenMs: 5, tokenMs: 1, loadLagMs: LOAD_LAG_MS };
    test = await TestCluster.start({
      zones: [
        {
          name: 'riga-a',
          entries: INSTANCES.length,
          engines: [{ versions: ['small@1'], count: 4, options }],
        },
      ],
      models: [{ name: 'small', versions: [{ version: '1' }] }],
      seed: 27,
    });
  });

  after(() => test.close());

  /** Sends load until `untilMs` after the fault has started, and lists what the engine received. */
  async function playFault(engine: string, fault: Record<string, unknown>, forMs: number) {
    let endsAtMs = Infinity;
    const send = async (name: string) => {
      while (Date.now() < endsAtMs) {
        const answer = await test.caller.chat(test.getCallersUrl(name), 'small', { maxTokens: 2 });
        assert.ok(answer.isComplete, JSON.stringify(answer));
      }
    };
    const senders = INSTANCES.flatMap((name) =>
      Array.from({ length: SENDERS_PER_INSTANCE }, () => send(name)),
    );
    const listRuns = async () =>
      (await test.listEngineRuns()).filter((run) => run.engine === engine);
    await waitFor(async () => (await listRuns()).length > 0, {
      what: `load on ${engine}`,
      timeoutMs: WAIT_MS,
    });
    await test.cluster.injectFault(engine, fault as never);
    const startedAtMs = Date.now();
    endsAtMs = startedAtMs + forMs;
    await Promise.all(senders);
    const endedAtMs = Date.now();
    return { runs: await listRuns(), startedAtMs, endedAtMs };
  }

  it('keep an engine within the limit that it names, over all instances', async () => {
    const played = await playFault(
      'riga-a-engine-1',
      { fault: 'limit', requestsPerSecond: LIMIT_PER_S },
      KNOWN_AFTER_MS + OBSERVED_MS,
    );
    const fromMs = played.startedAtMs + KNOWN_AFTER_MS;
    const late = played.runs.filter((run) => run.receivedAtMs >= fromMs);
    const allowed = ((1.5 * (played.endedAtMs - fromMs)) / 1000) * LIMIT_PER_S + 5;
    assert.ok(late.length <= allowed, `${late.length} of ${allowed}`);
  });

  it('keep requests from an engine for as long as it asks', async () => {
    const played = await playFault(
      'riga-a-engine-2',
      { fault: 'pause', seconds: PAUSE_S },
      PAUSE_S * 1000,
    );
    const late = played.runs.filter((run) => run.receivedAtMs >= played.startedAtMs);
    assert.ok(late.length <= 2 * ON_THE_WAY, `${late.length} requests`);
  });

  it('keep requests from an engine that leaves, though its load report says nothing yet', async () => {
    const played = await playFault('riga-a-engine-3', { fault: 'leaving' }, LOAD_LAG_MS);
    const late = played.runs.filter((run) => run.receivedAtMs >= played.startedAtMs);
    assert.ok(late.length <= 2 * ON_THE_WAY, `${late.length} requests`);
  });
});
