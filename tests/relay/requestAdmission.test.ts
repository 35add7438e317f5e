import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { systemClock, waitFor } from '@cactusstair/utils';
import type { Clock } from '@cactusstair/utils';

import { sendBytes, sendRequest } from './support/caller.js';
import { createConfig, createRoute, HOST, RelayFixture } from './support/relayFixture.js';
import { formatAnswer } from './support/scriptedUpstream.js';

describe('keys and routes', () => {
  let place: RelayFixture;
  /** Added to the wall clock: a machine that was suspended for this long. */
  let suspendedMs = 0;

  const clock: Clock = {
    monotonicMs: () => systemClock.monotonicMs(),
    wallMs: () => systemClock.wallMs() + suspendedMs,
    sleep: (durationMs, signal) => systemClock.sleep(durationMs, signal),
  };

  afterEach(async () => {
    suspendedMs = 0;
    await place.close();
  });

  async function openPlace(routes = [createRoute()]) {
    place = await RelayFixture.open(routes, clock);
    const upstream = await place.addUpstream('a', (socket, request) => {
      socket.end(formatAnswer(request, 200, 'whole'));
    });
    await place.waitReady();
    return upstream;
  }

  it('refuses keys as unconfirmed, not as unknown, when the store was silent for too long', async () => {
    const upstream = await openPlace();
    place.store.config.isDown = true;
    place.store.config.wake();
    suspendedMs = 6000;
    assert.equal((await sendRequest(place.callerPort)).status, 503);
    const unknown = { headers: { 'api-key': 'unknown' } };
    assert.equal((await sendRequest(place.callerPort, unknown)).status, 503);
    assert.equal((await sendRequest(place.callerPort, { path: '/nowhere/' })).status, 503);
    assert.equal(upstream.received.length, 0);
    assert.equal(place.node.isReady, false);
  });

  it('serves public routes without the store', async () => {
    await openPlace([createRoute({ isPublic: true })]);
    place.store.config.isDown = true;
    place.store.config.wake();
    suspendedMs = 60_000;
    assert.equal((await sendRequest(place.callerPort)).status, 200);
  });

  it('reads again before it denies what may be new', async () => {
    await openPlace();
    suspendedMs = 3000;
    assert.equal((await sendRequest(place.callerPort, { path: '/nowhere/' })).status, 404);
  });

  it('answers 401 to unknown keys and 404 to unknown routes', async () => {
    const upstream = await openPlace();
    const unknown = { headers: { 'api-key': 'unknown' } };
    assert.equal((await sendRequest(place.callerPort, unknown)).status, 401);
    assert.equal((await sendRequest(place.callerPort, { path: '/nowhere/' })).status, 404);
    assert.equal(upstream.received.length, 0);
  });

  it('lets a revoked key pass no longer once the new configuration is read', async () => {
    await openPlace();
    place.store.config.put('main', { ...createConfig(2, [createRoute()]), workspaces: [] });
    await waitFor(async () => (await sendRequest(place.callerPort)).status === 401, {
      what: 'the refusal of the revoked key',
      timeoutMs: 2000,
    });
  });

  it('never goes back to an older configuration', async () => {
    await openPlace();
    place.store.config.put('main', createConfig(9, [createRoute({ pathPrefix: '/new/' })]));
    await waitFor(
      async () => (await sendRequest(place.callerPort, { path: '/new/x' })).status === 200,
      { what: 'the new route', timeoutMs: 2000 },
    );
    place.store.config.put('main', createConfig(8, [createRoute()]));
    place.store.config.put('other', undefined);
    await place.waitReady();
    assert.equal((await sendRequest(place.callerPort, { path: '/app/x' })).status, 404);
  });

  describe('headers that only the system sets', () => {
    it('are not taken from the caller, and the key is not passed on', async () => {
      const upstream = await openPlace();
      await sendRequest(place.callerPort, {
        headers: {
          'x-tenant': 'forged',
          'x-expect-instance': 'forged',
          'x-hold': 'forged',
          'kv-from': 'forged',
          'x-other': 'kept',
        },
      });
      const { headers } = upstream.received[0]!;
      assert.equal(headers['x-tenant'], 'workspace-1');
      assert.equal(headers['x-expect-instance'], 'a');
      assert.equal(headers['x-hold'], undefined);
      assert.equal(headers['kv-from'], undefined);
      assert.equal(headers['api-key'], undefined);
      assert.equal(headers['x-other'], 'kept');
      assert.ok(Number(headers['x-deadline-ms']) <= 2000);
    });
  });

  describe('bad input', () => {
    const head = `Host: ${HOST}\r\nX-Attempt-Id: raw\r\nApi-Key: key-1\r\n`;
    const cases: Record<string, { bytes: string; status: RegExp }> = {
      'both a length and chunks': {
        bytes: `POST /app/x HTTP/1.1\r\n${head}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
        status: /^HTTP\/1.1 400/,
      },
      'a length that is no number': {
        bytes: `POST /app/x HTTP/1.1\r\n${head}Content-Length: 3x\r\n\r\nabc`,
        status: /^HTTP\/1.1 400/,
      },
      'a body over the limit': {
        bytes: `POST /app/x HTTP/1.1\r\n${head}Content-Length: 10001\r\n\r\n${'x'.repeat(10_001)}`,
        status: /^HTTP\/1.1 413/,
      },
      'headers over the limit': {
        bytes: `GET /app/x HTTP/1.1\r\n${head}X-Long: ${'x'.repeat(70_000)}\r\n\r\n`,
        status: /^HTTP\/1.1 431/,
      },
      'headers over the limit of the configuration': {
        bytes: `GET /app/x HTTP/1.1\r\n${head}X-Long: ${'x'.repeat(17_000)}\r\n\r\n`,
        status: /^HTTP\/1.1 431/,
      },
      'no id': {
        bytes: `GET /app/x HTTP/1.1\r\nHost: ${HOST}\r\nApi-Key: key-1\r\n\r\n`,
        status: /^HTTP\/1.1 400/,
      },
      'no protocol at all': { bytes: 'garbage\r\n\r\n', status: /^HTTP\/1.1 400/ },
    };

    async function checkRefused(bytes: string, status: RegExp): Promise<void> {
      const upstream = await openPlace();
      assert.match(await sendBytes(place.callerPort, bytes), status);
      assert.equal(upstream.received.length, 0);
    }

    for (const [name, { bytes, status }] of Object.entries(cases)) {
      it(`with ${name} is refused and not run`, () => checkRefused(bytes, status));
    }
  });
});
