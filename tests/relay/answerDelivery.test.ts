import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';

import {
  AnswerBody,
  AnswerDeliveries,
  AnswerDelivery,
  AnswerMemory,
  StallMonitor,
} from '@cactusstair/relay';
import { ManualClock } from '@cactusstair/utils';

type DeliveryParameters = ConstructorParameters<typeof AnswerDelivery>;

const OWNER = 'a';
/** All that the answers of one upstream may hold, in bytes. */
const OWNER_BYTES = 16 * 1024 * 1024;
const STALL_MS = 500;
const SLICE_BYTES = 16 * 1024;

/** An answer that is being sent, and a caller that reads when it is told to. */
interface OpenDelivery {
  /** Lets the caller read what it was sent. */
  readSlice: () => void;
  writtenBytes: number;
}

describe('delivery of a large answer', () => {
  let onTimeMs: number;
  let memory: AnswerMemory;
  let abandoned: string[];
  let deliveries: AnswerDeliveries;

  function openDelivery(name: string, bytes: number): OpenDelivery {
    const opened: OpenDelivery = { readSlice: () => {}, writtenBytes: 0 };
    const exchange = {
      outgoing: {
        destroyed: false,
        write: (slice: Buffer) => {
          opened.writtenBytes += slice.length;
          return false;
        },
        end: () => {},
      },
      waitForDrain: () =>
        new Promise<void>((resolve) => {
          opened.readSlice = resolve;
        }),
      abandonAnswer: (reason: string) => {
        exchange.outgoing.destroyed = true;
        opened.readSlice();
        abandoned.push(`${name}: ${reason}`);
      },
    };
    const grant = memory.reserve(OWNER, bytes, () => {});
    const delivery = new AnswerDelivery(
      deliveries,
      exchange as unknown as DeliveryParameters[1],
      OWNER,
      new AnswerBody([Buffer.alloc(bytes)], grant),
    );
    delivery.run().catch((error: unknown) => abandoned.push(String(error)));
    return opened;
  }

  /** Checks for stalls once, as the monitor does. */
  async function check(): Promise<void> {
    const reason = deliveries.describeStall();
    if (reason !== undefined) deliveries.onStall(reason);
    await Promise.resolve();
    await Promise.resolve();
  }

  beforeEach(() => {
    onTimeMs = 0;
    memory = new AnswerMemory();
    abandoned = [];
    const stallMonitor = {
      add: () => {},
      remove: () => {},
      get onTimeMs() {
        return onTimeMs;
      },
    };
    deliveries = new AnswerDeliveries({ memory, stallMonitor });
  });

  it('hands over no more than the caller reads', async () => {
    const delivery = openDelivery('idle', OWNER_BYTES);
    assert.equal(delivery.writtenBytes, SLICE_BYTES);
    delivery.readSlice();
    await Promise.resolve();
    assert.equal(delivery.writtenBytes, 2 * SLICE_BYTES);
  });

  it('stays as long as nobody waits for the memory', () => {
    openDelivery('idle', OWNER_BYTES);
    onTimeMs += 100 * STALL_MS;
    assert.equal(deliveries.describeStall(), undefined);
    memory.reserve('b', OWNER_BYTES, () => {});
    assert.equal(deliveries.describeStall(), undefined);
  });

  // Callers that read nothing kept the memory for good, and other answers were not read.
  it('is given up when others wait and the caller has read nothing for a while', async () => {
    openDelivery('idle', OWNER_BYTES);
    let isGranted = false;
    memory.reserve(OWNER, OWNER_BYTES, () => {
      isGranted = true;
    });
    onTimeMs += STALL_MS - 1;
    assert.equal(deliveries.describeStall(), undefined);
    onTimeMs += 1;
    await check();
    assert.deepEqual(
      [abandoned, isGranted],
      [[`idle: the caller read nothing for ${STALL_MS} ms`], true],
    );
  });

  it('is not given up while the caller reads, however slowly', async () => {
    const delivery = openDelivery('slow', OWNER_BYTES);
    memory.reserve(OWNER, OWNER_BYTES, () => {});
    for (let slice = 0; slice < 5; slice += 1) {
      onTimeMs += STALL_MS - 1;
      assert.equal(deliveries.describeStall(), undefined);
      delivery.readSlice();
      await Promise.resolve();
    }
  });

  // Sound callers lost their answers too when several had read nothing for the limit.
  it('is given up one at a time, the one that has stalled for longest first', async () => {
    const names = ['first', 'second', 'third'];
    const opened = names.map((name) => openDelivery(name, OWNER_BYTES / 4));
    onTimeMs += STALL_MS / 2;
    opened[0]!.readSlice();
    await Promise.resolve();
    memory.reserve(OWNER, OWNER_BYTES / 2, () => {});
    onTimeMs += STALL_MS;
    await check();
    assert.deepEqual(
      abandoned.map((text) => text.split(':')[0]),
      ['second'],
    );
    await check();
    assert.equal(abandoned.length, 1, 'the memory is there, so nobody else loses');
  });

  // Callers lost answers beside load, because the instance had been too slow to hand out a slice.
  it('does not count the time in which the instance was too slow', () => {
    const clock = new ManualClock();
    const monitor = new StallMonitor(clock);
    const checkAfter = (gapMs: number) => {
      void clock.advance(gapMs);
      monitor.check();
    };
    checkAfter(100);
    assert.equal(monitor.onTimeMs, 100);
    checkAfter(280);
    checkAfter(5000);
    assert.equal(monitor.onTimeMs, 100);
    checkAfter(110);
    assert.equal(monitor.onTimeMs, 210);
  });
});
