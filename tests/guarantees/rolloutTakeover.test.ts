import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { Rollout, RolloutPhase, VersionState } from '@cactusstair/protocol';
import { waitFor } from '@cactusstair/utils';

import { TestCluster, WAIT_MS } from './support/testCluster.js';

const INSTANCES = ['riga-a-1', 'riga-a-2', 'riga-b-1'];
const CALLERS = 4;
// The next lease holder waits until the lease expires and the longest order that may still be in
// flight has timed out.
const TAKEOVER_TIMEOUT_MS = 120_000;

describe('a rollout', () => {
  let test: TestCluster;

  before(async () => {
    test = await TestCluster.start({
      zones: [
        {
          name: 'riga-a',
          entries: 2,
          engines: [
            {
              versions: ['good@1', 'good@2', 'bad@1', 'bad@2'],
              options: { firstTokenMs: 5, tokenMs: 1 },
            },
          ],
        },
        { name: 'riga-b', entries: 1 },
      ],
      models: ['good', 'bad'].map((name) => ({
        name,
        versions: [
          { version: '1', quality: 0.8 },
          { version: '2', state: 'candidate' as const, quality: name === 'bad' ? 0.2 : 0.85 },
        ],
      })),
      seed: 22,
      entrySettings: { ratings: { sampleShare: 1 } },
    });
  });

  after(() => test.close());

  const startRollout = (model: string) =>
    test.getOperator('riga-b-1').startRollout(
      Rollout.fromPartial({
        name: `${model}-2`,
        model,
        candidateVersion: '2',
        steps: [50, 100],
        minRatingsPerStep: 20,
        qualityMargin: 0.1,
      }),
    );

  const readRollout = async (model: string) => {
    const { rollout } = await test.getOperator('riga-b-1').getRollout(`${model}-2`);
    assert.ok(rollout);
    return rollout;
  };

  const readHolder = async () => {
    const answer = await fetch(`${test.cluster.platformUrl}/v1/objects/lease/rollouts`);
    const { value, version } = (await answer.json()) as {
      value: { holder: string };
      version: number;
    };
    return { holder: value.holder, version };
  };

  /** Sends load through the running instances until `check` holds. */
  const runLoadUntil = async (model: string, what: string, check: () => Promise<boolean>) => {
    let done = false;
    const send = async (index: number) => {
      for (let turn = index; !done; turn += 1) {
        const name = INSTANCES[turn % INSTANCES.length] ?? '';
        if (test.cluster.getProcess(name).isRunning) {
          await test.caller.chat(test.getCallersUrl(name), model, { maxTokens: 2 });
        }
      }
    };
    const senders = Array.from({ length: CALLERS }, (_, index) => send(index));
    try {
      await waitFor(check, { what, timeoutMs: TAKEOVER_TIMEOUT_MS, intervalMs: 200 });
    } finally {
      done = true;
      await Promise.all(senders);
    }
  };

  it('of a bad candidate ends with its withdrawal', async () => {
    await startRollout('bad');
    await runLoadUntil(
      'bad',
      'the rollout to fail',
      async () => (await readRollout('bad')).phase === RolloutPhase.FAILED,
    );
    const { model } = await test.getOperator('riga-b-1').getModel('bad');
    const candidate = model?.versions.find(({ version }) => version === '2');
    assert.equal(candidate?.state, VersionState.WITHDRAWN);
    assert.equal(model?.currentVersion, '1');
  });

  it('is continued by another instance when the holder of its lease is killed', async () => {
    await startRollout('good');
    await waitFor(async () => (await readRollout('good')).phase === RolloutPhase.RUNNING, {
      what: 'the rollout to run',
      timeoutMs: WAIT_MS,
    });
    const first = await readHolder();
    const killed = INSTANCES.find((name) => first.holder.startsWith(`${name}.`)) ?? '';
    await test.cluster.getProcess(killed).kill();
    const stopped = await test
      .getOperator(INSTANCES.find((name) => name !== killed) ?? '')
      .getRollout('good-2');
    assert.equal(stopped.rollout?.phase, RolloutPhase.RUNNING);
    const reader = INSTANCES.find((name) => name !== killed) ?? '';
    await runLoadUntil('good', 'another instance to complete the rollout', async () => {
      const { rollout } = await test.getOperator(reader).getRollout('good-2');
      return rollout?.phase === RolloutPhase.COMPLETED;
    });
    const second = await readHolder();
    assert.ok(second.version > first.version);
    const successor = INSTANCES.find((name) => second.holder.startsWith(`${name}.`));
    assert.ok(successor !== undefined && successor !== killed, second.holder);
    const { model } = await test.getOperator(reader).getModel('good');
    assert.equal(model?.currentVersion, '2');
  });
});
