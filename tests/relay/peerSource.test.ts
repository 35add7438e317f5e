import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { findFreePorts } from '@cactusstair/place';
import { PeerSource, SourceFollower, ViewServer } from '@cactusstair/relay';
import type { SocketAddress } from '@cactusstair/relay';
import { ManualClock, waitFor } from '@cactusstair/utils';

import { MemorySource } from './support/memorySource.js';

/** Runs one instance that follows the store and one that reads from the first. */
describe('PeerSource', () => {
  const stops: (() => Promise<void>)[] = [];

  afterEach(async () => {
    for (const stop of stops.splice(0)) await stop();
  });

  function createFollower(
    source: MemorySource<string>,
    provider?: () => SocketAddress | undefined,
  ) {
    const clock = new ManualClock(100_000);
    const state = new Map<string, string | undefined>();
    const follower = new SourceFollower<string>({
      clock,
      waitMs: 10_000,
      source: new PeerSource({
        name: 'upstreams',
        store: source,
        findProvider: provider ?? (() => undefined),
      }),
      shouldLongPoll: () => provider === undefined,
      getMaxAgeMs: () => Infinity,
      onSnapshot: (items) => {
        state.clear();
        for (const { name, value } of items) state.set(name, value);
      },
      onChange: ({ name, value, isDeleted }) => {
        if (isDeleted) state.delete(name);
        else state.set(name, value);
      },
    });
    return { clock, follower, state };
  }

  async function follow(parts: ReturnType<typeof createFollower>, source: MemorySource<string>) {
    const abort = new AbortController();
    const task = parts.follower.run(abort.signal);
    stops.push(async () => {
      abort.abort();
      source.wake();
      await parts.clock.advance(5000);
      await task;
    });
    await waitFor(() => parts.follower.isLoaded, { what: 'the first list', timeoutMs: 2000 });
  }

  async function openPair(era?: number) {
    const source = new MemorySource<string>();
    source.era = era;
    source.put('a', 'first');
    const provider = createFollower(source);
    await follow(provider, source);
    const address = { host: '127.0.0.1', port: (await findFreePorts(1))[0]! };
    const nothing = { exportSince: () => undefined };
    const server = new ViewServer({
      config: nothing,
      upstreams: provider.follower,
      rollouts: nothing,
    });
    await server.listen(address);
    stops.push(() => server.close());
    const reader = createFollower(source, () => address);
    await follow(reader, source);
    const waitProvider = (check: () => boolean) =>
      waitFor(check, { what: 'the provider to see the change', timeoutMs: 2000 });
    return { source, provider, reader, waitProvider };
  }

  // Guards against a load on the store that grows with the fleet: each change of the upstream list
  // used to cost one call for each of 88 instances.
  it('reads changes and deletions from the peer without a call to the store', async () => {
    const { source, provider, reader, waitProvider } = await openPair();
    source.put('b', 'second');
    source.remove('a');
    await waitProvider(() => provider.state.size === 1 && provider.state.has('b'));
    const { calls } = source;
    assert.equal(await reader.follower.confirm(), true);
    assert.deepEqual([...reader.state], [['b', 'second']]);
    assert.equal(source.calls, calls);
  });

  it('adds the age of the state of the peer to the age of the confirmation', async () => {
    const { provider, reader } = await openPair();
    await provider.clock.advance(1200);
    await reader.clock.advance(3000);
    await reader.follower.confirm();
    assert.equal(reader.follower.getAgeMs(), 1200);
  });

  // Guards against revoked keys that stay valid because the peer can no longer confirm its state.
  it('reads the store when the state of the peer is too old', async () => {
    const { source, provider, reader } = await openPair();
    await provider.clock.advance(1600);
    const { calls } = source;
    assert.equal(await reader.follower.confirm(), true);
    assert.equal(source.calls, calls + 1);
    assert.equal(reader.follower.getAgeMs(), 0);
  });

  it('reads the store when the peer is behind', async () => {
    const { source, provider } = await openPair();
    source.put('b', 'second');
    const [port] = (await findFreePorts(1)) as [number];
    const server = new ViewServer({
      config: { exportSince: () => undefined },
      upstreams: {
        exportSince: (since) => ({ ...provider.follower.exportSince(since)!, revision: 1 }),
      },
      rollouts: { exportSince: () => undefined },
    });
    await server.listen({ host: '127.0.0.1', port });
    stops.push(() => server.close());
    const ahead = new PeerSource<string>({
      name: 'upstreams',
      store: source,
      findProvider: () => ({ host: '127.0.0.1', port }),
    });
    const { calls } = source;
    const polled = await ahead.poll(2, 0);
    assert.equal(source.calls, calls + 1);
    assert.deepEqual(polled.isOk() && polled.value.changes.map(({ name }) => name), ['b']);
  });

  describe('in eras of the store', () => {
    it('reads changes from a peer of the same era', async () => {
      const { source, provider, reader, waitProvider } = await openPair(1);
      source.put('b', 'second');
      await waitProvider(() => provider.state.has('b'));
      const { calls } = source;
      assert.equal(await reader.follower.confirm(), true);
      assert.equal(reader.state.get('b'), 'second');
      assert.equal(source.calls, calls);
    });

    // A peer that has not seen the restore would confirm a state that the store no longer has.
    it('reads the store when the peer is of an earlier era', async () => {
      const { source, provider, reader } = await openPair(1);
      const stopped = provider.follower.exportSince(source.revision, 1)!;
      source.restore(0);
      source.put('b', 'second');
      assert.equal(await reader.follower.confirm(), true);
      assert.equal(stopped.era, 1);
      reader.follower.startEra(2);
      await reader.follower.confirm();
      assert.equal(reader.state.get('b'), 'second');
      assert.equal(reader.follower.stateEra, 2);
    });

    // Instances of older builds name no era with what they export.
    for (const era of [undefined, 1, 3]) {
      it(`reads the store when the answer of the peer names era ${era}`, async () => {
        const { source, provider } = await openPair(2);
        const [port] = (await findFreePorts(1)) as [number];
        const nothing = { exportSince: () => undefined };
        const { era: _held, ...exported } = provider.follower.exportSince(source.revision, 2)!;
        const server = new ViewServer({
          config: nothing,
          upstreams: { exportSince: () => ({ ...exported, ...(era ? { era } : {}) }) },
          rollouts: nothing,
        });
        await server.listen({ host: '127.0.0.1', port });
        stops.push(() => server.close());
        const peerSource = new PeerSource<string>({
          name: 'upstreams',
          store: source,
          findProvider: () => ({ host: '127.0.0.1', port }),
        });
        const { calls } = source;
        const polled = await peerSource.poll(source.revision, 0, 2);
        assert.equal(polled._unsafeUnwrap().era, 2);
        assert.equal(source.calls, calls + 1);
      });
    }

    // Changes of the new era after a revision of the old one lack those before that revision.
    it('reads the store when the peer is of a later era', async () => {
      const { source, provider, reader, waitProvider } = await openPair(1);
      source.put('a', 'changed');
      await reader.follower.confirm();
      source.restore(1);
      source.put('b', 'second');
      source.skipRevisions(10);
      source.put('c', 'third');
      await waitProvider(() => provider.state.has('c'));
      await reader.follower.confirm();
      assert.deepEqual(Object.fromEntries(reader.state), {
        a: 'first',
        b: 'second',
        c: 'third',
      });
    });
  });

  it('adopts a store outage that the peer has seen', async () => {
    const { source, provider, reader, waitProvider } = await openPair();
    source.isDown = true;
    source.wake();
    await waitProvider(() => provider.follower.hasRecentFailure(0));
    source.isDown = false;
    await provider.follower.confirm();
    await provider.clock.advance(100);
    await reader.follower.confirm();
    assert.equal(reader.follower.getRestoredAgeMs(), 100);
    assert.equal(reader.follower.hasRecentFailure(3000), true);
  });

  it('answers only for views and revisions that the peer holds', async () => {
    const { provider } = await openPair();
    assert.equal(provider.follower.exportSince(0), undefined);
    const [port] = (await findFreePorts(1)) as [number];
    const server = new ViewServer({
      config: { exportSince: () => undefined },
      upstreams: provider.follower,
      rollouts: { exportSince: () => undefined },
    });
    await server.listen({ host: '127.0.0.1', port });
    stops.push(() => server.close());
    const fetchStatus = async (path: string) =>
      (await fetch(`http://127.0.0.1:${port}${path}`)).status;
    assert.equal(await fetchStatus('/views/upstreams?since=0'), 410);
    assert.equal(await fetchStatus('/views/constructor?since=0'), 404);
    assert.equal(await fetchStatus('/views/upstreams?since=x'), 404);
    assert.equal(await fetchStatus('/'), 404);
  });
});
