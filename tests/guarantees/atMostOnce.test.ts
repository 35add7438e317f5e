import assert from 'node:assert/strict';
import { randomUUID } from 'node:crypto';
import { after, before, describe, it } from 'node:test';

import { waitFor } from '@cactusstair/utils';

import type { CallerAnswer } from './support/callerClient.js';
import { TestCluster, WAIT_MS } from './support/testCluster.js';

const SERVICE = 'standings';
const SERVERS = ['riga-a-standings-1', 'riga-b-standings-1'];
const SLOW_CALL_MS = 1500;

/** The fields of a claim shard object that the tests read. */
interface ClaimObject {
  value: { entries: Record<string, { owner: string; state: string; changedAtMs: number }> };
}

describe('a non-idempotent service call', () => {
  let test: TestCluster;

  before(async () => {
    test = await TestCluster.start({
      zones: [
        { name: 'riga-a', entries: 2, services: [{ service: SERVICE }] },
        { name: 'riga-b', entries: 1, services: [{ service: SERVICE }] },
      ],
      models: [],
      seed: 11,
      entrySettings: { limits: { serviceAnswerMs: 4000 } },
    });
  });

  after(() => test.close());

  const call = (instance: string, key: string, body?: string) =>
    test.caller.callService(test.getCallersUrl(instance), SERVICE, {
      key,
      ...(body === undefined ? {} : { body }),
    });

  const injectIntoServers = async (fault: { fault: string } & Record<string, unknown>) => {
    for (const server of SERVERS) await test.cluster.injectFault(server, fault);
  };

  /** Waits until `owner` has a claim in the given state that is newer than `sinceMs`. */
  const awaitClaim = (owner: string, state: 'claimed' | 'done', sinceMs: number) =>
    waitFor(
      async () => {
        const answer = await fetch(`${test.cluster.platformUrl}/v1/objects/claims`);
        const { objects } = (await answer.json()) as { objects: ClaimObject[] };
        return objects
          .flatMap(({ value }) => Object.values(value.entries))
          .some((entry) => {
            const isNew = entry.changedAtMs >= sinceMs;
            return entry.owner === owner && entry.state === state && isNew;
          });
      },
      { what: `a claim of ${owner} in state ${state}`, timeoutMs: WAIT_MS },
    );

  it('runs once when repeats reach all instances concurrently', async () => {
    const key = randomUUID();
    const instances = ['riga-a-1', 'riga-a-2', 'riga-b-1', 'riga-a-1', 'riga-a-2', 'riga-b-1'];
    const answers = await Promise.all(instances.map((instance) => call(instance, key)));
    assert.equal((await test.listServiceRuns(key)).length, 1);
    assert.deepEqual([...new Set(answers.map((answer) => answer.status))], [200]);
    assert.equal(new Set(answers.map((answer) => answer.text)).size, 1);
  });

  it('is refused with 1108 when its key is reused with a different body', async () => {
    const key = randomUUID();
    assert.equal((await call('riga-a-1', key, '{"winner":"A"}')).status, 200);
    const answer = await call('riga-b-1', key, '{"winner":"B"}');
    assert.deepEqual([answer.code, answer.ran], [1108, 'no']);
    assert.equal((await test.listServiceRuns(key)).length, 1);
  });

  it('is refused with 2105 and not run during an outage of the object API', async () => {
    const key = randomUUID();
    await test.cluster.injectFault('platform', { fault: 'outage' });
    const refused = await call('riga-a-1', key);
    await test.clearFaults('platform');
    assert.deepEqual([refused.code, refused.ran], [2105, 'no']);
    assert.equal((await test.listServiceRuns(key)).length, 0);
    const answer = await waitFor(
      async () => {
        const next = await call('riga-b-1', key);
        return next.status === 200 && next;
      },
      { what: 'a repeat after the outage', timeoutMs: WAIT_MS, intervalMs: 200 },
    );
    assert.equal(answer.replayed, false);
    assert.equal((await test.listServiceRuns(key)).length, 1);
  });

  const checkLostClaimAnswer = async (mode: string) => {
    const key = randomUUID();
    await test.cluster.injectFault('platform', {
      fault: 'loseAnswer',
      kind: 'claims',
      count: 1,
      mode,
    });
    const [first, second] = await Promise.all([call('riga-a-1', key), call('riga-b-1', key)]);
    await test.clearFaults('platform');
    const runs = await test.listServiceRuns(key);
    const answered = [first, second].filter((answer) => answer.status === 200);
    assert.ok(runs.length <= 1, `${runs.length} runs`);
    if (answered.length > 0) assert.equal(runs.length, 1);
    for (const answer of [first, second]) {
      assert.ok(answer.status === 200 || answer.code === 2105, JSON.stringify(answer));
    }
  };

  it('runs at most once when the response to its claim is lost after the write (reset)', () =>
    checkLostClaimAnswer('reset'));

  it('runs at most once when the response to its claim is lost after the write (silent)', () =>
    checkLostClaimAnswer('silent'));

  const checkLostServiceAnswer = async (mode: string) => {
    const key = randomUUID();
    await injectIntoServers({ fault: 'loseAnswer', mode });
    const first = await call('riga-a-1', key);
    await test.clearFaults(...SERVERS);
    const repeats = await Promise.all(['riga-a-1', 'riga-a-2'].map((name) => call(name, key)));
    for (const answer of [first, ...repeats]) {
      assert.deepEqual([answer.status, answer.code, answer.ran], [502, 3101, 'unknown']);
    }
    assert.equal((await test.listServiceRuns(key)).length, 1);
  };

  it('is answered with 3101, as are its repeats, when the service loses the answer (reset)', () =>
    checkLostServiceAnswer('reset'));

  it('is answered with 3101, as are its repeats, when the service loses the answer (silent)', () =>
    checkLostServiceAnswer('silent'));

  it('runs at most once when its owner is paused between claim and answer', async () => {
    const key = randomUUID();
    await injectIntoServers({ fault: 'slow', delayMs: SLOW_CALL_MS });
    const sinceMs = Date.now();
    const first = call('riga-a-2', key);
    await awaitClaim('riga-a-2', 'claimed', sinceMs);
    const owner = test.cluster.getProcess('riga-a-2');
    owner.pause();
    const repeat = await call('riga-b-1', key);
    owner.resume();
    const answer = await first;
    await test.clearFaults(...SERVERS);
    assert.deepEqual([repeat.code, repeat.ran], [3101, 'unknown']);
    assert.ok(answer.status === 200 || answer.code === 3101, JSON.stringify(answer));
    const later = await call('riga-a-1', key);
    assert.deepEqual([later.status, later.code], [answer.status, answer.code]);
    assert.ok((await test.listServiceRuns(key)).length <= 1);
  });

  it('runs at most once when the instance that owns its claim is killed', async () => {
    const key = randomUUID();
    await injectIntoServers({ fault: 'slow', delayMs: SLOW_CALL_MS });
    const sinceMs = Date.now();
    const first = call('riga-a-2', key);
    await awaitClaim('riga-a-2', 'claimed', sinceMs);
    await test.cluster.getProcess('riga-a-2').kill();
    const repeats: CallerAnswer[] = [];
    for (const name of ['riga-a-1', 'riga-b-1']) repeats.push(await call(name, key));
    await test.clearFaults(...SERVERS);
    assert.equal((await first).status, 0);
    for (const repeat of repeats) {
      assert.deepEqual([repeat.code, repeat.ran], [3101, 'unknown'], JSON.stringify(repeat));
    }
    await test.cluster.getProcess('riga-a-2').start();
    await test.waitForReady('riga-a-2');
    assert.equal((await call('riga-a-2', key)).code, 3101);
    assert.ok((await test.listServiceRuns(key)).length <= 1);
  });

  it('returns the stored answer when its owner is killed after storing the answer', async () => {
    const key = randomUUID();
    const sinceMs = Date.now();
    const first = await call('riga-a-2', key);
    await awaitClaim('riga-a-2', 'done', sinceMs);
    await test.cluster.getProcess('riga-a-2').kill();
    const repeat = await call('riga-b-1', key);
    assert.equal(first.status, 200);
    assert.deepEqual([repeat.status, repeat.text, repeat.replayed], [200, first.text, true]);
    assert.equal((await test.listServiceRuns(key)).length, 1);
    await test.cluster.getProcess('riga-a-2').start();
    await test.waitForReady('riga-a-2');
  });
});
