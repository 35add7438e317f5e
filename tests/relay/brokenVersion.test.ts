import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { waitFor } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import type { Script, ScriptedUpstream } from './support/scriptedUpstream.js';
import {
  formatAnswer,
  formatChunk,
  formatEvents,
  formatStreamHead,
} from './support/scriptedUpstream.js';

const REQUESTS = 12;
/** Longer than an evaluation of the evidence takes. */
const DECISION_MS = 2500;

const answerWhole: Script = (socket, request) => {
  socket.end(formatAnswer(request, 200, 'whole'));
};

const breakAnswer: Script = (socket, request) => {
  socket.end(formatAnswer(request, 200, 'whole').slice(0, -2));
};

const answerStream: Script = (socket, request) => {
  const type = { 'Content-Type': 'text/event-stream' };
  socket.end(formatAnswer(request, 200, formatEvents(1, 3), type));
};

const breakStream: Script = (socket, request) => {
  socket.write(formatStreamHead(request));
  socket.end(formatChunk(formatEvents(1, 2)));
};

const routes = {
  'that must not run twice': createRoute({ kind: 'non_idempotent', maxAttempts: 1 }),
  'that is streamed': createRoute({ kind: 'stream', maxAttempts: 1 }),
};
const scripts = {
  non_idempotent: { sound: answerWhole, broken: breakAnswer },
  stream: { sound: answerStream, broken: breakStream },
};

describe('rollout of a version', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  async function startRollout(kind: keyof typeof scripts, script: Script) {
    const route = Object.values(routes).find((other) => other.kind === kind)!;
    fixture = await RelayFixture.open([route]);
    await fixture.addUpstream('old', scripts[kind].sound);
    await fixture.waitReady();
    await Promise.all(Array.from({ length: REQUESTS }, () => sendRequest(fixture.callerPort)));
    fixture.store.rollouts.put('app', {
      service: 'app',
      targetVersion: 'v2',
      durationMs: 60_000,
      state: 'running',
      step: 3,
      startedAtWallMs: Date.now(),
    });
    return fixture.addUpstream('new', script, { version: 'v2' });
  }

  async function sendRequests(): Promise<void> {
    const sent = Array.from({ length: REQUESTS }, () =>
      sendRequest(fixture.callerPort).catch(() => undefined),
    );
    await Promise.all(sent);
  }

  // Only answers that arrived whole were evidence, so such a version was rolled out to the end.
  Object.entries(routes).forEach(([name, { kind }]) => {
    it(`is rolled back if its answers break off, on a route ${name}`, async () => {
      await startRollout(
        kind as keyof typeof scripts,
        scripts[kind as keyof typeof scripts].broken,
      );
      await sendRequests();
      await waitFor(() => fixture.store.progress.length > 0, {
        what: 'a decision about the rollout',
        timeoutMs: 10_000,
      });
      assert.equal(fixture.store.progress[0]?.state, 'rolled_back');
    });
  });

  // Its requests end with it, whatever its version.
  it('goes on if its upstream crashes once with all requests that it runs', async () => {
    let upstream: ScriptedUpstream | undefined;
    let running = 0;
    upstream = await startRollout('non_idempotent', (socket, request) => {
      socket.write(formatAnswer(request, 200, 'whole').slice(0, -2));
      running += 1;
      if (running === REQUESTS / 2) setTimeout(() => upstream?.crash(), 50);
    });
    await sendRequests();
    await sleep(DECISION_MS);
    assert.ok(running >= REQUESTS / 2, `${running} requests`);
    assert.notEqual(fixture.store.progress[0]?.state, 'rolled_back');
  });
});
