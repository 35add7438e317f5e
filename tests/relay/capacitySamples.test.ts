import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { afterEach, beforeEach, describe, it } from 'node:test';

import type { CapacityReport, PeerMessage, UpstreamRecord } from '@cactusstair/relay';
import { parseDatagram } from '@cactusstair/relay';
import { waitFor } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import { createRoute, createStreamRoute, RelayFixture } from './support/relayFixture.js';
import type { Script } from './support/scriptedUpstream.js';
import { formatAnswer, formatRest } from './support/scriptedUpstream.js';

const REQUEST_COUNT = 5;

describe('samples of the capacity of upstreams', () => {
  let fixture: RelayFixture;
  let observer: Socket;
  /** Messages that the relay sent to another instance. */
  let messages: PeerMessage[];

  beforeEach(async () => {
    messages = [];
    observer = createSocket('udp4');
    observer.on('message', (bytes) => {
      const message = parseDatagram(bytes);
      if (message && 'capacities' in message) messages.push(message);
    });
    await new Promise<void>((resolve) => {
      observer.bind(0, '127.0.0.1', resolve);
    });
    const { port } = observer.address();
    const peer = { name: 'observer', zone: 'zone-1', capacity: 1, host: '127.0.0.1', port };
    fixture = await RelayFixture.open([createRoute(), createStreamRoute()], undefined, {
      prepare: (store) => store.peers.put(peer.name, peer),
    });
  });

  afterEach(async () => {
    observer.close();
    await fixture.close();
  });

  /** Sends requests to one upstream and returns what the relay reports about it afterwards. */
  async function run(
    script: Script,
    {
      path = '/app/item',
      overrides = {},
    }: { path?: string; overrides?: Partial<UpstreamRecord> } = {},
  ): Promise<CapacityReport> {
    await fixture.addUpstream('a', script, overrides);
    await fixture.waitReady();
    await waitFor(() => messages.length > 0, { what: 'a message', timeoutMs: 5000 });
    for (let sent = 0; sent < REQUEST_COUNT; sent += 1) {
      await sendRequest(fixture.callerPort, { path });
    }
    const seen = messages.length;
    await waitFor(() => messages.length > seen + 1, { what: 'later messages', timeoutMs: 5000 });
    return messages.at(-1)!.capacities!;
  }

  const countSamples = ({ app }: CapacityReport) => app?.classes.route?.[0] ?? 0;

  it('are reported for answers, by upstream and route', async () => {
    const report = await run((socket, request) => socket.end(formatAnswer(request, 200, 'ok')));
    assert.ok(countSamples(report) > REQUEST_COUNT - 1, JSON.stringify(report));
    assert.ok((report.app?.upstreams.a?.[0] ?? 0) > 1, JSON.stringify(report));
  });

  it('are reported for the events of streams', async () => {
    const report = await run((socket, request) => socket.end(formatRest(request, 4)), {
      path: '/stream/item',
    });
    const [times, , calls] = report.app?.classes.stream ?? [0, 0, 0, 0];
    assert.ok(calls > REQUEST_COUNT - 1, JSON.stringify(report));
    assert.ok(times <= calls + 0.1, JSON.stringify(report));
  });

  // Errors are answered at once: a failing upstream looked fast and got more requests.
  for (const status of [404, 500]) {
    it(`are not taken from answers with status ${status}`, async () => {
      const report = await run((socket, request) =>
        socket.end(formatAnswer(request, status, 'no')),
      );
      assert.deepEqual(report, {});
    });
  }

  it('are not taken from an upstream that is cold', async () => {
    const report = await run((socket, request) => socket.end(formatAnswer(request, 200, 'ok')), {
      overrides: { warmupLeftMs: 60_000 },
    });
    assert.deepEqual(report, {});
  });

  it('are not taken from calls whose connection is lost', async () => {
    const report = await run((socket) => socket.destroy());
    assert.deepEqual(report, {});
  });
});
