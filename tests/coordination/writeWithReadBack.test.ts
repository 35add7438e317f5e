import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { editObject, MemoryObjectStore, writeWithReadBack } from '@cactusstair/coordination';
import type { StoredObject, StoreResult } from '@cactusstair/coordination';
import { err, ok } from 'neverthrow';

import { InterceptedStore, loseAnswer } from './support.js';

const options = { pauseMs: 0 };

async function readObject(store: MemoryObjectStore): Promise<StoredObject | undefined> {
  return (await store.get('model', 'm')).unwrapOr(undefined);
}

describe('writeWithReadBack', () => {
  it('finds its own change after a lost answer and does not write twice', async () => {
    const store = new MemoryObjectStore();
    store.fault = 'lost_answer';
    const written = await writeWithReadBack(store, 'model', 'm', { a: 1 }, 0, options);
    assert.equal(written._unsafeUnwrap().version, 1);
    const updated = await writeWithReadBack(store, 'model', 'm', { a: 2 }, 1, options);
    assert.equal(updated._unsafeUnwrap().version, 2);
    assert.equal(store.calls.write, 2);
  });

  it('writes once when the first copy of a lost request arrives after the second', async () => {
    const store = new InterceptedStore();
    await store.create('model', 'm', { a: 1 });
    let late: (() => StoreResult<StoredObject>) | undefined;
    store.interceptions.push((_, write) => {
      late = write;
      return loseAnswer();
    });
    const written = await writeWithReadBack(store, 'model', 'm', { a: 2 }, 1, options);
    assert.equal(written._unsafeUnwrap().version, 2);
    const arrived = await late?.();
    assert.equal(arrived?._unsafeUnwrapErr().type, 'conflict');
    assert.equal((await readObject(store))?.version, 2);
  });

  it('succeeds when the repeated write conflicts with its own first copy', async () => {
    const store = new InterceptedStore();
    await store.create('model', 'm', { a: 1 });
    let late: (() => StoreResult<StoredObject>) | undefined;
    store.interceptions.push(
      (_, write) => {
        late = write;
        return loseAnswer();
      },
      async (_, write) => {
        await late?.();
        return write();
      },
    );
    const written = await writeWithReadBack(store, 'model', 'm', { a: 2 }, 1, options);
    assert.equal(written._unsafeUnwrap().version, 2);
  });

  it('reports a conflict when another writer took the version', async () => {
    const store = new InterceptedStore();
    await store.create('model', 'm', { a: 1 });
    store.interceptions.push(async (self) => {
      await self.update('model', 'm', { a: 9 }, 1);
      return loseAnswer();
    });
    const written = await writeWithReadBack(store, 'model', 'm', { a: 2 }, 1, options);
    assert.equal(written._unsafeUnwrapErr().type, 'conflict');
  });

  it('reports unknown when its change may have been replaced since', async () => {
    const store = new InterceptedStore();
    await store.create('model', 'm', { a: 1 });
    store.interceptions.push(async (self, write) => {
      await write();
      await self.update('model', 'm', { a: 9 }, 2);
      return loseAnswer();
    });
    const written = await writeWithReadBack(store, 'model', 'm', { a: 2 }, 1, options);
    assert.equal(written._unsafeUnwrapErr().type, 'unknown');
  });

  it('does not re-create an object that was removed after a creation without an answer', async () => {
    const store = new InterceptedStore();
    store.interceptions.push(async (self, write) => {
      await write();
      await self.remove('model', 'm', 1);
      return loseAnswer();
    });
    const written = await writeWithReadBack(store, 'model', 'm', { a: 1 }, 0, options);
    assert.equal(written._unsafeUnwrapErr().type, 'unknown');
    assert.equal(await readObject(store), undefined);
  });

  it('reports unknown when the store fails before the read-back', async () => {
    const store = new InterceptedStore();
    store.interceptions.push(async (self, write) => {
      await write();

      self.fault = 'unavailable';
      return loseAnswer();
    });
    const written = await writeWithReadBack(store, 'model', 'm', { a: 1 }, 0, options);
    assert.equal(written._unsafeUnwrapErr().type, 'unknown');
  });
});

describe('editObject', () => {
  const increment = (current: StoredObject | undefined) =>
    ok({ count: ((current?.value as { count: number } | undefined)?.count ?? 0) + 1 });

  for (const fault of ['none', 'lost_answer'] as const) {
    it(`keeps every edit of concurrent writers (fault: ${fault})`, async () => {
      const store = new MemoryObjectStore();
      store.fault = fault;
      const edits = Array.from({ length: 6 }, () =>
        editObject(store, 'model', 'm', increment, { ...options, maxAttempts: 50 }),
      );
      const results = await Promise.all(edits);
      const settled = results.filter((result) => result.isOk()).length;
      const { count } = (await readObject(store))?.value as { count: number };
      // A writer whose change was replaced before its read-back reports unknown, never success.
      const unknown = results.filter((result) => result.isErr());
      assert.ok(unknown.every((result) => result._unsafeUnwrapErr().type === 'unknown'));
      assert.ok(count >= settled && count <= results.length, `${count} edits, ${settled} settled`);
      if (fault === 'none') assert.equal(count, 6);
    });
  }

  it('does not repeat a lost write onto an object that was removed and created again', async () => {
    const store = new InterceptedStore();
    await store.create('model', 'm', { count: 1 });
    store.interceptions.push(async (self) => {
      await self.remove('model', 'm', 1);
      await self.create('model', 'm', { count: 100 });
      return loseAnswer();
    });
    const edited = await editObject(store, 'model', 'm', increment, options);
    assert.equal(edited._unsafeUnwrapErr().type, 'unknown');
    assert.deepEqual((await readObject(store))?.value, { count: 100 });
  });

  it('reports a conflict after maxAttempts when other writers always write first', async () => {
    const store = new InterceptedStore();
    await store.create('model', 'm', { count: 0 });
    for (let version = 1; version <= 3; version += 1) {
      store.interceptions.push(
        async (self, write) => {
          await self.update('model', 'm', { count: 0 }, version);
          return write();
        },
        (_, write) => write(),
      );
    }
    const edited = await editObject(store, 'model', 'm', increment, { ...options, maxAttempts: 3 });
    assert.equal(edited._unsafeUnwrapErr().type, 'conflict');
    assert.equal((await readObject(store))?.version, 4);
  });

  it('writes nothing when modify returns an error', async () => {
    const store = new MemoryObjectStore();
    const edited = await editObject(store, 'model', 'm', () => err('refused' as const), options);
    assert.equal(edited._unsafeUnwrapErr(), 'refused');
    assert.equal(store.calls.write, 0);
  });
});
