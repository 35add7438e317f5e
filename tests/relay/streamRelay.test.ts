import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { sendRequest } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import type { ReceivedRequest, Script } from './support/scriptedUpstream.js';
import {
  formatChunk,
  formatEvents,
  formatStreamHead,
  LAST_CHUNK,
} from './support/scriptedUpstream.js';

const route = createRoute({
  kind: 'stream',
  isResumable: true,
  maxAttempts: 3,
  timeoutMs: 10_000,
  latencyGoalMs: 1000,
});

/** Streams the events that the request asks for, up to `last`. */
function streamRest(last: number): Script {
  return (socket, request) => {
    const first = Number(request.headers['last-event-id'] ?? '0') + 1;
    socket.end(formatStreamHead(request) + formatChunk(formatEvents(first, last)) + LAST_CHUNK);
  };
}

/** Runs `first` for the first request that comes to any upstream, then `others`. */
function runOnce(first: Script, others: Script): Script {
  let count = 0;
  return (socket, request) => {
    count += 1;
    if (count === 1) first(socket, request);
    else others(socket, request);
  };
}

describe('stream relay', () => {
  let place: RelayFixture;

  afterEach(async () => {
    await place.close();
  });

  async function openPlace(script: Script, routes = [route]) {
    place = await RelayFixture.open(routes);
    const upstreams = [await place.addUpstream('a', script), await place.addUpstream('b', script)];
    await place.waitReady();
    return upstreams;
  }

  describe('a stream that breaks', () => {
    it('goes on at another upstream after its last whole event', async () => {
      const upstreams = await openPlace(
        runOnce((socket, request) => {
          const events = `${formatEvents(1, 3)}id: 4\ndata: pie`;
          socket.write(formatStreamHead(request, { 'X-Mark': 'first' }) + formatChunk(events), () =>
            socket.resetAndDestroy(),
          );
        }, streamRest(6)),
      );
      const answer = await sendRequest(place.callerPort);
      assert.equal(answer.body, formatEvents(1, 6));
      assert.equal(answer.isWhole, true);
      assert.equal(answer.headers['x-mark'], 'first');
      const resumed = upstreams.flatMap(({ received }) => received)[1] as ReceivedRequest;
      const all = upstreams.flatMap(({ received }) => received);
      assert.ok(
        all.some(({ headers }) => headers['last-event-id'] === '3'),
        String(resumed),
      );
    });

    it('does not look complete when no other upstream can go on', async () => {
      await openPlace((socket, request) => {
        socket.write(formatStreamHead(request) + formatChunk(formatEvents(1, 2)), () =>
          socket.resetAndDestroy(),
        );
      });
      const answer = await sendRequest(place.callerPort);
      assert.equal(answer.isWhole, false);
    });

    it('goes on elsewhere when its upstream falls silent', async () => {
      await openPlace(
        runOnce((socket, request) => {
          socket.write(formatStreamHead(request) + formatChunk(formatEvents(1, 2)));
        }, streamRest(4)),
      );
      assert.equal((await sendRequest(place.callerPort)).body, formatEvents(1, 4));
    });

    it('is not given up for silence while no other run is left', async () => {
      const single = createRoute({ ...route, maxAttempts: 1 });
      const upstreams = await openPlace(
        (socket, request) => {
          setTimeout(() => streamRest(3)(socket, request), 1000);
        },
        [single],
      );
      const answer = await sendRequest(place.callerPort);
      assert.equal(answer.body, formatEvents(1, 3));
      assert.equal(upstreams.flatMap(({ received }) => received).length, 1);
    });

    it('is not taken for whole when it had no length', async () => {
      await openPlace(
        runOnce((socket, request) => {
          const head = formatStreamHead(request).replace('Transfer-Encoding: chunked\r\n', '');
          socket.end(head + formatEvents(1, 2));
        }, streamRest(5)),
      );
      assert.equal((await sendRequest(place.callerPort)).body, formatEvents(1, 5));
    });
  });

  describe('a stream that may not be resumed', () => {
    it('is not asked for again', async () => {
      const upstreams = await openPlace(
        (socket) => socket.resetAndDestroy(),
        [createRoute({ ...route, isResumable: false })],
      );
      assert.equal((await sendRequest(place.callerPort)).status, 502);
      assert.equal(upstreams.flatMap(({ received }) => received).length, 1);
    });
  });

  describe('a choice of model sizes', () => {
    const sized = createRoute({ ...route, modelSizes: ['small', 'large'] });

    function answerBySize(confidence: string): Script {
      return (socket, request) => {
        const model = request.headers['x-model'] ?? '';
        const head = formatStreamHead(request, { 'X-Confidence': confidence });
        socket.end(`${head}${formatChunk(`id: 1\ndata: ${model}\n\n`)}${LAST_CHUNK}`);
      };
    }

    const headers = { 'x-model': '*', 'x-token-counts': '100,50' };

    it('keeps a confident answer of the smallest model', async () => {
      await openPlace(answerBySize('90'), [sized]);
      const answer = await sendRequest(place.callerPort, { headers });
      assert.equal(answer.body, 'id: 1\ndata: small\n\n');
    });

    it('drops a doubtful answer before its first byte and asks the largest model', async () => {
      await openPlace(answerBySize('20'), [sized]);
      const answer = await sendRequest(place.callerPort, { headers });
      assert.equal(answer.body, 'id: 1\ndata: large\n\n');
    });

    it('leaves a model that the caller names', async () => {
      await openPlace(answerBySize('20'), [sized]);
      const named = { ...headers, 'x-model': 'medium' };
      const answer = await sendRequest(place.callerPort, { headers: named });
      assert.equal(answer.body, 'id: 1\ndata: medium\n\n');
    });
  });
});
