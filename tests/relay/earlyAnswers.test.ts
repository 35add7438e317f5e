import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { systemClock } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import { createRecord } from './support/records.js';
import { createConfig, createRoute, RelayFixture } from './support/relayFixture.js';
import type { ReceivedRequest } from './support/scriptedUpstream.js';
import { formatEvents, formatUnframedHead } from './support/scriptedUpstream.js';

/** Larger than the buffers of a connection, so that it is still being written at the reset. */
const BODY_BYTES = 16 * 1024 * 1024;
const TRIES = 4;
const CALLER_TIMEOUT_MS = 10_000;
const CONTENT_BY_KIND = {
  idempotent: 'a part of the body',
  non_idempotent: 'a part of the body',
  stream: formatEvents(1, 2),
} as const;

const routes = (['idempotent', 'non_idempotent', 'stream'] as const).map((kind) =>
  createRoute({
    name: kind,
    kind,
    pathPrefix: `/${kind}/`,
    isResumable: kind === 'stream',
    timeoutMs: 3000,
  }),
);

/**
 * An upstream that answers a request as soon as it has read the head, does not read the body, and
 * resets the connection.
 */
async function openEarlyUpstream(resetAfterMs: number): Promise<{ server: Server; count: number }> {
  const upstream = { server: createServer(), count: 0 };
  const answer = async (socket: Socket, head: string) => {
    upstream.count += 1;
    socket.pause();
    const id = /^x-attempt-id: (.*)$/im.exec(head)?.[1]?.trim() ?? '';
    const request: ReceivedRequest = {
      method: 'POST',
      path: '',
      headers: { 'x-attempt-id': id },
      body: '',
    };
    const kind = head.includes('/stream/') ? 'stream' : 'idempotent';
    socket.write(formatUnframedHead(request) + CONTENT_BY_KIND[kind]);
    await systemClock.sleep(resetAfterMs);
    socket.resetAndDestroy();
  };
  upstream.server.on('connection', (socket) => {
    socket.on('error', () => {});
    let head = '';
    const read = (chunk: Buffer) => {
      head += chunk.toString('latin1');
      if (!head.includes('\r\n\r\n')) return;
      socket.off('data', read);
      void answer(socket, head);
    };
    socket.on('data', read);
  });
  await new Promise<void>((resolve) => {
    upstream.server.listen(0, '127.0.0.1', resolve);
  });
  return upstream;
}

/** Guards against a reset that is taken for the ordinary end of an answer without a length. */
describe('an answer without a length to an upload that is still being written', () => {
  let fixture: RelayFixture;
  let servers: Server[] = [];

  afterEach(async () => {
    await fixture.close();
    for (const server of servers) server.close();
    servers = [];
  });

  async function checkReset(kind: (typeof routes)[number]['kind'], resetAfterMs: number) {
    fixture = await RelayFixture.open(routes);
    const upstreams = [
      await openEarlyUpstream(resetAfterMs),
      await openEarlyUpstream(resetAfterMs),
    ];
    servers = upstreams.map(({ server }) => server);
    servers.forEach((server, index) => {
      const id = `early-${index}`;
      const { port } = server.address() as AddressInfo;
      fixture.store.upstreams.put(id, createRecord(id, { port }));
    });
    const config = createConfig(2, routes);
    const limits = { ...config.limits, maxBodyBytes: 2 * BODY_BYTES };
    fixture.store.config.put('main', { ...config, limits });
    await fixture.waitForLine('"event":"config_applied","version":2');
    await fixture.waitForLine('"event":"upstream_seen"', servers.length);
    await fixture.waitReady();
    const body = 'x'.repeat(BODY_BYTES);
    for (let sent = 0; sent < TRIES; sent += 1) {
      const answer = await sendRequest(fixture.callerPort, {
        path: `/${kind}/item`,
        body,
        signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
      });
      const isComplete = answer.status === 200 && answer.isWhole;
      assert.equal(isComplete, false, `${answer.status} ${answer.body}`);
    }
    assert.ok(upstreams.some(({ count }) => count > 0));
    assert.doesNotMatch(fixture.lines.join(''), /"event":"fault"/);
  }

  routes.forEach(({ kind }) => {
    for (const resetAfterMs of [0, 60]) {
      it(`is not complete when it is reset after ${resetAfterMs} ms (${kind})`, () =>
        checkReset(kind, resetAfterMs));
    }
  });
});
