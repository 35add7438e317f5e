import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { ManualClock, waitFor } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import { formatAnswer } from './support/scriptedUpstream.js';

const DISCOVERY_MS = 2000;
/** Longer than the time limit of the routes, so that the first request is refused at once. */
const PAUSE_MS = 3000;
/** What is left of the pause when the second request arrives; its time is longer. */
const PAUSE_LEFT_MS = 30;

const routes = (['idempotent', 'non_idempotent', 'stream'] as const).map((kind) =>
  createRoute({ name: kind, kind, pathPrefix: `/${kind}/`, latencyGoalMs: 1000 }),
);

describe('a request that ends while it waits for an upstream', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  /** Opens a relay whose only upstream has asked for a pause. */
  async function openPaused(clock: ManualClock) {
    fixture = await RelayFixture.open(routes, clock);
    await waitFor(() => fixture.store.upstreams.calls > 0, { what: 'a list', timeoutMs: 5000 });
    await clock.advance(DISCOVERY_MS);
    const upstream = await fixture.addUpstream('a', (socket, request) =>
      socket.end(
        formatAnswer(request, 503, '', {
          'X-Not-Executed': '1',
          'Retry-After': String(PAUSE_MS / 1000),
        }),
      ),
    );
    await fixture.waitReady();
    assert.equal((await sendRequest(fixture.callerPort, { path: '/idempotent/item' })).status, 503);
    await fixture.waitForLine('"event":"request"');
    assert.equal(upstream.received.length, 1);
    await clock.advance(PAUSE_MS - PAUSE_LEFT_MS);
    return upstream;
  }

  async function waitForMetric(line: string): Promise<void> {
    const isShown = async () => {
      const answer = await fetch(`http://127.0.0.1:${fixture.readinessPort}/metrics`);
      return (await answer.text()).includes(`cactusstair_relay_${line}`);
    };
    await waitFor(isShown, { what: `the metric ${line}`, timeoutMs: 5000 });
  }

  function waitUntilQueued(): Promise<void> {
    return waitForMetric('waiting_requests{service="app"} 1');
  }

  /** Ends the pause of the upstream and the wait of the request. */
  async function resume(clock: ManualClock): Promise<void> {
    await clock.advance(2 * PAUSE_LEFT_MS);
    await fixture.waitForLine('"event":"request"', 2);
  }

  routes.forEach(({ kind }) => {
    it(`is not sent after it was refused at its deadline (${kind})`, async () => {
      const clock = new ManualClock(1000);
      const upstream = await openPaused(clock);
      const headers = { 'x-deadline-ms': '600' };
      const refused = sendRequest(fixture.callerPort, { path: `/${kind}/item`, headers });
      await waitUntilQueued();
      assert.equal((await refused).status, 503);
      await resume(clock);
      assert.equal(upstream.received.length, 1);
    });

    it(`is not sent after its caller has left (${kind})`, async () => {
      const clock = new ManualClock(1000);
      const upstream = await openPaused(clock);
      const abort = new AbortController();
      const { signal } = abort;
      const left = sendRequest(fixture.callerPort, { path: `/${kind}/item`, signal });
      await waitUntilQueued();
      abort.abort();
      await assert.rejects(left);
      await waitForMetric('open_requests 0');
      await waitForMetric('waiting_requests{service="app"} 0');
      await resume(clock);
      assert.equal(upstream.received.length, 1);
    });
  });
});
