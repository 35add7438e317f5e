import { after, afterEach, before, beforeEach, describe, it } from 'node:test';

import { API_KEY, HOST } from '../relay/support/relayFixture.js';
import type { Crowd } from './support/crowdFixture.js';
import { CrowdFixture, MODEL } from './support/crowdFixture.js';

// Crowd, limits and bounds were fixed before the product bounded what a client's keys may cost.
const MACHINE = { memoryMb: 210, maxDescriptors: 3075 };
const CONNECTIONS = 60;
const REQUESTS = 200;
/** With the other headers below the limit of 16,384 bytes. */
const KEY_CHARS = 14_000;
const ID_CHARS = 16;
/** Time for which connections with unread responses stay open. */
const UNREAD_MS = 5000;

type FormatHeaders = (key: string) => Record<string, string>;

/** Formats a request of which each header has the same length for all keys. */
function formatRequest(key: string, formatHeaders: FormatHeaders): Buffer {
  const headers = {
    'X-Attempt-Id': key.slice(0, ID_CHARS),
    'X-Model': MODEL,
    ...formatHeaders(key),
  };
  const lines = [
    'POST /engine/item HTTP/1.1',
    `Host: ${HOST}`,
    `Api-Key: ${API_KEY}`,
    'X-Deadline-Ms: 20000',
    'X-Token-Counts: 190,15',
    'Content-Length: 0',
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
  ];
  return Buffer.from(`${lines.join('\r\n')}\r\n\r\n`);
}

function createCrowd(formatHeaders: FormatHeaders, readsResponses = true): Crowd {
  const createBlock = (connection: number, index: number) => {
    const id = `${connection}x${index}x`.padEnd(ID_CHARS, '0');
    return formatRequest(id.padEnd(KEY_CHARS, 'a'), formatHeaders);
  };
  const block = createBlock(0, 0);
  return {
    port: 'callers',
    connections: CONNECTIONS,
    head: '',
    block,
    createBlock,
    totalBytes: REQUESTS * block.length,
    readsResponses,
    ...(readsResponses ? { responses: REQUESTS } : { holdMs: UNREAD_MS }),
  };
}

const crowds: Record<string, Crowd> = {
  sessions: createCrowd((key) => ({ Session: key })),
  models: createCrowd((key) => ({ 'X-Model': key })),
  'own prompt parts': createCrowd((key) => ({ 'X-Prompt-Prefix': `5c1e07a2:100,${key}:90` })),
  'shared prompt parts': createCrowd((key) => ({ 'X-Prompt-Prefix': `${key}:100,5c1e07a2:90` })),
  'request ids': createCrowd((key) => ({ 'X-Attempt-Id': key })),
  'request ids with unread responses': createCrowd((key) => ({ 'X-Attempt-Id': key }), false),
};

describe('long keys of a client’s choice', () => {
  let fixture: CrowdFixture;

  before(async () => {
    fixture = await CrowdFixture.open();
  });

  beforeEach(() => fixture.startInstance(MACHINE));

  afterEach(() => fixture.stopInstance());

  after(() => fixture.close());

  Object.entries(crowds).forEach(([name, crowd]) => {
    it(`do not fill the memory of an instance: ${name}`, async () => {
      fixture.assertHeld(await fixture.playCrowds(name, [crowd]), MACHINE);
    });
  });
});
