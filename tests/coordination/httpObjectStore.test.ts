import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { HttpObjectStore } from '@cactusstair/coordination';
import type { WatchEvent } from '@cactusstair/coordination';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const object = { kind: 'model', name: 'm', version: 1, revision: 5, value: { a: 1 } };

describe('HttpObjectStore', () => {
  const cleanups: (() => unknown)[] = [];
  afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
  });

  async function startServer(handler: Handler): Promise<Server> {
    const server = createServer(handler);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    cleanups.push(() => {
      server.closeAllConnections();
      server.close();
    });
    return server;
  }

  async function createStore(handler: Handler, timeoutMs = 5000): Promise<HttpObjectStore> {
    const { port } = (await startServer(handler)).address() as AddressInfo;
    const store = new HttpObjectStore({ baseUrl: `http://127.0.0.1:${port}/`, timeoutMs });
    cleanups.push(() => store.close());
    return store;
  }

  function answer(status: number, body: unknown): Handler {
    return (request, response) => {
      request.resume();
      response.writeHead(status).end(JSON.stringify(body));
    };
  }

  it('sends the preconditions of writes, so that concurrent changes are not overwritten', async () => {
    const seen: (string | undefined)[] = [];
    const store = await createStore((request, response) => {
      seen.push(request.method, request.headers['if-match'], request.headers['if-none-match']);
      answer(200, object)(request, response);
    });
    (await store.create('model', 'm', {}))._unsafeUnwrap();
    (await store.update('model', 'm', {}, 3))._unsafeUnwrap();
    assert.equal((await store.remove('model', 'm', 4))._unsafeUnwrap().revision, 5);
    const expected = ['PUT', undefined, '*', 'PUT', '"3"', undefined, 'DELETE', '"4"', undefined];
    assert.deepEqual(seen, expected);
  });

  it('escapes names, so that a name cannot address another object', async () => {
    const store = await createStore((request, response) => {
      assert.equal(request.url, '/v1/objects/model/a%2F..%2Fb%3Fc');
      answer(200, object)(request, response);
    });
    (await store.get('model', 'a/../b?c'))._unsafeUnwrap();
  });

  it('lists all pages, even if the store returns short ones', async () => {
    const names = ['a', 'b', 'c'];
    const store = await createStore((request, response) => {
      const after = new URL(request.url ?? '', 'http://store').searchParams.get('after') ?? '';
      const name = names.find((candidate) => candidate > after);
      const revision = 7 + (name ? names.indexOf(name) : 5);
      answer(200, { objects: name ? [{ ...object, name }] : [], revision })(request, response);
    });
    const listed = (await store.list('model'))._unsafeUnwrap();
    assert.deepEqual(
      listed.objects.map((item) => item.name),
      names,
    );
    assert.equal(listed.revision, 7, 'complete up to the oldest page');
  });

  describe('distinguishes writes without effect from writes with an unknown outcome', () => {
    for (const [status, type] of [
      [503, 'unavailable'],
      [429, 'unavailable'],
      [413, 'unavailable'],
      [500, 'unknown'],
      [502, 'unknown'],
      [504, 'unknown'],
      [404, 'not_found'],
      [412, 'conflict'],
    ] as const) {
      it(`reports status ${status} as ${type}`, async () => {
        const store = await createStore(answer(status, {}));
        const written = await store.update('model', 'm', {}, 1);
        assert.equal(written._unsafeUnwrapErr().type, type);
      });
    }

    it('reports a refused connection as unavailable', async () => {
      const server = await startServer(() => {});
      const { port } = server.address() as AddressInfo;
      await new Promise((resolve) => {
        server.close(resolve);
      });
      const store = new HttpObjectStore({ baseUrl: `http://127.0.0.1:${port}`, timeoutMs: 5000 });
      cleanups.push(() => store.close());
      const written = await store.update('model', 'm', {}, 1);
      assert.equal(written._unsafeUnwrapErr().type, 'unavailable');
    });

    it('reports a write without an answer as unknown and a read as unavailable', async () => {
      const store = await createStore(() => {}, 50);
      const written = await store.update('model', 'm', {}, 1);
      assert.equal(written._unsafeUnwrapErr().type, 'unknown');
      assert.equal((await store.get('model', 'm'))._unsafeUnwrapErr().type, 'unavailable');
    });

    it('reports a connection that breaks after the request as unknown', async () => {
      const store = await createStore((request) => request.socket.destroy());
      const written = await store.remove('model', 'm', 1);
      assert.equal(written._unsafeUnwrapErr().type, 'unknown');
    });

    it('reports a truncated or malformed answer as unknown', async () => {
      const cutOff = await createStore((_, response) => {
        response.writeHead(200, { 'content-length': 100 });
        response.write('{"kind":', () => response.destroy());
      });
      assert.equal((await cutOff.create('model', 'm', {}))._unsafeUnwrapErr().type, 'unknown');
      const malformed = await createStore(answer(200, { kind: 'model' }));
      assert.equal((await malformed.create('model', 'm', {}))._unsafeUnwrapErr().type, 'unknown');
    });
  });

  it('returns the current object of a conflict when the store sends it', async () => {
    const store = await createStore(answer(412, { current: object }));
    const failure = (await store.update('model', 'm', {}, 1))._unsafeUnwrapErr();
    assert.deepEqual(failure, { type: 'conflict', current: object });
  });

  describe('watch', () => {
    it('joins lines that are split over chunks and drops an incomplete last line', async () => {
      const put = JSON.stringify({ type: 'put', object: { ...object, name: 'ž' } });
      const bytes = Buffer.from(`${put}\n\n{"type":"bookmark","revision":6}\n{"type":"del`);
      const store = await createStore((_, response) => {
        response.writeHead(200);
        const writeFrom = (offset: number) => {
          if (offset >= bytes.length) response.end();
          else response.write(bytes.subarray(offset, offset + 1), () => writeFrom(offset + 1));
        };
        writeFrom(0);
      });
      const events: WatchEvent[] = [];
      for await (const event of store.watch(['model'], 0, new AbortController().signal)) {
        events.push(event);
      }
      assert.deepEqual(events, [
        { type: 'put', object: { ...object, name: 'ž' } },
        { type: 'bookmark', revision: 6 },
      ]);
    });

    it('ends without an error on abort and throws when the store rejects it', async () => {
      const open = await createStore((_, response) => {
        response.writeHead(200).write('{"type":"bookmark","revision":1}\n');
      });
      const controller = new AbortController();
      for await (const event of open.watch(['model'], 0, controller.signal)) {
        assert.equal(event.type, 'bookmark');
        controller.abort();
      }
      const refusing = await createStore(answer(410, {}));
      const reader = refusing.watch(['model'], 0, new AbortController().signal);
      await assert.rejects(async () => reader[Symbol.asyncIterator]().next(), /status 410/);
    });
  });
});
