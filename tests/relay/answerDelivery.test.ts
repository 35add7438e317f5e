import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';

import { AnswerBody, AnswerDelivery, AnswerMemory } from '@cactusstair/relay';
import { ManualClock } from '@cactusstair/utils';

type DeliveryParameters = ConstructorParameters<typeof AnswerDelivery>;

const OWNER = 'a';
/** All that the answers of one upstream may hold, in bytes. */
const OWNER_BYTES = 16 * 1024 * 1024;
const STALL_MS = 500;
const SLICE_BYTES = 16 * 1024;

describe('delivery of a large answer', () => {
  let clock: ManualClock;
  let memory: AnswerMemory;
  let abandoned: string[];
  /** Lets the caller read what it was sent. */
  let readSlice: () => void;
  let writtenBytes: number;
  let delivery: AnswerDelivery;

  beforeEach(() => {
    clock = new ManualClock();
    memory = new AnswerMemory();
    abandoned = [];
    writtenBytes = 0;
    const context = {
      clock,
      answerMemory: memory,
      stallMonitor: { add: () => {}, remove: () => {} },
    };
    const exchange = {
      outgoing: {
        destroyed: false,
        write: (slice: Buffer) => {
          writtenBytes += slice.length;
          return false;
        },
        end: () => {},
      },
      waitForDrain: () =>
        new Promise<void>((resolve) => {
          readSlice = resolve;
        }),
      abandonAnswer: (reason: string) => abandoned.push(reason),
    };
    const grant = memory.reserve(OWNER, OWNER_BYTES, () => {});
    delivery = new AnswerDelivery(
      context as unknown as DeliveryParameters[0],
      exchange as unknown as DeliveryParameters[1],
      OWNER,
      new AnswerBody([Buffer.alloc(OWNER_BYTES)], grant),
    );
    delivery.run().catch((error: unknown) => abandoned.push(String(error)));
  });

  function describeStall(): string | undefined {
    return delivery.describeStall(clock.monotonicMs());
  }

  it('hands over no more than the caller reads', async () => {
    assert.equal(writtenBytes, SLICE_BYTES);
    readSlice();
    await Promise.resolve();
    assert.equal(writtenBytes, 2 * SLICE_BYTES);
  });

  it('stays as long as nobody waits for the memory', () => {
    clock.advance(100 * STALL_MS);
    assert.equal(describeStall(), undefined);
    memory.reserve('b', OWNER_BYTES, () => {});
    assert.equal(describeStall(), undefined);
  });

  // Callers that read nothing kept the memory for good, and other answers were not read.
  it('is given up when others wait and the caller has read nothing for a while', () => {
    let isGranted = false;
    memory.reserve(OWNER, OWNER_BYTES, () => {
      isGranted = true;
    });
    clock.advance(STALL_MS - 1);
    assert.equal(describeStall(), undefined);
    clock.advance(1);
    const reason = describeStall();
    assert.equal(reason, `the caller read nothing for ${STALL_MS} ms`);
    delivery.onStall(reason);
    assert.deepEqual([abandoned, isGranted], [[reason], true]);
  });

  it('is not given up while the caller reads, however slowly', async () => {
    memory.reserve(OWNER, OWNER_BYTES, () => {});
    for (let slice = 0; slice < 5; slice += 1) {
      clock.advance(STALL_MS - 1);
      assert.equal(describeStall(), undefined);
      readSlice();
      await Promise.resolve();
    }
  });
});
