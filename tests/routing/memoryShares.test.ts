import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { MemoryGrant } from '@cactusstair/routing';
import { MemoryShares } from '@cactusstair/routing';

const SEED = 20261205;

describe('MemoryShares', () => {
  /** Asks for memory and records the grants in order. */
  function createRecorder(maxBytes: number) {
    const shares = new MemoryShares(maxBytes);
    const granted: string[] = [];
    const ask = (owner: string, bytes: number, name = owner) =>
      shares.request(owner, bytes, () => granted.push(name));
    return { shares, granted, ask };
  }

  it('grants at once while there is memory, and later what is given back', () => {
    const { granted, ask } = createRecorder(100);
    const grant = ask('a', 50);
    ask('b', 50);
    ask('c', 50);
    assert.deepEqual(granted, ['a', 'b']);
    grant.release();
    grant.release();
    assert.deepEqual(granted, ['a', 'b', 'c']);
  });

  // The second release gave back memory that was never granted, so more was granted than there is.
  it('gives nothing back when a request that waited is withdrawn twice', () => {
    const { shares, granted, ask } = createRecorder(100);
    ask('a', 50);
    ask('b', 50);
    const withdrawn = ask('c', 50);
    withdrawn.release();
    withdrawn.release();
    assert.equal(shares.usedBytes, 100);
    ask('d', 50);
    assert.deepEqual(granted, ['a', 'b']);
  });

  it('leaves half of the memory to others, however much one owner asks for', () => {
    const { granted, ask } = createRecorder(100);
    for (let index = 0; index < 50; index += 1) ask('endless', 25, `endless ${index}`);
    assert.equal(granted.length, 2);
    ask('sound', 50);
    assert.equal(granted.at(-1), 'sound');
  });

  it('serves the owner that holds least before the oldest request', () => {
    const { granted, ask } = createRecorder(100);
    ask('a', 25, 'a1');
    const grant = ask('b', 50, 'b1');
    ask('c', 25, 'c1');
    ask('a', 25, 'a2');
    ask('d', 25, 'd1');
    grant.release();
    assert.deepEqual(granted, ['a1', 'b1', 'c1', 'd1', 'a2']);
  });

  it('forgets a request that is withdrawn', () => {
    const { granted, shares, ask } = createRecorder(100);
    const grant = ask('a', 50);
    ask('b', 50);
    ask('c', 50).release();
    grant.release();
    assert.deepEqual(granted, ['a', 'b']);
    assert.equal(shares.usedBytes, 50);
  });

  it('grants what a grant gives back in part', () => {
    const { granted, shares, ask } = createRecorder(100);
    const grant = ask('a', 50, 'a1');
    ask('a', 30, 'a2');
    grant.shrinkTo(60);
    assert.deepEqual(granted, ['a1']);
    grant.shrinkTo(20);
    assert.deepEqual(granted, ['a1', 'a2']);
    grant.release();
    assert.equal(shares.usedBytes, 30);
  });

  it('tells whose memory is awaited: of all when none is free, else of its own owner', () => {
    const { shares, ask } = createRecorder(100);
    ask('a', 50);
    assert.equal(shares.isAwaitedFrom('a'), false);
    ask('a', 10);
    assert.deepEqual([shares.isAwaitedFrom('a'), shares.isAwaitedFrom('b')], [true, false]);
    ask('b', 50);
    ask('c', 10);
    assert.deepEqual([shares.isAwaitedFrom('a'), shares.isAwaitedFrom('b')], [true, true]);
  });

  it('never exceeds its memory and serves everyone whose turn comes', () => {
    const request = fc.record({
      owner: fc.constantFrom('a', 'b', 'c', 'd'),
      bytes: fc.integer({ min: 0, max: 80 }),
      isReleasedEarly: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(request, { maxLength: 60 }), (requests) => {
        const { shares, granted, ask } = createRecorder(100);
        const grants: MemoryGrant[] = [];
        requests.forEach(({ owner, bytes, isReleasedEarly }, index) => {
          const grant = ask(owner, bytes, String(index));
          assert.ok(shares.usedBytes <= 100);
          if (isReleasedEarly) grant.release();
          else grants.push(grant);
        });
        // A request that is given back when it was granted makes room for the next.
        grants.forEach((grant) => {
          grant.shrinkTo(10);
          assert.ok(shares.usedBytes <= 100);
          grant.release();
          assert.ok(shares.usedBytes <= 100);
        });
        assert.equal(shares.usedBytes, 0);
        assert.equal(new Set(granted).size, granted.length);
      }),
      { seed: SEED },
    );
  });
});
