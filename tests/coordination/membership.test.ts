import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { MembershipOptions } from '@cactusstair/coordination';
import { Membership } from '@cactusstair/coordination';
import type { MemberRecord, QuarantineEntry } from '@cactusstair/protocol';
import { ExchangeRequest, MemberStatus } from '@cactusstair/protocol';
import { createRandom, ManualClock } from '@cactusstair/utils';

function createMembership(
  clock: ManualClock,
  id: string,
  options: Partial<MembershipOptions> = {},
) {
  return new Membership({
    clock,
    random: createRandom(id.length),
    id,
    region: 'lv-central',
    zone: 'riga-a',
    peersAddress: `${id}:1`,
    ...options,
  });
}

/** Runs one exchange that `from` starts. */
function exchange(from: Membership, to: Membership): void {
  to.applyExchange(from.createExchange(to.getSelf().id));
  from.applyExchange(to.createExchange(from.getSelf().id));
}

/** Advances the clock second by second; only the given members tick. */
async function tick(clock: ManualClock, seconds: number, ...members: Membership[]): Promise<void> {
  for (let second = 0; second < seconds; second += 1) {
    await clock.advance(1000);
    for (const member of members) member.tick();
  }
}

function getStatus(membership: Membership, id: string): MemberStatus | undefined {
  return membership.getMembers().find((record) => record.id === id)?.status;
}

