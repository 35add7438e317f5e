import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { ServiceStandin } from '@cactusstair/standins';
import { waitFor } from '@cactusstair/utils';

describe('ServiceStandin', () => {
  let service: ServiceStandin;

  beforeEach(async () => {
    service = await new ServiceStandin({ name: 'standings' }).start();
  });

  afterEach(() => service.close());

  function post(key: string, body = '{"score":3}') {
    return fetch(`${service.url}/results?round=1`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'idempotency-key': key,
        'x-request-id': `request-${key}`,
      },
      body,
    });
  }

  it('gives every execution its own effect number, which reveals repeated calls', async () => {
    const answers = [await post('k1'), await post('k1')];
    const bodies = await Promise.all(answers.map((answer) => answer.json()));
    assert.deepEqual(
      bodies.map((body) => (body as { effect: number }).effect),
      [1, 2],
    );
    assert.deepEqual(
      service.journal.map((entry) => [entry.idempotencyKey, entry.requestId, entry.path]),
      Array.from({ length: 2 }, () => ['k1', 'request-k1', '/results?round=1']),
    );
  });

  it('records the effect of a call whose answer is lost', async () => {
    service.faults.inject({ fault: 'loseAnswer', count: 1 });
    await assert.rejects(post('k2'));
    assert.equal(service.journal.length, 1);
  });

  it('does not run a call that crashes it, and restarts on the same port', async () => {
    service.faults.inject({ fault: 'crashOnMarker', marker: 'BOOM', downMs: 10, count: 1 });
    await assert.rejects(post('k3', '{"text":"BOOM"}'));
    assert.equal(service.journal.length, 0);
    const isBack = async () => (await post('k4')).ok;
    await waitFor(isBack, { what: 'the service to restart', timeoutMs: 10_000 });
  });
});
