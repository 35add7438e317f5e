import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { LocalCluster } from '@cactusstair/place';
import { fetch } from 'undici';

describe('request timeout', () => {
  let place: LocalCluster;

  before(async () => {
    place = await LocalCluster.start({
      zones: [
        { name: 'riga-a', engines: [{ versions: ['small@1'], options: { tokenMs: 50 } }] },
        { name: 'riga-b' },
      ],
      models: [{ name: 'small', versions: [{ version: '1' }] }],
      workspaces: [{ name: 'ladders', apiKey: 'ladders-key' }],
      entrySettings: { limits: { requestMs: 1000 } },
    });
  });

  after(() => place.close());

  // Guards against a request that never ends because its answer keeps arriving.
  it('ends a request whose answer is still being generated', async () => {
    const answer = await fetch(`${place.entries[0]?.callers}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: 'Bearer ladders-key', 'content-type': 'application/json' },
      body: JSON.stringify({
        model: 'small',
        messages: [{ role: 'user', content: 'a very long review' }],
        max_tokens: 10_000,
      }),
    });
    assert.equal(answer.status, 502);
    assert.equal(answer.headers.get('x-cactusstair-code'), '3102');
    assert.equal(answer.headers.get('x-cactusstair-ran'), 'unknown');
  });
});
