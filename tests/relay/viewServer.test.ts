import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { findFreePorts } from '@cactusstair/place';
import { ViewServer } from '@cactusstair/relay';
import { waitFor } from '@cactusstair/utils';

const REQUESTS = 4000;
/** Close to the largest view; unread responses soon fill the buffers of both sockets. */
const VIEW_TEXT = 'v'.repeat(40_000);
/** Fewer than one read of 64 KiB holds, and more than the buffers of both sockets hold views. */
const MAX_UNREAD = 600;
const SETTLE_MS = 1500;

describe('ViewServer', () => {
  let server: ViewServer;
  let socket: Socket;

  afterEach(async () => {
    socket.destroy();
    await server.close();
  });

  // All requests of one read, 1200 here, were answered into memory at once.
  it('prepares no further view while a response is unread', async () => {
    let exported = 0;
    const nothing = { exportSince: () => undefined };
    const view = {
      exportSince: () => {
        exported += 1;
        const change = { name: 'a', value: VIEW_TEXT, revision: 1, isDeleted: false };
        return {
          changes: [change],
          revision: 1,
          ageMs: 0,
          isDisturbed: false,
          restoredAgeMs: null,
        };
      },
    };
    server = new ViewServer(
      { config: view, upstreams: nothing, rollouts: nothing },
      { maxConnections: 10 },
    );
    const [port] = (await findFreePorts(1)) as [number];
    await server.listen({ host: '127.0.0.1', port });
    socket = connect(port, '127.0.0.1');
    socket.on('error', () => {});
    socket.write('GET /views/config?since=1 HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(REQUESTS));
    await waitFor(() => exported > 0, { what: 'a view', timeoutMs: 5000 });
    await sleep(SETTLE_MS);
    const unread = exported;
    assert.ok(unread < MAX_UNREAD, `${unread} views`);
    // They are prepared as the responses are read.
    socket.resume();
    await waitFor(() => exported === REQUESTS, { what: 'all views', timeoutMs: 30_000 });
  });
});
