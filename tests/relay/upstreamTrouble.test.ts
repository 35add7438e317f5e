import assert from 'node:assert/strict';
import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { sendRequest } from './support/caller.js';
import { API_KEY, createRoute, HOST, RelayFixture } from './support/relayFixture.js';
import type { Script } from './support/scriptedUpstream.js';
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
  timeoutMs: 6000,
  latencyGoalMs: 500,
  maxEventGapMs: 300,
});

/** The socket buffers of both connections, which the kernel may grow to a few MiB each. */
const MAX_READ_AHEAD_BYTES = 24 * 1024 * 1024;

/** Writes `text` repeatedly, as fast as the connection accepts it, until it closes. */
function writeEndlessly(socket: Socket, text: string): void {
  const write = () => {
    while (!socket.destroyed && socket.write(text));
    if (!socket.destroyed) socket.once('drain', write);
  };
  write();
}

/** Writes `text` at an interval until the connection closes. */
function writeSlowly(socket: Socket, text: string, intervalMs: number): void {
  const timer = setInterval(() => socket.write(text), intervalMs);
  socket.once('close', () => clearInterval(timer));
}

describe('upstreams in trouble', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  /** Opens two upstreams; whichever is asked first plays `first`, and all later calls are sound. */
  async function openFixture(first: Script, routes = [route]) {
    let count = 0;
    const script: Script = (socket, received) => {
      count += 1;
      if (count === 1) first(socket, received);
      else streamRest(4)(socket, received);
    };
    fixture = await RelayFixture.open(routes);
    await fixture.addUpstream('a', script);
    await fixture.addUpstream('b', script);
    await fixture.waitReady();
  }

  /** Streams two events and then `play`s the trouble. */
  function playAfterEvents(play: (socket: Socket) => void): Script {
    return (socket, received) => {
      socket.write(formatStreamHead(received) + formatChunk(formatEvents(1, 2)), () =>
        play(socket),
      );
    };
  }

  async function assertMoved(): Promise<void> {
    const answer = await sendRequest(fixture.callerPort);
    assert.equal(answer.isWhole, true);
    assert.equal(answer.body, formatEvents(1, 4));
  }

  describe('stream without an end', () => {
    it('of one event is resumed at another upstream', async () => {
      await openFixture(
        playAfterEvents((socket) => {
          socket.write(formatChunk('id: 3\ndata: '));
          writeEndlessly(socket, formatChunk('x'.repeat(16_000)));
        }),
      );
      await assertMoved();
    });

    it('of comment lines is resumed at another upstream', async () => {
      await openFixture(
        playAfterEvents((socket) =>
          writeEndlessly(socket, formatChunk(': comment\n\n'.repeat(500))),
        ),
      );
      await assertMoved();
    });

    it('of blank lines is resumed at another upstream', async () => {
      await openFixture(
        playAfterEvents((socket) => writeEndlessly(socket, formatChunk('\n'.repeat(5000)))),
      );
      await assertMoved();
    });

    it('of events is not read ahead of a caller that stops reading', async () => {
      let last = 0;
      let sent = 0;
      const script: Script = (socket, received) => {
        socket.write(formatStreamHead(received));
        const write = () => {
          let isAccepted = true;
          while (!socket.destroyed && isAccepted) {
            last += 1;
            const chunk = formatChunk(`id: ${last}\ndata: ${'x'.repeat(60_000)}\n\n`);
            sent += chunk.length;
            isAccepted = socket.write(chunk);
          }
          if (!socket.destroyed) socket.once('drain', write);
        };
        write();
      };
      fixture = await RelayFixture.open([route]);
      await fixture.addUpstream('a', script);
      await fixture.waitReady();
      const answer = await openAnswer(fixture.callerPort);
      answer.pause();
      await sleep(2000);
      answer.destroy();
      assert.ok(sent < MAX_READ_AHEAD_BYTES, `${sent} bytes were read for a caller that did not`);
    });
  });

  describe('stream that drips', () => {
    it('comment lines is resumed at another upstream', async () => {
      await openFixture(
        playAfterEvents((socket) => writeSlowly(socket, formatChunk(': comment\n\n'), 50)),
      );
      await assertMoved();
    });

    it('single bytes of an event is resumed at another upstream', async () => {
      await openFixture(
        playAfterEvents((socket) => {
          socket.write(formatChunk('id: 3\ndata: '));
          writeSlowly(socket, formatChunk('x'), 50);
        }),
      );
      await assertMoved();
    });

    it('repeated events is resumed at another upstream', async () => {
      await openFixture(
        playAfterEvents((socket) => writeSlowly(socket, formatChunk(formatEvents(2, 2)), 50)),
      );
      await assertMoved();
    });
  });

  it('a rejection whose body never ends is known by its head', async () => {
    let count = 0;
    const script: Script = (socket, received) => {
      count += 1;
      if (count > 1) {
        socket.end(formatAnswer(received, 200, 'whole'));
        return;
      }
      const headers = { 'X-Not-Executed': '1', 'Content-Length': '1000' };
      socket.write(formatAnswer(received, 503, '', headers));
      writeSlowly(socket, 'x', 50);
    };
    fixture = await RelayFixture.open([createRoute({ kind: 'non_idempotent', maxAttempts: 2 })]);
    await fixture.addUpstream('a', script);
    await fixture.addUpstream('b', script);
    await fixture.waitReady();
    assert.equal((await sendRequest(fixture.callerPort)).body, 'whole');
  });

  describe('slow caller', () => {
    it('receives a whole stream without another run', async () => {
      const large = `id: 1\ndata: ${'x'.repeat(200_000)}\n\n`;
      const last = 40;
      const script: Script = (socket, received) => {
        socket.write(formatStreamHead(received));
        for (let id = 1; id <= last; id += 1) {
          socket.write(formatChunk(large.replace('id: 1', `id: ${id}`)));
        }
        socket.end(LAST_CHUNK);
      };
      fixture = await RelayFixture.open([route]);
      const upstreams = [
        await fixture.addUpstream('a', script),
        await fixture.addUpstream('b', script),
      ];
      await fixture.waitReady();
      const answer = await openAnswer(fixture.callerPort);
      answer.pause();
      // Longer than the longest pause between events.
      await sleep(1500);
      let bytes = 0;
      for await (const chunk of answer as AsyncIterable<Buffer>) bytes += chunk.length;
      assert.equal(answer.complete, true);
      assert.ok(bytes > last * 200_000);
      assert.equal(upstreams.flatMap(({ received }) => received).length, 1);
    });
  });
});

/** Sends a request and resolves with the head of its answer; the body is left unread. */
function openAnswer(port: number): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const outgoing = request({
      agent: false,
      host: '127.0.0.1',
      port,
      method: 'POST',
      path: '/app/item',
      headers: {
        host: HOST,
        'x-attempt-id': 'slow-1',
        'api-key': API_KEY,
        'x-deadline-ms': '9000',
      },
    });
    outgoing.on('error', reject);
    outgoing.on('response', (answer) => {
      answer.on('error', () => {});
      resolve(answer);
    });
    outgoing.end();
  });
}
