import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { sendRequest } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import type { Script } from './support/scriptedUpstream.js';
import {
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
  latencyGoalMs: 2000,
  maxEventGapMs: 2000,
});

/** Longer than 0.7 s, after which streams were given up whatever their route allows. */
const PAUSE_MS = 1100;

/** Streams two events, pauses, and streams the rest. */
const pauseAfterEvents: Script = (socket, request) => {
  socket.write(formatStreamHead(request) + formatChunk(formatEvents(1, 2)));
  setTimeout(() => socket.end(formatChunk(formatEvents(3, 4)) + LAST_CHUNK), PAUSE_MS);
};

describe('silent streams', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  // Sound streams were given up in a pause of 700 ms, and their retries were then missing.
  it('are not given up in a pause that their route allows', async () => {
    const pair = await RelayFixture.openPair([route], pauseAfterEvents);
    fixture = pair.fixture;
    const answer = await sendRequest(fixture.callerPort);
    assert.deepEqual([answer.body, answer.isWhole], [formatEvents(1, 4), true]);
    assert.equal(pair.upstreams.flatMap(({ received }) => received).length, 1);
  });

  // An engine sends nothing on any stream while it reads a long prompt.
  it('are not given up when their upstream pauses all its streams for a moment', async () => {
    const pair = await RelayFixture.openPair([route], pauseAfterEvents);
    fixture = pair.fixture;
    const calls = Array.from({ length: 6 }, () => sendRequest(fixture.callerPort));
    const answers = await Promise.all(calls);
    assert.ok(answers.every(({ isWhole }) => isWhole));
    assert.equal(pair.upstreams.flatMap(({ received }) => received).length, 6);
  });

  // Callers abandon this stream after a pause of 2.4 s.
  it('of an upstream that went dark go on elsewhere before their callers leave', async () => {
    const dark: Script = (socket, request) => {
      socket.write(formatStreamHead(request) + formatChunk(formatEvents(1, 2)));
    };
    const short = createRoute({ ...route, latencyGoalMs: 500, maxEventGapMs: 300 });
    fixture = await RelayFixture.open([short]);
    let isFirst = true;
    const script: Script = (socket, request) => {
      (isFirst ? dark : streamRest(4))(socket, request);
      isFirst = false;
    };
    await fixture.addUpstream('a', script);
    await fixture.addUpstream('b', script);
    await fixture.waitReady();
    const startedMs = performance.now();
    const answer = await sendRequest(fixture.callerPort);
    assert.deepEqual([answer.body, answer.isWhole], [formatEvents(1, 4), true]);
    const durationMs = performance.now() - startedMs;
    assert.ok(durationMs < 2400, `the stream took ${durationMs} ms`);
  });

  // Giving up a run whose replacement comes too late only loses its answer.
  it('stay where they are when no replacement can be complete in time', async () => {
    const late = createRoute({
      ...route,
      timeoutMs: 2400,
      latencyGoalMs: 300,
      maxEventGapMs: 100,
    });
    let runs = 0;
    const script: Script = (socket, request) => {
      runs += 1;
      // The first runs teach the relay that no upstream sends its first event within 1.5 s.
      const waitMs = runs <= 8 ? 1500 : 2000;
      setTimeout(() => streamRest(2)(socket, request), waitMs);
    };
    const pair = await RelayFixture.openPair([late], script);
    fixture = pair.fixture;
    await Promise.all(Array.from({ length: 8 }, () => sendRequest(fixture.callerPort)));
    const before = runs;
    const answer = await sendRequest(fixture.callerPort);
    assert.equal(answer.isWhole, true);
    assert.equal(runs - before, 1);
  });
});
