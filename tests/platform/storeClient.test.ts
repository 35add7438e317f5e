import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { createPlatformStore, StoreClient } from '@cactusstair/platform';

type Handler = (request: IncomingMessage, response: ServerResponse, body: string) => void;

/** Eight parts take longer than the 1.2 s in which a call may be silent. */
const SLOW_PART_MS = 250;

describe('StoreClient', () => {
  let server: Server;
  let client: StoreClient;

  async function open(handler: Handler): Promise<void> {
    server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => handler(request, response, Buffer.concat(chunks).toString()));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    client = new StoreClient({ host: '127.0.0.1', port: (server.address() as AddressInfo).port });
  }

  afterEach(async () => {
    client.close();
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  });

  const createObject = (name: string, revision: number, spec: unknown) => ({
    metadata: { name, revision, created: 1, finalizers: [], deletion_started: false },
    spec,
    status: null,
  });

  const openSource = () =>
    client.createSource('servers', (_name, spec) => (spec === 'bad' ? undefined : spec));

  // An instance that was cut off read no configuration for as long as one took longer than a call.
  it('reads an answer that arrives slowly for longer than a call may be silent', async () => {
    const items = [createObject('slow', 1, 'x'.repeat(4000))];
    await open((_request, response) => {
      const bytes = Buffer.from(JSON.stringify({ items, at: 1 }));
      const parts = 8;
      let sent = 0;
      const sendPart = () => {
        const size = Math.ceil(bytes.length / parts);
        response.write(bytes.subarray(sent * size, (sent + 1) * size));
        sent += 1;
        if (sent < parts) setTimeout(sendPart, SLOW_PART_MS);
        else response.end();
      };
      sendPart();
    });
    const listed = await openSource().list();
    assert.deepEqual(listed.isOk() && listed.value.items.map(({ name }) => name), ['slow']);
  });

  it('gives up an answer that stops arriving', async () => {
    await open((_request, response) => {
      response.write('{"items": [');
    });
    const listed = await openSource().list();
    assert.equal(listed.isErr() && listed.error.type, 'unavailable');
  });

  it('lists the sound entries beside one that is nested deeply', async () => {
    const depth = 100_000;
    const nested = `${'['.repeat(depth)}${']'.repeat(depth)}`;
    await open((_request, response) => {
      const entry = { service: 'app', address: '10.0.0.9:8080', state: 'ready' };
      const items = [createObject('sound', 1, entry), createObject('odd', 2, 'SPEC')];
      response.end(JSON.stringify({ items, at: 2 }).replace('"SPEC"', nested));
    });
    const { upstreams } = createPlatformStore(client);
    const listed = await upstreams.list();
    const items = listed.isOk() ? listed.value.items : [];
    assert.deepEqual(
      items.map(({ name, value }) => [name, value?.port]),
      [
        ['sound', 8080],
        ['odd', undefined],
      ],
    );
  });

  it('reads all pages of a list and returns the revision of the first', async () => {
    const paths: string[] = [];
    await open((request, response) => {
      paths.push(request.url ?? '');
      const isFirst = paths.length === 1;
      const items = [createObject(isFirst ? 'a' : 'b', 3, 'good')];
      response.end(JSON.stringify({ items, has_more: isFirst, at: isFirst ? 7 : 9 }));
    });
    const listed = (await openSource().list())._unsafeUnwrap();
    assert.deepEqual(
      listed.items.map(({ name }) => name),
      ['a', 'b'],
    );
    assert.equal(listed.revision, 7);
    assert.match(paths[1] ?? '', /after=a/);
  });

  it('polls for changes and returns objects that cannot be decoded without a value', async () => {
    await open((request, response) => {
      assert.match(request.url ?? '', /watch=5&wait_ms=100/);
      const events = [
        { is_deleted: false, object: createObject('a', 6, 'bad') },
        { is_deleted: true, object: createObject('b', 7, 'good') },
        { is_deleted: false, object: 'no object' },
      ];
      response.end(JSON.stringify({ events, at: 8 }));
    });
    const polled = (await openSource().poll(5, 100))._unsafeUnwrap();
    assert.deepEqual(polled.changes, [
      { name: 'a', revision: 6, value: undefined, isDeleted: false },
      { name: 'b', revision: 7, value: 'good', isDeleted: true },
    ]);
  });

  it('distinguishes a dropped history from an unavailable store', async () => {
    let status = 410;
    await open((_request, response) => {
      response.writeHead(status).end('{}');
    });
    const gone = await openSource().poll(5, 0);
    assert.deepEqual(gone._unsafeUnwrapErr(), { type: 'history_gone' });
    for (status of [503, 429, 500, 404]) {
      assert.equal((await openSource().poll(5, 0))._unsafeUnwrapErr().type, 'unavailable');
    }
  });

  describe('the era of the store', () => {
    it('goes with lists, changes, dropped histories and failures', async () => {
      let status = 200;
      await open((_request, response) => {
        response.writeHead(status, { 'Store-Era': '4' });
        response.end(JSON.stringify({ items: [], events: [], at: 8 }));
      });
      assert.equal((await openSource().list())._unsafeUnwrap().era, 4);
      assert.equal((await openSource().poll(5, 0))._unsafeUnwrap().era, 4);
      for (status of [410, 503]) {
        assert.equal((await openSource().poll(5, 0))._unsafeUnwrapErr().era, 4);
      }
      assert.equal(client.era, 4);
    });

    it('is read from the answers to writes too', async () => {
      await open((_request, response) => {
        response.writeHead(409, { 'Store-Era': '5' }).end('{}');
      });
      const store = createPlatformStore(client);
      assert.equal(store.getEra?.(), undefined);
      await store.putProgress('app', 1, {
        targetVersion: 'v2',
        state: 'running',
        step: 1,
        startedAtWallMs: 1,
      });
      assert.equal(store.getEra?.(), 5);
    });

    // Objects of two eras would be taken for one state.
    it('makes a list whose pages differ in it fail', async () => {
      let pages = 0;
      await open((_request, response) => {
        pages += 1;
        response.writeHead(200, { 'Store-Era': String(pages) });
        const items = [createObject(`name-${pages}`, 3, 'good')];
        response.end(JSON.stringify({ items, has_more: pages === 1, at: 7 }));
      });
      assert.deepEqual((await openSource().list())._unsafeUnwrapErr(), {
        type: 'history_gone',
        era: 2,
      });
    });

    async function checkUnknown(value: string): Promise<void> {
      await open((_request, response) => {
        response.writeHead(200, { 'Store-Era': value });
        response.end(JSON.stringify({ items: [], at: 8 }));
      });
      assert.deepEqual((await openSource().list())._unsafeUnwrap(), { items: [], revision: 8 });
      assert.equal(client.era, undefined);
    }

    for (const value of ['', 'x', '-1', '1.5', '1e3', '9'.repeat(20)]) {
      it(`is unknown when the header is "${value}"`, () => checkUnknown(value));
    }
  });

  const brokenAnswers: Record<string, Handler> = {
    'is not JSON': (_request, response) => response.end('<html>'),
    'has no revision': (_request, response) => response.end('{"events":[]}'),
    'is cut off': (_request, response) => {
      response.writeHead(200, { 'content-length': '100' });
      response.write('{"events"', () => response.destroy());
    },
    'does not arrive': () => {},
  };

  async function checkUnavailable(handler: Handler): Promise<void> {
    await open(handler);
    assert.equal((await openSource().poll(5, 0))._unsafeUnwrapErr().type, 'unavailable');
  }

  for (const [name, handler] of Object.entries(brokenAnswers)) {
    it(`reports the store as unavailable when its answer ${name}`, () => checkUnavailable(handler));
  }

  describe('writes', () => {
    const progress = {
      targetVersion: 'v2',
      state: 'rolled_back',
      step: 1,
      startedAtWallMs: 5,
    } as const;

    it('stores progress on condition of the revision of the order', async () => {
      let written = '';
      await open((request, response, body) => {
        written = `${request.method} ${request.url} ${body}`;
        response.end('{}');
      });
      const store = createPlatformStore(client);
      assert.equal(await store.putProgress('app', 12, progress), 'written');
      assert.match(written, /^PUT \/cactusstair\/objects\/rollouts\/app\/status /);
      assert.match(written, /"revision":12/);
      assert.match(written, /"state":"rolled_back","target":"v2"/);
    });

    const outcomes: Record<string, { handler: Handler; outcome: string }> = {
      'another write came first': {
        handler: (_request, response) => response.writeHead(409).end('{}'),
        outcome: 'conflict',
      },
      'the store refuses the call': {
        handler: (_request, response) => response.writeHead(503).end('{}'),
        outcome: 'refused',
      },
      'the answer is lost': {
        handler: (request) => request.socket.destroy(),
        outcome: 'unknown',
      },
    };

    async function checkOutcome(handler: Handler, outcome: string): Promise<void> {
      await open(handler);
      const store = createPlatformStore(client);
      assert.equal(await store.putProgress('app', 12, progress), outcome);
    }

    for (const [name, { handler, outcome }] of Object.entries(outcomes)) {
      it(`returns ${outcome} when ${name}`, () => checkOutcome(handler, outcome));
    }
  });
});
