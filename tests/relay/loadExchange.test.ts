import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import type { LoadNotice } from '@cactusstair/relay';
import { LoadExchange, UpstreamDirectory } from '@cactusstair/relay';
import { systemClock, waitFor } from '@cactusstair/utils';

import { createRecord } from './support/records.js';

const SENDERS = 20;
/** Gap at which 20 instances send 1,000 datagrams a second to each other. */
const EXPECTED_GAP_MS = 380;

describe('LoadExchange', () => {
  let exchange: LoadExchange;

  afterEach(() => exchange.close());

  function open(receivers: number) {
    const clock = systemClock;
    const directory = new UpstreamDirectory({
      clock,
      isStoreDisturbed: () => false,
      getStoreRestoredAgeMs: () => Infinity,
    });
    directory.applySnapshot([{ name: 'a', revision: 1, value: createRecord('a') }]);
    const sent: { notice: LoadNotice; atMs: number }[] = [];
    exchange = new LoadExchange({
      clock,
      self: { host: '127.0.0.1', port: 1, name: 'self', zone: 'zone-1', capacity: 1 },
      directory,
      listReceivers: () =>
        Array.from({ length: receivers }, (_, index) => ({ host: '127.0.0.1', port: index + 2 })),
      sumRemoteLoads: () => ({}),
      sumReportedLoads: () => ({ a: [7, 70, 700] }),
      send: (_receivers, notice) => sent.push({ notice, atMs: clock.monotonicMs() }),
    });
    const addCall = () => {
      const upstream = directory.find('a')!;
      upstream.calls.add({ backlogMs: 10, heldTokens: 5 });
      exchange.notifyGrowth(upstream);
    };
    return { addCall, directory, sent };
  }

  it('sends the changes of a busy moment together, with the whole load', async () => {
    const { addCall, sent } = open(SENDERS - 1);
    for (let count = 0; count < 50; count += 1) addCall();
    await waitFor(() => sent.length === 1, { what: 'the first notice', timeoutMs: 5000 });
    for (let count = 0; count < 50; count += 1) addCall();
    await waitFor(() => sent.length === 2, { what: 'the second notice', timeoutMs: 5000 });
    assert.deepEqual({ ...sent[1]!.notice.load }, { a: [100, 1000, 500] });
    // A timer may fire a millisecond early.
    assert.ok(sent[1]!.atMs - sent[0]!.atMs >= EXPECTED_GAP_MS - 2);
  });

  // Such an entry ended the exchange with the peers for good.
  ['constructor', '__proto__', 'toString'].forEach((id) => {
    it(`counts the load of an upstream whose id is also a property of objects (${id})`, () => {
      const { directory } = open(1);
      directory.applySnapshot([{ name: id, revision: 2, value: createRecord(id) }]);
      exchange.refresh(1500);
      assert.equal(directory.find(id)!.peerLoad.running, 0);
      exchange.record('b', JSON.parse(`{"${id}": [2, 20, 200]}`) as LoadNotice['load'], 1500);
      assert.equal(directory.find(id)!.peerLoad.running, 2);
      directory.find(id)!.calls.add({ backlogMs: 10, heldTokens: 5 });
      const loads = JSON.parse(JSON.stringify(exchange.createOwnLoads())) as LoadNotice['load'];
      assert.deepEqual(Object.entries(loads), [[id, [1, 10, 5]]]);
    });
  });

  it('leaves a zone that is too large for notices to the reports', async () => {
    const { addCall, directory, sent } = open(100);
    for (let count = 0; count < 50; count += 1) addCall();
    exchange.record('b', { a: [2, 20, 200] }, 1500);
    exchange.refresh(1500);
    assert.equal(directory.find('a')!.peerLoad.running, 7);
    assert.equal(sent.length, 0);
  });

  it('replaces what an instance said before, and adds what different ones say', () => {
    const { directory } = open(1);
    exchange.record('b', { a: [2, 20, 200] }, 1500);
    exchange.record('c', { a: [1, 10, 100] }, 1500);
    exchange.record('b', { a: [3, 30, 300] }, 1500);
    assert.deepEqual(directory.find('a')!.peerLoad, {
      running: 4,
      backlogMs: 40,
      heldTokens: 400,
    });
    exchange.record('b', {}, 1500);
    assert.equal(directory.find('a')!.running, 1);
  });
});
