import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { BodyLease } from '@cactusstair/routing';
import { BodyBudget, chooseBodyToEnd } from '@cactusstair/routing';
import { ManualClock } from '@cactusstair/utils';

const MEBIBYTE = 1024 * 1024;
const CHECK_MS = 100;

/** One body of a test: what it sends and what became of it. */
interface Sender {
  lease: BodyLease;
  state: 'reading' | 'waiting' | 'refused' | 'whole';
  sentBytes: number;
}

/** Simulates callers that send bodies to one budget, without a network. */
class Simulation {
  readonly clock = new ManualClock();

  readonly budget: BodyBudget;

  constructor(maxBytes: number) {
    this.budget = new BodyBudget({ clock: this.clock, maxBytes });
  }

  open(owner: string, maxBytes = 4 * MEBIBYTE, maxWaitMs = 20_000): Sender {
    const sender = { state: 'reading', sentBytes: 0 } as Sender;
    sender.lease = this.budget.open({
      owner,
      maxBytes,
      maxWaitMs,
      listener: {
        onWait: () => {
          sender.state = 'waiting';
        },
        onGranted: () => {
          sender.state = 'reading';
        },
        onRefused: () => {
          sender.state = 'refused';
        },
      },
    });
    return sender;
  }

  send(sender: Sender, bytes: number): void {
    if (sender.state !== 'reading') return;
    sender.sentBytes += bytes;
    sender.lease.record(bytes);
  }

  /** Lets time pass in which each sender sends at its rate, and checks the budget as the timer does. */
  async run(durationMs: number, bytesPerSecond: ReadonlyMap<Sender, number>): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += CHECK_MS) {
      for (const [sender, rate] of bytesPerSecond) this.send(sender, (rate * CHECK_MS) / 1000);
      await this.clock.advance(CHECK_MS);
      this.budget.check();
    }
  }
}

