import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import { afterEach, describe, it } from 'node:test';

import type { PeerRecord } from '@cactusstair/relay';
import { ManualClock, systemClock, waitFor } from '@cactusstair/utils';

import type { Instance } from './support/peerInstance.js';
import { openInstance } from './support/peerInstance.js';

describe('PeerExchange', () => {
  const instances: Instance[] = [];

  async function open(
    ...options: Parameters<typeof openInstance>
  ): ReturnType<typeof openInstance> {
    const instance = await openInstance(...options);
    instances.push(instance);
    return instance;
  }

  function start(instance: Instance): void {
    instance.stop = new AbortController();
    instance.task = instance.exchange.run(instance.stop.signal);
  }

  async function openPair(): Promise<[Instance, Instance]> {
    const first = await open('first');
    const second = await open('second');
    // The second instance learns the address of the first from its datagrams.
    first.exchange.addAddress({ host: '127.0.0.1', port: second.port });
    start(first);
    start(second);
    const hasTwo = ({ exchange }: Instance) => exchange.listLiveInstances().length === 2;
    await waitFor(() => hasTwo(first) && hasTwo(second), {
      what: 'the peers to discover each other',
      timeoutMs: 3000,
    });
    return [first, second];
  }

  /** Records that an upstream crashed while it ran a request with the trait `part`. */
  function recordCrash({ crashes, exchange }: Instance, upstream: string): void {
    crashes.startRun(upstream, [`request at ${upstream}`, 'part'], () => {});
    crashes.recordCrash(upstream);
    exchange.notifyCrash();
  }

  afterEach(async () => {
    for (const instance of instances) {
      instance.stop.abort();
      await instance.task;
      instance.exchange.close();
    }
    instances.length = 0;
  });

  it('ranks live instances by name and no longer counts one that is leaving', async () => {
    const [first, second] = await openPair();
    assert.equal(second.exchange.getRank(), 1);
    first.exchange.startLeaving();
    await waitFor(() => second.exchange.getRank() === 0, {
      what: 'the remaining instance to move to rank 0',
      timeoutMs: 3000,
    });
  });

  it('adds the load of peers to the upstreams and removes it when a peer stops sending', async () => {
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
      what: 'the load of the stopped peer to be dropped',
      timeoutMs: 5000,
    });
  });

  it('tells the neighbours of a change of its load at once', async () => {
    const [first, second] = await openPair();
    // Without its periodic messages, only a notice can tell.
    first.stop.abort();
    await first.task;
    const upstream = first.directory.find('upstream')!;
    upstream.calls.add({ backlogMs: 400, heldTokens: 1000 });
    first.exchange.notifyLoadGrowth(upstream);
    await waitFor(() => second.directory.find('upstream')?.running === 1, {
      what: 'the notice of the load',
      timeoutMs: 3000,
    });
  });

  it('does not poll the store before it can have heard of its peers', async () => {
    const clock = new ManualClock(1000);
    const first = await open('first', 'zone-1', 1, clock);
    start(first);
    assert.equal(first.exchange.isWatcher, false);
    await clock.advance(1500);
    assert.equal(first.exchange.isWatcher, true);
  });

  it('finds the cause of crashes that no instance has seen all of', async () => {
    const [first, second] = await openPair();
    recordCrash(first, 'a');
    recordCrash(second, 'b');
    recordCrash(first, 'c');
    await waitFor(() => [first, second].every(({ crashes }) => crashes.isQuarantined(['part'])), {
      what: 'both instances to know the cause',
      timeoutMs: 3000,
    });
  });

  it('shares what is learned about the engines', async () => {
    const [first, second] = await openPair();
    const own = first.engines.get('service').prefill;
    for (let count = 0; count < 50; count += 1) {
      own.record({ model: 'large', nominalMs: 200, backlogMs: 0, waitMs: 800 });
    }
    const learned = second.engines.get('service').prefill;
    const before = learned.estimateMs('large', 200);
    await waitFor(() => learned.estimateMs('large', 200) > 2 * before, {
      what: 'the estimate of the peer to follow',
      timeoutMs: 3000,
    });
  });

  // Without it each instance would learn the speed of a model from its own few requests only.
  it('shares how fast the engines send events', async () => {
    const [first, second] = await openPair();
    const own = first.engines.get('service').runTimes;
    for (let count = 0; count < 50; count += 1) own.recordPace('large', 0.5, 400);
    const learned = second.engines.get('service').runTimes;
    await waitFor(() => learned.getPace('large', 0.5, 50).median > 200, {
      what: 'the estimate of the peer to follow',
      timeoutMs: 3000,
    });
  });

  it('does not report a confirmation as newer than the read behind it', async () => {
    const [first, second] = await openPair();
    const ageMs = 5000;
    first.views = { config: ['7', ageMs] };
    const publishedAtMs = systemClock.monotonicMs();
    const confirmation = await waitFor(() => second.receivedViews[0], {
      what: 'the confirmation',
      timeoutMs: 3000,
    });
    assert.equal(confirmation.state, '7');
    // Every message says that the read is 5 s old, so it began at least 5 s ago.
    assert.ok(confirmation.since.monotonicMs <= systemClock.monotonicMs() - ageMs);
    assert.ok(confirmation.since.monotonicMs >= publishedAtMs - ageMs - 2000);
  });

  it('ignores datagrams that are not valid peer messages', async () => {
    const [first] = await openPair();
    const socket = createSocket('udp4');
    for (const text of ['', 'x', '{}', '[]', '{"name":"x"}', 'null']) {
      await new Promise((resolve) => {
        socket.send(text, first.port, '127.0.0.1', resolve);
      });
    }
    socket.close();
    assert.deepEqual(first.exchange.listLiveInstances(), ['first', 'second']);
  });

  // A wrong era would go into arithmetic with the age of the restore.
  it('ignores messages with an invalid era of the store', async () => {
    const [first] = await openPair();
    const message = {
      ...{ zone: 'zone-1', capacity: 1, incarnation: 1, sequence: 1, isLeaving: false },
      ...{ loads: {}, evidence: {}, crashes: [], pins: [], views: {}, echoes: {} },
    };
    const socket = createSocket('udp4');
    const eras = ['x', 2, [], [2], ['x', null], [2, 'x'], [-1, null], [2, null, 1], [null, 1]];
    const messages = [
      ...eras.map((store, index) => ({ ...message, name: `invalid-${index}`, store })),
      { ...message, name: 'third', store: [2, 1000] },
      { ...message, name: 'fourth', store: [2, null] },
    ];
    for (const sent of messages) {
      await new Promise((resolve) => {
        socket.send(JSON.stringify(sent), first.port, '127.0.0.1', resolve);
      });
    }
    socket.close();
    await waitFor(() => first.exchange.listLiveInstances().includes('fourth'), {
      what: 'the valid message',
      timeoutMs: 2000,
    });
    assert.deepEqual(first.exchange.listLiveInstances(), ['first', 'fourth', 'second', 'third']);
  });

  describe('in a fleet too large for a full mesh', () => {
    const ZONES = ['zone-1', 'zone-2'];
    const PER_ZONE = 7;
    const WAIT_MS = 15_000;

    async function openFleet(): Promise<Instance[]> {
      const records: PeerRecord[] = [];
      const fleet: Instance[] = [];
      for (const zone of ZONES) {
        for (let number = 1; number <= PER_ZONE; number += 1) {
          const name = `${zone}-${number}`;
          // The last ones of a zone are the largest machines.
          const instance = await open(name, zone, number);
          fleet.push(instance);
          const { port } = instance;
          records.push({ host: '127.0.0.1', port, name, zone, capacity: number });
        }
      }
      for (const instance of fleet) {
        for (const record of records) instance.exchange.addPeer(record);
        start(instance);
      }
      return fleet;
    }

    // Messages twice as long came late over small links, and instances read the store themselves.
    it('shares loads but no run times', async () => {
      const fleet = await openFleet();
      const [first, second] = fleet;
      first!.engines.get('service').runTimes.recordPace('large', 0.5, 400);
      first!.directory.find('upstream')!.calls.add({ backlogMs: 0, heldTokens: 0 });
      await waitFor(() => second!.directory.find('upstream')!.running === 1, {
        what: 'the load of the other instance',
        timeoutMs: WAIT_MS,
      });
      assert.equal(second!.engines.get('service').runTimes.hasPace('large'), false);
    });

    it('finds the cause of crashes that were seen in two zones', async () => {
      const fleet = await openFleet();
      recordCrash(fleet[0]!, 'a');
      recordCrash(fleet[1]!, 'b');
      recordCrash(fleet[PER_ZONE]!, 'c');
      await waitFor(() => fleet.every(({ crashes }) => crashes.isQuarantined(['part'])), {
        what: 'all instances to know the cause',
        timeoutMs: WAIT_MS,
      });
    });

    const getRunning = ({ directory }: Instance) => directory.find('upstream')?.running;

    // Guards against incomplete sums: when each instance sent to 12 random peers, an instance in a
    // fleet of 88 knew the load of only half of it.
    it('counts the load of all other instances exactly once, in every zone', async () => {
      const fleet = await openFleet();
      const call = { backlogMs: 40, heldTokens: 1000 };
      // A small machine, a reporter, and one of the other zone.
      for (const index of [0, PER_ZONE - 1, PER_ZONE]) {
        fleet[index]?.directory.find('upstream')?.calls.add(call);
      }
      // Loads may arrive before the last instance has been discovered.
      const isComplete = (instance: Instance) =>
        getRunning(instance) === 3 && instance.exchange.countInstances() === fleet.length;
      await waitFor(() => fleet.every(isComplete), {
        what: 'all instances to see three requests of 14 instances',
        timeoutMs: WAIT_MS,
      });
      const ranks = fleet.map(({ exchange }) => exchange.getRank());
      assert.equal(ranks.filter((rank) => rank === 0).length, 1, ranks.join());
    });

    it('switches to other reporters when both reporters of a zone stop sending', async () => {
      const fleet = await openFleet();
      await waitFor(
        () => fleet.every(({ exchange }) => exchange.countInstances() === fleet.length),
        { what: 'the instances to discover each other', timeoutMs: WAIT_MS },
      );
      for (const index of [PER_ZONE - 1, PER_ZONE - 2]) fleet[index]?.stop.abort();
      const rest = fleet.filter(({ stop }) => !stop.signal.aborted);
      fleet[0]?.directory.find('upstream')?.calls.add({ backlogMs: 40, heldTokens: 1000 });
      await waitFor(
        () =>
          rest.every(
            (instance) =>
              getRunning(instance) === 1 && instance.exchange.countInstances() === rest.length,
          ),
        { what: 'the load to arrive through the next reporters', timeoutMs: WAIT_MS },
      );
    });

    it('counts the evidence of one instance exactly once on every instance', async () => {
      const fleet = await openFleet();
      const [small] = fleet;
      small?.rollouts.applySnapshot([
        {
          name: 'app',
          revision: 1,
          value: { service: 'app', targetVersion: 'v2', durationMs: 60_000, step: 0 },
        },
      ]);
      small?.rollouts.recordOutcome('app', 'v2', { isBad: true, latencyMs: 10 });
      const sumBad = ({ exchange }: Instance) =>
        exchange.listEvidence().reduce((sum, part) => sum + (part['app v2']?.bad ?? 0), 0);
      await waitFor(() => fleet.every((instance) => sumBad(instance) === 1), {
        what: 'the evidence of one instance to be counted once everywhere',
        timeoutMs: WAIT_MS,
      });
    });
  });

  it('divides the limit that an upstream named to one of them', async () => {
    const [first, second] = await openPair();
    first.limits.record('upstream', 1);
    await waitFor(() => second.limits.getWaitMs('upstream') > 0, {
      what: 'the second instance to hear of the limit',
      timeoutMs: 3000,
    });
    for (const { exchange } of [first, second]) {
      assert.deepEqual(exchange.describeGroup().countByZone, { 'zone-1': 2 });
    }
    assert.notEqual(first.exchange.describeGroup().index, second.exchange.describeGroup().index);
  });
});
