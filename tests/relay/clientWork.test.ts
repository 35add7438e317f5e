import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { platformDialect } from '@cactusstair/platform';
import type { Dialect, PromptPart } from '@cactusstair/relay';

import { sendBytes, sendRequest } from './support/caller.js';
import { API_KEY, createConfig, createRoute, HOST, RelayFixture } from './support/relayFixture.js';
import type { Script } from './support/scriptedUpstream.js';
import { formatAnswer } from './support/scriptedUpstream.js';

const UPSTREAMS = 6;
const PARTS = 300;
/** The parts are decoded, selected, remembered and looked up; none of it is done for each upstream. */
const MAX_READS_PER_PART = 4;
/** Node.js keeps 1000 by default. */
const HEADER_LINES = 1500;
const engine = { slots: 1, memoryTokens: 1_000_000, priceByModel: { small: 0.1, large: 0.2 } };
const services = [{ name: 'app', maxConnections: 100, engine }];
const STREAM = 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n';

const answerStream: Script = (socket, request) => {
  const type = { 'Content-Type': 'text/event-stream', 'X-Confidence': '95' };
  socket.end(formatAnswer(request, 200, STREAM, type));
};

/** Counts how often the ids of prompt parts are read. */
class PartReads {
  count = 0;

  readonly dialect: Dialect = {
    ...platformDialect,
    decodeRequest: (...head) => {
      const request = platformDialect.decodeRequest(...head);
      return { ...request, promptParts: request.promptParts.map((part) => this.watch(part)) };
    },
  };

  private watch({ id, tokens }: PromptPart): PromptPart {
    const record = () => {
      this.count += 1;
    };
    return {
      get id() {
        record();
        return id;
      },
      tokens,
    };
  }
}

describe('work for one request', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  // Each part was looked up at each upstream for each size; a prompt of 7500 took a second.
  it('does not grow with prompt parts times upstreams times sizes', async () => {
    const reads = new PartReads();
    const route = createRoute({ kind: 'stream', modelSizes: ['small', 'large'], timeoutMs: 8000 });
    fixture = await RelayFixture.open([route], undefined, {
      dialect: reads.dialect,
      prepare: ({ config }) => config.put('main', { ...createConfig(1, [route]), services }),
    });
    const held: (() => void)[] = [];
    let isHolding = true;
    const answer: Script = (socket, request) => {
      if (!isHolding) answerStream(socket, request);
      else held.push(() => answerStream(socket, request));
      if (held.length < UPSTREAMS) return;
      isHolding = false;
      for (const send of held.splice(0)) send();
    };
    for (let index = 0; index < UPSTREAMS; index += 1) {
      await fixture.addUpstream(`upstream-${index}`, answer, { slots: 1 });
    }
    await fixture.waitReady();
    const parts = Array.from({ length: PARTS }, (_, index) => `${index}:10`).join();
    const send = () =>
      sendRequest(fixture.callerPort, {
        headers: { 'x-model': '*', 'x-token-counts': '3000,5', 'x-prompt-prefix': parts },
      });
    // All upstreams get the parts, because each has one slot.
    const first = await Promise.all(Array.from({ length: UPSTREAMS }, send));
    assert.deepEqual(
      first.map(({ status }) => status),
      Array(UPSTREAMS).fill(200),
    );
    reads.count = 0;
    assert.equal((await send()).status, 200);
    assert.ok(reads.count <= MAX_READS_PER_PART * PARTS, `${reads.count} reads`);
  });
});

describe('requests with many header lines', () => {
  let fixture: RelayFixture;

  const lines = Array.from({ length: HEADER_LINES }, (_, index) => `a${index}: 1`);

  afterEach(async () => {
    await fixture.close();
  });

  function formatRequest(...last: string[]): string {
    const head = [
      'POST /app/item HTTP/1.1',
      `Host: ${HOST}`,
      `Api-Key: ${API_KEY}`,
      'X-Attempt-Id: many-lines',
      'X-Deadline-Ms: 4000',
      ...lines,
      ...last,
    ];
    return `${head.join('\r\n')}\r\n\r\n`;
  }

  it('are passed on with all of them', async () => {
    const { fixture: pair, upstreams } = await RelayFixture.openPair(
      [createRoute()],
      (socket, request) => socket.end(formatAnswer(request, 200, 'whole')),
    );
    fixture = pair;
    const text = await sendBytes(
      fixture.callerPort,
      formatRequest('X-Model: last', 'Content-Length: 0', 'Connection: close'),
    );
    assert.match(text, /^HTTP\/1.1 200 /);
    const [received] = upstreams.flatMap((upstream) => upstream.received);
    assert.equal(received?.headers['x-model'], 'last');
    assert.equal(received?.headers[`a${HEADER_LINES - 1}`], '1');
  });

  // The framing of such a body was not counted, and the parser got it byte by byte.
  it('are refused for a body that is mostly framing, as others are', async () => {
    const { fixture: pair } = await RelayFixture.openPair([createRoute()], (socket, request) => {
      socket.end(formatAnswer(request, 200, 'whole'));
    });
    fixture = pair;
    const text = await sendBytes(
      fixture.callerPort,
      formatRequest('Transfer-Encoding: chunked') + '1\r\nx\r\n'.repeat(8000),
    );
    assert.match(text, /^HTTP\/1.1 413 /);
  });
});
