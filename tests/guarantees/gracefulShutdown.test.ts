import assert from 'node:assert/strict';
import { randomUUID } from 'node:crypto';
import { Agent, request } from 'node:http';
import { after, before, describe, it } from 'node:test';

import { createAnswerText } from '@cactusstair/standins';
import { waitFor } from '@cactusstair/utils';

import { TestCluster, WAIT_MS } from './support/testCluster.js';

const INSTANCES = ['riga-a-1', 'riga-a-2', 'riga-a-3'];
const CALLERS = 6;
const TOKENS = 100;
const STOPPING_CODE = 2107;

describe('graceful shutdown', () => {
  let test: TestCluster;

  before(async () => {
    test = await TestCluster.start({
      zones: [
        {
          name: 'riga-a',
          entries: 3,
          engines: [{ versions: ['small@1'], count: 2, options: { firstTokenMs: 10, tokenMs: 5 } }],
          services: [{ service: 'standings', options: { callMs: 200 } }],
        },
      ],
      models: [{ name: 'small', versions: [{ version: '1' }] }],
      seed: 20,
      entrySettings: { shutdown: { unreadyMs: 1000 } },
    });
  });

  after(() => test.close());

  /** Lists the ready instances, to which the platform's load balancer would send requests. */
  const listReady = async () => {
    const states = await Promise.all(
      test.cluster.entries.map(async (entry) => {
        try {
          return (await fetch(`${entry.metrics}/readyz`)).ok ? [entry.callers] : [];
        } catch {
          return [];
        }
      }),
    );
    return states.flat();
  };

  it('interrupts no request when every instance is restarted under load', async () => {
    let done = false;
    let turn = 0;
    const send = async (call: (url: string) => Promise<void>) => {
      while (!done) {
        const ready = await listReady();
        turn += 1;
        const url = ready[turn % ready.length];
        if (url !== undefined) await call(url);
      }
    };
    const chat = async (url: string) => {
      const stream = turn % 2 === 0;
      const answer = await test.caller.chat(url, 'small', { stream, maxTokens: TOKENS });
      if (answer.code === STOPPING_CODE) return;
      assert.ok(answer.isComplete, JSON.stringify(answer));
      assert.equal(answer.text, createAnswerText(answer.requestId, TOKENS));
    };
    const record = async (url: string) => {
      const answer = await test.caller.callService(url, 'standings', { key: randomUUID() });
      assert.ok(answer.status === 200 || answer.code === STOPPING_CODE, JSON.stringify(answer));
    };
    const senders = Array.from({ length: CALLERS }, (_, index) =>
      send(index % 3 === 0 ? record : chat),
    );
    const replaceAll = async () => {
      for (const name of INSTANCES) {
        const child = test.cluster.getProcess(name);
        assert.deepEqual(await child.stop(), { code: 0, signal: null });
        await child.start();
        await test.waitForReady(name);
      }
      done = true;
    };
    await Promise.all([replaceAll(), ...senders]).finally(() => {
      done = true;
    });
    const answered = test.caller.answers.filter((answer) => answer.isComplete);
    assert.ok(answered.length > CALLERS * INSTANCES.length);
  });

  // Guards against resetting a request that is sent on a keep-alive connection just as the shutdown
  // ends.
  it('sends "connection: close" on keep-alive connections while the instance stops', async () => {
    const name = INSTANCES[0] ?? '';
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const callService = () =>
      new Promise<string | undefined>((resolve, reject) => {
        const call = request(`${test.getCallersUrl(name)}/services/none`, { agent }, (answer) => {
          answer.resume();
          answer.on('end', () => resolve(answer.headers.connection));
        });
        call.on('error', reject);
        call.end();
      });
    assert.equal(await callService(), 'keep-alive');
    const stopped = test.cluster.getProcess(name).stop();
    await waitFor(async () => (await callService()) === 'close', {
      what: 'an answer that closes its connection',
      timeoutMs: WAIT_MS,
    });
    assert.deepEqual(await stopped, { code: 0, signal: null });
    agent.destroy();
    await test.cluster.getProcess(name).start();
    await test.waitForReady(name);
  });
});
