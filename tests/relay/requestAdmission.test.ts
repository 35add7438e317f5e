import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { systemClock, waitFor } from '@cactusstair/utils';
import type { Clock } from '@cactusstair/utils';

import { sendBytes, sendRequest } from './support/caller.js';
import { createConfig, createRoute, HOST, RelayFixture } from './support/relayFixture.js';
import { formatAnswer } from './support/scriptedUpstream.js';

describe('request admission', () => {
  let fixture: RelayFixture;
  /** Added to the wall clock to simulate a machine that was suspended for this long. */
  let suspendedMs = 0;

  const clock: Clock = {
    monotonicMs: () => systemClock.monotonicMs(),
    wallMs: () => systemClock.wallMs() + suspendedMs,
    sleep: (durationMs, signal) => systemClock.sleep(durationMs, signal),
  };

  afterEach(async () => {
    suspendedMs = 0;
    await fixture.close();
  });

  async function openFixture(routes = [createRoute()]) {
    fixture = await RelayFixture.open(routes, clock);
    const upstream = await fixture.addUpstream('a', (socket, request) => {
      socket.end(formatAnswer(request, 200, 'whole'));
    });
    await fixture.waitReady();
    return upstream;
  }

  it('answers 503, not 401 or 404, when the configuration is unconfirmed for too long', async () => {
    const upstream = await openFixture();
    fixture.store.config.isDown = true;
    fixture.store.config.wake();
    suspendedMs = 6000;
    assert.equal((await sendRequest(fixture.callerPort)).status, 503);
    const unknown = { headers: { 'api-key': 'unknown' } };
    assert.equal((await sendRequest(fixture.callerPort, unknown)).status, 503);
    assert.equal((await sendRequest(fixture.callerPort, { path: '/nowhere/' })).status, 503);
    assert.equal(upstream.received.length, 0);
    assert.equal(fixture.node.isReady, false);
  });

  it('serves public routes during a store outage', async () => {
    await openFixture([createRoute({ isPublic: true })]);
    fixture.store.config.isDown = true;
    fixture.store.config.wake();
    suspendedMs = 60_000;
    assert.equal((await sendRequest(fixture.callerPort)).status, 200);
  });

  it('reads the configuration again before it denies an unknown route', async () => {
    await openFixture();
    suspendedMs = 3000;
    assert.equal((await sendRequest(fixture.callerPort, { path: '/nowhere/' })).status, 404);
  });

  it('answers 401 to unknown keys and 404 to unknown routes', async () => {
    const upstream = await openFixture();
    const unknown = { headers: { 'api-key': 'unknown' } };
    assert.equal((await sendRequest(fixture.callerPort, unknown)).status, 401);
    assert.equal((await sendRequest(fixture.callerPort, { path: '/nowhere/' })).status, 404);
    assert.equal(upstream.received.length, 0);
  });

  it('refuses a revoked key once the new configuration is read', async () => {
    await openFixture();
    fixture.store.config.put('main', { ...createConfig(2, [createRoute()]), workspaces: [] });
    await waitFor(async () => (await sendRequest(fixture.callerPort)).status === 401, {
      what: 'the refusal of the revoked key',
      timeoutMs: 2000,
    });
  });

  it('ignores an older configuration', async () => {
    await openFixture();
    fixture.store.config.put('main', createConfig(9, [createRoute({ pathPrefix: '/new/' })]));
    await waitFor(
      async () => (await sendRequest(fixture.callerPort, { path: '/new/x' })).status === 200,
      { what: 'the new route', timeoutMs: 2000 },
    );
    fixture.store.config.put('main', createConfig(8, [createRoute()]));
    fixture.store.config.put('other', undefined);
    await fixture.waitReady();
    assert.equal((await sendRequest(fixture.callerPort, { path: '/app/x' })).status, 404);
  });

  describe('reserved headers', () => {
    it('are not accepted from the caller, and the API key is not forwarded', async () => {
      const upstream = await openFixture();
      await sendRequest(fixture.callerPort, {
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

  describe('malformed input', () => {
    const head = `Host: ${HOST}\r\nX-Attempt-Id: raw\r\nApi-Key: key-1\r\n`;
    const cases: Record<string, { bytes: string; status: RegExp }> = {
      'both a length and chunked encoding': {
        bytes: `POST /app/x HTTP/1.1\r\n${head}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
        status: /^HTTP\/1.1 400/,
      },
      'a non-numeric length': {
        bytes: `POST /app/x HTTP/1.1\r\n${head}Content-Length: 3x\r\n\r\nabc`,
        status: /^HTTP\/1.1 400/,
      },
      'a body over the limit': {
        bytes: `POST /app/x HTTP/1.1\r\n${head}Content-Length: 10001\r\n\r\n${'x'.repeat(10_001)}`,
        status: /^HTTP\/1.1 413/,
      },
      'headers over the parser limit': {
        bytes: `GET /app/x HTTP/1.1\r\n${head}X-Long: ${'x'.repeat(70_000)}\r\n\r\n`,
        status: /^HTTP\/1.1 431/,
      },
      'headers over the configured limit': {
        bytes: `GET /app/x HTTP/1.1\r\n${head}X-Long: ${'x'.repeat(17_000)}\r\n\r\n`,
        status: /^HTTP\/1.1 431/,
      },
      'no request id': {
        bytes: `GET /app/x HTTP/1.1\r\nHost: ${HOST}\r\nApi-Key: key-1\r\n\r\n`,
        status: /^HTTP\/1.1 400/,
      },
      'a request line that is not HTTP': { bytes: 'garbage\r\n\r\n', status: /^HTTP\/1.1 400/ },
    };

    async function checkRefused(bytes: string, status: RegExp): Promise<void> {
      const upstream = await openFixture();
      assert.match(await sendBytes(fixture.callerPort, bytes), status);
      assert.equal(upstream.received.length, 0);
    }

    for (const [name, { bytes, status }] of Object.entries(cases)) {
      it(`refuses a request with ${name} without running it`, () => checkRefused(bytes, status));
    }
  });
});
