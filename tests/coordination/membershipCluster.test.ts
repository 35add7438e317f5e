import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { MemberCluster } from '@cactusstair/bench';
import { Membership, MembershipTask, MemoryObjectStore } from '@cactusstair/coordination';
import type { InstanceRecord } from '@cactusstair/protocol';
import { MemberStatus } from '@cactusstair/protocol';
import { createRandom, LifecycleManager, ManualClock } from '@cactusstair/utils';

import { runPending, runUntil } from './runUntil.js';

const ZONES = ['riga-a', 'riga-b', 'jelgava', 'valmiera'];

describe('Membership in a cluster', () => {
  // Contacts were once passed on without their applied revision. In their own zone such records
  // counted as not having applied the change, so it was never acknowledged there.
  it('acknowledges an applied revision in every zone', async () => {
    let revision = 1;
    const cluster = new MemberCluster(1, { getAppliedRevision: () => revision });
    cluster.startMany(60, ZONES);
    await cluster.runUntil('summaries', () => cluster.areZonesConverged(), 60);
    revision = 2;
    const isAcknowledged = () =>
      cluster.nodes.every((node) =>
        node.membership
          .getZoneSummaries()
          .every(({ lowestAppliedRevision }) => lowestAppliedRevision === 2),
      );
    await cluster.runUntil('every instance sees the revision in every zone', isAcknowledged, 60);
  });

  it('converges with 120 members in four zones and stays within the traffic limit', async (t) => {
    const cluster = new MemberCluster(1);
    cluster.startMany(120, ZONES);
    const rounds = await cluster.runUntil('zones converged', () => cluster.isConverged(), 30);
    const zoneRounds = await cluster.runUntil('summaries', () => cluster.areZonesConverged(), 40);
    // Changes are propagated for 60 rounds; the steady rate shows after that.
    await cluster.runRounds(70);
    for (const node of cluster.nodes) node.bytesSent = 0;
    await cluster.runRounds(20);
    const total = cluster.nodes.reduce((sum, node) => sum + node.bytesSent, 0);
    const bytesPerRound = Math.round(total / cluster.nodes.length / 20);
    t.diagnostic(
      `members after ${rounds} rounds, summaries after ${rounds + zoneRounds}, ` +
        `${bytesPerRound} bytes sent per member and round, ` +
        `largest message ${cluster.largestMessageBytes} bytes`,
    );
    assert.ok(cluster.isConverged());
    assert.ok(bytesPerRound <= 2500, `${bytesPerRound} bytes per member and round`);
    assert.ok(cluster.largestMessageBytes <= 4000);
    assert.ok(cluster.nodes.every((node) => node.lost.length === 0));
  });

  it('converges with 120 members in one zone without marking a running member lost', async (t) => {
    const cluster = new MemberCluster(2);
    cluster.startMany(120, ['riga-a']);
    const rounds = await cluster.runUntil('converged', () => cluster.isConverged(), 30);
    await cluster.runRounds(60);
    t.diagnostic(`members after ${rounds} rounds`);
    assert.ok(cluster.nodes.every((node) => node.lost.length === 0));
    assert.ok(cluster.largestMessageBytes <= 4000);
  });

  it('converges without marking a running member lost while a fifth of the messages is lost', async () => {
    const cluster = new MemberCluster(3);
    cluster.lossRate = 0.2;
    cluster.startMany(24, ZONES.slice(0, 2));
    await cluster.runUntil('converged', () => cluster.isConverged(), 60);
    await cluster.runRounds(60);
    assert.ok(cluster.nodes.every((node) => node.lost.length === 0));
  });

  it('marks a stopped member lost on every running member, also in other zones', async () => {
    const cluster = new MemberCluster(4);
    cluster.startMany(24, ZONES);
    await cluster.runUntil('converged', () => cluster.areZonesConverged(), 40);
    const [, stopped] = cluster.nodes;
    assert.ok(stopped);
    stopped.running = false;
    const { incarnation } = stopped.membership.getSelf();
    const rounds = await cluster.runUntil(
      'lost everywhere',
      () => cluster.running.every((node) => node.lost.some(({ id }) => id === stopped.id)),
      90,
    );
    // 25 s without a heartbeat, and the rounds in which the lost record spreads.
    assert.ok(rounds >= 25);
    for (const node of cluster.running) {
      assert.equal(node.membership.isAlive(stopped.id, incarnation), false);
      assert.deepEqual(new Set(node.lost.map(({ id }) => id)), new Set([stopped.id]));
    }
  });

  it('detects a restart within 15 rounds and reports the earlier run as lost', async () => {
    const cluster = new MemberCluster(5);
    cluster.startMany(12, ['riga-a']);
    await cluster.runUntil('converged', () => cluster.isConverged(), 30);
    const [, old] = cluster.nodes;
    assert.ok(old);
    const { incarnation } = old.membership.getSelf();
    cluster.start(old.id, old.zone);
    await cluster.runUntil('converged after the restart', () => cluster.isConverged(), 15);
    for (const node of cluster.running.filter(({ id }) => id !== old.id)) {
      assert.deepEqual(
        node.lost.map((record) => [record.id, record.incarnation]),
        [[old.id, incarnation]],
      );
    }
  });

  it('converges again after a short and a long partition within a zone', async () => {
    for (const rounds of [60, 700]) {
      const cluster = new MemberCluster(6);
      cluster.startMany(16, ['riga-a']);
      await cluster.runUntil('converged', () => cluster.isConverged(), 30);
      const side = (id: string) => Number(id.slice(-3)) % 2;
      cluster.isReachable = (from, to) => side(from.id) === side(to.id);
      await cluster.runRounds(rounds);
      for (const node of cluster.nodes) {
        const alive = node.membership
          .getMembers()
          .filter((record) => record.status === MemberStatus.ALIVE);
        assert.ok(alive.every((record) => side(record.id) === side(node.id)));
      }
      cluster.isReachable = () => true;
      await cluster.runUntil(`healed after ${rounds} rounds`, () => cluster.isConverged(), 120);
    }
  });

  it('keeps each zone converged while zones are partitioned, and refreshes summaries afterwards', async () => {
    const cluster = new MemberCluster(7);
    cluster.startMany(16, ZONES);
    await cluster.runUntil('converged', () => cluster.areZonesConverged(), 40);
    cluster.isReachable = (from, to) => (from.zone === 'riga-a') === (to.zone === 'riga-a');
    await cluster.runRounds(80);
    assert.ok(cluster.isConverged());
    const [inside] = cluster.nodes;
    const outside = cluster.nodes.find((node) => node.zone === 'jelgava');
    assert.ok(inside && outside);
    assert.ok(outside.membership.getZoneSummaryAgeMs('riga-a') > 60_000);
    assert.equal(
      outside.membership.isAlive(inside.id, inside.membership.getSelf().incarnation),
      false,
    );
    assert.ok(cluster.nodes.every((node) => node.lost.length === 0));
    cluster.isReachable = () => true;
    await cluster.runUntil(
      'summaries are fresh',
      () => cluster.nodes.every((node) => node.membership.getZoneSummaryAgeMs('riga-a') < 15_000),
      60,
    );
  });

  it('spreads the exchanges between zones over their members', async () => {
    const cluster = new MemberCluster(8);
    cluster.startMany(80, ZONES);
    await cluster.runRounds(90);
    for (const node of cluster.nodes) node.bytesSent = 0;
    await cluster.runRounds(30);
    const sent = cluster.nodes.map((node) => node.bytesSent);
    const mean = sent.reduce((sum, bytes) => sum + bytes, 0) / sent.length;
    const highest = Math.max(...sent);
    assert.ok(highest < 2.5 * mean, `highest ${Math.round(highest)}, mean ${Math.round(mean)}`);
  });
});

