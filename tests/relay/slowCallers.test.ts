import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { waitFor } from '@cactusstair/utils';

import { sendRequest, sendWithoutReading } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import type { ScriptedUpstream } from './support/scriptedUpstream.js';
import { formatAnswer } from './support/scriptedUpstream.js';

const ANSWER_BYTES = 4 * 1024 * 1024;
const IDLE_CALLERS = 12;
const OTHER_CALLERS = 16;
const DEADLINE_MS = 60_000;

const routes = (['idempotent', 'non_idempotent'] as const).map((kind) =>
  createRoute({ name: kind, kind, pathPrefix: `/${kind}/`, timeoutMs: DEADLINE_MS }),
);

describe('callers that read nothing', () => {
  const idle: Socket[] = [];
  let fixture: RelayFixture;

  afterEach(async () => {
    idle.splice(0).forEach((socket) => socket.destroy());
    await fixture.close();
  });

  routes.forEach(({ kind }) => {
    // Their answers held the memory of all large answers, so that those of others ended with 504.
    it(`do not hold up the large answers of others (${kind})`, async () => {
      fixture = await RelayFixture.open(routes);
      const body = 'y'.repeat(ANSWER_BYTES);
      const upstreams: ScriptedUpstream[] = [];
      for (const id of ['a', 'b']) {
        upstreams.push(
          await fixture.addUpstream(
            id,
            (socket, request) => socket.end(formatAnswer(request, 200, body)),
            { slots: 64 },
          ),
        );
      }
      await fixture.waitReady();
      const path = `/${kind}/item`;
      for (let index = 0; index < IDLE_CALLERS; index += 1) {
        const request = { path, id: `idle-${index}`, deadlineMs: DEADLINE_MS };
        idle.push(sendWithoutReading(fixture.callerPort, request));
      }
      await waitFor(
        () => upstreams.reduce((sum, { received }) => sum + received.length, 0) >= IDLE_CALLERS,
        { what: 'the requests of the callers that read nothing', timeoutMs: 5000 },
      );
      const answers = await Promise.all(
        Array.from({ length: OTHER_CALLERS }, () =>
          sendRequest(fixture.callerPort, {
            path,
            headers: { 'x-deadline-ms': String(DEADLINE_MS) },
          }),
        ),
      );
      assert.deepEqual(
        answers.map((answer) => [answer.status, answer.body.length]),
        Array.from({ length: OTHER_CALLERS }, () => [200, ANSWER_BYTES]),
      );
    });
  });
});
