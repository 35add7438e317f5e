import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import type { InstanceLimits } from '@cactusstair/relay';
import { computeCallerCapacity } from '@cactusstair/relay';
import { waitFor } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import { API_KEY, createConfig, createRoute, HOST, RelayFixture } from './support/relayFixture.js';
import type { ScriptedUpstream } from './support/scriptedUpstream.js';
import { formatAnswer } from './support/scriptedUpstream.js';

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const CHUNKED = 'Transfer-Encoding: chunked';
const SLOW_CHUNK_BYTES = 32 * 1024;
/** Twice as many as get memory at once. */
const BURST = 16;

function formatHead(framing: string): string {
  const lines = [
    'POST /app/item HTTP/1.1',
    `Host: ${HOST}`,
    'X-Attempt-Id: attempt',
    `Api-Key: ${API_KEY}`,
    'X-Deadline-Ms: 20000',
    framing,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

const formatChunk = (bytes: number) => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

describe('bodies of callers', () => {
  const sockets: Socket[] = [];
  let fixture: RelayFixture;
  let upstream: ScriptedUpstream;

  beforeEach(async () => {
    const routes = [createRoute({ kind: 'non_idempotent', timeoutMs: 20_000 })];
    fixture = await RelayFixture.open(routes);
    const config = createConfig(2, routes);
    fixture.store.config.put('main', {
      ...config,
      limits: { ...config.limits, maxBodyBytes: MAX_BODY_BYTES },
    });
    await fixture.waitForLine('"event":"config_applied","version":2');
    upstream = await fixture.addUpstream('a', (socket, request) =>
      socket.end(formatAnswer(request, 200, String(request.body.length))),
    );
    await fixture.waitReady();
  });

  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy();
    await fixture.close();
  });

  /** Opens a connection and collects what is received on it. */
  function open(): { socket: Socket; received: { text: string; isClosed: boolean } } {
    const socket = connect(fixture.callerPort, '127.0.0.1');
    const received = { text: '', isClosed: false };
    socket.on('error', () => {});
    socket.on('data', (chunk) => {
      received.text += chunk.toString('latin1');
    });
    socket.on('close', () => {
      received.isClosed = true;
    });
    sockets.push(socket);
    return { socket, received };
  }

  /** Asserts a refusal that says that the request was not run, on a connection that ends. */
  async function assertRefused(
    received: { text: string; isClosed: boolean },
    status: number,
  ): Promise<void> {
    await waitFor(() => received.isClosed, { what: 'the end', timeoutMs: 10_000 });
    assert.match(received.text, new RegExp(`^HTTP/1\\.1 ${status} `));
    assert.match(received.text, /x-cactusstair-ran: no/);
    assert.match(received.text, /connection: close/i);
    assert.equal(upstream.received.length, 0);
  }

  describe('that are refused', () => {
    it('one whose announced length exceeds the limit, without reading it', async () => {
      const { socket, received } = open();
      socket.write(formatHead('Content-Length: 900000000000'));
      await assertRefused(received, 413);
    });

    // After a 413 the instance read on for as long as the caller sent.
    it('one that is sent beyond the limit', async () => {
      const { socket, received } = open();
      socket.write(formatHead(CHUNKED));
      const chunk = formatChunk(65_536);
      const send = () => {
        while (!socket.destroyed && socket.write(chunk));
      };
      socket.on('drain', send);
      send();
      await assertRefused(received, 413);
    });

    // Bodies in chunks of one byte took all the time of the process.
    it('one in chunks of one byte', async () => {
      const { socket, received } = open();
      socket.write(formatHead(CHUNKED) + formatChunk(1).repeat(100_000));
      await assertRefused(received, 413);
    });
  });

  describe('that are served', () => {
    const sizes = { 'of 100 bytes': 100, 'of 1000 bytes': 1000, 'of 64 KiB': 65_536 };
    Object.entries(sizes).forEach(([name, bytes]) => {
      it(`4 MiB in chunks ${name}`, async () => {
        const { socket, received } = open();
        const count = Math.floor(MAX_BODY_BYTES / bytes);
        socket.write(`${formatHead(CHUNKED)}${formatChunk(bytes).repeat(count)}0\r\n\r\n`);
        await waitFor(() => received.text.includes('\r\n\r\n'), { what: 'it', timeoutMs: 30_000 });
        assert.match(received.text, /^HTTP\/1\.1 200 /);
      });
    });

    it('a small one in chunks of one byte', async () => {
      const { socket, received } = open();
      socket.write(`${formatHead(CHUNKED)}${formatChunk(1).repeat(4000)}0\r\n\r\n`);
      await waitFor(() => received.text !== '', {
        what: 'it',
        timeoutMs: 10_000,
      });
      assert.match(received.text, /^HTTP\/1\.1 200 /);
    });

    it('4 MiB over a slow link, while other callers stall', async () => {
      for (let index = 0; index < 30; index += 1) {
        open().socket.write(formatHead(CHUNKED) + formatChunk(65_536));
      }
      const { socket, received } = open();
      socket.write(formatHead(`Content-Length: ${MAX_BODY_BYTES}`));
      const block = Buffer.alloc(SLOW_CHUNK_BYTES, 'x');
      for (let sent = 0; sent < MAX_BODY_BYTES; sent += block.length) {
        socket.write(block);
        await sleep(50);
      }
      await waitFor(() => received.text !== '', { what: 'the answer', timeoutMs: 20_000 });
      assert.match(received.text, /^HTTP\/1\.1 200 /);
    });

    // Callers that send a few bytes at a time would hold the memory for bodies for hours.
    it('one of a sound caller, when others trickle and hold all memory', async () => {
      const trickling = Array.from({ length: 10 }, open);
      for (const { socket } of trickling) {
        socket.write(formatHead(CHUNKED) + formatChunk(65_536));
      }
      const timer = setInterval(() => {
        for (const { socket } of trickling) socket.write(formatChunk(100));
      }, 100);
      try {
        await sleep(500);
        const { status } = await sendRequest(fixture.callerPort, {
          body: 'x'.repeat(MAX_BODY_BYTES),
          headers: { 'x-deadline-ms': '20000' },
        });
        assert.equal(status, 200);
        const refused = trickling.filter(({ received }) => received.text !== '');
        assert.ok(refused.length > 0);
        for (const { received } of refused) {
          assert.match(received.text, /^HTTP\/1\.1 503 /);
          assert.match(received.text, /x-cactusstair-ran: no/);
          assert.match(received.text, /retry-after: /);
        }
      } finally {
        clearInterval(timer);
      }
    });

    it('a burst of large ones at a start', async () => {
      const body = 'x'.repeat(MAX_BODY_BYTES);
      const headers = { 'x-deadline-ms': '20000' };
      const answers = await Promise.all(
        Array.from({ length: BURST }, () => sendRequest(fixture.callerPort, { body, headers })),
      );
      assert.deepEqual(
        answers.map(({ status }) => status),
        Array.from({ length: BURST }, () => 200),
      );
    });
  });
});

