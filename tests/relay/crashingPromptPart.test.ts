import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { systemClock, waitFor } from '@cactusstair/utils';

import type { CallerAnswer } from './support/caller.js';
import { sendRequest } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import type { ReceivedRequest, Script, ScriptedUpstream } from './support/scriptedUpstream.js';
import {
  formatChunk,
  formatEvents,
  formatStreamHead,
  LAST_CHUNK,
} from './support/scriptedUpstream.js';

const DEADLY_PART = 'deadbeef';
const UPSTREAM_COUNT = 6;
const EVENT_COUNT = 6;
/** Crashes after which requests with the part must no longer reach upstreams. */
const MAX_CRASHES = 5;
/** Requests with the part that may still reach upstreams after that. */
const MAX_LATE_REQUESTS = 3;
const ROUNDS = 14;
/** The bounds hold for instances that have run for this long. */
const CONTACT_MS = 3000;

const route = createRoute({
  kind: 'stream',
  isResumable: true,
  maxAttempts: 3,
  timeoutMs: 10_000,
  latencyGoalMs: 1000,
});

function hasDeadlyPart({ headers }: ReceivedRequest): boolean {
  return headers['x-prompt-prefix']?.includes(DEADLY_PART) ?? false;
}

describe('prompt part that crashes upstreams', () => {
  let fixture: RelayFixture;
  let upstreams: ScriptedUpstream[];
  let crashes: number;
  let lateRequests: number;

  /** Sends the events one by one, so that a request is in flight for a while. */
  const serve: Script = (socket, request) => {
    let next = Number(request.headers['last-event-id'] ?? '0') + 1;
    socket.write(formatStreamHead(request));
    const timer = setInterval(() => {
      if (next > EVENT_COUNT) {
        clearInterval(timer);
        socket.end(LAST_CHUNK);
        return;
      }
      socket.write(formatChunk(formatEvents(next, next)));
      next += 1;
    }, 10);
    socket.once('close', () => clearInterval(timer));
  };

  async function addUpstream(number: number): Promise<ScriptedUpstream> {
    const upstream = await fixture.addUpstream(`upstream-${number}`, serve);
    upstream.script = createScript(upstream);
    return upstream;
  }

  function createScript(upstream: ScriptedUpstream): Script {
    return (socket, request) => {
      if (!hasDeadlyPart(request)) {
        serve(socket, request);
        return;
      }
      if (crashes >= MAX_CRASHES) lateRequests += 1;
      socket.write(formatStreamHead(request));
      // The upstream begins to write an answer, and crashes with all the requests that it runs.
      setTimeout(() => {
        if (socket.destroyed) return;
        crashes += 1;
        upstream.crash();
        setTimeout(() => upstream.restart(), 150);
      }, 20);
    };
  }

  beforeEach(async () => {
    crashes = 0;
    lateRequests = 0;
    upstreams = [];
    fixture = await RelayFixture.open([route]);
    while (upstreams.length < UPSTREAM_COUNT) upstreams.push(await addUpstream(upstreams.length));
    await fixture.waitReady();
    const readyAtMs = systemClock.monotonicMs();
    await waitFor(() => systemClock.monotonicMs() - readyAtMs >= CONTACT_MS, {
      what: 'the instance to have run for a while',
      timeoutMs: 2 * CONTACT_MS,
    });
  });

  afterEach(async () => {
    await fixture.close();
  });

  /** Sends a request whose prompt starts with `parts` and ends with a part of its own. */
  function sendPrompt(parts: readonly string[], own: string): Promise<CallerAnswer> {
    const prefix = [...parts, own].map((id) => `${id}:100`).join(',');
    return sendRequest(fixture.callerPort, {
      path: `/app/${own}`,
      headers: { 'x-model': 'model', 'x-token-counts': '300,50', 'x-prompt-prefix': prefix },
    });
  }

  /** Sends one request with the part and sound ones beside it; returns the sound ones' answers. */
  async function playRound(round: number): Promise<CallerAnswer[]> {
    const deadly = sendPrompt(['a0', DEADLY_PART, `b${round % 3}`], `d${round}`);
    const sound = [0, 1, 2, 3].map((index) =>
      sendPrompt(['a0', `b${(round + index) % 3}`], `e${round}${index}`),
    );
    const [, ...answers] = await Promise.all([deadly.catch(() => undefined), ...sound]);
    return answers;
  }

  it('crashes no more of them once five have crashed, although no two requests are alike', async () => {
    for (let round = 0; round < ROUNDS; round += 1) await playRound(round);
    assert.ok(
      lateRequests <= MAX_LATE_REQUESTS,
      `${lateRequests} requests after ${MAX_CRASHES} crashes, ${crashes} crashes in all`,
    );
  });

  it('does not cause the refusal of sound requests that share the other parts and the caller', async () => {
    let round = 0;
    await waitFor(
      async () => {
        await playRound(round);
        round += 1;
        return crashes >= 3 || round >= ROUNDS;
      },
      { what: 'three crashes', timeoutMs: 20_000 },
    );
    for (let count = 0; count < ROUNDS; count += 1) await playRound(round + count);
    const answers = await playRound(2 * ROUNDS);
    for (const { status, body } of answers) {
      assert.equal(status, 200);
      assert.equal(body, formatEvents(1, EVENT_COUNT));
    }
  });

  it('is not suspected when upstreams only lose single answers of the requests that share it', async () => {
    for (const upstream of upstreams) upstream.script = (socket) => socket.resetAndDestroy();
    for (let count = 0; count < ROUNDS; count += 1) await sendPrompt(['a0', 'b0'], `f${count}`);
    for (const upstream of upstreams) upstream.script = serve;
    assert.equal((await sendPrompt(['a0', 'b0'], 'last')).status, 200);
  });
});
