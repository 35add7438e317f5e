import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { waitFor } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import { createRoute, createStreamRoute, RelayFixture } from './support/relayFixture.js';
import { formatAnswer, formatRest } from './support/scriptedUpstream.js';

describe('watches of the store that are cut off', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  async function cutWatches(): Promise<void> {
    const { upstreams } = fixture.store;
    await waitFor(() => upstreams.watchCount > 0, { what: 'a watch', timeoutMs: 5000 });
    upstreams.cutWatches();
  }

  // An upstream whose entry was deleted got requests until it exited (DRAIN, review/4).
  it('do not keep an upstream in use whose entry was deleted', async () => {
    fixture = await RelayFixture.open([createRoute(), createStreamRoute()]);
    const add = (id: string) =>
      fixture.addUpstream(id, (socket, request) =>
        socket.end(
          request.path.startsWith('/stream/')
            ? formatRest(request, 3)
            : formatAnswer(request, 200, 'ok'),
        ),
      );
    const leaving = await add('leaving');
    await add('sound');
    await fixture.waitReady();
    await cutWatches();
    fixture.store.upstreams.remove('leaving');
    await waitFor(() => /"event":"upstream_(gone|missing)"/.test(fixture.lines.join('')), {
      what: 'the deletion to be read',
      timeoutMs: 5000,
    });
    await cutWatches();
    for (const path of ['/app/item', '/stream/item']) {
      for (let sent = 0; sent < 10; sent += 1) {
        assert.equal((await sendRequest(fixture.callerPort, { path })).status, 200);
      }
    }
    assert.equal(leaving.received.length, 0);
    assert.doesNotMatch(fixture.lines.join(''), /"event":"store"/);
  });
});
