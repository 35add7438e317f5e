import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ConfigReplica } from '@cactusstair/coordination';
import { ConfigDelta } from '@cactusstair/protocol';
import type { ConfigObject } from '@cactusstair/protocol';
import { ManualClock } from '@cactusstair/utils';
import fc from 'fast-check';

import { clusterKey, createDeletion, createWorkspace } from './support.js';

function createReplica(options: { clock?: ManualClock; maxTombstones?: number } = {}) {
  return new ConfigReplica({ clusterKey, clock: new ManualClock(), ...options });
}

function getHeldRevision(replica: ConfigReplica, name = 'w'): number | undefined {
  return replica.getWorkspace(name)?.weight;
}

/** A signed message as it arrives over the wire. */
function transfer(delta: ConfigDelta): ConfigDelta {
  return ConfigDelta.decode(ConfigDelta.encode(delta).finish());
}

describe('ConfigReplica', () => {
  describe('order of changes', () => {
    it('ignores late, repeated and reordered events', () => {
      const replica = createReplica();
      replica.applyObjects([createWorkspace('w', 3)], 3);
      replica.applyObjects([createWorkspace('w', 2)], 2);
      replica.applyObjects([createWorkspace('w', 3), createWorkspace('w', 1)], 3);
      assert.equal(getHeldRevision(replica), 3);
      assert.equal(replica.appliedRevision, 3);
    });

    it('does not undo a deletion with an earlier put, and applies a re-creation', () => {
      const replica = createReplica();
      replica.applyObjects([createDeletion('w', 4)], 4);
      replica.applyObjects([createWorkspace('w', 3)], 4);
      assert.equal(getHeldRevision(replica), undefined);
      replica.applyObjects([createWorkspace('w', 6)], 6);
      replica.applyObjects([createDeletion('w', 4), createWorkspace('w', 3)], 6);
      assert.equal(getHeldRevision(replica), 6);
    });

    it('does not undo a deletion whose tombstone has been dropped', () => {
      const replica = createReplica({ maxTombstones: 1 });
      for (let index = 0; index < 4; index += 1) {
        replica.applyObjects([createDeletion(`w${index}`, 10 + index)], 10 + index);
      }
      for (let index = 0; index < 4; index += 1) {
        replica.applyObjects([createWorkspace(`w${index}`, 5 + index)], 13);
        assert.equal(getHeldRevision(replica, `w${index}`), undefined);
      }
    });

    it('does not revert to a snapshot that was read before later changes', () => {
      const replica = createReplica();
      replica.applySnapshot([createWorkspace('w', 2)], 2);
      replica.applyObjects([createWorkspace('w', 5), createWorkspace('x', 6)], 6);
      replica.applySnapshot([createWorkspace('w', 2)], 3);
      assert.equal(getHeldRevision(replica), 5);
      assert.equal(getHeldRevision(replica, 'x'), 6);
    });

    it('holds the newest received change under any interleaving of events, snapshots and deltas', () => {
      const names = ['a', 'b', 'c'];
      const change = fc.record({ name: fc.constantFrom(...names), deleted: fc.boolean() });
      const delivery = fc.record({
        how: fc.constantFrom('event', 'snapshot', 'delta', 'delta from a snapshot'),
        upTo: fc.nat(),
      });
      const property = fc.property(
        fc.array(change, { minLength: 1, maxLength: 20 }),
        fc.array(delivery, { maxLength: 30 }),
        (changes, deliveries) => {
          const history = changes.map(({ name, deleted }, index) =>
            deleted ? createDeletion(name, index + 1) : createWorkspace(name, index + 1),
          );
          checkInterleaving(names, history, deliveries);
        },
      );
      fc.assert(property, { seed: 20_250_311, numRuns: 2000 });
    });
  });

  describe('deltas', () => {
    it('delete an object of the follower even if the sender has no tombstone for it', () => {
      const follower = createReplica();
      follower.applyObjects([createWorkspace('w', 2), createWorkspace('x', 3)], 3);
      // The sender started after the deletion of w, so it has no tombstone for it.
      const sender = createReplica();
      sender.applySnapshot([createWorkspace('x', 3)], 9);
      follower.importDelta(transfer(sender.exportDelta(3)), 0)._unsafeUnwrap();
      assert.equal(getHeldRevision(follower), undefined);
      assert.equal(getHeldRevision(follower, 'x'), 3);
      assert.equal(follower.appliedRevision, 9);
    });

    it('are rejected if any field is altered or the cluster key differs', () => {
      const sender = createReplica();
      sender.confirm(0, 0);
      sender.applyObjects([createWorkspace('w', 2), createWorkspace('x', 3)], 3);
      const delta = transfer(sender.exportDelta(1));
      const [first, second] = delta.objects as [ConfigObject, ConfigObject];
      const altered: ConfigDelta[] = [
        { ...delta, appliedRevision: 4 },
        { ...delta, afterRevision: 0 },
        { ...delta, confirmedAgeMs: 5 },
        { ...delta, objects: [first] },
        { ...delta, objects: [second, first] },
        { ...delta, objects: [first, { ...second, deleted: true }] },
        { ...delta, objects: [first, { ...second, value: first.value }] },
        { ...delta, hmac: '' },
      ];
      const replica = createReplica();
      replica.applyObjects([], 1);
      for (const forged of altered) {
        assert.equal(replica.importDelta(forged, 0)._unsafeUnwrapErr(), 'bad_signature');
      }
      const otherCluster = new ConfigReplica({ clusterKey: Buffer.alloc(32, 8) });
      assert.equal(otherCluster.importDelta(delta, 0)._unsafeUnwrapErr(), 'bad_signature');
      assert.equal(getHeldRevision(replica), undefined);
      assert.equal(replica.getConfirmedAgeMs(), Infinity);
      replica.importDelta(delta, 0)._unsafeUnwrap();
    });

    it('are rejected if the sender has applied less or if they would leave a gap', () => {
      const sender = createReplica();
      sender.applyObjects([createWorkspace('w', 2)], 5);
      const ahead = createReplica();
      ahead.applyObjects([], 6);
      assert.equal(ahead.importDelta(sender.exportDelta(2), 0)._unsafeUnwrapErr(), 'stale');
      const behind = createReplica();
      behind.applyObjects([], 1);
      assert.equal(behind.importDelta(sender.exportDelta(4), 0)._unsafeUnwrapErr(), 'stale');
      assert.equal(behind.appliedRevision, 1);
    });

    it('confirm with the age at the sender plus the call time, however far the clocks differ', async () => {
      const senderClock = new ManualClock(5_000_000);
      const sender = createReplica({ clock: senderClock });
      sender.confirm(senderClock.monotonicMs(), 0);
      await senderClock.advance(400);
      const clock = new ManualClock(70);
      const replica = createReplica({ clock });
      const startedAtMs = clock.monotonicMs();
      const delta = sender.exportDelta(0);
      await clock.advance(30);
      replica.importDelta(delta, startedAtMs)._unsafeUnwrap();
      assert.equal(replica.getConfirmedAgeMs(), 430);
    });

    it('do not confirm the replica if the sender is unconfirmed', () => {
      const sender = createReplica();
      sender.applyObjects([createWorkspace('w', 2)], 2);
      const replica = createReplica();
      replica.importDelta(sender.exportDelta(0), 0)._unsafeUnwrap();
      assert.equal(getHeldRevision(replica), 2);
      assert.equal(replica.getConfirmedAgeMs(), Infinity);
    });
  });

  describe('confirmations', () => {
    it('take effect only when their revision is applied, so that a lagging replica stays unconfirmed', async () => {
      const clock = new ManualClock();
      const replica = createReplica({ clock });
      replica.confirm(0, 5);
      assert.equal(replica.getConfirmedAgeMs(), Infinity);
      await clock.advance(2000);
      replica.applyObjects([createWorkspace('w', 4)], 4);
      assert.equal(replica.getConfirmedAgeMs(), Infinity);
      replica.applyObjects([], 5);
      assert.equal(replica.getConfirmedAgeMs(), 2000);
    });

    it('count from before the read and are not replaced by an older one that arrives late', async () => {
      const clock = new ManualClock();
      const replica = createReplica({ clock });
      await clock.advance(3000);
      replica.confirm(2500, 0);
      replica.confirm(1000, 0);
      assert.equal(replica.getConfirmedAgeMs(), 500);
    });

    it('keep taking effect while the replica always lags behind the store', async () => {
      const clock = new ManualClock();
      const replica = createReplica({ clock });
      for (let poll = 1; poll <= 100; poll += 1) {
        replica.confirm(clock.monotonicMs(), poll * 10);
        await clock.advance(1000);
        replica.applyObjects([], Math.max(0, (poll - 5) * 10));
      }
      assert.equal(replica.getConfirmedAgeMs(), 6000);
    });
  });

  it('finds no workspace for a key digest that two workspaces list or that was removed', () => {
    const replica = createReplica();
    replica.applyObjects([createWorkspace('w', 1)], 1);
    assert.equal(replica.findWorkspaceByKeyDigest('d1')?.name, 'w');
    replica.applyObjects([createWorkspace('x', 2)], 2);
    assert.equal(replica.findWorkspaceByKeyDigest('d1'), undefined);
    replica.applyObjects([createDeletion('w', 3)], 3);
    assert.equal(replica.findWorkspaceByKeyDigest('d1')?.name, 'x');
    replica.applyObjects([createDeletion('x', 4)], 4);
    assert.equal(replica.findWorkspaceByKeyDigest('d1'), undefined);
  });

  it('does not return the cascade of another workspace with the same object name', () => {
    const replica = createReplica();
    const value = JSON.stringify({ workspace: 'a.b', name: 'c', rungs: ['m'] });
    const cascade = { kind: 'cascade', name: 'a.b.c', version: 1, revision: 1, deleted: false };
    replica.applyObjects([{ ...cascade, value }], 1);
    assert.deepEqual(replica.getCascade('a.b', 'c')?.rungs, ['m']);
    assert.equal(replica.getCascade('a', 'b.c'), undefined);
  });

  it('treats an object with a malformed value as absent and still exports it', () => {
    const invalid: string[] = [];
    const replica = new ConfigReplica({
      clusterKey,
      onInvalidObject: (object) => invalid.push(object.name),
    });
    replica.applyObjects([createWorkspace('w', 1)], 1);
    replica.applyObjects([{ ...createWorkspace('w', 2), value: '[' }], 2);
    assert.deepEqual(invalid, ['w']);
    assert.equal(replica.getWorkspace('w'), undefined);
    assert.equal(replica.exportDelta(1).objects[0]?.value, '[');
  });
});

