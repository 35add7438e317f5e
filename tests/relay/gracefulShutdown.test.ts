import assert from 'node:assert/strict';
import { Agent, request } from 'node:http';
import { afterEach, describe, it } from 'node:test';

import { waitFor } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import { API_KEY, createRoute, HOST, RelayFixture, testBounds } from './support/relayFixture.js';
import type { Script } from './support/scriptedUpstream.js';
import { formatAnswer } from './support/scriptedUpstream.js';

const answerWhole: Script = (socket, received) => {
  socket.end(formatAnswer(received, 200, 'whole'));
};

/** Sends a request on a keep-alive connection; resolves with the status or the error code. */
function sendKeepAlive(agent: Agent, port: number): Promise<number | string> {
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

describe('graceful shutdown', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  it('reports unready immediately and answers requests in flight', async () => {
    fixture = await RelayFixture.open([createRoute()]);
    await fixture.addUpstream('a', (socket, received) => {
      setTimeout(() => answerWhole(socket, received), 200);
    });
    await fixture.waitReady();
    const call = sendRequest(fixture.callerPort);
    await waitFor(() => fixture.store.upstreams.calls > 0, { what: 'a call', timeoutMs: 1000 });
    const stopped = fixture.node.stop();
    assert.equal(fixture.node.isReady, false);
    const readiness = await fetch(`http://127.0.0.1:${fixture.readinessPort}/readiness`);
    assert.equal(readiness.status, 503);
    assert.equal((await call).body, 'whole');
    await stopped;
  });

  it('serves new requests at first and answers them with Connection: close', async () => {
    fixture = await RelayFixture.open([createRoute()]);
    await fixture.addUpstream('a', answerWhole);
    await fixture.waitReady();
    const stopped = fixture.node.stop();
    const answer = await sendRequest(fixture.callerPort);
    assert.equal(answer.status, 200);
    assert.equal(answer.headers.connection, 'close');
    await stopped;
  });

  it('does not read further requests late in the grace period', async () => {
    fixture = await RelayFixture.open([createRoute({ timeoutMs: 10_000, latencyGoalMs: 5000 })]);
    let release: (() => void) | undefined;
    const upstream = await fixture.addUpstream('a', (socket, received) => {
      if (received.headers['x-attempt-id'] !== 'kept') answerWhole(socket, received);
      else release = () => answerWhole(socket, received);
    });
    await fixture.waitReady();
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const first = sendKeepAlive(agent, fixture.callerPort);
    await waitFor(() => release, { what: 'the request at the upstream', timeoutMs: 2000 });
    const stopped = fixture.node.stop();
    // The answer ends after the listener has closed, so the next request would reuse the keep-alive
    // connection. Read that late, it might be aborted at the end of the grace period.
    const second = first.then(() => sendKeepAlive(agent, fixture.callerPort));
    setTimeout(() => release?.(), 2700);
    assert.equal(await first, 200);
    // Refused by the listener, or reset on the keep-alive connection before it was read.
    assert.match(String(await second), /^ECONN(REFUSED|RESET)$/);
    await stopped;
    assert.equal(upstream.received.length, 1);
    agent.destroy();
  });

  const kinds = ['non_idempotent', 'stream'] as const;
  kinds.forEach((kind) => {
    it(`answers requests that are unanswered at the end of the grace period (${kind})`, async () => {
      fixture = await RelayFixture.open([createRoute({ kind, timeoutMs: 20_000 })]);
      const upstream = await fixture.addUpstream('a', () => {});
      await fixture.waitReady();
      const statuses: number[] = [];
      const send = () =>
        sendRequest(fixture.callerPort, { headers: { 'x-deadline-ms': '20000' } }).then(
          ({ status }) => statuses.push(status),
        );
      const early = send();
      await waitFor(() => upstream.received.length > 0, { what: 'a request', timeoutMs: 2000 });
      const stopped = fixture.node.stop();
      const late = send();
      await stopped;
      assert.deepEqual(statuses, [504, 504]);
      await Promise.all([early, late]);
      const [, second] = upstream.received.map(({ headers }) => Number(headers['x-deadline-ms']));
      assert.ok(second! < testBounds.stopGraceMs, `${second} ms for the late request`);
    });
  });
});
