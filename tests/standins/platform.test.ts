import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { PlatformStandin } from '@cactusstair/standins';
import type { StoredObject, StoreEvent } from '@cactusstair/standins';

type WatchLine = StoreEvent | { type: 'bookmark'; revision: number };

describe('PlatformStandin', () => {
  let platform: PlatformStandin;

  beforeEach(async () => {
    platform = await new PlatformStandin({ seed: 7 }).start();
  });

  afterEach(() => platform.close());

  function put(path: string, value: unknown, headers: Record<string, string>) {
    return fetch(`${platform.url}/v1/objects/${path}`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json', ...headers },
      body: JSON.stringify(value),
    });
  }

  const create = (path: string, value: unknown) => put(path, value, { 'if-none-match': '*' });

  async function fetchObject(path: string): Promise<StoredObject> {
    return (await (await fetch(`${platform.url}/v1/objects/${path}`)).json()) as StoredObject;
  }

  /** Reads a watch up to and including its first bookmark. */
  async function readBacklog(kinds: string, from: number): Promise<WatchLine[]> {
    const abort = new AbortController();
    const response = await fetch(`${platform.url}/v1/watch?kinds=${kinds}&from=${from}`, {
      signal: abort.signal,
    });
    const lines: WatchLine[] = [];
    let text = '';
    for await (const bytes of response.body ?? []) {
      text += Buffer.from(bytes as Uint8Array).toString();
      const complete = text.split('\n');
      text = complete.pop() ?? '';
      lines.push(...complete.map((line) => JSON.parse(line) as WatchLine));
      if (lines.some((line) => line.type === 'bookmark')) break;
    }
    abort.abort();
    return lines;
  }

  describe('conditional writes', () => {
    it('refuse the second of two updates of one version, so that none is lost', async () => {
      assert.equal((await create('model/small', { n: 1 })).status, 201);
      const first = await put('model/small', { n: 2 }, { 'if-match': '"1"' });
      assert.equal(first.status, 200);
      assert.equal(first.headers.get('etag'), '"2"');
      const second = await put('model/small', { n: 3 }, { 'if-match': '"1"' });
      assert.equal(second.status, 412);
      const { current } = (await second.json()) as { current: StoredObject };
      assert.deepEqual([current.version, current.value], [2, { n: 2 }]);
    });

    it('refuse to create an object that exists', async () => {
      await create('model/small', { n: 1 });
      assert.equal((await create('model/small', { n: 2 })).status, 412);
    });

    it('answer 404 to an update of a missing object and 413 to a value above 1 MB', async () => {
      assert.equal((await put('model/none', {}, { 'if-match': '"1"' })).status, 404);
      assert.equal((await create('model/large', 'x'.repeat(1_000_001))).status, 413);
    });
  });

  it('lists objects in pages without a gap', async () => {
    for (const name of ['c', 'a', 'b']) await create(`model/${name}`, {});
    const names: string[] = [];
    for (let more = true; more;) {
      const url = `${platform.url}/v1/objects/model?after=${names.at(-1) ?? ''}&limit=2`;
      const page = (await (await fetch(url)).json()) as { objects: StoredObject[]; more: boolean };
      names.push(...page.objects.map((object) => object.name));
      more = page.more;
    }
    assert.deepEqual(names, ['a', 'b', 'c']);
  });

  it('sends a watch every change after its revision, then a bookmark', async () => {
    await create('model/a', {});
    await create('model/b', {});
    await create('workspace/w', {});
    const path = `${platform.url}/v1/objects/model/a`;
    await fetch(path, { method: 'DELETE', headers: { 'if-match': '"1"' } });
    const lines = await readBacklog('model', 1);
    assert.deepEqual(
      lines.map((line) => (line.type === 'put' ? line.object.revision : line.revision)),
      [2, 4, 4],
    );
    assert.deepEqual(
      lines.map((line) => line.type),
      ['put', 'delete', 'bookmark'],
    );
  });

  it('sends a watch from an old revision the newest values when old ones are dropped', async () => {
    await platform.close();
    platform = await new PlatformStandin({ historyValues: 2 }).start();
    await create('model/a', { n: 1 });
    await put('model/a', { n: 2 }, { 'if-match': '"1"' });
    await create('model/b', {});
    await create('model/c', {});
    const lines = await readBacklog('model', 0);
    const values = lines.flatMap((line) => (line.type === 'put' ? [line.object.value] : []));
    assert.deepEqual(values, [{ n: 2 }, {}, {}]);
  });

  describe('faults', () => {
    it('drop the answer to a write that has taken effect', async () => {
      platform.faults.inject({ fault: 'loseAnswer', count: 1 });
      await assert.rejects(create('model/small', { n: 1 }));
      assert.deepEqual((await fetchObject('model/small')).value, { n: 1 });
      assert.equal((await put('model/small', { n: 2 }, { 'if-match': '"1"' })).status, 200);
    });

    it('repeat watch events, which a replica must ignore', async () => {
      platform.faults.inject({ fault: 'watch', repeat: 1 });
      await create('model/a', {});
      const types = (await readBacklog('model', 0)).map((line) => line.type);
      assert.deepEqual(types, ['put', 'put', 'bookmark']);
    });

    it('answer 503 during an outage and work after it', async () => {
      platform.faults.inject({ fault: 'outage' });
      assert.equal((await create('model/small', {})).status, 503);
      platform.faults.inject({ fault: 'clear' });
      assert.equal((await create('model/small', {})).status, 201);
    });

    it('are refused with a list of the known names when the name is unknown', async () => {
      const response = await fetch(`${platform.url}/fault`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ fault: 'outrage' }),
      });
      assert.equal(response.status, 400);
      assert.match(await response.text(), /outage/);
    });
  });
});