interface Delivery {
  how: string;
  upTo: number;
}

/** Checks after each delivery that the replica holds exactly the newest change it has received. */
function checkInterleaving(names: string[], history: ConfigObject[], deliveries: Delivery[]) {
  const replica = createReplica({ maxTombstones: 1 });
  const findLast = (name: string, revision: number) =>
    history.findLast((object) => object.name === name && object.revision <= revision);
  const listAt = (revision: number) =>
    names.map((name) => findLast(name, revision)).filter((object) => object?.deleted === false);
  const known = new Map<string, number>();
  const recordNewest = (name: string, revision: number) =>
    known.set(name, Math.max(known.get(name) ?? 0, revision));

  for (const { how, upTo } of [...deliveries, { how: 'snapshot', upTo: history.length - 1 }]) {
    const revision = (upTo % history.length) + 1;
    const snapshot = listAt(revision) as ConfigObject[];
    const sender = createReplica();
    if (how === 'event') {
      const event = history[revision - 1] as ConfigObject;
      replica.applyObjects([event], 0);
      recordNewest(event.name, revision);
    } else {
      if (how === 'snapshot') replica.applySnapshot(snapshot, revision);
      if (how === 'delta') sender.applyObjects(history.slice(0, revision), revision);
      if (how === 'delta from a snapshot') sender.applySnapshot(snapshot, revision);
      const isApplied =
        how === 'snapshot' ||
        replica.importDelta(transfer(sender.exportDelta(replica.appliedRevision)), 0).isOk();
      for (const name of names) {
        if (isApplied) recordNewest(name, findLast(name, revision)?.revision ?? 0);
      }
    }
    for (const name of names) {
      const newest = history[(known.get(name) ?? 0) - 1];
      const expected = newest && !newest.deleted ? newest.revision : undefined;
      assert.equal(
        getHeldRevision(replica, name),
        expected,
        `${name} after ${how} up to ${revision}`,
      );
    }
  }
}
