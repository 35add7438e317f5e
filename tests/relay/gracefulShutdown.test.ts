import assert from 'node:assert/strict';
import { Agent, request } from 'node:http';
import { afterEach, describe, it } from 'node:test';

import { waitFor } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import { API_KEY, createRoute, HOST, RelayFixture } from './support/relayFixture.js';
import type { Script } from './support/scriptedUpstream.js';
import { formatAnswer } from './support/scriptedUpstream.js';

const answerWhole: Script = (socket, received) => {
  socket.end(formatAnswer(received, 200, 'whole'));
};

/** Sends one request on a kept connection; resolves with the status or the error's code. */
function sendKept(agent: Agent, port: number): Promise<number | string> {
  return new Promise((resolve) => {
    const outgoing = request({
      agent,
      host: '127.0.0.1',
      port,
      path: '/app/item',
      headers: { host: HOST, 'x-attempt-id': 'kept', 'api-key': API_KEY },
    });
    outgoing.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? 'error'));
    outgoing.on('response', (answer) => {
      answer.resume();
      answer.on('end', () => resolve(answer.statusCode ?? 0));
    });
    outgoing.end();
  });
}

describe('planned stop', () => {
  let place: RelayFixture;

  afterEach(async () => {
    await place.close();
  });

  it('reports unready at once and answers what was read', async () => {
    place = await RelayFixture.open([createRoute()]);
    await place.addUpstream('a', (socket, received) => {
      setTimeout(() => answerWhole(socket, received), 200);
    });
    await place.waitReady();
    const call = sendRequest(place.callerPort);
    await waitFor(() => place.store.upstreams.calls > 0, { what: 'a call', timeoutMs: 1000 });
    const stopped = place.node.stop();
    assert.equal(place.node.isReady, false);
    const readiness = await fetch(`http://127.0.0.1:${place.readinessPort}/readiness`);
    assert.equal(readiness.status, 503);
    assert.equal((await call).body, 'whole');
    await stopped;
  });

  it('still serves new requests at first and tells their connections to close', async () => {
    place = await RelayFixture.open([createRoute()]);
    await place.addUpstream('a', answerWhole);
    await place.waitReady();
    const stopped = place.node.stop();
    const answer = await sendRequest(place.callerPort);
    assert.equal(answer.status, 200);
    assert.equal(answer.headers.connection, 'close');
    await stopped;
  });

  it('reads no request late in the grace, which it might have to break off', async () => {
    place = await RelayFixture.open([createRoute({ timeoutMs: 10_000, latencyGoalMs: 5000 })]);
    let release: (() => void) | undefined;
    const upstream = await place.addUpstream('a', (socket, received) => {
      if (received.headers['x-attempt-id'] !== 'kept') answerWhole(socket, received);
      else release = () => answerWhole(socket, received);
    });
    await place.waitReady();
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const first = sendKept(agent, place.callerPort);
    await waitFor(() => release, { what: 'the request at the upstream', timeoutMs: 2000 });
    const stopped = place.node.stop();
    // Ends after the listener has closed, so that its kept connection would carry the next one.
    const second = first.then(() => sendKept(agent, place.callerPort));
    setTimeout(() => release?.(), 2700);
    assert.equal(await first, 200);
    // Refused at the listener, or reset on the kept connection before it was read.
    assert.match(String(await second), /^ECONN(REFUSED|RESET)$/);
    await stopped;
    assert.equal(upstream.received.length, 1);
    agent.destroy();
  });
});