describe('BodyBudget', () => {
  describe('chooses the body that is ended', () => {
    const createBody = (rate: number, readSinceMs = 0) => ({
      readSinceMs,
      rate: { getBytesPerSecond: () => rate },
    });

    it('the stalled one before one that trickles, and that before a slow upload', () => {
      const [stalled, trickling, slow, fast] = [0, 100, 12_000, 1e6].map((rate) =>
        createBody(rate),
      ) as [object, object, object, object];
      const bodies = [fast, slow, trickling, stalled] as ReturnType<typeof createBody>[];
      const order: object[] = [];
      for (;;) {
        const ended = chooseBodyToEnd(bodies, 5000, 0);
        if (!ended) break;
        order.push(ended);
        bodies.splice(bodies.indexOf(ended), 1);
      }
      assert.deepEqual(order, [stalled, trickling, slow]);
      assert.deepEqual(bodies, [fast]);
    });

    it('none that has only just begun to arrive', () => {
      assert.equal(chooseBodyToEnd([createBody(0, 4500)], 5000, 4000), undefined);
    });

    it('a faster one the longer others wait', () => {
      const body = createBody(100_000);
      assert.equal(chooseBodyToEnd([body], 9000, 2000), undefined);
      assert.equal(chooseBodyToEnd([body], 9000, 4000), body);
    });

    it('none of the fast ones, however long others wait', () => {
      assert.equal(chooseBodyToEnd([createBody(300_000)], 60_000, 50_000), undefined);
    });
  });

  it('ends no body while nobody waits, however slowly it arrives', async () => {
    const simulation = new Simulation(32 * MEBIBYTE);
    const slow = simulation.open('a');
    simulation.send(slow, 10_000);
    await simulation.run(60_000, new Map([[slow, 100]]));
    assert.equal(slow.state, 'reading');
  });

  // All memory was held by callers that stopped just short of their bodies' end.
  it('ends stalled bodies, and not slow or fast ones, when others wait', async () => {
    const simulation = new Simulation(32 * MEBIBYTE);
    const stalled = Array.from({ length: 6 }, (_, index) => simulation.open(`stalled ${index}`));
    for (const sender of stalled) simulation.send(sender, 4 * MEBIBYTE - 65_536);
    const slow = simulation.open('slow');
    const fast = simulation.open('fast');
    const rates = new Map([
      [slow, 60_000],
      [fast, 400_000],
    ]);
    await simulation.run(3000, rates);
    const late = simulation.open('late');
    simulation.send(late, 10_000);
    assert.equal(late.state, 'waiting');
    await simulation.run(3000, new Map([...rates, [late, 400_000]]));
    assert.equal(stalled.filter(({ state }) => state === 'refused').length, 1);
    assert.deepEqual([slow.state, fast.state, late.state], ['reading', 'reading', 'reading']);
    assert.deepEqual(simulation.budget.refusals, { no_memory: 0, too_slow: 1 });
  });

  // Bodies that had waited were ended at once when they got memory, for the time of their wait.
  it('serves a burst of large bodies one after the other', async () => {
    const simulation = new Simulation(32 * MEBIBYTE);
    const senders = Array.from({ length: 40 }, () => simulation.open('workspace'));
    for (const sender of senders) simulation.send(sender, 10_000);
    assert.equal(senders.filter(({ state }) => state === 'reading').length, 4);
    for (let round = 0; round < 10; round += 1) {
      await simulation.run(300, new Map());
      for (const sender of senders.filter(({ state }) => state === 'reading')) {
        simulation.send(sender, 4 * MEBIBYTE - 10_000);
        sender.lease.complete();
        sender.state = 'whole';
        sender.lease.release();
      }
    }
    assert.ok(senders.every(({ state }) => state === 'whole'));
    assert.equal(simulation.budget.usedBytes, 0);
  });

  it('keeps the memory of a whole body until its request ends', async () => {
    const simulation = new Simulation(16 * MEBIBYTE);
    const first = simulation.open('a');
    simulation.send(first, 5 * 65_536);
    first.lease.complete();
    assert.equal(simulation.budget.usedBytes, 5 * 65_536);
    const rest = ['b', 'b', 'c', 'c'].map((owner) => simulation.open(owner));
    for (const sender of rest) simulation.send(sender, 10_000);
    await simulation.run(4000, new Map());
    assert.equal(first.state, 'reading');
    first.lease.release();
    first.lease.release();
    for (const sender of rest) sender.lease.release();
    assert.equal(simulation.budget.usedBytes, 0);
  });

  it('refuses a body that has waited as long as its caller does, and others later', async () => {
    const simulation = new Simulation(8 * MEBIBYTE);
    const holders = ['a', 'b'].map((owner) => simulation.open(owner));
    const rates = new Map(holders.map((sender) => [sender, 5e6]));
    for (const sender of holders) simulation.send(sender, 10_000);
    const impatient = simulation.open('c', 4 * MEBIBYTE, 500);
    const patient = simulation.open('c', 4 * MEBIBYTE, 20_000);
    for (const sender of [impatient, patient]) simulation.send(sender, 10_000);
    await simulation.run(1000, rates);
    assert.deepEqual([impatient.state, patient.state], ['refused', 'waiting']);
    await simulation.run(10_000, rates);
    assert.equal(patient.state, 'refused');
    assert.deepEqual(simulation.budget.refusals, { no_memory: 2, too_slow: 0 });
  });

  it('refuses a body at once when as many wait as may', () => {
    const simulation = new Simulation(8 * MEBIBYTE);
    const senders = Array.from({ length: 400 }, (_, index) => simulation.open(`caller ${index}`));
    for (const sender of senders) simulation.send(sender, 10_000);
    const count = (state: string) => senders.filter((sender) => sender.state === state).length;
    // Half of the memory, in parts of 144 KiB.
    assert.deepEqual([count('reading'), count('waiting'), count('refused')], [2, 28, 370]);
    assert.equal(simulation.budget.usedBytes, 8 * MEBIBYTE);
  });

  it('leaves memory to other callers, however many bodies one workspace sends', () => {
    const simulation = new Simulation(32 * MEBIBYTE);
    for (let index = 0; index < 30; index += 1) {
      simulation.send(simulation.open('large workspace'), 10_000);
    }
    const other = simulation.open('other');
    simulation.send(other, 10_000);
    assert.equal(other.state, 'reading');
  });

  // Bytes that arrived during a pause of the process are not read yet.
  it('ends nothing at the first check after a pause of the process', async () => {
    const simulation = new Simulation(8 * MEBIBYTE);
    const holders = ['a', 'b'].map((owner) => simulation.open(owner));
    for (const sender of holders) simulation.send(sender, 10_000);
    simulation.send(simulation.open('c'), 10_000);
    await simulation.clock.advance(4000);
    simulation.budget.check();
    assert.deepEqual(
      holders.map(({ state }) => state),
      ['reading', 'reading'],
    );
  });
});
