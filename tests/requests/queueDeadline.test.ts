import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { LocalCluster } from '@cactusstair/place';
import { waitFor } from '@cactusstair/utils';
import { fetch } from 'undici';

const ENGINE = 'riga-a-engine-1';

function sendChat(place: LocalCluster, content: string) {
  return fetch(`${place.entries[0]?.callers}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: 'Bearer ladders-key', 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'small', messages: [{ role: 'user', content }], max_tokens: 4 }),
  });
}

describe('queue of a full pool', () => {
  let place: LocalCluster;

  before(async () => {
    place = await LocalCluster.start({
      zones: [{ name: 'riga-a', engines: [{ versions: ['small@1'], options: { slots: 1 } }] }],
      models: [{ name: 'small', versions: [{ version: '1' }] }],
      workspaces: [{ name: 'ladders', apiKey: 'ladders-key' }],
      entrySettings: { limits: { queueShortMs: 300, firstTokenMs: 3000 } },
    });
    assert.equal((await sendChat(place, 'warm up')).status, 200);
  });

  after(() => place.close());

  // Guards against a queue deadline that is an absolute time and is therefore never reached.
  it('refuses a request at its queue deadline', async () => {
    await place.injectFault(ENGINE, { fault: 'freeze' });
    const first = sendChat(place, 'occupies the only slot');
    await waitFor(
      async () => {
        const metrics = await (await fetch(`${place.entries[0]?.metrics}/metrics`)).text();
        return /cactusstair_requests_in_flight 1/.test(metrics);
      },
      { what: 'the first request to be in flight', timeoutMs: 10_000 },
    );
    const second = await sendChat(place, 'waits for the slot');
    await place.injectFault(ENGINE, { fault: 'clear' });
    assert.equal(second.status, 503);
    assert.match(second.headers.get('x-cactusstair-code') ?? '', /^(2101|2104)$/);
    assert.equal(second.headers.get('x-cactusstair-ran'), 'no');
    assert.ok((await first).status >= 200);
  });
});
