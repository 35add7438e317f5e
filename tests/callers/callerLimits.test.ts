import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { get } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { after, before, describe, it } from 'node:test';

import { API_KEY, assertRefused, CallerFixture, limits, parseRawAnswers } from './callerFixture.js';

const OTHER_KEY = 'other-caller-secret-key-91bc';
const BODY_BYTES = 400_000;
/** Half of it, the share of one workspace, has room for one body. */
const BODY_MEMORY_BYTES = 1_048_576;
/** More than a body may have without memory of the budget, and too little to be a fast body. */
const STALLED_BYTES = 12_000;
const STALLED_UPLOADS = 6;
const MAX_CONNECTIONS = 8;
const IDLE_CONNECTIONS = 30;

const noop = () => {};

function createStalledUpload(): string {
  const head = [
    'POST /services/standings/write HTTP/1.1',
    'host: entry',
    `authorization: Bearer ${API_KEY}`,
    'idempotency-key: stalled',
    `content-length: ${BODY_BYTES}`,
  ];
  return `${head.join('\r\n')}\r\n\r\n${'x'.repeat(STALLED_BYTES)}`;
}

async function openIdleConnections(url: string): Promise<Socket[]> {
  const { hostname, port } = new URL(url);
  const sockets = Array.from({ length: IDLE_CONNECTIONS }, () =>
    connect(Number(port), hostname).on('error', noop),
  );
  await Promise.all(sockets.map((socket) => once(socket, 'connect')));
  return sockets;
}

/**
 * Sends a request over a new connection. A kept one is idle, so the instance may close it for others
 * while the request is on its way.
 */
async function fetchStatus(url: string): Promise<number | undefined> {
  const headers = { authorization: `Bearer ${API_KEY}` };
  const [answer] = (await once(get(url, { agent: false, headers }), 'response')) as [
    IncomingMessage,
  ];
  answer.resume();
  return answer.statusCode;
}

describe('limits over all callers of an entry instance', () => {
  let fixture: CallerFixture;

  before(async () => {
    fixture = await CallerFixture.start({
      workspaces: [
        { name: 'ladders', apiKey: API_KEY, models: ['small'] },
        { name: 'other', apiKey: OTHER_KEY, models: ['small'] },
      ],
      entrySettings: {
        limits: {
          ...limits,
          bodyBytes: BODY_BYTES,
          receiveMs: 5000,
          bodyMemoryBytes: BODY_MEMORY_BYTES,
          callerConnections: MAX_CONNECTIONS,
          metricsConnections: MAX_CONNECTIONS,
        },
        invariants: { fatal: true },
      },
    });
  });

  after(() => fixture.close());

  it('refuse uploads that stall, and not the upload of another workspace', async () => {
    const stalled = Array.from({ length: STALLED_UPLOADS }, () =>
      fixture.sendRaw(createStalledUpload()),
    );
    const answer = await fixture.send('POST', '/services/standings/write', {
      headers: { authorization: `Bearer ${OTHER_KEY}`, 'idempotency-key': 'whole' },
      body: Buffer.alloc(BODY_BYTES),
    });
    assert.equal(answer.status, 200, answer.text);
    const refusals = (await Promise.all(stalled)).flatMap(parseRawAnswers);
    const overloaded = refusals.filter(({ status }) => status === 503);
    for (const refusal of overloaded) {
      assertRefused(refusal, 503, 2101);
      assert.equal(refusal.headers['retry-after'], '2');
    }
    // The last one holds memory that nobody waits for, and has the time limit of any request.
    const late = refusals.filter(({ status }) => status !== 503);
    for (const refusal of late) assertRefused(refusal, 400, 1101);
    assert.deepEqual([overloaded.length, late.length], [STALLED_UPLOADS - 1, 1]);
    const journal = (await fixture.cluster.fetchJournal('riga-a-standings-1')) as {
      calls: unknown[];
    };
    assert.equal(journal.calls.length, 1, 'a refused request ran');
  });

  it('close idle connections for a caller that has a request', async () => {
    const sockets = await openIdleConnections(fixture.callers);
    assert.equal(await fetchStatus(`${fixture.callers}/v1/models`), 200);
    for (const socket of sockets) socket.destroy();
  });

  it('close idle connections to the metrics port for a load balancer', async () => {
    const { metrics = '' } = fixture.cluster.entries[0] ?? {};
    const sockets = await openIdleConnections(metrics);
    const closed = Promise.all(
      sockets.slice(0, IDLE_CONNECTIONS - MAX_CONNECTIONS).map((socket) => once(socket, 'close')),
    );
    for (const socket of sockets) socket.resume();
    assert.equal(await fetchStatus(`${metrics}/readyz`), 200);
    await closed;
    for (const socket of sockets) socket.destroy();
  });
});
