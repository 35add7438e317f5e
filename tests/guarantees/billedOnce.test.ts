import assert from 'node:assert/strict';
import { randomUUID } from 'node:crypto';
import { after, before, describe, it } from 'node:test';

import type { Bill } from '@cactusstair/protocol';
import { waitFor } from '@cactusstair/utils';

import type { CallerAnswer } from './support/callerClient.js';
import { TestCluster, WAIT_MS } from './support/testCluster.js';

const REQUESTS = 12;
const FLUSH_ATTEMPTS = 4;
const CASCADE_REQUESTS = 20;
/** Rated answers after which the cascade trusts the small model with a first attempt. */
const RATED_REQUESTS = 40;
const MAX_CASCADE_ROUNDS = 5;
// After a kill, the peers first have to declare the instance lost and then store their copies of
// its bills.
const ADOPTION_TIMEOUT_MS = 90_000;

describe('the bill of an answered request', () => {
  let test: TestCluster;

  before(async () => {
    test = await TestCluster.start({
      zones: [
        {
          name: 'riga-a',
          entries: 2,
          engines: [
            { versions: ['small@1', 'large@1'], options: { firstTokenMs: 10, tokenMs: 2 } },
          ],
        },
        { name: 'riga-b', entries: 1 },
      ],
      models: [
        { name: 'small', versions: [{ version: '1', quality: 0.62 }] },
        {
          name: 'large',
          versions: [{ version: '1', quality: 0.95, promptMicros: 1000, completionMicros: 4000 }],
        },
      ],
      cascades: [
        {
          workspace: 'ladders',
          name: 'auto',
          rungs: ['small', 'large'],
          qualityTarget: 0.6,
          targetShare: 0.8,
        },
      ],
      seed: 12,
      entrySettings: { ratings: { sampleShare: 1 } },
    });
  });

  after(() => test.close());

  const chat = (instance: string, model: string, requestId?: string) =>
    test.caller.chat(test.getCallersUrl(instance), model, {
      ...(requestId === undefined ? {} : { requestId }),
    });

  const chatMany = (instance: string, model: string, count: number) =>
    Promise.all(Array.from({ length: count }, () => chat(instance, model)));

  /** Waits until every answer has a bill, then checks that it has only one and that costs match. */
  const awaitBills = async (answers: CallerAnswer[], timeoutMs = WAIT_MS): Promise<Bill[]> => {
    const ids = new Set(answers.map(({ requestId }) => requestId));
    const exportBills = async () =>
      (await test.getOperator('riga-b-1').exportBills()).filter((bill) => ids.has(bill.requestId));
    await waitFor(
      async () => {
        const billed = new Set((await exportBills()).map(({ requestId }) => requestId));
        return billed.size === ids.size;
      },
      { what: `the bills of ${ids.size} requests`, timeoutMs, intervalMs: 200 },
    );
    const bills = await exportBills();
    assert.equal(bills.length, ids.size, 'a request has more than one bill');
    for (const answer of answers) {
      const bill = bills.find(({ requestId }) => requestId === answer.requestId);
      assert.equal(bill?.costMicros, answer.costMicros, `bill of ${answer.requestId}`);
      assert.deepEqual([bill?.model, bill?.version], [answer.model, answer.version]);
    }
    return bills;
  };

  const assertComplete = (answers: CallerAnswer[]) => {
    for (const answer of answers) {
      assert.ok(answer.isComplete && (answer.costMicros ?? 0) > 0, JSON.stringify(answer));
    }
  };

  it('exists once when the responses to bill writes are lost', async () => {
    await test.cluster.injectFault('platform', { fault: 'loseAnswer', kind: 'bill', count: 4 });
    const answers = await Promise.all(
      ['riga-a-1', 'riga-b-1'].map((name) => chatMany(name, 'small', REQUESTS)),
    );
    assertComplete(answers.flat());
    await awaitBills(answers.flat());
    await test.clearFaults('platform');
  });

  it('exists once when a request id is sent to two instances concurrently', async () => {
    const requestId = randomUUID();
    const answers = await Promise.all(
      ['riga-a-1', 'riga-b-1'].map((name) => chat(name, 'small', requestId)),
    );
    assertComplete(answers);
    await awaitBills(answers);
    // The later flush of the two instances must not add a second bill.
    const later = await chatMany('riga-a-1', 'small', 1);
    await awaitBills(later);
    await awaitBills(answers);
  });

  it('contains all steps when the cascade escalates', async () => {
    // Without ratings of the small model, the cascade starts at the large one.
    assertComplete(await chatMany('riga-a-1', 'small', RATED_REQUESTS));
    let escalated: Bill[] = [];
    for (let round = 0; round < MAX_CASCADE_ROUNDS && escalated.length === 0; round += 1) {
      const answers: CallerAnswer[] = [];
      for (let index = 0; index < CASCADE_REQUESTS; index += 1) {
        answers.push(await chat('riga-a-1', 'auto'));
      }
      assertComplete(answers);
      const bills = await awaitBills(answers);
      escalated = bills.filter(({ steps }) => steps.length > 1);
    }
    assert.ok(escalated.length > 0, 'no request escalated');
    for (const { steps, costMicros } of escalated) {
      assert.equal(
        steps.reduce((sum, step) => sum + step.costMicros, 0),
        costMicros,
      );
    }
  });

  it('survives an object API outage that fails several flushes', async () => {
    const countWrites = async () => {
      const calls = await fetch(`${test.cluster.platformUrl}/v1/calls`);
      return ((await calls.json()) as { writes: number }).writes;
    };
    await test.cluster.injectFault('platform', { fault: 'outage' });
    const writesBefore = await countWrites();
    const answers = await chatMany('riga-a-1', 'small', REQUESTS);
    assertComplete(answers);
    await waitFor(async () => (await countWrites()) >= writesBefore + FLUSH_ATTEMPTS, {
      what: `${FLUSH_ATTEMPTS} failed writes`,
      timeoutMs: WAIT_MS,
      intervalMs: 100,
    });
    await test.clearFaults('platform');
    await awaitBills(answers);
  });

  it('exists once when its instance is killed right after the last byte', async () => {
    const answers = await chatMany('riga-a-2', 'small', REQUESTS);
    await test.cluster.getProcess('riga-a-2').kill();
    assertComplete(answers);
    await awaitBills(answers, ADOPTION_TIMEOUT_MS);
    await test.cluster.getProcess('riga-a-2').start();
    await test.waitForReady('riga-a-2');
  });
});
