import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { writeWithoutEnd } from '@cactusstair/standins';
import { waitFor } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import type { ReceivedRequest } from './support/scriptedUpstream.js';
import {
  formatAnswer,
  formatChunk,
  formatUnframedHead,
  LAST_CHUNK,
} from './support/scriptedUpstream.js';

const MEBIBYTE = 1024 * 1024;
const MAX_ANSWER_BYTES = 8 * MEBIBYTE;
const ENDLESS_COUNT = 12;

const routes = (['idempotent', 'non_idempotent', 'stream'] as const).map((kind) =>
  createRoute({ name: kind, kind, pathPrefix: `/${kind}/`, maxAttempts: 1, timeoutMs: 60_000 }),
);

const headers = { 'x-deadline-ms': '60000' };

describe('answers without end', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  /** The parts of an answer that an upstream may send without end. */
  const endless: Record<string, (socket: Socket, request: ReceivedRequest) => void> = {
    'bytes that are no answer': (socket) => writeWithoutEnd(socket, 'x'.repeat(4096)),
    'a status line': (socket) => {
      socket.write('HTTP/1.1 200 ');
      writeWithoutEnd(socket, 'x'.repeat(4096));
    },
    'a header': (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nX-Long: ');
      writeWithoutEnd(socket, 'x'.repeat(4096));
    },
    'many headers': (socket) => {
      socket.write('HTTP/1.1 200 OK\r\n');
      writeWithoutEnd(socket, 'X-Many: x\r\n'.repeat(100));
    },
    'a body that ends with the connection': (socket, request) => {
      socket.write(formatUnframedHead(request));
      writeWithoutEnd(socket, Buffer.alloc(65_536, 'x'));
    },
    'chunks of a body': (socket, request) => {
      socket.write(`${formatUnframedHead(request).slice(0, -2)}Transfer-Encoding: chunked\r\n\r\n`);
      writeWithoutEnd(socket, formatChunk('x'.repeat(65_536)));
    },
    'the body of a failure': (socket, request) => {
      socket.write(formatUnframedHead(request, 500));
      writeWithoutEnd(socket, Buffer.alloc(65_536, 'x'));
    },
  };

  Object.entries(endless).forEach(([name, answer]) => {
    it(`are failures that end the connection (${name})`, async () => {
      fixture = await RelayFixture.open(routes);
      const upstream = await fixture.addUpstream('a', answer);
      await fixture.waitReady();
      for (const { kind } of routes) {
        const { status } = await sendRequest(fixture.callerPort, {
          path: `/${kind}/item`,
          headers,
        });
        assert.equal(status, 502, kind);
      }
      await waitFor(() => upstream.closed.length === routes.length, {
        what: 'the connections to be closed',
        timeoutMs: 5000,
      });
    });
  });

  it('are not read when they declare more than the limit', async () => {
    fixture = await RelayFixture.open(routes);
    let writtenBytes = 0;
    const upstream = await fixture.addUpstream('a', (socket, request) => {
      const head = formatAnswer(request, 200, '', { 'Content-Length': String(100 * MEBIBYTE) });
      socket.write(head);
      writeWithoutEnd(socket, Buffer.alloc(65_536, 'x'));
      socket.on('close', () => {
        writtenBytes = socket.bytesWritten;
      });
    });
    await fixture.waitReady();
    const answer = await sendRequest(fixture.callerPort, { path: '/idempotent/item', headers });
    assert.equal(answer.status, 502);
    await waitFor(() => upstream.closed.length > 0, { what: 'the close', timeoutMs: 5000 });
    // What the connection's buffers take, which is less than the limit of an answer.
    assert.ok(writtenBytes < MAX_ANSWER_BYTES, `${writtenBytes} bytes`);
  });

  it('leave room for an allowed answer of another upstream', async () => {
    fixture = await RelayFixture.open([
      ...routes,
      createRoute({
        name: 'sound',
        pathPrefix: '/sound/',
        targets: [{ service: 'sound', weight: 1 }],
        timeoutMs: 60_000,
      }),
    ]);
    const sockets: Socket[] = [];
    await fixture.addUpstream('endless', (socket, request) => {
      sockets.push(socket);
      socket.write(formatUnframedHead(request));
      // More than an answer without memory may hold, and then nothing: the memory stays held.
      socket.write(Buffer.alloc(MEBIBYTE, 'x'));
    });
    const body = 'y'.repeat(MAX_ANSWER_BYTES);
    await fixture.addUpstream(
      'sound',
      (socket, request) => socket.end(formatUnframedHead(request) + body),
      { service: 'sound' },
    );
    await fixture.waitReady();
    const held = Array.from({ length: ENDLESS_COUNT }, () =>
      sendRequest(fixture.callerPort, { path: '/non_idempotent/item', headers }),
    );
    await waitFor(() => sockets.length === ENDLESS_COUNT, { what: 'requests', timeoutMs: 5000 });
    for (let sent = 0; sent < 3; sent += 1) {
      const answer = await sendRequest(fixture.callerPort, { path: '/sound/item', headers });
      assert.equal(answer.status, 200);
      assert.ok(answer.body === body, `${answer.body.length} bytes`);
    }
    sockets.forEach((socket) => socket.resetAndDestroy());
    assert.deepEqual(
      new Set((await Promise.all(held)).map(({ status }) => status)),
      new Set([502]),
    );
  });

  it('do not include a long answer of very small chunks, which is passed on whole', async () => {
    fixture = await RelayFixture.open(routes);
    const length = 200_000;
    await fixture.addUpstream('a', (socket, request) => {
      const head = formatUnframedHead(request).slice(0, -2);
      const chunks = formatChunk('x').repeat(length);
      socket.end(`${head}Transfer-Encoding: chunked\r\n\r\n${chunks}${LAST_CHUNK}`);
    });
    await fixture.waitReady();
    const answer = await sendRequest(fixture.callerPort, { path: '/idempotent/item', headers });
    assert.deepEqual([answer.status, answer.body.length], [200, length]);
  });
});
