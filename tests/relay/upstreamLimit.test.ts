import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { sendRequest } from './support/caller.js';
import { createRoute, createStreamRoute, RelayFixture } from './support/relayFixture.js';
import type { ScriptedUpstream } from './support/scriptedUpstream.js';
import { formatAnswer, formatRest } from './support/scriptedUpstream.js';

const LIMIT_PER_S = 2;
const LIMIT_HEADERS = { 'Server-Limit': String(LIMIT_PER_S) };
/** Requests that may come at once: the one whose answer names the limit, and one allowed by it. */
const BURST = 2;

describe('the limit that an upstream names', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  function addLimited(id: string): Promise<ScriptedUpstream> {
    return fixture.addUpstream(id, (socket, request) =>
      socket.end(
        request.path.startsWith('/stream/')
          ? formatRest(request, 4, LIMIT_HEADERS)
          : formatAnswer(request, 200, 'ok', LIMIT_HEADERS),
      ),
    );
  }

  /** Sends requests one after the other and returns the number that the limit allows meanwhile. */
  async function sendMany(count: number, path: string): Promise<number> {
    const startedMs = performance.now();
    for (let sent = 0; sent < count; sent += 1) {
      await sendRequest(fixture.callerPort, { path });
    }
    return BURST + ((performance.now() - startedMs) / 1000) * LIMIT_PER_S;
  }

  it('sends the requests above the limit to other upstreams', async () => {
    fixture = await RelayFixture.open([createRoute()]);
    const limited = await addLimited('limited');
    const free = await fixture.addUpstream('free', (socket, request) =>
      socket.end(formatAnswer(request, 200, 'ok')),
    );
    await fixture.waitReady();
    const allowed = await sendMany(40, '/app/item');
    assert.ok(limited.received.length <= allowed, `${limited.received.length} of ${allowed}`);
    assert.equal(limited.received.length + free.received.length, 40);
  });

  it('counts repeats and resumed streams against the limit', async () => {
    fixture = await RelayFixture.open([createStreamRoute()]);
    const limited = await addLimited('limited');
    const failing = await fixture.addUpstream('failing', (socket, request) =>
      socket.end(formatAnswer(request, 500, 'no')),
    );
    await fixture.waitReady();
    const allowed = await sendMany(40, '/stream/item');
    assert.ok(failing.received.length > 0);
    assert.ok(limited.received.length <= allowed, `${limited.received.length} of ${allowed}`);
  });

  it('rejects requests that no upstream takes, and says when to come back', async () => {
    fixture = await RelayFixture.open([createRoute()]);
    const limited = await addLimited('limited');
    await fixture.waitReady();
    assert.equal((await sendRequest(fixture.callerPort)).status, 200);
    const startedMs = performance.now();
    const answers = await Promise.all(
      Array.from({ length: 20 }, () => sendRequest(fixture.callerPort)),
    );
    const elapsedS = (performance.now() - startedMs) / 1000;
    const rejected = answers.filter(({ status }) => status === 503);
    assert.ok(limited.received.length <= BURST + elapsedS * LIMIT_PER_S);
    assert.equal(rejected.length, 21 - limited.received.length);
    for (const { headers } of rejected) assert.ok(Number(headers['retry-after']) > 0);
  });
});
