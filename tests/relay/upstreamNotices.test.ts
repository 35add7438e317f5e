import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { sendRequest } from './support/caller.js';
import { createRoute, createStreamRoute, RelayFixture } from './support/relayFixture.js';
import { formatAnswer, formatRest } from './support/scriptedUpstream.js';

const PATHS = ['/app/item', '/stream/item'];
const REQUEST_COUNT = 20;

describe('what upstreams say about themselves', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  async function open(): Promise<void> {
    fixture = await RelayFixture.open([createRoute(), createStreamRoute()]);
  }

  /** Sends requests one after the other; returns the statuses that occurred. */
  async function sendMany(path = '/app/item') {
    const startedMs = performance.now();
    const statuses = new Set<number>();
    for (let sent = 0; sent < REQUEST_COUNT; sent += 1) {
      statuses.add((await sendRequest(fixture.callerPort, { path })).status);
    }
    return { statuses: [...statuses], elapsedMs: performance.now() - startedMs };
  }

  /** Adds an upstream that answers every request, with extra headers. */
  function addSound(id: string, headers: Record<string, string> = {}) {
    return fixture.addUpstream(id, (socket, request) =>
      socket.end(
        request.path.startsWith('/stream/')
          ? formatRest(request, 4, headers)
          : formatAnswer(request, 200, 'ok', headers),
      ),
    );
  }

  describe('an upstream that says in its answers that it leaves', () => {
    const headers = { 'Server-Leaving': '1' };

    PATHS.forEach((path) => {
      it(`gets no more requests for ${path}, though it is still listed as ready`, async () => {
        await open();
        const leaving = await addSound('leaving', headers);
        await addSound('sound');
        await fixture.waitReady();
        assert.deepEqual((await sendMany(path)).statuses, [200]);
        assert.ok(leaving.received.length <= 1, `${leaving.received.length} requests`);
      });
    });

    // The header was read as leaving whatever its value was.
    ['0', 'false', ' '].forEach((value) => {
      it(`goes on getting requests when the header says that it does not ("${value}")`, async () => {
        await open();
        const staying = await addSound('staying', { 'Server-Leaving': value });
        await fixture.waitReady();
        assert.deepEqual((await sendMany()).statuses, [200]);
        assert.equal(staying.received.length, REQUEST_COUNT);
      });
    });

    it('gets no more requests when its entry was missing for a moment', async () => {
      await open();
      const leaving = await addSound('leaving', headers);
      await fixture.waitReady();
      assert.equal((await sendRequest(fixture.callerPort)).status, 200);
      const { upstreams } = fixture.store;
      const record = upstreams.get('leaving')!;
      upstreams.remove('leaving');
      await fixture.waitForLine('"event":"upstream_gone","upstream":"leaving"');
      upstreams.put('leaving', record);
      await fixture.waitForLine('"event":"upstream_seen","upstream":"leaving"', 2);
      assert.equal((await sendRequest(fixture.callerPort)).status, 503);
      assert.equal(leaving.received.length, 1);
    });

    it('gets requests again after a restart under the same id', async () => {
      await open();
      const upstream = await addSound('leaving', headers);
      await fixture.waitReady();
      assert.equal((await sendRequest(fixture.callerPort)).status, 200);
      upstream.script = (socket, request) => socket.end(formatAnswer(request, 200, 'ok'));
      const { upstreams } = fixture.store;
      upstreams.put('leaving', { ...upstreams.get('leaving')!, startedAtMs: 5 });
      await fixture.waitForLine('"event":"upstream_restarted"');
      assert.deepEqual((await sendMany()).statuses, [200]);
    });
  });

  describe('an upstream that asks for a pause when it turns a request away', () => {
    const PAUSE_S = 1.5;
    /** A request with so little time cannot wait for the end of the pause. */
    const SHORT = { headers: { 'x-deadline-ms': '1000' } };

    function addFull(id: string) {
      return fixture.addUpstream(id, (socket, request) =>
        socket.end(
          formatAnswer(request, 503, '', {
            'X-Not-Executed': '1',
            'Retry-After': String(PAUSE_S),
          }),
        ),
      );
    }

    PATHS.forEach((path) => {
      it(`gets no requests for ${path} until the pause is over`, async () => {
        await open();
        const full = await addFull('full');
        await addSound('sound');
        await fixture.waitReady();
        const { statuses, elapsedMs } = await sendMany(path);
        assert.deepEqual(statuses, [200]);
        const pauses = elapsedMs / (PAUSE_S * 1000);
        assert.ok(full.received.length <= 1 + pauses, `${full.received.length} requests`);
      });
    });

    it('makes the relay reject requests at once when no other upstream is left', async () => {
      await open();
      const full = await addFull('full');
      await fixture.waitReady();
      assert.equal((await sendRequest(fixture.callerPort, SHORT)).status, 503);
      const startedMs = performance.now();
      const answer = await sendRequest(fixture.callerPort, SHORT);
      assert.equal(answer.status, 503);
      assert.ok(performance.now() - startedMs < 500, 'refused at once');
      assert.ok(Number(answer.headers['retry-after']) > PAUSE_S / 2);
      assert.equal(full.received.length, 1);
    });

    it('gets the requests that have waited for the end of the pause, and no others', async () => {
      await open();
      const upstream = await addFull('full');
      await fixture.waitReady();
      await sendRequest(fixture.callerPort, SHORT);
      const pausedMs = performance.now();
      upstream.script = (socket, request) => socket.end(formatAnswer(request, 200, 'ok'));
      const answer = await sendRequest(fixture.callerPort);
      assert.equal(answer.status, 200);
      assert.ok(performance.now() - pausedMs > PAUSE_S * 1000 * 0.9);
      assert.equal(upstream.received.length, 2);
    });

    it('gets requests again after the pause', async () => {
      await open();
      const upstream = await addFull('full');
      await fixture.waitReady();
      await sendRequest(fixture.callerPort, SHORT);
      const pausedMs = performance.now();
      upstream.script = (socket, request) => socket.end(formatAnswer(request, 200, 'ok'));
      while ((await sendRequest(fixture.callerPort, SHORT)).status !== 200);
      assert.ok(performance.now() - pausedMs > PAUSE_S * 1000 * 0.9);
      assert.equal(upstream.received.length, 2);
    });
  });
});
