import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { systemClock, waitFor } from '@cactusstair/utils';

import { FleetFixture } from './support/fleetFixture.js';
import { createConfig, createRoute } from './support/relayFixture.js';

/** An entry that nobody writes again is dropped by the store within this time. */
const ENTRY_LAPSE_MS = 3600;
/** Time in which a key counts as confirmed by the last read. */
const KEY_MS = 4500;

/** The store is restored from an older copy while three instances run. */
describe('instances whose store is restored from an older copy', () => {
  let fleet: FleetFixture;

  const put = (version: number, keys?: string[]) => {
    const config = createConfig(version, [createRoute()]);
    fleet.store.config.put('main', {
      ...config,
      workspaces: keys ? [{ name: 'workspace-1', apiKeys: keys }] : config.workspaces,
    });
  };

  beforeEach(async () => {
    fleet = new FleetFixture();
    put(1);
    await fleet.addUpstream('sound');
    await fleet.open(3);
  });

  afterEach(async () => {
    await fleet.close();
  });

  const waitForVersion = (version: number) =>
    fleet.waitForLines(`"event":"config_applied","version":${version},`);

  // The poll from the old revision was answered and lacked the configuration (hard-load.md, gap 6).
  it('apply a configuration that is written in the new era below the old revision', async () => {
    put(2);
    await waitForVersion(2);
    fleet.store.skipRevisions(20);
    fleet.store.upstreams.put('other', fleet.store.upstreams.get('sound'));
    put(3);
    await waitForVersion(3);
    await fleet.store.restore({ config: 2, upstreams: 1 });
    put(4);
    fleet.store.skipRevisions(50);
    await waitForVersion(4);
    await fleet.waitForLines('"event":"store_restored","era":2');
  });

  it('apply no configuration that is older than the one in force', async () => {
    put(2);
    await waitForVersion(2);
    await fleet.store.restore({ config: 1 }, 300);
    await fleet.waitForLines('"event":"store_restored"');
    for (const { lines } of fleet.instances) {
      assert.equal(lines.join('').split('"event":"config_applied"').length, 3);
    }
  });

  // A key that had been withdrawn came back with a restart, until the operator had written the
  // configuration again.
  it('do not accept a withdrawn key, nor does an instance that starts', async () => {
    put(2, ['another key']);
    await waitForVersion(2);
    await fleet.store.restore({ config: 1, peers: 1 }, 300);
    const started = await fleet.start();
    const statuses = await Promise.all(
      fleet.instances.map((instance) => fleet.sendFor(2500, instance)),
    );
    assert.deepEqual([...new Set(statuses.slice(0, 3).flat())], [401]);
    assert.deepEqual([...new Set(statuses[3])], [503]);
    assert.equal(started.node.isReady, false);
    put(2, ['another key']);
    await waitFor(() => started.node.isReady, { what: 'the instance', timeoutMs: 5000 });
    assert.deepEqual([...new Set(await fleet.sendFor(300, started))], [401]);
    assert.equal(fleet.upstreams[0]!.received.length, 0);
  });

  // The instance would take the restored configuration for confirmed and accept a key that the
  // others know to be withdrawn.
  it('stop accepting keys where a withdrawal was never read, within the time of a key', async () => {
    const [first, second, third] = fleet.instances;
    third!.link.isCut = true;
    fleet.store.config.cutWatches();
    put(2, ['another key']);
    await fleet.waitForLines('"event":"config_applied","version":2,', [first!, second!]);
    await fleet.store.restore({ config: 1 }, 300);
    third!.link.isCut = false;
    await fleet.waitForLines('"event":"store_restored"', [third!]);
    await systemClock.sleep(KEY_MS);
    assert.deepEqual([...new Set(await fleet.sendFor(500, third!))], [503]);
    put(2, ['another key']);
    await fleet.waitForLines('"event":"config_applied","version":2,', [third!]);
    assert.deepEqual([...new Set(await fleet.sendFor(300, third!))], [401]);
  });

  // 32 requests reached an upstream that had left (hard-load.md, gap 6).
  it('send nothing to an upstream that had left, with half of the instances cut off', async () => {
    const leaving = await fleet.addUpstream('leaving', { startedAtMs: 5 });
    await fleet.waitForLines('"event":"upstream_seen","upstream":"leaving"');
    const entry = fleet.store.upstreams.get('leaving')!;
    fleet.store.upstreams.put('leaving', { ...entry, isDraining: true });
    fleet.store.upstreams.remove('leaving');
    await fleet.waitForLines('"event":"upstream_gone","upstream":"leaving"');
    const [, second, third] = fleet.instances;
    second!.link.isCut = true;
    third!.link.isCut = true;
    await fleet.store.restore({ upstreams: 2 }, 300);
    const lapse = setTimeout(() => fleet.store.upstreams.remove('leaving'), ENTRY_LAPSE_MS);
    const reconnect = setTimeout(() => {
      second!.link.isCut = false;
    }, 1000);
    const statuses = await Promise.all(
      fleet.instances.map((instance) => fleet.sendFor(KEY_MS + 1500, instance)),
    );
    clearTimeout(lapse);
    clearTimeout(reconnect);
    // The confirmations of its peers keep the keys valid at the instance that stays cut off.
    assert.deepEqual([...new Set(statuses.flat())], [200]);
    assert.equal(leaving.received.length, 0);
  });

  it('keep an upstream that the copy lacks in use', async () => {
    const added = await fleet.addUpstream('added');
    await fleet.waitForLines('"event":"upstream_seen","upstream":"added"');
    await fleet.store.restore({ upstreams: 1 });
    fleet.store.skipRevisions(10);
    await fleet.waitForLines('"event":"upstream_missing","upstream":"added"');
    added.received.length = 0;
    await fleet.sendFor(500, fleet.instances[0]!);
    assert.notEqual(added.received.length, 0);
    fleet.store.upstreams.put('added', {
      ...fleet.store.upstreams.get('sound')!,
      id: 'added',
      port: added.port,
    });
    await systemClock.sleep(2500);
    for (const { lines } of fleet.instances) {
      assert.doesNotMatch(lines.join(''), /"event":"upstream_gone"/);
    }
  });

  it('store the lost progress of a rollout again, once', async () => {
    const order = { service: 'app', targetVersion: 'v2', durationMs: 60_000, step: 0 };
    fleet.store.rollouts.put('app', order);
    await waitFor(() => fleet.store.progress.length === 1, { what: 'a step', timeoutMs: 5000 });
    await fleet.waitForLines('"event":"rollout_order","name":"app"');
    await fleet.waitForLines('"state":"running"');
    const [first] = fleet.store.progress;
    await fleet.store.restore({ rollouts: 1 }, 200);
    await waitFor(() => fleet.store.progress.length === 2, { what: 'the step', timeoutMs: 5000 });
    await systemClock.sleep(3000);
    assert.deepEqual(fleet.store.progress, [first, first]);
  });

  it('announce themselves again', async () => {
    await fleet.store.restore({ peers: 3 });
    assert.equal(fleet.store.peers.get('instance-3'), undefined);
    await waitFor(
      () => [1, 2, 3].every((index) => fleet.store.peers.get(`instance-${index}`) !== undefined),
      { what: 'the records', timeoutMs: 6000 },
    );
  });
});
