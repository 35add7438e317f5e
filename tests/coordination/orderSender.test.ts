import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Lease, MemoryObjectStore, OrderSender } from '@cactusstair/coordination';
import type {
  OrderAnswer,
  OrderState,
  OrderTransport,
  SendContext,
  TrackedLease,
} from '@cactusstair/coordination';
import { ManualClock } from '@cactusstair/utils';

const durationMs = 10_000;
const orderTimeoutMs = 30_000;
const fullWaitMs = durationMs + orderTimeoutMs;

/** An upstream that serves one version and may check the fencing token of orders. */
class FakeUpstream {
  version = 'v0';

  received = 0;

  isReadable = true;

  private highestFencing = 0;

  constructor(private readonly checksFencing: boolean) {}

  receive(version: string, fencing: number): OrderAnswer {
    this.received += 1;
    if (this.checksFencing && fencing < this.highestFencing) return 'superseded';
    this.highestFencing = Math.max(this.highestFencing, fencing);
    this.version = version;
    return 'accepted';
  }
}

type BeforeSend = (version: string, context: SendContext) => Promise<OrderAnswer | undefined>;

/** Delivers orders to a fake upstream; `beforeSend` can delay them or replace their answer. */
class FakeTransport implements OrderTransport<string> {
  beforeSend: BeforeSend = async () => undefined;

  /** All send attempts, also those that the sender no longer waits for. */
  readonly sendings: Promise<OrderAnswer>[] = [];

  constructor(private readonly upstream: FakeUpstream) {}

  send(_: string, version: string, context: SendContext): Promise<OrderAnswer> {
    const sending = this.deliver(version, context);
    this.sendings.push(sending);
    return sending;
  }

  async readState(_: string, version: string): Promise<OrderState> {
    if (!this.upstream.isReadable) return 'unreadable';
    return this.upstream.version === version ? 'in_force' : 'not_in_force';
  }

  private async deliver(version: string, context: SendContext): Promise<OrderAnswer> {
    const answer = await this.beforeSend(version, context);
    if (answer) return answer;
    if (!context.canSend()) return 'not_sent';
    return this.upstream.receive(version, context.fencing);
  }
}

function createFixture(checksFencing: boolean) {
  const store = new MemoryObjectStore();
  const clock = new ManualClock();
  const upstream = new FakeUpstream(checksFencing);
  const createLease = (holder: string) =>
    new Lease({ store, clock, holder, name: 'rollouts', durationMs, orderTimeoutMs });
  const createSender = (lease: TrackedLease) => {
    const transport = new FakeTransport(upstream);
    const sender = new OrderSender({ lease, transport, clock, orderTimeoutMs });
    return { transport, sender };
  };
  const start = async (holder: string) => {
    const lease = (await createLease(holder).acquire())._unsafeUnwrap();
    return { lease, ...createSender(lease) };
  };
  /** Starts a successor that tries to acquire the lease every second. */
  const takeOver = async (holder: string) => {
    const lease = createLease(holder);
    const endMs = clock.monotonicMs() + fullWaitMs;
    let acquired = await lease.acquire();
    while (acquired.isErr() && clock.monotonicMs() < endMs) {
      await clock.advance(1000);
      acquired = await lease.acquire();
    }
    return createSender(acquired._unsafeUnwrap());
  };
  return { store, clock, upstream, start, takeOver: takeOver };
}

/** A promise that the test resolves. */
function createGate() {
  let open = () => {};
  const opened = new Promise<void>((resolve) => {
    open = resolve;
  });
  return { open, opened };
}

for (const checksFencing of [true, false]) {
  describe(`OrderSender with an upstream that ${checksFencing ? 'checks' : 'ignores'} fencing`, () => {
    it('sends nothing for a holder that was paused until a successor had taken over', async () => {
      const { upstream, start, takeOver } = createFixture(checksFencing);
      const paused = await start('a');
      const next = await takeOver('b');
      assert.ok((await next.sender.apply('u', 'v2')).isOk());
      const failure = (await paused.sender.apply('u', 'v1'))._unsafeUnwrapErr();
      assert.deepEqual(failure, { type: 'lease_short', remainingMs: 0 });
      assert.equal(upstream.version, 'v2');
      assert.equal(upstream.received, 1);
    });

    it('sends nothing for a holder that is paused between the check and the send', async () => {
      const { upstream, start, takeOver } = createFixture(checksFencing);
      const paused = await start('a');
      const gate = createGate();
      const reached = createGate();
      paused.transport.beforeSend = async () => {
        reached.open();
        await gate.opened;
        return undefined;
      };
      const applied = paused.sender.apply('u', 'v1');
      await reached.opened;
      const next = await takeOver('b');
      assert.ok((await next.sender.apply('u', 'v2')).isOk());
      gate.open();
      assert.deepEqual(await Promise.all(paused.transport.sendings), ['not_sent']);
      assert.ok((await applied).isErr());
      assert.equal(upstream.version, 'v2');
      assert.equal(upstream.received, 1);
    });

    it('corrects the state after an old order that arrives later than the order timeout', async () => {
      const { upstream, start, takeOver } = createFixture(checksFencing);
      const old = await start('a');
      let arrive: (() => OrderAnswer) | undefined;
      old.transport.beforeSend = async (version, { fencing }) => {
        arrive ??= () => upstream.receive(version, fencing);
        return 'unknown';
      };
      assert.ok((await old.sender.apply('u', 'v1')).isErr());
      const next = await takeOver('b');
      assert.ok((await next.sender.apply('u', 'v2')).isOk());
      assert.equal(arrive?.(), checksFencing ? 'superseded' : 'accepted');
      assert.equal(upstream.version, checksFencing ? 'v2' : 'v1');
      assert.ok((await next.sender.apply('u', 'v2')).isOk());
      assert.equal(upstream.version, 'v2');
    });

    it('lets an order in flight take effect before a successor sends its own', async () => {
      const { clock, upstream, start, takeOver } = createFixture(checksFencing);
      const old = await start('a');
      old.transport.beforeSend = async () => {
        await clock.sleep(orderTimeoutMs - 1);
        upstream.version = 'v1';
        return 'accepted';
      };
      await clock.advance(durationMs - 2000);
      const applied = old.sender.apply('u', 'v1');
      const next = await takeOver('b');
      assert.ok((await next.sender.apply('u', 'v2')).isOk());
      await clock.advance(orderTimeoutMs);
      assert.equal((await applied)._unsafeUnwrap(), 'in_force');
      assert.equal(upstream.version, 'v2');
    });
  });
}