/** Advances the clock second by second while tasks run. */
async function runSeconds(clock: ManualClock, seconds: number): Promise<void> {
  for (let second = 0; second < seconds; second += 1) {
    await runPending();
    await clock.advance(1000);
  }
  await runPending();
}

describe('MembershipTask', () => {
  it('finds peers through the instance objects and marks its own as leaving on close', async () => {
    const clock = new ManualClock(1_000_000);
    const store = new MemoryObjectStore();
    const tasks = new Map<string, MembershipTask>();
    const start = (id: string) => {
      const random = createRandom(id.length);
      const peersAddress = `${id}:1`;
      const lifecycle = new LifecycleManager();
      const membership = new Membership({
        clock,
        random,
        id,
        region: 'lv-central',
        zone: 'riga-a',
        peersAddress,
      });
      const task = new MembershipTask({
        membership,
        exchange: async (address, request) => {
          const target = tasks.get(address);
          if (!target) throw new Error(`${address} cannot be reached`);
          return target.handleExchange(request);
        },
        clock,
        random,
        lifecycle,
        seeds: [],
        store,
      });
      tasks.set(peersAddress, task);
      task.start();
      return { membership, lifecycle };
    };
    const a = start('a');
    await runSeconds(clock, 5);
    const b = start('b');
    await runSeconds(clock, 5);
    assert.deepEqual(a.membership.getWatchers('riga-a'), ['a', 'b']);
    assert.deepEqual(b.membership.getWatchers('riga-a'), ['a', 'b']);
    await b.lifecycle.close();
    await runPending();
    const left = a.membership.getMembers().find((record) => record.id === 'b');
    assert.equal(left?.status, MemberStatus.LEFT);
    const stored = (await store.get('instance', 'b'))._unsafeUnwrap();
    assert.equal((stored.value as InstanceRecord).leaving, true);
    await a.lifecycle.close();
  });

  it('runs its rounds while a peer does not answer', async () => {
    const clock = new ManualClock(1_000_000);
    const random = createRandom(1);
    const lifecycle = new LifecycleManager();
    const membership = new Membership({
      clock,
      random,
      id: 'a',
      region: 'lv-central',
      zone: 'riga-a',
      peersAddress: 'a:1',
    });
    let calls = 0;
    const task = new MembershipTask({
      membership,
      exchange: () => {
        calls += 1;
        return new Promise(() => {});
      },
      clock,
      random,
      lifecycle,
      seeds: ['b:1'],
    });
    task.start();
    await runSeconds(clock, 20);
    assert.ok(calls >= 10, `${calls} calls`);
    // An exchange in progress ends at its own timeout.
    await runUntil(clock, lifecycle.close(), 100);
  });
});
