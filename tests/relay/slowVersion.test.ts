import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { waitFor } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import type { Script } from './support/scriptedUpstream.js';
import {
  formatAnswer,
  formatChunk,
  formatEvents,
  formatStreamHead,
  LAST_CHUNK,
} from './support/scriptedUpstream.js';

const EVENT_COUNT = 6;
const REQUEST_COUNT = 12;
const USUAL_MS = 15;
const SLOW_MS = 8 * USUAL_MS;

/** Sends the first event at once and the others at an interval. */
function streamSlowly(gapMs: number): Script {
  return (socket, request) => {
    let sent = 1;
    socket.write(formatStreamHead(request) + formatChunk(formatEvents(1, 1)));
    const timer = setInterval(() => {
      sent += 1;
      if (sent <= EVENT_COUNT) socket.write(formatChunk(formatEvents(sent, sent)));
      else socket.end(LAST_CHUNK);
    }, gapMs);
    socket.once('close', () => clearInterval(timer));
  };
}

function answerSlowly(delayMs: number): Script {
  return (socket, request) => {
    setTimeout(() => socket.end(formatAnswer(request, 200, 'whole')), delayMs);
  };
}

interface Rollout {
  kind: 'stream' | 'idempotent';
  script: (ms: number) => Script;
}

const rollouts: Record<string, Rollout> = {
  'that sends the first event of its streams in time': { kind: 'stream', script: streamSlowly },
  'of a plain service': { kind: 'idempotent', script: answerSlowly },
};

describe('rollout of a version that answers several times slower', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  async function sendRequests(): Promise<void> {
    const answers = Array.from({ length: REQUEST_COUNT }, () => sendRequest(fixture.callerPort));
    for (const { status } of await Promise.all(answers)) assert.equal(status, 200);
  }

  /** Rolls out a slow version and returns the state that the relay stores. */
  async function playRollout({ kind, script }: Rollout): Promise<string | undefined> {
    fixture = await RelayFixture.open([createRoute({ kind, isResumable: kind === 'stream' })]);
    await fixture.addUpstream('old', script(USUAL_MS));
    await fixture.waitReady();
    await sendRequests();
    fixture.store.rollouts.put('app', {
      service: 'app',
      targetVersion: 'v2',
      durationMs: 60_000,
      state: 'running',
      step: 3,
      startedAtWallMs: Date.now(),
    });
    await fixture.addUpstream('new', script(SLOW_MS), { version: 'v2' });
    await sendRequests();
    await waitFor(() => fixture.store.progress.length > 0, {
      what: 'a decision about the rollout',
      timeoutMs: 10_000,
    });
    return fixture.store.progress[0]?.state;
  }

  for (const [name, rollout] of Object.entries(rollouts)) {
    it(`is rolled back: ${name}`, async () => {
      assert.equal(await playRollout(rollout), 'rolled_back');
    });
  }
});
