import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import type { Change } from '@cactusstair/protocol';
import { waitFor } from '@cactusstair/utils';

import type { CallerAnswer } from './support/callerClient.js';
import { TestCluster, WAIT_MS } from './support/testCluster.js';

const SETTLED_MS = 4000;
const INSTANCES = ['riga-a-1', 'riga-a-2', 'riga-b-1'];
const MODELS = ['loaded', 'outage', 'partition'];
const CALLERS_PER_INSTANCE = 2;
// All processes share one wall clock. The allowance covers the time between the dispatch decision
// of the instance and the start that the engine records in its journal.
const DISPATCH_ALLOWANCE_MS = 500;

describe('a withdrawn version', () => {
  let test: TestCluster;

  before(async () => {
    test = await TestCluster.start({
      zones: [
        {
          name: 'riga-a',
          entries: 2,
          engines: [
            {
              versions: MODELS.map((model) => `${model}@1`),
              options: { firstTokenMs: 5, tokenMs: 1 },
            },
          ],
        },
        { name: 'riga-b', entries: 1 },
      ],
      models: MODELS.map((name) => ({ name, versions: [{ version: '1' }] })),
      proxies: [
        { name: 'platform-riga-b', from: 'riga-b', to: 'platform' },
        ...INSTANCES.map((name) => ({
          name: `peers-${name}`,
          from: '*',
          to: name,
          port: 'peers' as const,
        })),
      ],
      seed: 13,
      entrySettings: { permits: { candidateMs: 2000, settledMs: SETTLED_MS } },
    });
  });

  after(() => test.close());

  const chat = (instance: string, model: string, session?: string) =>
    test.caller.chat(test.getCallersUrl(instance), model, {
      maxTokens: 2,
      ...(session === undefined ? {} : { session }),
    });

  /** Sends requests to all instances until each has refused one after `change`, then stops. */
  const runLoad = async (model: string, run: () => Promise<Change>) => {
    // Ensures that the journals contain at least one run, which `assertNoStartAfterPermit` needs.
    assert.equal((await chat('riga-a-1', model)).status, 200);
    const answers: CallerAnswer[] = [];
    let acceptedAtMs = Infinity;
    const sendUntilRefused = async (instance: string) => {
      const giveUpAtMs = Date.now() + WAIT_MS;
      for (;;) {
        const answer = await chat(instance, model);
        answers.push(answer);
        const isPast = Date.now() > acceptedAtMs + SETTLED_MS + DISPATCH_ALLOWANCE_MS;
        if (isPast && answer.ran === 'no') return;
        assert.ok(Date.now() < giveUpAtMs, `${instance} still serves ${model}`);
      }
    };
    const senders = INSTANCES.flatMap((name) =>
      Array.from({ length: CALLERS_PER_INSTANCE }, () => sendUntilRefused(name)),
    );
    const change = await run();
    acceptedAtMs = change.acceptedAtMs;
    await Promise.all(senders);
    return { answers, change };
  };

  const assertNoStartAfterPermit = async (model: string, change: Change) => {
    const runs = (await test.listEngineRuns()).filter((run) => run.model === model);
    const latestMs = change.acceptedAtMs + SETTLED_MS + DISPATCH_ALLOWANCE_MS;
    assert.ok(runs.length > 0);
    const late = runs.filter((run) => (run.startedAtMs ?? 0) > latestMs);
    assert.deepEqual(
      late,
      [],
      `runs started after the permit expired; withdrawal accepted at ${change.acceptedAtMs}`,
    );
  };

  it('gets no new requests after its permit expires under load, and its sessions end with 1106', async () => {
    const first = await chat('riga-a-1', 'loaded');
    const operator = test.getOperator('riga-a-2');
    const { change } = await runLoad('loaded', () => operator.withdrawVersion('loaded', '1'));
    await assertNoStartAfterPermit('loaded', change);
    for (const instance of INSTANCES) {
      const answer = await chat(instance, 'loaded', first.session);
      assert.deepEqual([answer.status, answer.code, answer.ran], [410, 1106, 'no']);
    }
    const status = await waitFor(
      async () => {
        const current = await operator.getChange(change);
        return current.inForceEverywhere && current;
      },
      { what: 'the withdrawal to be in force everywhere', timeoutMs: WAIT_MS },
    );
    assert.equal(status.settledUntilMs, change.acceptedAtMs + SETTLED_MS);
  });

  it('gets no new requests after its permit expires in a partitioned zone', async () => {
    const cutOff = ['platform-riga-b', ...INSTANCES.map((name) => `peers-${name}`)];
    for (const name of cutOff) await test.cluster.injectFault(name, { fault: 'blackhole' });
    const operator = test.getOperator('riga-a-1');
    const { change, answers } = await runLoad('partition', () =>
      operator.withdrawVersion('partition', '1'),
    );
    const status = await operator.getChange(change);
    await test.clearFaults(...cutOff);
    await assertNoStartAfterPermit('partition', change);
    const codes = [...new Set(answers.map(({ code }) => code))];
    assert.ok(codes.includes(2106), `the cut-off zone cannot confirm; codes: ${codes.join()}`);
    const zone = status.zones.find((each) => each.zone === 'riga-b');
    assert.equal(status.inForceEverywhere, false);
    assert.deepEqual(zone?.waitingFor, ['riga-b-1']);
    assert.equal(status.settledUntilMs, change.acceptedAtMs + SETTLED_MS);
    await waitFor(async () => (await operator.getChange(change)).inForceEverywhere, {
      what: 'the withdrawal to be in force after the partition',
      timeoutMs: WAIT_MS,
      intervalMs: 100,
    });
  });

  it('gets no new requests after its permit expires when the object API fails after the acceptance', async () => {
    const { change } = await runLoad('outage', async () => {
      const accepted = await test.getOperator('riga-a-1').withdrawVersion('outage', '1');
      await test.cluster.injectFault('platform', { fault: 'outage' });
      return accepted;
    });
    await test.clearFaults('platform');
    await assertNoStartAfterPermit('outage', change);
  });
});
