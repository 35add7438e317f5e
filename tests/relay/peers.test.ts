import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import { afterEach, describe, it } from 'node:test';

import type { ClockReading, ViewName, ViewState } from '@cactusstair/relay';
import { PeerExchange, RolloutBoard, UpstreamDirectory } from '@cactusstair/relay';
import { CrashCounter } from '@cactusstair/routing';
import { systemClock, waitFor } from '@cactusstair/utils';

import { createRecord } from './support/records.js';

interface Instance {
  exchange: PeerExchange;
  directory: UpstreamDirectory;
  crashes: CrashCounter;
  views: Partial<Record<ViewName, ViewState>>;
  heard: { name: ViewName; state: string; since: ClockReading }[];
  port: number;
  stop: AbortController;
  task: Promise<void>;
}

function findPort(): Promise<number> {
  return new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.bind(0, '127.0.0.1', () => {
      const { port } = socket.address();
      socket.close(() => resolve(port));
    });
  });
}

describe('PeerExchange', () => {
  const instances: Instance[] = [];

  async function open(name: string): Promise<Instance> {
    const clock = systemClock;
    const directory = new UpstreamDirectory({
      clock,
      isStoreDisturbed: () => false,
      getStoreRestoredAgeMs: () => Infinity,
    });
    const value = createRecord('upstream');
    directory.applySnapshot([{ name: 'upstream', revision: 1, value }]);
    const crashes = new CrashCounter({ clock });
    const instance = { directory, crashes, views: {}, heard: [], port: await findPort() };
    const typed = instance as unknown as Instance;
    typed.exchange = new PeerExchange({
      clock,
      name,
      listen: { host: '127.0.0.1', port: instance.port },
      directory,
      rollouts: new RolloutBoard({ clock, sessionTtlMs: 5000 }),
      crashes,
      listViews: () => typed.views,
      onPeerView: (view, state, since) => typed.heard.push({ name: view, state, since }),
    });
    await typed.exchange.start();
    instances.push(typed);
    return typed;
  }

  function start(instance: Instance): void {
    instance.stop = new AbortController();
    instance.task = instance.exchange.run(instance.stop.signal);
  }

  async function openPair(): Promise<[Instance, Instance]> {
    const first = await open('first');
    const second = await open('second');
    // The other direction is learnt from the datagrams.
    first.exchange.addAddress({ host: '127.0.0.1', port: second.port });
    start(first);
    start(second);
    const hasTwo = ({ exchange }: Instance) => exchange.listLiving().length === 2;
    await waitFor(() => hasTwo(first) && hasTwo(second), {
      what: 'the peers to hear of each other',
      timeoutMs: 3000,
    });
    return [first, second];
  }

  afterEach(async () => {
    for (const instance of instances) {
      instance.stop.abort();
      await instance.task;
      instance.exchange.close();
    }
    instances.length = 0;
  });

  it('ranks the living instances by name, and a leaving one last', async () => {
    const [first, second] = await openPair();
    assert.equal(second.exchange.getRank(), 1);
    first.exchange.startLeaving();
    await waitFor(() => second.exchange.getRank() === 0, {
      what: 'the rank of the one that stays',
      timeoutMs: 3000,
    });
  });

  it('adds the load of the peers to the upstreams and drops it with its sender', async () => {
    const [first, second] = await openPair();
    const call = { backlogMs: 40, heldTokens: 1000 };
    first.directory.find('upstream')?.calls.add(call);
    await waitFor(() => second.directory.find('upstream')?.running === 1, {
      what: 'the load of the peer',
      timeoutMs: 3000,
    });
    assert.equal(second.directory.find('upstream')?.heldTokens, 1000);
    first.stop.abort();
    await waitFor(() => second.directory.find('upstream')?.running === 0, {
      what: 'the load of a silent peer to be dropped',
      timeoutMs: 5000,
    });
  });

  it('passes on crash counts', async () => {
    const [first, second] = await openPair();
    first.crashes.recordCrash('request');
    await waitFor(() => second.crashes.getCount('request') === 1, {
      what: 'the crash count',
      timeoutMs: 3000,
    });
  });

  it('dates a confirmation no later than the read that it rests on', async () => {
    const [first, second] = await openPair();
    const ageMs = 5000;
    first.views = { config: ['7', ageMs] };
    const saidAtMs = systemClock.monotonicMs();
    const confirmation = await waitFor(() => second.heard[0], {
      what: 'the confirmation',
      timeoutMs: 3000,
    });
    assert.equal(confirmation.state, '7');
    // The view says that its read is 5 s old whenever it is sent, so it began at least 5 s ago.
    assert.ok(confirmation.since.monotonicMs <= systemClock.monotonicMs() - ageMs);
    assert.ok(confirmation.since.monotonicMs >= saidAtMs - ageMs - 2000);
  });

  it('ignores datagrams that are no messages of a peer', async () => {
    const [first] = await openPair();
    const socket = createSocket('udp4');
    for (const text of ['', 'x', '{}', '[]', '{"name":"x"}', 'null']) {
      await new Promise((resolve) => {
        socket.send(text, first.port, '127.0.0.1', resolve);
      });
    }
    socket.close();
    first.crashes.recordCrash('still alive');
    assert.deepEqual(first.exchange.listLiving(), ['first', 'second']);
  });
});
