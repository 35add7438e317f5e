import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { waitFor } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import { formatAnswer } from './support/scriptedUpstream.js';

describe('status of a relay', () => {
  let place: RelayFixture;

  afterEach(async () => {
    await place.close();
  });

  async function openPlace(): Promise<string> {
    place = await RelayFixture.open([createRoute()]);
    await place.addUpstream('a', (socket, request) => {
      socket.end(formatAnswer(request, 200, 'whole'));
    });
    await place.waitReady();
    return `http://127.0.0.1:${place.readinessPort}`;
  }

  it('exposes counters and latency histograms by workspace and route', async () => {
    const url = await openPlace();
    await sendRequest(place.callerPort);
    await sendRequest(place.callerPort, { headers: { 'api-key': 'unknown' } });
    const text = await (await fetch(`${url}/metrics`)).text();
    const labels = 'workspace="workspace-1",route="route"';
    assert.match(text, new RegExp(`requests_total\\{${labels},end="answered"\\} 1`));
    assert.match(text, /requests_total\{workspace="",route="route",end="unauthenticated"\} 1/);
    assert.match(text, new RegExp(`first_byte_seconds_bucket\\{${labels},le="\\+Inf"\\} 1`));
    assert.match(text, /cactusstair_relay_config_version 1/);
    assert.match(text, /cactusstair_relay_upstream_capacity\{upstream="a"\} 8/);
  });

  it('answers 200 for readiness and 404 for unknown paths', async () => {
    const url = await openPlace();
    assert.equal((await fetch(`${url}/readiness`)).status, 200);
    assert.equal((await fetch(`${url}/other`)).status, 404);
  });

  it('logs one line for each request with the inputs of its routing decisions', async () => {
    await openPlace();
    await sendRequest(place.callerPort, { headers: { 'x-attempt-id': 'logged' } });
    const line = await waitFor(() => place.lines.join('').match(/.*"id":"logged".*/)?.[0], {
      what: 'the line of the request',
      timeoutMs: 2000,
    });
    const parsed = JSON.parse(line) as { end: string; steps: Record<string, unknown>[] };
    assert.equal(parsed.end, 'answered');
    assert.equal(parsed.steps[0]?.configVersion, 1);
    assert.equal(parsed.steps[1]?.upstream, 'a');
  });
});
