import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { sendRequest } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import type { ReceivedRequest, Script } from './support/scriptedUpstream.js';
import {
  formatAnswer,
  formatChunk,
  formatEvents,
  formatStreamHead,
  LAST_CHUNK,
  streamRest,
} from './support/scriptedUpstream.js';

const route = createRoute({
  kind: 'stream',
  isResumable: true,
  maxAttempts: 3,
  timeoutMs: 10_000,
  latencyGoalMs: 1000,
});

/** Runs `first` for the first request at any upstream and `others` for all later ones. */
function runOnce(first: Script, others: Script): Script {
  let count = 0;
  return (socket, request) => {
    count += 1;
    if (count === 1) first(socket, request);
    else others(socket, request);
  };
}

/** Sends a part of a stream and resets the connection. */
function breakOffAfter(events: string): Script {
  return (socket, request) => {
    socket.write(formatStreamHead(request) + formatChunk(events), () => socket.resetAndDestroy());
  };
}

describe('stream relay', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  async function openFixture(script: Script, routes = [route]) {
    const pair = await RelayFixture.openPair(routes, script);
    fixture = pair.fixture;
    return pair.upstreams;
  }

  describe('spoilt event ids', () => {
    const head = formatEvents(1, 11);
    const spoilt = formatEvents(12, 12).replace('id: 12', 'id: 32');

    // The sound events after one spoilt id were dropped and the stream ended as complete (ORDER).
    ['id: 32', 'id: 2', 'id: x', 'ix: 12'].forEach((line) => {
      it(`do not drop the events that follow (${line})`, async () => {
        const body = head + formatEvents(12, 12).replace('id: 12', line) + formatEvents(13, 20);
        await openFixture((socket, request) => {
          socket.end(formatStreamHead(request) + formatChunk(body) + LAST_CHUNK);
        });
        const answer = await sendRequest(fixture.callerPort);
        assert.deepEqual([answer.body, answer.isWhole], [body, true]);
      });
    });

    it('do not let another upstream go on at a wrong place', async () => {
      await openFixture(runOnce(breakOffAfter(head + spoilt), streamRest(40)));
      const answer = await sendRequest(fixture.callerPort);
      assert.deepEqual([answer.body, answer.isWhole], [head + spoilt, false]);
    });

    // The pieces after a spoilt first id were skipped and the stream ended as complete (ORDER).
    it('of the first event do not let another upstream go on after them', async () => {
      const first = formatEvents(1, 1).replace('id: 1', 'id: 9');
      await openFixture(runOnce(breakOffAfter(first), streamRest(20)));
      const answer = await sendRequest(fixture.callerPort);
      assert.deepEqual([answer.body, answer.isWhole], [first, false]);
    });

    // An event whose end was spoilt holds the next one too, which then came twice (ORDER).
    const pieces = [11, 12, 13].map((id) => formatEvents(id, id));
    const joined = {
      'a byte of the blank line': pieces.join('').replace('12\n\nid', '12\nxid'),
      'a byte of the blank line, a colon': pieces.join('').replace('12\n\nid', '12\n:id'),
      'the end of the last line': pieces.join('').replace('12\n\nid', '12x\nid'),
    };
    Object.entries(joined).forEach(([name, text]) => {
      it(`do not let another upstream go on within an event that holds two (${name})`, async () => {
        const body = formatEvents(1, 10) + text;
        await openFixture(runOnce(breakOffAfter(body), streamRest(20)));
        const answer = await sendRequest(fixture.callerPort);
        assert.deepEqual([answer.body, answer.isWhole], [body, false]);
      });
    });

    it('in a run that goes on are left to a further run', async () => {
      let runs = 0;
      await openFixture((socket, request) => {
        runs += 1;
        if (runs === 1) breakOffAfter(head)(socket, request);
        else if (runs === 2) {
          const rest = spoilt + formatEvents(13, 20);
          socket.end(formatStreamHead(request) + formatChunk(rest) + LAST_CHUNK);
        } else streamRest(20)(socket, request);
      });
      const answer = await sendRequest(fixture.callerPort);
      assert.equal(answer.isWhole ? answer.body : formatEvents(1, 20), formatEvents(1, 20));
    });

    // The last piece was dropped as a repeat of an earlier one and the stream ended as complete (ORDER).
    ['id: 10', 'id: 19'].forEach((line) => {
      it(`of the last event of a run that goes on do not make it a repeat (${line})`, async () => {
        const last = formatEvents(20, 20).replace('id: 20', line);
        await openFixture(
          runOnce(breakOffAfter(formatEvents(1, 19)), (socket, request) => {
            socket.end(formatStreamHead(request) + formatChunk(last) + LAST_CHUNK);
          }),
        );
        const answer = await sendRequest(fixture.callerPort);
        assert.deepEqual([answer.body, answer.isWhole], [formatEvents(1, 19), false]);
      });
    });

    it('are passed on as they came to a caller that goes on with its own stream', async () => {
      const body = formatEvents(3, 8);
      await openFixture((socket, request) => {
        socket.end(formatStreamHead(request) + formatChunk(body) + LAST_CHUNK);
      });
      const headers = { 'last-event-id': '5' };
      const answer = await sendRequest(fixture.callerPort, { headers });
      assert.deepEqual([answer.body, answer.isWhole], [body, true]);
    });
  });

  describe('broken stream', () => {
    it('resumes at another upstream after the last complete event', async () => {
      const upstreams = await openFixture(
        runOnce((socket, request) => {
          const events = `${formatEvents(1, 3)}id: 4\ndata: pie`;
          socket.write(formatStreamHead(request, { 'X-Mark': 'first' }) + formatChunk(events), () =>
            socket.resetAndDestroy(),
          );
        }, streamRest(6)),
      );
      const answer = await sendRequest(fixture.callerPort);
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

    it('is not ended as complete when no other upstream can resume it', async () => {
      await openFixture((socket, request) => {
        socket.write(formatStreamHead(request) + formatChunk(formatEvents(1, 2)), () =>
          socket.resetAndDestroy(),
        );
      });
      const answer = await sendRequest(fixture.callerPort);
      assert.equal(answer.isWhole, false);
    });

    it('resumes at another upstream when the first one stops sending', async () => {
      await openFixture(
        runOnce((socket, request) => {
          socket.write(formatStreamHead(request) + formatChunk(formatEvents(1, 2)));
        }, streamRest(4)),
      );
      assert.equal((await sendRequest(fixture.callerPort)).body, formatEvents(1, 4));
    });

    it('waits for a silent upstream when no further attempt is allowed', async () => {
      const single = createRoute({ ...route, maxAttempts: 1 });
      const upstreams = await openFixture(
        (socket, request) => {
          setTimeout(() => streamRest(3)(socket, request), 1000);
        },
        [single],
      );
      const answer = await sendRequest(fixture.callerPort);
      assert.equal(answer.body, formatEvents(1, 3));
      assert.equal(upstreams.flatMap(({ received }) => received).length, 1);
    });
  });

  describe('stream with neither chunked encoding nor a length', () => {
    function writeUnframed(end: (socket: Socket, events: string) => void): Script {
      return (socket, request) => {
        const head = formatStreamHead(request).replace('Transfer-Encoding: chunked\r\n', '');
        socket.write(head, () => end(socket, formatEvents(1, 2)));
      };
    }

    async function playUnframed(end: (socket: Socket, events: string) => void, isResumable = true) {
      const upstreams = await openFixture(runOnce(writeUnframed(end), streamRest(5)), [
        createRoute({ ...route, isResumable }),
      ]);
      const answer = await sendRequest(fixture.callerPort);
      return { answer, runs: upstreams.flatMap(({ received }) => received).length };
    }

    it('is complete when its connection ends after an event', async () => {
      const { answer, runs } = await playUnframed((socket, events) => socket.end(events));
      assert.equal(answer.body, formatEvents(1, 2));
      assert.equal(answer.isWhole, true);
      assert.equal(runs, 1);
    });

    it('is complete also on a route whose streams cannot be resumed', async () => {
      const { answer } = await playUnframed((socket, events) => socket.end(events), false);
      assert.equal(answer.body, formatEvents(1, 2));
      assert.equal(answer.isWhole, true);
    });

    it('is resumed when its connection is reset after an event', async () => {
      const { answer } = await playUnframed((socket, events) =>
        socket.write(events, () => socket.resetAndDestroy()),
      );
      assert.equal(answer.body, formatEvents(1, 5));
      assert.equal(answer.isWhole, true);
    });

    for (const extra of ['HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n\r\n', 'out of memory\n\n']) {
      it(`is resumed when other bytes follow its events: ${JSON.stringify(extra)}`, async () => {
        const { answer } = await playUnframed((socket, events) => socket.end(events + extra));
        assert.equal(answer.body, formatEvents(1, 5));
        assert.equal(answer.isWhole, true);
      });
    }

    // The last one is a field of an event that is neither its id nor its data.
    for (const cut of ['id: 3\ndata: pie', 'id: 3\n', 'x-weight-versions: 2\n']) {
      it(`is resumed when it ends inside an event, after ${JSON.stringify(cut)}`, async () => {
        const { answer } = await playUnframed((socket, events) => socket.end(events + cut));
        assert.equal(answer.body, formatEvents(1, 5));
        assert.equal(answer.isWhole, true);
      });
    }
  });

  describe('answer of the next upstream after a stream was cut off', () => {
    const cut: Script = (socket, request) => {
      socket.write(formatStreamHead(request) + formatChunk(formatEvents(1, 2)), () =>
        socket.resetAndDestroy(),
      );
    };
    const answers = {
      'an error': (request: ReceivedRequest) => formatAnswer(request, 500, 'out of memory\n\n'),
      'an error that is not signed': (request: ReceivedRequest) =>
        formatAnswer(request, 502, 'bad gateway\n\n').replace('X-Response-Seal', 'X-Other'),
      'a text with status 200': (request: ReceivedRequest) =>
        formatAnswer(request, 200, 'out of memory\n\n', { 'Content-Type': 'text/plain' }),
      'a text before events': (request: ReceivedRequest) =>
        formatAnswer(request, 200, `out of memory\n\n${formatEvents(3, 4)}`),
      'a text in place of events': (request: ReceivedRequest) =>
        formatAnswer(request, 200, 'out of memory\n\n', { 'Content-Type': 'text/event-stream' }),
    };

    async function playCutThen(format: (request: ReceivedRequest) => string) {
      await openFixture(runOnce(cut, (socket, request) => socket.end(format(request))));
      return sendRequest(fixture.callerPort);
    }

    for (const [name, format] of Object.entries(answers)) {
      it(`does not get into the stream, and does not complete it: ${name}`, async () => {
        const answer = await playCutThen(format);
        assert.equal(answer.body, formatEvents(1, 2));
        assert.equal(answer.isWhole, false);
      });
    }
  });

  describe('non-resumable stream', () => {
    it('is not retried', async () => {
      const upstreams = await openFixture(
        (socket) => socket.resetAndDestroy(),
        [createRoute({ ...route, isResumable: false })],
      );
      assert.equal((await sendRequest(fixture.callerPort)).status, 502);
      assert.equal(upstreams.flatMap(({ received }) => received).length, 1);
    });
  });

  describe('model size selection', () => {
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
      await openFixture(answerBySize('90'), [sized]);
      const answer = await sendRequest(fixture.callerPort, { headers });
      assert.equal(answer.body, 'id: 1\ndata: small\n\n');
    });

    it('replaces a low-confidence answer by the largest model before the first byte', async () => {
      await openFixture(answerBySize('20'), [sized]);
      const answer = await sendRequest(fixture.callerPort, { headers });
      assert.equal(answer.body, 'id: 1\ndata: large\n\n');
    });

    it('does not replace a model that the caller requested', async () => {
      await openFixture(answerBySize('20'), [sized]);
      const named = { ...headers, 'x-model': 'medium' };
      const answer = await sendRequest(fixture.callerPort, { headers: named });
      assert.equal(answer.body, 'id: 1\ndata: medium\n\n');
    });
  });
});
