import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { waitFor } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import type { FixtureOptions } from './support/relayFixture.js';
import { createRoute, createStreamRoute, RelayFixture } from './support/relayFixture.js';
import type { Script, ScriptedUpstream } from './support/scriptedUpstream.js';
import {
  formatAnswer,
  formatChunk,
  formatEvents,
  formatRest,
  formatStreamHead,
  LAST_CHUNK,
} from './support/scriptedUpstream.js';

const EVACUATE_MS = 5000;
const MARGIN_MS = 1000;
const STARTED = '"event":"evacuation","zone":"zone-2","state":"started"';
const ENDED = '"event":"evacuation","zone":"zone-2","state":"ended"';

const answerAll: Script = (socket, request) =>
  socket.end(
    request.path.startsWith('/stream/') ? formatRest(request, 3) : formatAnswer(request, 200, 'ok'),
  );

describe('the evacuation of a zone', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  /** Opens a relay with an upstream in each of two zones. */
  async function openZones(options: FixtureOptions = {}, script = answerAll) {
    fixture = await RelayFixture.open([createRoute(), createStreamRoute()], undefined, {
      evacuateMs: EVACUATE_MS,
      ...options,
    });
    const kept = await fixture.addUpstream('kept', script);
    const evacuated = await fixture.addUpstream('evacuated', script, { zone: 'zone-2' });
    return { kept, evacuated };
  }

  async function sendMany(count = 10): Promise<void> {
    for (let sent = 0; sent < count; sent += 1) {
      const path = sent % 2 === 0 ? '/app/item' : '/stream/item';
      assert.equal((await sendRequest(fixture.callerPort, { path })).status, 200);
    }
  }

  async function assertUnused(upstream: ScriptedUpstream): Promise<void> {
    const before = upstream.received.length;
    await sendMany();
    assert.equal(upstream.received.length, before);
  }

  // The order was not read: a small day with one violated its bound 68 times.
  it('sends no new request to its upstreams until the order is removed', async () => {
    const { evacuated, kept } = await openZones();
    await fixture.waitReady();
    fixture.store.evacuations.put('zone-2', { zone: 'zone-2' });
    await fixture.waitForLine(STARTED);
    await assertUnused(evacuated);
    fixture.store.evacuations.remove('zone-2');
    await fixture.waitForLine(ENDED);
    // Only the upstream that was evacuated is left to answer.
    fixture.store.upstreams.remove('kept');
    await fixture.waitForLine('"event":"upstream_gone","upstream":"kept"');
    const before = kept.received.length;
    await sendMany();
    assert.equal(kept.received.length, before);
  });

  it('leaves its upstreams out of retries and resumed streams', async () => {
    let isFailing = false;
    const { evacuated } = await openZones({}, (socket, request) => {
      if (!isFailing) answerAll(socket, request);
      else if (request.path.startsWith('/app/')) socket.end(formatAnswer(request, 500, 'no'));
      else {
        socket.end(formatStreamHead(request) + formatChunk(formatEvents(1, 1)));
      }
    });
    await fixture.waitReady();
    fixture.store.evacuations.put('zone-2', { zone: 'zone-2' });
    await fixture.waitForLine(STARTED);
    isFailing = true;
    const before = evacuated.received.length;
    for (const path of ['/app/item', '/stream/item', '/app/item', '/stream/item']) {
      await sendRequest(fixture.callerPort, { path }).catch(() => undefined);
    }
    assert.equal(evacuated.received.length, before);
  });

  it('leaves its upstreams out of escalations', async () => {
    const sized = { ...createStreamRoute(), modelSizes: ['small', 'large'] };
    const script: Script = (socket, request) => {
      const head = formatStreamHead(request, { 'X-Confidence': '0' });
      const event = `id: 1\ndata: ${request.headers['x-model']}\n\n`;
      socket.end(`${head}${formatChunk(event)}${LAST_CHUNK}`);
    };
    fixture = await RelayFixture.open([sized], undefined, { evacuateMs: EVACUATE_MS });
    await fixture.addUpstream('kept', script);
    const evacuated = await fixture.addUpstream('evacuated', script, { zone: 'zone-2' });
    await fixture.waitReady();
    fixture.store.evacuations.put('zone-2', { zone: 'zone-2' });
    await fixture.waitForLine(STARTED);
    const headers = { 'x-model': '*', 'x-token-counts': '100,50' };
    for (let sent = 0; sent < 10; sent += 1) {
      const answer = await sendRequest(fixture.callerPort, { path: '/stream/item', headers });
      assert.equal(answer.body, 'id: 1\ndata: large\n\n');
    }
    assert.equal(evacuated.received.length, 0);
  });

  it('is shown in the metrics', async () => {
    await openZones();
    await fixture.waitReady();
    fixture.store.evacuations.put('zone-2', { zone: 'zone-2' });
    await fixture.waitForLine(STARTED);
    const read = async () =>
      (await fetch(`http://127.0.0.1:${fixture.readinessPort}/metrics`)).text();
    assert.match(await read(), /cactusstair_relay_evacuated_zone\{zone="zone-2"\} 1/);
    fixture.store.evacuations.remove('zone-2');
    await fixture.waitForLine(ENDED);
    assert.doesNotMatch(await read(), /evacuated_zone\{/);
  });

  it('lets running answers complete', async () => {
    let finish = () => {};
    const { evacuated } = await openZones({}, (socket, request) => {
      finish = () => socket.end(formatAnswer(request, 200, 'late'));
    });
    fixture.store.upstreams.remove('kept');
    await fixture.waitForLine('"event":"upstream_gone","upstream":"kept"');
    await fixture.waitReady();
    const answer = sendRequest(fixture.callerPort);
    await waitFor(() => evacuated.received.length === 1, { what: 'the request', timeoutMs: 2000 });
    fixture.store.evacuations.put('zone-2', { zone: 'zone-2' });
    await fixture.waitForLine(STARTED);
    finish();
    assert.equal((await answer).body, 'late');
  });

  it('refuses at once, as not run, what no upstream is left for', async () => {
    await openZones();
    await fixture.waitReady();
    fixture.store.evacuations.put('zone-1', { zone: 'zone-1' });
    fixture.store.evacuations.put('zone-2', { zone: 'zone-2' });
    await fixture.waitForLine(STARTED);
    await fixture.waitForLine('"zone":"zone-1","state":"started"');
    for (const path of ['/app/item', '/stream/item']) {
      const startedMs = performance.now();
      const { status, headers } = await sendRequest(fixture.callerPort, { path });
      assert.equal(status, 503);
      assert.equal(headers['x-cactusstair-ran'], 'no');
      assert.ok(Number(headers['retry-after']) > 0);
      // The deadline is 2,000 ms.
      assert.ok(performance.now() - startedMs < 1000);
    }
  });

  it('of a zone without upstreams changes nothing', async () => {
    await openZones();
    await fixture.waitReady();
    fixture.store.evacuations.put('nowhere', undefined);
    await fixture.waitForLine('"zone":"nowhere","state":"started","upstreams":0');
    await sendMany();
  });

  describe('when the store fails', () => {
    it('stays in force while the store is away, and ends after it', async () => {
      const { evacuated } = await openZones();
      await fixture.waitReady();
      fixture.store.evacuations.put('zone-2', { zone: 'zone-2' });
      await fixture.waitForLine(STARTED);
      fixture.store.stop();
      await fixture.waitForLine('"state":"unavailable"');
      // The bound on revoked keys allows requests for some seconds.
      await assertUnused(evacuated);
      fixture.store.evacuations.remove('zone-2');
      fixture.store.resume();
      await fixture.waitForLine(ENDED);
    });

    it('is learned in time although watches never answer', async () => {
      const { evacuated } = await openZones();
      await fixture.waitReady();
      const { evacuations } = fixture.store;
      await waitFor(() => evacuations.watchCount > 0, { what: 'a watch', timeoutMs: 5000 });
      const startedMs = performance.now();
      evacuations.putSilently('zone-2', { zone: 'zone-2' });
      await fixture.waitForLine(STARTED);
      assert.ok(performance.now() - startedMs < EVACUATE_MS - MARGIN_MS);
      await assertUnused(evacuated);
    });

    it('is learned after the history was dropped', async () => {
      const { evacuated } = await openZones();
      await fixture.waitReady();
      const { evacuations } = fixture.store;
      evacuations.putSilently('zone-2', { zone: 'zone-2' });
      evacuations.forgetHistory();
      await fixture.waitForLine(STARTED);
      await assertUnused(evacuated);
    });

    it('keeps an instance unready until it has read the orders', async () => {
      const { evacuated } = await openZones({
        prepare: ({ evacuations }) => {
          evacuations.put('zone-2', { zone: 'zone-2' });
          evacuations.isDown = true;
        },
      });
      await waitFor(() => fixture.store.rollouts.calls > 0, { what: 'reads', timeoutMs: 5000 });
      await fixture.waitForLine('"event":"config_applied"');
      assert.equal(fixture.node.isReady, false);
      // A caller that does not wait for readiness must not reach an upstream that may be evacuated.
      assert.equal((await sendRequest(fixture.callerPort)).status, 503);
      fixture.store.evacuations.isDown = false;
      await fixture.waitReady();
      await assertUnused(evacuated);
      assert.equal(evacuated.received.length, 0);
    });
  });

  it('is not followed where no bound is set', async () => {
    fixture = await RelayFixture.open([createRoute()]);
    await fixture.addUpstream('only', answerAll);
    await fixture.waitReady();
    assert.equal((await sendRequest(fixture.callerPort)).status, 200);
    assert.equal(fixture.store.evacuations.calls, 0);
  });
});
