import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import {
  answerFetchConfig,
  checkVersionPermit,
  ConfigReplica,
  defaultVersionPermits,
  PeerFollower,
} from '@cactusstair/coordination';
import type { FetchConfigCall } from '@cactusstair/coordination';
import { VersionState } from '@cactusstair/protocol';
import { createRandom, LifecycleManager, ManualClock } from '@cactusstair/utils';

import { clusterKey, createDeletion, createWorkspace, waitUntil } from './support.js';

describe('PeerFollower', () => {
  let lifecycle: LifecycleManager;
  afterEach(() => lifecycle.close());

  function createSender(clock: ManualClock, key = clusterKey) {
    const sender = new ConfigReplica({ clusterKey: key, clock });
    sender.applySnapshot([createWorkspace('w', 2)], 5);
    sender.confirm(clock.monotonicMs(), 5);
    return sender;
  }

  function startFollower(clock: ManualClock, peers: Record<string, FetchConfigCall>) {
    lifecycle = new LifecycleManager();
    const replica = new ConfigReplica({ clusterKey, clock });
    const problems: string[] = [];
    const follower = new PeerFollower({
      replica,
      clock,
      random: createRandom(1),
      getPeers: () => Object.keys(peers),
      fetchConfig: (peer, request, signal) =>
        peers[peer]?.(peer, request, signal) ?? Promise.reject(new Error('no such peer')),
      onProblem: (peer, problem) => problems.push(`${peer}: ${problem}`),
    });
    lifecycle.startTask('peer follower', (signal) => follower.run(signal));
    return { replica, problems };
  }

  function answerWith(sender: ConfigReplica, clock: ManualClock): FetchConfigCall {
    return (_, request, signal) => answerFetchConfig(sender, request, { clock, signal });
  }

  async function advanceUntil(clock: ManualClock, what: string, check: () => boolean) {
    await waitUntil(what, () => {
      clock.advance(50);
      return check();
    });
  }

  it('gets a snapshot with the confirmation age of its sender during an outage of the store', async () => {
    const clock = new ManualClock();
    const sender = createSender(clock);
    await clock.advance(defaultVersionPermits.candidateMs);
    const { replica } = startFollower(clock, { a: answerWith(sender, clock) });
    await waitUntil('the snapshot', () => replica.getWorkspace('w')?.weight === 2);
    const check = (state: VersionState) =>
      checkVersionPermit({ state }, replica.getConfirmedAgeMs(), defaultVersionPermits);
    assert.equal(check(VersionState.CANDIDATE), 'lapsed');
    assert.equal(check(VersionState.SETTLED), 'permitted');
  });

  it('rejects a snapshot with a bad signature and switches to the next peer', async () => {
    const clock = new ManualClock();
    const forged = createSender(clock, Buffer.alloc(32, 8));
    const peers: Record<string, FetchConfigCall> = { a: answerWith(forged, clock) };
    const { replica, problems } = startFollower(clock, peers);
    await advanceUntil(clock, 'refusals', () => problems.length >= 3);
    assert.equal(replica.getWorkspace('w'), undefined);
    assert.equal(replica.getConfirmedAgeMs(), Infinity);
    peers.b = answerWith(createSender(clock), clock);
    await advanceUntil(clock, 'the good peer', () => replica.getWorkspace('w') !== undefined);
    assert.equal(problems[0], 'a: bad_signature');
  });

  it('switches from a peer that does not answer, fails, has applied less or is unconfirmed', async () => {
    const clock = new ManualClock();
    const good = createSender(clock);
    const behind = new ConfigReplica({ clusterKey, clock });
    const partitioned = createSender(clock);
    await clock.advance(6000);
    good.confirm(clock.monotonicMs(), 5);
    let isGoodReachable = true;
    const { replica, problems } = startFollower(clock, {
      good: (...call) =>
        isGoodReachable ? answerWith(good, clock)(...call) : Promise.reject(new Error('refused')),
      silent: () => new Promise(() => {}),
      failing: () => Promise.reject(new Error('connection reset')),
      behind: answerWith(behind, clock),
      partitioned: answerWith(partitioned, clock),
    });
    await advanceUntil(clock, 'the good peer', () => replica.getConfirmedAgeMs() < 6000);
    isGoodReachable = false;
    const expected = [
      'good: no_answer',
      'silent: no_answer',
      'failing: no_answer',
      'behind: stale',
      'partitioned: unconfirmed',
    ];
    await advanceUntil(clock, 'every problem', () =>
      expected.every((problem) => problems.includes(problem)),
    );
    assert.equal(replica.getWorkspace('w')?.weight, 2);
  });

  it('switches from peers without a configuration to a peer with a snapshot', async () => {
    const clock = new ManualClock();
    const empty = new ConfigReplica({ clusterKey, clock });
    const { replica, problems } = startFollower(clock, {
      empty: answerWith(empty, clock),
      alsoEmpty: answerWith(empty, clock),
      good: answerWith(createSender(clock), clock),
    });
    await advanceUntil(clock, 'the snapshot', () => replica.appliedRevision === 5);
    assert.ok(problems.every((problem) => problem.endsWith('unconfirmed')));
  });

  it('receives changes and deletions as soon as the sender has them', async () => {
    const clock = new ManualClock();
    const sender = createSender(clock);
    const { replica } = startFollower(clock, { a: answerWith(sender, clock) });
    await waitUntil('the snapshot', () => replica.appliedRevision === 5);
    await clock.advance(300);
    sender.applyObjects([createWorkspace('w', 6)], 6);
    await waitUntil('the change', () => replica.getWorkspace('w')?.weight === 6);
    sender.applyObjects([createDeletion('w', 7)], 7);
    await advanceUntil(clock, 'the deletion', () => replica.getWorkspace('w') === undefined);
  });

  it('stays within half of the candidate permit while it follows a current sender', async () => {
    const clock = new ManualClock();
    const sender = createSender(clock);
    const { replica } = startFollower(clock, { a: answerWith(sender, clock) });
    await waitUntil('the snapshot', () => replica.appliedRevision === 5);
    let oldestMs = 0;
    let steps = 0;
    await waitUntil('20 s on the fake clock', () => {
      sender.confirm(clock.monotonicMs(), 5);
      clock.advance(50);
      oldestMs = Math.max(oldestMs, replica.getConfirmedAgeMs());
      steps += 1;
      return steps >= 400;
    });
    assert.ok(oldestMs < defaultVersionPermits.candidateMs / 2, `oldest ${oldestMs} ms`);
  });
});
