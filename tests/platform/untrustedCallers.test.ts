import { after, afterEach, before, beforeEach, describe, it } from 'node:test';

import { HOST } from '../relay/support/relayFixture.js';
import type { Crowd } from './support/crowdFixture.js';
import { CrowdFixture, formatHead, HELD_PATH, MAX_BODY_BYTES } from './support/crowdFixture.js';

// Crowd, limits and bounds were fixed before the product bounded what such callers send.
const MACHINE = { memoryMb: 250, maxDescriptors: 2000 };
/** Bound on resident memory: acceptance of docs/design/hard-load.md, part B. */
const MAX_RESIDENT_MB = 200;
/** Bytes that are missing at the end of the bodies that are never completed. */
const MISSING_BYTES = 65_536;

const CHUNKED = 'Transfer-Encoding: chunked';
const LARGE_CHUNK = Buffer.from(`10000\r\n${'x'.repeat(65_536)}\r\n`);
const SMALL_CHUNK = '1\r\nx\r\n';
/** Large enough for the sender to need few calls. */
const SMALL_CHUNKS_PER_BLOCK = 8192;
const SMALL_CHUNKS = Buffer.from(SMALL_CHUNK.repeat(SMALL_CHUNKS_PER_BLOCK));
const PLAIN_BLOCK = Buffer.alloc(65_536, 'x');
const READINESS_REQUESTS = Buffer.from(
  `GET /cactusstair/readiness HTTP/1.1\r\nHost: ${HOST}\r\n\r\n`.repeat(500),
);
const CALLER_REQUESTS = Buffer.from(
  formatHead('pipelined', 'Content-Length: 0', HELD_PATH).repeat(400),
);

const largeChunks: Crowd = {
  port: 'callers',
  connections: 150,
  head: formatHead('large-chunks', CHUNKED),
  block: LARGE_CHUNK,
  totalBytes: ((MAX_BODY_BYTES - MISSING_BYTES) / 65_536) * LARGE_CHUNK.length,
  readsResponses: true,
};
const smallChunks: Crowd = {
  port: 'callers',
  connections: 150,
  head: formatHead('small-chunks', CHUNKED),
  block: SMALL_CHUNKS,
  totalBytes: ((MAX_BODY_BYTES - MISSING_BYTES) / SMALL_CHUNKS_PER_BLOCK) * SMALL_CHUNKS.length,
  readsResponses: true,
};

const crowds: Record<string, Crowd> = {
  '150 bodies in large chunks that stop short of their end': largeChunks,
  '400 bodies in large chunks that stop short of their end': { ...largeChunks, connections: 400 },
  '150 bodies in chunks of one byte that stop short of their end': smallChunks,
  '400 bodies in chunks of one byte that stop short of their end': {
    ...smallChunks,
    connections: 400,
  },
  'bodies of an announced length of 900 GB': {
    port: 'callers',
    connections: 50,
    head: formatHead('announced', 'Content-Length: 900000000000'),
    block: PLAIN_BLOCK,
    totalBytes: 1024 * PLAIN_BLOCK.length,
    readsResponses: false,
  },
  'bodies in chunks without end': {
    port: 'callers',
    connections: 50,
    head: formatHead('endless', CHUNKED),
    block: LARGE_CHUNK,
    totalBytes: 1024 * LARGE_CHUNK.length,
    readsResponses: false,
  },
  'pipelined requests with unread responses at the readiness path': {
    port: 'readiness',
    connections: 400,
    head: '',
    block: READINESS_REQUESTS,
    totalBytes: 4 * READINESS_REQUESTS.length,
    readsResponses: false,
  },
  'pipelined requests with unread responses at the callers’ port': {
    port: 'callers',
    connections: 10,
    head: '',
    block: CALLER_REQUESTS,
    totalBytes: CALLER_REQUESTS.length,
    readsResponses: false,
  },
  'connections without a complete head': {
    port: 'callers',
    connections: 2300,
    head: 'POST /app/item HTTP/1.1\r\n',
    block: Buffer.from(`Host: ${HOST}\r\n`),
    totalBytes: 0,
    readsResponses: false,
  },
};

describe('callers that the operators do not control', () => {
  let fixture: CrowdFixture;

  before(async () => {
    fixture = await CrowdFixture.open();
  });

  beforeEach(() => fixture.startInstance(MACHINE));

  afterEach(() => fixture.stopInstance());

  after(() => fixture.close());

  Object.entries(crowds).forEach(([name, crowd]) => {
    it(`do not end or exhaust an instance: ${name}`, async () => {
      const report = await fixture.playCrowds(name, [crowd]);
      fixture.assertHeld(report, { ...MACHINE, memoryMb: MAX_RESIDENT_MB });
    });
  });
});