describe('Membership', () => {
  describe('order of records', () => {
    it('reaches the same state from reordered and repeated messages', async () => {
      const clock = new ManualClock(1_000_000);
      const ids = ['a', 'b', 'c', 'd'];
      const members = ids.map((id) => createMembership(clock, id));
      const random = createRandom(3);
      const messages: Uint8Array[] = [];
      for (let round = 0; round < 40; round += 1) {
        // Member d stops in round 10, so that the messages hold suspect and lost records too.
        const running = round < 10 ? members : members.slice(0, 3);
        await tick(clock, 1, ...running);
        const [from, to] = [running[random.nextInt(3)], running[random.nextInt(running.length)]];
        if (!from || !to || from === to) continue;
        messages.push(ExchangeRequest.encode(from.createExchange(to.getSelf().id)).finish());
        exchange(from, to);
      }
      const readState = (order: readonly Uint8Array[]) => {
        const observer = createMembership(clock, 'observer');
        for (const message of order) observer.applyExchange(ExchangeRequest.decode(message));
        return observer
          .getMembers()
          .filter(({ id }) => id !== 'observer')
          .map(({ id, incarnation, heartbeat, status }) => ({ id, incarnation, heartbeat, status }))
          .sort((x, y) => (x.id < y.id ? -1 : 1));
      };
      const inOrder = readState(messages);
      assert.ok(inOrder.length >= 3);
      assert.ok(inOrder.some((record) => record.status !== MemberStatus.ALIVE));
      for (let trial = 0; trial < 30; trial += 1) {
        // A refresh that comes before the full record is ignored, so the full ones come first.
        const [first, ...rest] = messages;
        const shuffled = [...rest, ...rest]
          .map((message) => ({ message, key: random.next() }))
          .sort((x, y) => x.key - y.key)
          .map(({ message }) => message);
        assert.deepEqual(readState([...(first ? [first] : []), ...shuffled, ...shuffled]), inOrder);
      }
    });

    it('ignores a status that this version does not know', () => {
      const clock = new ManualClock(1_000_000);
      const [a, b] = [createMembership(clock, 'a'), createMembership(clock, 'b')];
      const sender = { ...b.getSelf(), status: MemberStatus.UNRECOGNIZED };
      a.applyExchange({ sender, members: [], zones: [], quarantine: [], crashes: [], limits: [] });
      assert.equal(a.getMembers().length, 1);
    });

    it('ignores a record of an earlier run of a restarted member', () => {
      const clock = new ManualClock(1_000_000);
      const a = createMembership(clock, 'a');
      const old = createMembership(clock, 'b', { incarnation: 5 });
      const restarted = createMembership(clock, 'b', { incarnation: 6 });
      const stale = old.createExchange('a');
      exchange(restarted, a);
      a.applyExchange(stale);
      assert.equal(a.isAlive('b', 5), false);
      assert.equal(a.isAlive('b', 6), true);
    });
  });

  describe('suspect and lost', () => {
    it('refutes a false suspicion without a lost event', async () => {
      const clock = new ManualClock(1_000_000);
      const [a, b] = [createMembership(clock, 'a'), createMembership(clock, 'b')];
      const lost: MemberRecord[] = [];
      a.onLost((record) => lost.push(record));
      exchange(a, b);
      await tick(clock, 14, a);
      assert.equal(getStatus(a, 'b'), MemberStatus.SUSPECT);
      assert.equal(a.isAlive('b', b.getSelf().incarnation), true);
      const { incarnation } = b.getSelf();
      exchange(a, b);
      assert.equal(getStatus(a, 'b'), MemberStatus.ALIVE);
      assert.equal(b.getSelf().incarnation, incarnation);
      assert.deepEqual(lost, []);
    });

    it('raises the incarnation of a member that a peer has marked lost', async () => {
      const clock = new ManualClock(1_000_000);
      const [a, b] = [createMembership(clock, 'a'), createMembership(clock, 'b')];
      const lost: MemberRecord[] = [];
      a.onLost((record) => lost.push(record));
      exchange(a, b);
      const { incarnation } = b.getSelf();
      await tick(clock, 30, a);
      assert.equal(getStatus(a, 'b'), MemberStatus.LOST);
      assert.equal(a.isAlive('b', incarnation), false);
      exchange(a, b);
      assert.ok(b.getSelf().incarnation > incarnation);
      assert.equal(getStatus(a, 'b'), MemberStatus.ALIVE);
      assert.equal(a.isAlive('b', b.getSelf().incarnation), true);
      assert.deepEqual(
        lost.map((record) => [record.id, record.incarnation]),
        [['b', incarnation]],
      );
    });

    it('does not mark members suspect or lost because of its own pause', async () => {
      const clock = new ManualClock(1_000_000);
      const [a, b] = [createMembership(clock, 'a'), createMembership(clock, 'b')];
      exchange(a, b);
      await tick(clock, 1, a, b);
      await clock.advance(120_000);
      a.tick();
      assert.equal(getStatus(a, 'b'), MemberStatus.ALIVE);
    });

    it('reports the earlier run of a restarted member as lost exactly once', () => {
      const clock = new ManualClock(1_000_000);
      const a = createMembership(clock, 'a');
      const ended: number[] = [];
      a.onLost((record) => ended.push(record.incarnation));
      exchange(createMembership(clock, 'b', { incarnation: 5 }), a);
      const restarted = createMembership(clock, 'b', { incarnation: 6 });
      exchange(restarted, a);
      exchange(restarted, a);
      assert.deepEqual(ended, [5]);
    });

    it('raises the incarnation of a member that restarts with a wall clock set back', () => {
      const clock = new ManualClock(1_000_000);
      const a = createMembership(clock, 'a');
      exchange(createMembership(clock, 'b', { incarnation: 2_000_000 }), a);
      const restarted = createMembership(clock, 'b', { incarnation: 500_000 });
      a.applyExchange(restarted.createExchange('a'));
      restarted.applyExchange({
        sender: a.getSelf(),
        members: a.getMembers(),
        zones: [],
        quarantine: [],
        crashes: [],
        limits: [],
      });
      assert.ok(restarted.getSelf().incarnation > 2_000_000);
      exchange(restarted, a);
      assert.ok(a.isAlive('b', restarted.getSelf().incarnation));
    });
  });

  describe('leaving', () => {
    it('marks a member that leaves as left, without a lost event', async () => {
      const clock = new ManualClock(1_000_000);
      const [a, b] = [createMembership(clock, 'a'), createMembership(clock, 'b')];
      const lost: MemberRecord[] = [];
      a.onLost((record) => lost.push(record));
      exchange(a, b);
      const { incarnation } = b.getSelf();
      b.startLeaving();
      exchange(a, b);
      assert.equal(getStatus(a, 'b'), MemberStatus.LEAVING);
      assert.equal(a.isAlive('b', incarnation), true);
      assert.deepEqual(a.getWatchers('riga-a'), ['a']);
      b.finishLeaving();
      exchange(b, a);
      await tick(clock, 60, a);
      assert.equal(getStatus(a, 'b'), MemberStatus.LEFT);
      assert.equal(a.isAlive('b', incarnation), false);
      assert.deepEqual(lost, []);
    });

    it('reports a leaving member as lost if it stops before its shutdown is complete', async () => {
      const clock = new ManualClock(1_000_000);
      const [a, b] = [createMembership(clock, 'a'), createMembership(clock, 'b')];
      const lost: MemberRecord[] = [];
      a.onLost((record) => lost.push(record));
      b.startLeaving();
      exchange(a, b);
      await tick(clock, 30, a);
      assert.equal(lost.length, 1);
    });

    it('removes lost members after forgetAfterMs', async () => {
      const clock = new ManualClock(1_000_000);
      const a = createMembership(clock, 'a', { forgetAfterMs: 60_000 });
      exchange(createMembership(clock, 'b'), a);
      await tick(clock, 100, a);
      assert.equal(a.getMembers().length, 1);
    });
  });

  it('returns the two lowest ids of the alive members as watchers', () => {
    const clock = new ManualClock(1_000_000);
    const [a, b, c] = ['a', 'b', 'c'].map((id) => createMembership(clock, id));
    assert.ok(a && b && c);
    exchange(c, b);
    exchange(c, a);
    assert.deepEqual(c.getWatchers('riga-a'), ['a', 'b']);
    a.startLeaving();
    exchange(c, a);
    assert.deepEqual(c.getWatchers('riga-a'), ['b', 'c']);
  });

  describe('messages', () => {
    it('stay within the size limit for a new peer in a zone of 500 members', async () => {
      const clock = new ManualClock(1_000_000);
      const a = createMembership(clock, 'a');
      for (let index = 0; index < 500; index += 1) {
        exchange(createMembership(clock, `member-${index}`), a);
      }
      const peer = createMembership(clock, 'peer');
      peer.applyExchange(a.createExchange('peer'));
      a.applyExchange(peer.createExchange('a'));
      let memberCount = 0;
      for (let index = 0; index < 100; index += 1) {
        const message = a.createExchange('peer');
        assert.ok(ExchangeRequest.encode(message).finish().length <= 4000);
        peer.applyExchange(message);
        memberCount = peer.getMembers().length;
      }
      assert.equal(memberCount, 502);
    });

    it('carry only what changed since the last exchange with the peer', async () => {
      const clock = new ManualClock(1_000_000);
      const [a, b, c] = ['a', 'b', 'c'].map((id) => createMembership(clock, id));
      assert.ok(a && b && c);
      exchange(c, a);
      // The first exchange makes a and b known to each other, the second carries c.
      exchange(a, b);
      exchange(a, b);
      assert.ok(b.isAlive('c', c.getSelf().incarnation));
      assert.deepEqual(a.createExchange('b').members, []);
      c.tick();
      exchange(c, a);
      const [refresh, ...others] = a.createExchange('b').members;
      assert.deepEqual([refresh?.id, refresh?.peersAddress, others.length], ['c', '', 0]);
    });

    it('repeat full records after a failed exchange', () => {
      const clock = new ManualClock(1_000_000);
      const [a, b, c] = ['a', 'b', 'c'].map((id) => createMembership(clock, id));
      assert.ok(a && b && c);
      exchange(c, a);
      exchange(b, a);
      a.createExchange('b');
      a.recordExchangeFailure('b');
      assert.ok(a.createExchange('b').members.some((record) => record.peersAddress === 'c:1'));
    });

    it('add the time that a record spends at a forwarding member to the age of its confirmation', async () => {
      const clock = new ManualClock(1_000_000);
      const a = createMembership(clock, 'a');
      const [b, c] = [
        createMembership(clock, 'b', { getConfirmedAgeMs: () => 100, getAppliedRevision: () => 7 }),
        createMembership(clock, 'c'),
      ];
      exchange(b, a);
      await clock.advance(400);
      exchange(c, a);
      const record = c.getMembers().find(({ id }) => id === 'b');
      assert.equal(record?.confirmedAgeMs, 500);
      assert.equal(record?.appliedRevision, 7);
    });

    it('carry quarantine entries within the size limit', () => {
      const clock = new ManualClock(1_000_000);
      const entries = Array.from({ length: 500 }, (_, index) => ({
        fingerprint: `fingerprint-${index}`,
        blame: 2,
        ttlMs: 1000,
      }));
      const received: QuarantineEntry[] = [];
      const a = createMembership(clock, 'a', { exportQuarantine: () => entries });
      const b = createMembership(clock, 'b', {
        importQuarantine: (imported) => received.push(...imported),
      });
      exchange(b, a);
      const message = a.createExchange('b');
      assert.ok(ExchangeRequest.encode(message).finish().length <= 4000);
      assert.ok(received.length > 10);
      assert.deepEqual(received[0], entries[0]);
    });
  });
});
