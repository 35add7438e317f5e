import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';

import { sendRequest } from '../relay/support/caller.js';
import { API_KEY, HOST } from '../relay/support/relayFixture.js';
import { formatAnswer, ScriptedUpstream } from '../relay/support/scriptedUpstream.js';
import type { InstancePorts, InstanceProcess } from './support/instanceProcess.js';
import {
  findInstancePorts,
  formatSettings,
  InstanceProgram,
  waitReady,
} from './support/instanceProcess.js';
import { StoreStandin } from './support/storeStandin.js';
import type { CrowdOptions } from './support/untrustedCallers.js';
import { closeCrowd, openCrowd, ProcessWatch } from './support/untrustedCallers.js';

// Crowd, limits and bounds were fixed before the product bounded what such callers send.
const MEMORY_MB = 250;
const MAX_DESCRIPTORS = 2000;
/** Bound on resident memory: acceptance of docs/design/hard-load.md, part B. */
const MAX_RESIDENT_MB = 200;
const MAX_BODY_BYTES = 4_194_304;
/** Bytes that are missing at the end of the bodies that are never completed. */
const MISSING_BYTES = 65_536;
const SEND_TIMEOUT_MS = 20_000;
const ANSWER_TIMEOUT_MS = 60_000;

function formatHead(path: string, id: string, framing: string): string {
  const lines = [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Attempt-Id: ${id}`,
    `Api-Key: ${API_KEY}`,
    'X-Deadline-Ms: 20000',
    framing,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

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
  formatHead('/app/held', 'pipelined', 'Content-Length: 0').repeat(400),
);

type Crowd = Omit<CrowdOptions, 'port'> & { port: 'callers' | 'readiness' };

const largeChunks: Crowd = {
  port: 'callers',
  connections: 150,
  head: formatHead('/app/item', 'large-chunks', CHUNKED),
  block: LARGE_CHUNK,
  totalBytes: ((MAX_BODY_BYTES - MISSING_BYTES) / 65_536) * LARGE_CHUNK.length,
  readsResponses: true,
};
const smallChunks: Crowd = {
  port: 'callers',
  connections: 150,
  head: formatHead('/app/item', 'small-chunks', CHUNKED),
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
    head: formatHead('/app/item', 'announced', 'Content-Length: 900000000000'),
    block: PLAIN_BLOCK,
    totalBytes: 1024 * PLAIN_BLOCK.length,
    readsResponses: false,
  },
  'bodies in chunks without end': {
    port: 'callers',
    connections: 50,
    head: formatHead('/app/item', 'endless', CHUNKED),
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
  const program = new InstanceProgram();
  let sockets: Socket[] = [];
  let store: StoreStandin;
  let upstream: ScriptedUpstream;
  let ports: InstancePorts;
  let instance: InstanceProcess;

  before(async () => {
    await program.build();
    store = await StoreStandin.open();
    store.put('config', 'main', {
      version: 1,
      routes: [
        {
          name: 'route',
          host: HOST,
          path_prefix: '/app/',
          kind: 'unsafe',
          service: 'app',
          timeout_ms: 30_000,
        },
      ],
      services: [{ name: 'app' }],
      tenants: [{ name: 'workspace-1', api_keys: [API_KEY] }],
      limits: { max_body_bytes: MAX_BODY_BYTES },
    });
    // Holds requests of the path `/app/held` without an answer.
    upstream = await ScriptedUpstream.open((socket, request) => {
      if (request.path !== '/app/held') socket.end(formatAnswer(request, 200, 'whole'));
    });
    store.put('servers', 'upstream-1', {
      service: 'app',
      address: `127.0.0.1:${upstream.port}`,
      zone: 'zone-1',
      state: 'ready',
      slots: 10_000,
    });
  });

  beforeEach(async () => {
    ports = await findInstancePorts();
    const settings = JSON.parse(formatSettings(ports, store.address)) as { limits: object };
    settings.limits = { ...settings.limits, memory_mb: MEMORY_MB, max_fds: MAX_DESCRIPTORS };
    instance = program.start(program.writeFile('settings.json', JSON.stringify(settings)));
    await waitReady(ports);
  });

  afterEach(async () => {
    closeCrowd(sockets);
    instance.signal('SIGKILL');
    await instance.ended;
  });

  after(async () => {
    await program.close();
    await upstream.close();
    await store.close();
  });

  Object.entries(crowds).forEach(([name, crowd]) => {
    it(`do not end or exhaust an instance: ${name}`, async () => {
      const watch = new ProcessWatch(instance.pid);
      sockets = await openCrowd({ ...crowd, port: ports[crowd.port] }, SEND_TIMEOUT_MS);
      const closed = sockets.filter(({ destroyed }) => destroyed).length;
      closeCrowd(sockets);
      const answer = await sendRequest(ports.callers, {
        body: 'ordinary',
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
      }).catch((error: unknown) => ({ status: 0, body: String(error) }));
      const { memoryMb, descriptors } = watch.stop();
      const seen = `peak ${memoryMb.toFixed(0)} MB, ${descriptors} descriptors, ${closed} closed, ordinary request ${answer.status} ${answer.body}`;
      console.log(`${name}: ${seen}`);
      assert.equal(instance.end, undefined, `the process ended: ${instance.output.slice(-500)}`);
      assert.equal(answer.status, 200, seen);
      assert.ok(memoryMb < MAX_RESIDENT_MB, seen);
      assert.ok(descriptors < MAX_DESCRIPTORS, seen);
    });
  });
});
