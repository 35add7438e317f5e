import { after, afterEach, before, describe, it } from 'node:test';

import type { Crowd, MachineSize } from './support/crowdFixture.js';
import { CrowdFixture, formatHead, MAX_BODY_BYTES } from './support/crowdFixture.js';

// Crowds, sizes and bounds were fixed before the product divided the memory of a machine.
/** Bytes that are missing at the end of the bodies that are never completed. */
const MISSING_BYTES = 65_536;
const ID_CHARS = 14_000;

const smallMachines: MachineSize[] = [
  { memoryMb: 160, maxDescriptors: 4100 },
  { memoryMb: 210, maxDescriptors: 3075 },
];
const otherMachines: MachineSize[] = [
  { memoryMb: 250, maxDescriptors: 4100 },
  { memoryMb: 350, maxDescriptors: 4100 },
  { memoryMb: 490, maxDescriptors: 10_250 },
  { memoryMb: 602, maxDescriptors: 8192 },
];

const LARGE_CHUNK = Buffer.from(`10000\r\n${'x'.repeat(65_536)}\r\n`);
const SMALL_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(8192));
const REQUESTS = Buffer.from(formatHead('pipelined', 'Content-Length: 0').repeat(100));
const LONG_ID_REQUEST = Buffer.from(formatHead('i'.repeat(ID_CHARS), 'Content-Length: 0'));

const bodies = { port: 'callers', connections: 1000, readsResponses: true } as const;
const unread = { port: 'callers', head: '', readsResponses: false, holdMs: 5000 } as const;

const crowds = {
  'bodies in chunks of one byte': {
    ...bodies,
    head: formatHead('small-chunks', 'Transfer-Encoding: chunked'),
    block: SMALL_CHUNKS,
    totalBytes: 64 * SMALL_CHUNKS.length,
  },
  'bodies in large chunks that stop short of their end': {
    ...bodies,
    head: formatHead('large-chunks', 'Transfer-Encoding: chunked'),
    block: LARGE_CHUNK,
    totalBytes: ((MAX_BODY_BYTES - MISSING_BYTES) / 65_536) * LARGE_CHUNK.length,
  },
  'long request ids whose responses stay unread': {
    ...unread,
    connections: 200,
    block: LONG_ID_REQUEST,
    totalBytes: 120 * LONG_ID_REQUEST.length,
  },
  'pipelined requests whose responses stay unread': {
    ...unread,
    connections: 1000,
    block: REQUESTS,
    totalBytes: 4 * REQUESTS.length,
  },
} satisfies Record<string, Crowd>;

/** A quarter of each crowd at the same time. */
const mixed: Crowd[] = Object.values(crowds).map((crowd) => ({
  ...crowd,
  connections: crowd.connections / 4,
}));

describe('memory of machines of each size', () => {
  let fixture: CrowdFixture;

  before(async () => {
    fixture = await CrowdFixture.open();
  });

  afterEach(() => fixture.stopInstance());

  after(() => fixture.close());

  function declareTest(name: string, size: MachineSize, played: Crowd[]) {
    const title = `${size.memoryMb} MB, ${size.maxDescriptors} descriptors: ${name}`;
    it(`is enough for ${title}`, async () => {
      await fixture.startInstance(size);
      fixture.assertHeld(await fixture.playCrowds(title, played), size);
    });
  }

  for (const size of smallMachines) {
    Object.entries(crowds).forEach(([name, crowd]) => declareTest(name, size, [crowd]));
  }

  for (const size of [...smallMachines, ...otherMachines]) {
    declareTest('all of these', size, mixed);
  }
});
