import assert from 'node:assert/strict';
import { createHmac, randomUUID } from 'node:crypto';
import { after, before, describe, it } from 'node:test';

import { Rollout, RolloutPhase } from '@cactusstair/protocol';
import { waitFor } from '@cactusstair/utils';

import { CallerClient } from './support/callerClient.js';
import { TestCluster, WAIT_MS } from './support/testCluster.js';

const INSTANCES = ['riga-a-1', 'riga-a-2', 'riga-b-1'];
const SESSIONS = 16;
const HOUR_S = 3600;

/** A session token and the version of the session's first answer. */
interface OpenSession {
  token: string;
  version: string | undefined;
}

function encode(value: object): string {
  return Buffer.from(JSON.stringify(value)).toString('base64url');
}

function signToken(header: object, payload: object, secret: string): string {
  const content = `${encode(header)}.${encode(payload)}`;
  const hmac = createHmac('sha256', Buffer.from(secret, 'base64url')).update(content);
  return `${content}.${hmac.digest('base64url')}`;
}

function readPart(token: string, index: number): Record<string, unknown> {
  const part = token.split('.')[index] ?? '';
  return JSON.parse(Buffer.from(part, 'base64url').toString()) as Record<string, unknown>;
}

describe('a session', () => {
  let test: TestCluster;

  before(async () => {
    test = await TestCluster.start({
      zones: [
        {
          name: 'riga-a',
          entries: 2,
          engines: [{ versions: ['small@1', 'small@2'], options: { firstTokenMs: 5, tokenMs: 1 } }],
        },
        { name: 'riga-b', entries: 1 },
      ],
      models: [
        { name: 'small', versions: [{ version: '1' }, { version: '2', state: 'candidate' }] },
      ],
      workspaces: [{ name: 'ladders' }, { name: 'decals' }],
      seed: 14,
    });
  });

  after(() => test.close());

  const chat = (instance: string, session?: string) =>
    test.caller.chat(test.getCallersUrl(instance), 'small', {
      maxTokens: 2,
      ...(session === undefined ? {} : { session }),
    });

  const openSessions = (count: number): Promise<OpenSession[]> =>
    Promise.all(
      Array.from({ length: count }, async (_, index) => {
        const answer = await chat(INSTANCES[index % INSTANCES.length] ?? '');
        assert.equal(answer.status, 200, JSON.stringify(answer));
        return { token: answer.session ?? '', version: answer.version };
      }),
    );

  const assertKept = async (sessions: OpenSession[]) => {
    for (const { token, version } of sessions) {
      for (const instance of INSTANCES) {
        const answer = await chat(instance, token);
        assert.equal(answer.version, version, `${instance}: ${JSON.stringify(answer)}`);
      }
    }
  };

  const assertInvalid = async (token: string, what: string) => {
    for (const instance of INSTANCES) {
      const answer = await chat(instance, token);
      assert.deepEqual([answer.code, answer.ran], [1105, 'no'], `${what} at ${instance}`);
    }
  };

  it('keeps its version during a rollout step and after an instance restarts', async () => {
    const early = await openSessions(3);
    const rollout = Rollout.fromPartial({
      name: 'small-2',
      model: 'small',
      candidateVersion: '2',
      steps: [50, 100],
      minRatingsPerStep: 1_000_000,
      qualityMargin: 0.05,
    });
    const operator = test.getOperator('riga-a-1');
    await operator.startRollout(rollout);
    await waitFor(
      async () => (await operator.getRollout('small-2')).rollout?.phase === RolloutPhase.RUNNING,
      { what: 'the rollout to run', timeoutMs: WAIT_MS },
    );
    const late = await waitFor(
      async () => {
        const opened = await openSessions(SESSIONS);
        const versions = new Set(opened.map(({ version }) => version));
        return versions.size === 2 && opened;
      },
      { what: 'sessions on both versions', timeoutMs: WAIT_MS },
    );
    await assertKept([...early, ...late]);
    const restarted = test.cluster.getProcess('riga-b-1');
    await restarted.kill();
    await restarted.start();
    await test.waitForReady('riga-b-1');
    await assertKept([...early, ...late]);
  });

  it('keeps its version after the keys have been rotated', async () => {
    const sessions = await openSessions(SESSIONS / 2);
    const getKeyId = (token: string) => readPart(token, 0).kid;
    const oldKeyId = getKeyId(sessions[0]?.token ?? '');
    await test.getOperator('riga-a-2').rotateSessionKeys();
    await assertKept(sessions);
    const next = await waitFor(
      async () => {
        const opened = await openSessions(INSTANCES.length);
        return opened.every(({ token }) => getKeyId(token) !== oldKeyId) && opened;
      },
      { what: 'every instance to sign with the new key', timeoutMs: WAIT_MS, intervalMs: 300 },
    );
    await assertKept([...sessions, ...next]);
  });

  it('is refused with 1105 when its token is forged, altered, expired or of another workspace', async () => {
    const [session] = await openSessions(1);
    const token = session?.token ?? '';
    const [header = '', payload = '', signature = ''] = token.split('.');
    const stored = await fetch(`${test.cluster.platformUrl}/v1/objects/sessionkeys/current`);
    const { value } = (await stored.json()) as {
      value: { keys: { keyId: string; secret: string }[] };
    };
    const key = value.keys.find(({ keyId }) => keyId === readPart(token, 0).kid);
    const claims = readPart(token, 1);
    const nowS = Date.now() / 1000;
    const sign = (changes: object, secret = key?.secret ?? '') =>
      signToken(readPart(token, 0), { ...claims, ...changes }, secret);
    // Checks that `sign` creates valid tokens, so that the refusals below are not caused by it.
    assert.equal((await chat('riga-a-1', sign({ jti: randomUUID() }))).status, 200);
    await assertInvalid(sign({}, Buffer.alloc(32, 1).toString('base64url')), 'forged');
    const none = encode({ ...readPart(token, 0), alg: 'none' });
    await assertInvalid(`${none}.${payload}.`, 'unsigned');
    const altered = encode({ ...claims, pins: { small: '2', large: '1' } });
    await assertInvalid(`${header}.${altered}.${signature}`, 'altered');
    await assertInvalid(sign({ iat: nowS - 2 * HOUR_S, exp: nowS - HOUR_S }), 'expired');
    const foreign = new CallerClient(test.cluster.workspaces[1]?.apiKey ?? '');
    for (const instance of INSTANCES) {
      const answer = await foreign.chat(test.getCallersUrl(instance), 'small', { session: token });
      assert.deepEqual([answer.code, answer.ran], [1105, 'no'], 'foreign');
    }
  });
});
