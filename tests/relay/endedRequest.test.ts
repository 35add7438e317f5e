import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { ManualClock, waitFor } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import { formatAnswer } from './support/scriptedUpstream.js';

/** Counts the sleeps, so that a test knows that a request waits. */
class CountingClock extends ManualClock {
  readonly sleepsMs: number[] = [];

  override sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    this.sleepsMs.push(durationMs);
    return super.sleep(durationMs, signal);
  }
}

const ROOM_CHECK_INTERVAL_MS = 40;
const DISCOVERY_MS = 2000;
const PAUSE_SECONDS = '0.03';

const routes = (['idempotent', 'non_idempotent', 'stream'] as const).map((kind) =>
  createRoute({ name: kind, kind, pathPrefix: `/${kind}/`, latencyGoalMs: 1000 }),
);

describe('a request that ends while it waits for an upstream', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  /** Opens a relay whose only upstream has asked for a pause. */
  async function openPaused(clock: CountingClock) {
    fixture = await RelayFixture.open(routes, clock);
    await waitFor(() => fixture.store.upstreams.calls > 0, { what: 'a list', timeoutMs: 5000 });
    await clock.advance(DISCOVERY_MS);
    const upstream = await fixture.addUpstream('a', (socket, request) =>
      socket.end(
        formatAnswer(request, 503, '', { 'X-Not-Executed': '1', 'Retry-After': PAUSE_SECONDS }),
      ),
    );
    await fixture.waitReady();
    assert.equal((await sendRequest(fixture.callerPort, { path: '/idempotent/item' })).status, 503);
    await fixture.waitForLine('"event":"request"');
    assert.equal(upstream.received.length, 1);
    return upstream;
  }

  async function waitUntilAsleep(clock: CountingClock): Promise<void> {
    await waitFor(() => clock.sleepsMs.includes(ROOM_CHECK_INTERVAL_MS), {
      what: 'the request to wait',
      timeoutMs: 5000,
    });
  }

  async function waitUntilClosed(): Promise<void> {
    const isClosed = async () => {
      const answer = await fetch(`http://127.0.0.1:${fixture.readinessPort}/metrics`);
      return (await answer.text()).includes('cactusstair_relay_open_requests 0');
    };
    await waitFor(isClosed, { what: 'the connection to be closed', timeoutMs: 5000 });
  }

  /** Ends the pause of the upstream and the wait of the request. */
  async function resume(clock: CountingClock): Promise<void> {
    await clock.advance(2 * ROOM_CHECK_INTERVAL_MS);
    await fixture.waitForLine('"event":"request"', 2);
  }

  routes.forEach(({ kind }) => {
    it(`is not sent after it was refused at its deadline (${kind})`, async () => {
      const clock = new CountingClock(1000);
      const upstream = await openPaused(clock);
      const headers = { 'x-deadline-ms': '300' };
      const refused = sendRequest(fixture.callerPort, { path: `/${kind}/item`, headers });
      await waitUntilAsleep(clock);
      assert.equal((await refused).status, 503);
      await resume(clock);
      assert.equal(upstream.received.length, 1);
    });

    it(`is not sent after its caller has left (${kind})`, async () => {
      const clock = new CountingClock(1000);
      const upstream = await openPaused(clock);
      const abort = new AbortController();
      const { signal } = abort;
      const left = sendRequest(fixture.callerPort, { path: `/${kind}/item`, signal });
      await waitUntilAsleep(clock);
      abort.abort();
      await assert.rejects(left);
      await waitUntilClosed();
      await resume(clock);
      assert.equal(upstream.received.length, 1);
    });
  });
});