describe('computeCallerCapacity', () => {
  const machines: Record<string, InstanceLimits> = {
    'the smallest machine': { memoryBytes: 210e6, maxDescriptors: 2212 },
    'the largest machine': { memoryBytes: 602e6, maxDescriptors: 10_250 },
    'a machine without settings': {},
  };
  Object.entries(machines).forEach(([name, limits]) => {
    it(`leaves ${name} descriptors for each request's upstream, files and peers`, () => {
      const capacity = computeCallerCapacity(limits);
      const { bodyBytes, maxCallers, maxPeers, maxStatus } = capacity;
      const maxDescriptors = limits.maxDescriptors ?? 10_000;
      assert.ok(2 * maxCallers + maxPeers + maxStatus + 200 <= maxDescriptors);
      assert.ok(maxCallers >= 800, String(maxCallers));
      // Half of it is for one workspace, which has to get a body of 4 MiB.
      assert.ok(bodyBytes >= 2 * MAX_BODY_BYTES, String(bodyBytes));
      assert.ok(bodyBytes <= (limits.memoryBytes ?? 602e6) / 8);
    });
  });

  it('serves callers also with absurd settings', () => {
    const { maxCallers } = computeCallerCapacity({ maxDescriptors: 10, memoryBytes: 1 });
    assert.ok(maxCallers > 0);
  });
});
