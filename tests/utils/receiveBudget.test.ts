import assert from 'node:assert/strict';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import type { Receiver } from '@cactusstair/utils';
import {
  guardConnections,
  ManualClock,
  READ_BYTES,
  ReceiveBudget,
  systemClock,
  waitFor,
} from '@cactusstair/utils';

const REQUEST = 'GET /item HTTP/1.1\r\nHost: a\r\n\r\n';

/** A connection whose bytes the test sets. */
class FakeReceiver implements Receiver {
  heldBytes = 0;

  isReceiving = false;

  isDropped = false;

  constructor(
    private readonly budget: ReceiveBudget,
    readonly bytesPerSecond = 0,
  ) {
    budget.add(this);
  }

  startReceiving(): void {
    this.isReceiving = true;
  }

  hold(bytes: number): void {
    const change = bytes - this.heldBytes;
    this.heldBytes = bytes;
    this.budget.record(this, change);
  }

  dropHeldBytes(): void {
    this.isDropped = true;
    this.hold(0);
  }
}

describe('ReceiveBudget', () => {
  function createSubject(reads: number) {
    const clock = new ManualClock();
    const budget = new ReceiveBudget({ clock, maxBytes: reads * READ_BYTES });
    const open = (bytesPerSecond?: number) => new FakeReceiver(budget, bytesPerSecond);
    return { clock, budget, open };
  }

  it('reads new connections in order while there is memory', () => {
    const { budget, open } = createSubject(2);
    const [first, second, third] = [open(), open(), open()];
    assert.deepEqual(
      [first, second, third].map(({ isReceiving }) => isReceiving),
      [true, true, false],
    );
    first.hold(READ_BYTES);
    assert.equal(third.isReceiving, false);
    first.hold(0);
    assert.equal(third.isReceiving, true);
    budget.check();
  });

  it('does not let connections that send nothing keep others waiting', async () => {
    const { budget, clock, open } = createSubject(2);
    open();
    open();
    const third = open();
    await clock.advance(150);
    budget.check();
    assert.equal(third.isReceiving, true);
    budget.check();
  });

  // Callers that send ahead and read nothing would keep all others from being read.
  it('drops the bytes of those that hold most when others have waited long', async () => {
    const { budget, clock, open } = createSubject(2);
    const [ordinary, holder] = [open(), open(1000)];
    ordinary.hold(300);
    holder.hold(READ_BYTES + READ_BYTES / 2);
    const waiting = open();
    await clock.advance(200);
    budget.check();
    assert.equal(holder.isDropped, false);
    await clock.advance(200);
    budget.check();
    assert.deepEqual([ordinary.isDropped, holder.isDropped], [false, true]);
    assert.equal(waiting.isReceiving, true);
    budget.check();
  });

  it('bounds what connections that were idle send all at once', async () => {
    const { budget, clock, open } = createSubject(2);
    const idle: FakeReceiver[] = [];
    for (let count = 0; count < 8; count += 1) {
      idle.push(open(count));
      await clock.advance(150);
      budget.check();
    }
    const ordinary = idle.pop()!;
    ordinary.hold(300);
    for (const receiver of idle) {
      receiver.hold(READ_BYTES);
      assert.ok(budget.heldBytes <= 4 * READ_BYTES);
    }
    assert.equal(ordinary.isDropped, false);
    assert.equal(idle[0]?.isDropped, true);
  });
});

describe('connections that share memory for what they have received', () => {
  const MAX_BYTES = 8 * READ_BYTES;
  const CONNECTIONS = 40;
  const sockets: Socket[] = [];
  const budget = new ReceiveBudget({ clock: systemClock, maxBytes: MAX_BYTES });
  let server: Server;

  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy();
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  });

  async function listen(handle: (incoming: IncomingMessage, outgoing: ServerResponse) => void) {
    server = createServer(handle);
    guardConnections(server, { receiveBudget: budget });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  }

  function open(): { socket: Socket; read: () => string } {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    let text = '';
    socket.on('error', () => {});
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    sockets.push(socket);
    return { socket, read: () => text };
  }

  async function waitForText(read: () => string, text: string): Promise<void> {
    await waitFor(() => read().includes(text), { what: text, timeoutMs: 10_000 });
  }

  // Who waits or loses by it: callers that send ahead. Their request that is served is answered.
  it('answers requests that are served, and new callers, while others send ahead', async () => {
    const held: ServerResponse[] = [];
    let isHolding = true;
    await listen((incoming, outgoing) => {
      if (isHolding && incoming.url === '/held') held.push(outgoing);
      else outgoing.end('answered');
    });
    const crowd = Array.from({ length: CONNECTIONS }, () => open());
    const ahead = REQUEST.repeat((2 * READ_BYTES) / REQUEST.length);
    for (const { socket } of crowd) socket.write(REQUEST.replace('/item', '/held') + ahead);
    await waitFor(() => held.length > 0, { what: 'requests', timeoutMs: 10_000 });
    const ordinary = open();
    ordinary.socket.write(REQUEST);
    await waitForText(ordinary.read, 'answered');
    assert.ok(budget.heldBytes <= 2 * MAX_BYTES, `${budget.heldBytes} bytes`);
    await waitFor(() => held.length === CONNECTIONS, { what: 'the crowd', timeoutMs: 10_000 });
    isHolding = false;
    for (const outgoing of held) outgoing.end('answered');
    for (const { read } of crowd) await waitForText(read, 'answered');
  });

  it('are all released when they close', async () => {
    await listen((incoming, outgoing) => outgoing.end('answered'));
    const { socket, read } = open();
    socket.write(REQUEST + REQUEST);
    await waitForText(read, 'answered');
    socket.destroy();
    await waitFor(() => budget.heldBytes === 0, { what: 'no bytes', timeoutMs: 5000 });
    assert.equal(budget.waitingCount, 0);
  });
});
