import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { sendRequest } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import type { ReceivedRequest } from './support/scriptedUpstream.js';
import { formatAnswer, formatRest } from './support/scriptedUpstream.js';

const routes = (['idempotent', 'non_idempotent', 'stream'] as const).map((kind) =>
  createRoute({ name: kind, kind, pathPrefix: `/${kind}/`, maxAttempts: 1 }),
);

const ends: Record<string, (socket: Socket) => void> = {
  closes: (socket) => socket.end(),
  'resets the connection': (socket) => socket.resetAndDestroy(),
};

describe('an upstream that stops in the middle of the head of its answer', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  const formatWhole = (request: ReceivedRequest) =>
    request.path.startsWith('/stream/')
      ? formatRest(request, 3)
      : formatAnswer(request, 200, 'whole');

  Object.entries(ends).forEach(([name, end]) => {
    it(`and ${name} is not passed on as a success`, async () => {
      fixture = await RelayFixture.open(routes);
      let cutAt = 0;
      let headBytes = Infinity;
      await fixture.addUpstream('a', (socket, request) => {
        const whole = formatWhole(request);
        headBytes = whole.indexOf('\r\n\r\n') + 4;
        if (cutAt > 0) socket.write(whole.slice(0, cutAt), () => end(socket));
        else end(socket);
      });
      await fixture.waitReady();
      for (const { kind } of routes) {
        for (cutAt = 0; cutAt < headBytes; cutAt += 1) {
          const answer = await sendRequest(fixture.callerPort, { path: `/${kind}/item` });
          assert.ok(answer.status >= 500, `${kind}: ${answer.status} after ${cutAt} bytes`);
        }
        headBytes = Infinity;
      }
    });
  });
});
