import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { sendBytes, sendRequest as sendOpenRequest } from './support/caller.js';
import { API_KEY, createRoute, HOST, RelayFixture } from './support/relayFixture.js';
import type { ReceivedRequest, Script } from './support/scriptedUpstream.js';
import { formatAnswer, formatRest } from './support/scriptedUpstream.js';

const TIMEOUT_MS = 1000;
/** Ends a request that is never answered. */
const CALLER_TIMEOUT_MS = 10 * TIMEOUT_MS;

const sendRequest = (port: number, options: { path: string }) =>
  sendOpenRequest(port, { ...options, signal: AbortSignal.timeout(CALLER_TIMEOUT_MS) });

const routes = (['idempotent', 'non_idempotent', 'stream'] as const).map((kind) =>
  createRoute({
    name: kind,
    kind,
    pathPrefix: `/${kind}/`,
    isResumable: kind === 'stream',
    timeoutMs: TIMEOUT_MS,
  }),
);

const formatWhole = (request: ReceivedRequest) =>
  request.path.startsWith('/stream/')
    ? formatRest(request, 3)
    : formatAnswer(request, 200, 'whole');

/** Heads that the HTTP parser accepts and that cannot be passed on. */
const spoil: Record<string, (whole: string) => string> = {
  'a space in a header name': (whole) => whole.replace('\r\n', '\r\nContent Type: text\r\n'),
  'an empty header name': (whole) => whole.replace('\r\n', '\r\n: text\r\n'),
  'a status above 599': (whole) => whole.replace('HTTP/1.1 200', 'HTTP/1.1 900'),
  'a status of two digits': (whole) => whole.replace('HTTP/1.1 200', 'HTTP/1.1 20'),
  'a status of zero': (whole) => whole.replace('HTTP/1.1 200', 'HTTP/1.1 000'),
  'a status below 100': (whole) => whole.replace('HTTP/1.1 200', 'HTTP/1.1 099'),
  // The parser takes it for an interim answer, and the end of the connection for the missing one.
  'an unknown interim status': (whole) => whole.replace('HTTP/1.1 200', 'HTTP/1.1 199'),
  'the first status above 599': (whole) => whole.replace('HTTP/1.1 200', 'HTTP/1.1 600'),
  'the last status of three digits': (whole) => whole.replace('HTTP/1.1 200', 'HTTP/1.1 999'),
  'a status of four digits': (whole) => whole.replace('HTTP/1.1 200', 'HTTP/1.1 1000'),
};

describe('a head that cannot be passed on', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  async function open(script: Script) {
    const pair = await RelayFixture.openPair(routes, script);
    fixture = pair.fixture;
    return pair.upstreams;
  }

  Object.entries(spoil).forEach(([name, change]) => {
    describe(`in an answer with ${name}`, () => {
      const answerSpoilt: Script = (socket, request) => socket.end(change(formatWhole(request)));

      it('is a failure that is answered before the timeout of the route', async () => {
        await open(answerSpoilt);
        for (const { kind } of routes) {
          const answer = await sendRequest(fixture.callerPort, { path: `/${kind}/item` });
          assert.equal(answer.status, 502, kind);
          assert.equal(answer.headers['x-response-seal'], undefined);
          assert.match(answer.body, /ran/);
        }
        assert.doesNotMatch(fixture.lines.join(''), /"event":"fault"/);
      });

      it('is followed by an attempt at another upstream where the request may run again', async () => {
        let count = 0;
        await open((socket, request) => {
          count += 1;
          if (count % 2 === 1) answerSpoilt(socket, request);
          else socket.end(formatWhole(request));
        });
        for (const kind of ['idempotent', 'stream']) {
          const answer = await sendRequest(fixture.callerPort, { path: `/${kind}/item` });
          assert.deepEqual([answer.status, answer.isWhole], [200, true], kind);
          assert.equal(answer.headers['x-response-seal'], 'seal');
        }
      });

      it('does not run a request twice that may run once', async () => {
        const upstreams = await open(answerSpoilt);
        await sendRequest(fixture.callerPort, { path: '/non_idempotent/item' });
        assert.equal(upstreams.flatMap(({ received }) => received).length, 1);
      });
    });
  });

  it('in an error answer to a stream is a failure as well', async () => {
    await open((socket, request) => {
      socket.end(formatAnswer(request, 500, 'failed', { 'Content Type': 'text' }));
    });
    const answer = await sendRequest(fixture.callerPort, { path: '/stream/item' });
    assert.equal(answer.status, 502);
  });

  ['Content Type: text', ': text'].forEach((line) => {
    it(`in a request ("${line}") is answered 400 and says nothing about the upstreams`, async () => {
      const upstreams = await open((socket, request) => socket.end(formatWhole(request)));
      const head = `POST /idempotent/item HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: odd\r\n`;
      const rest = `Api-Key: ${API_KEY}\r\n${line}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`;
      assert.match(await sendBytes(fixture.callerPort, head + rest), /^HTTP\/1\.1 400 /);
      assert.equal(upstreams.flatMap(({ received }) => received).length, 0);
      assert.equal((await sendRequest(fixture.callerPort, { path: '/stream/item' })).status, 200);
    });
  });
});