describe('OrderSender', () => {
  it('sends an order once when its answer is lost after it took effect', async () => {
    const { upstream, start } = createFixture(false);
    const { sender, transport } = await start('a');
    transport.beforeSend = async (version, { fencing }) => {
      upstream.receive(version, fencing);
      return 'unknown';
    };
    assert.equal((await sender.apply('u', 'v1'))._unsafeUnwrap(), 'in_force');
    assert.equal((await sender.apply('u', 'v1'))._unsafeUnwrap(), 'in_force');
    assert.equal(upstream.received, 1);
  });

  it('sends a lost order maxAttempts times and reports it as unconfirmed', async () => {
    const { start } = createFixture(false);
    const { sender, transport } = await start('a');
    let sent = 0;
    transport.beforeSend = async () => {
      sent += 1;
      return 'unknown';
    };
    const failure = (await sender.apply('u', 'v1'))._unsafeUnwrapErr();
    assert.deepEqual(failure, { type: 'unconfirmed', lastAnswer: 'unknown' });
    assert.equal(sent, 3);
  });

  it('reports an accepted order as unconfirmed when the state cannot be read', async () => {
    const { upstream, start } = createFixture(false);
    const { sender } = await start('a');
    upstream.isReadable = false;
    const failure = (await sender.apply('u', 'v1'))._unsafeUnwrapErr();
    assert.deepEqual(failure, { type: 'unconfirmed', lastAnswer: 'accepted' });
  });

  it('sends nothing while too little time is left on the lease, and sends after a renewal', async () => {
    const { clock, upstream, start } = createFixture(false);
    const { sender, lease } = await start('a');
    await clock.advance(durationMs - 1999);
    const failure = (await sender.apply('u', 'v1'))._unsafeUnwrapErr();
    assert.deepEqual(failure, { type: 'lease_short', remainingMs: 1999 });
    assert.equal(upstream.received, 0);
    (await lease.renew())._unsafeUnwrap();
    assert.ok((await sender.apply('u', 'v1')).isOk());
  });

  it('returns a failure when the upstream never answers or the transport throws', async () => {
    const { clock, start } = createFixture(false);
    const { sender, transport } = await start('a');
    transport.beforeSend = () => new Promise(() => {});
    const applied = sender.apply('u', 'v1');
    let isSettled = false;
    applied.finally(() => {
      isSettled = true;
    });
    while (!isSettled) await clock.advance(1000);
    // The lease ran out during the call, so the order is not repeated.
    assert.equal((await applied)._unsafeUnwrapErr().type, 'lease_short');
    const thrown = await createFixture(false).start('a');
    thrown.transport.beforeSend = () => Promise.reject(new Error('broken'));
    const failure = (await thrown.sender.apply('u', 'v1'))._unsafeUnwrapErr();
    assert.deepEqual(failure, { type: 'unconfirmed', lastAnswer: 'unknown' });
  });

  it('runs conflicting orders to one upstream one after the other', async () => {
    const { upstream, start } = createFixture(false);
    const { sender, transport } = await start('a');
    const gate = createGate();
    const reached = createGate();
    transport.beforeSend = async (version) => {
      if (version === 'v1') {
        reached.open();
        await gate.opened;
      }
      return undefined;
    };
    const results = [sender.apply('u', 'v1'), sender.apply('u', 'v2')];
    await reached.opened;
    // Gives the second order the chance to run while the first is in flight.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    gate.open();
    assert.ok((await Promise.all(results)).every((result) => result.isOk()));
    assert.equal(upstream.version, 'v2');
  });

  it('delays the release of the lease until an order in flight has ended', async () => {
    const { store, clock, start } = createFixture(false);
    const { sender, transport, lease } = await start('a');
    const gate = createGate();
    const reached = createGate();
    transport.beforeSend = async () => {
      reached.open();
      await gate.opened;
      return undefined;
    };
    const applied = sender.apply('u', 'v1');
    await reached.opened;
    const released = lease.release();
    const other = new Lease({ store, clock, holder: 'b', name: 'rollouts', durationMs });
    assert.ok((await other.acquire()).isErr());
    gate.open();
    await applied;
    await released;
    assert.ok((await other.acquire()).isOk());
  });
});
