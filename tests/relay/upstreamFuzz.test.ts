import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';

import fc from 'fast-check';

import type { CallerAnswer } from './support/caller.js';
import { sendRequest } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import type { ReceivedRequest, Script } from './support/scriptedUpstream.js';
import { formatAnswer, formatEvents, formatRest } from './support/scriptedUpstream.js';

const SEED = 20261204;
const RUNS = 60;
const LAST_EVENT = 6;
const BODY = '{"whole":true}';
/** Answers arrive within milliseconds; a longer wait means that a time limit ended the request. */
const DEADLINE_MS = 1500;

/** Changes to the bytes of a sound answer that a caller must never take for the sound one. */
type Mutation =
  | { type: 'none' }
  | { type: 'cut'; share: number; isReset: boolean }
  | { type: 'garbage_before'; bytes: string }
  | { type: 'garbage_after'; bytes: string }
  | { type: 'twice' }
  | { type: 'without_header'; name: string }
  | { type: 'long_header'; length: number }
  | { type: 'informational'; count: number }
  | { type: 'silent' };

const bytes = fc.string({ unit: 'binary-ascii', minLength: 1, maxLength: 300 });

const mutations: fc.Arbitrary<Mutation> = fc.oneof(
  fc.record({ type: fc.constant('none' as const) }),
  fc.record({
    type: fc.constant('cut' as const),
    share: fc.double({ min: 0, max: 0.999, noNaN: true }),
    isReset: fc.boolean(),
  }),
  fc.record({ type: fc.constant('garbage_before' as const), bytes }),
  fc.record({ type: fc.constant('garbage_after' as const), bytes }),
  fc.record({ type: fc.constant('twice' as const) }),
  fc.record({
    type: fc.constant('without_header' as const),
    name: fc.constantFrom('X-Attempt-Id', 'X-Response-Seal'),
  }),
  fc.record({
    type: fc.constant('long_header' as const),
    length: fc.integer({ min: 1, max: 200_000 }),
  }),
  fc.record({
    type: fc.constant('informational' as const),
    count: fc.integer({ min: 1, max: 2000 }),
  }),
  fc.record({ type: fc.constant('silent' as const) }),
);

type Play = (socket: Socket, sound: string, mutation: never) => void;

const plays: Record<Mutation['type'], Play> = {
  none: (socket, sound) => socket.end(sound),
  cut: (socket, sound, { share, isReset }: Extract<Mutation, { type: 'cut' }>) => {
    socket.write(sound.slice(0, Math.floor(share * sound.length)), () =>
      isReset ? socket.resetAndDestroy() : socket.end(),
    );
  },
  garbage_before: (socket, sound, { bytes: garbage }: { bytes: string }) =>
    socket.end(garbage + sound),
  garbage_after: (socket, sound, { bytes: garbage }: { bytes: string }) =>
    socket.end(sound + garbage),
  twice: (socket, sound) => socket.end(sound + sound),
  without_header: (socket, sound, { name }: { name: string }) =>
    socket.end(sound.replace(new RegExp(`${name}: [^\r]*\r\n`), '')),
  long_header: (socket, sound, { length }: { length: number }) =>
    socket.end(sound.replace('\r\n', `\r\nX-Long: ${'x'.repeat(length)}\r\n`)),
  informational: (socket, sound, { count }: { count: number }) =>
    socket.end('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(count) + sound),
  silent: () => {},
};

describe('answers of upstreams, mutated', () => {
  let fixture: RelayFixture;
  let mutation: Mutation;
  /** Runs of the current request. */
  let runs = 0;
  let requests = 0;

  function formatSound(received: ReceivedRequest): string {
    if (received.path.startsWith('/app/plain/')) return formatAnswer(received, 200, BODY);
    return formatRest(received, LAST_EVENT);
  }

  /** Mutates the answer of the first run; later ones are sound. */
  const answer: Script = (socket, received) => {
    runs += 1;
    const play = plays[runs === 1 ? mutation.type : 'none'];
    play(socket, formatSound(received), mutation as never);
  };

  before(async () => {
    const limits = { timeoutMs: DEADLINE_MS, latencyGoalMs: 150, maxEventGapMs: 150 };
    fixture = await RelayFixture.open([
      createRoute({
        ...limits,
        name: 'stream',
        pathPrefix: '/app/stream/',
        kind: 'stream',
        isResumable: true,
        maxAttempts: 3,
      }),
      createRoute({ ...limits, name: 'plain', pathPrefix: '/app/plain/', kind: 'idempotent' }),
      createRoute({
        ...limits,
        name: 'once',
        pathPrefix: '/app/plain/once/',
        kind: 'non_idempotent',
        maxAttempts: 1,
      }),
    ]);
    await fixture.addUpstream('a', answer);
    await fixture.addUpstream('b', answer);
    await fixture.waitReady();
  });

  after(() => fixture.close());

  /** Plays one mutated answer and returns what the caller got; undefined if it was cut off. */
  async function request(path: string, played: Mutation): Promise<CallerAnswer | undefined> {
    mutation = played;
    runs = 0;
    // A request that was lost several times counts as one that crashes its upstreams.
    requests += 1;
    try {
      return await sendRequest(fixture.callerPort, { path: `${path}/${requests}` });
    } catch {
      return undefined;
    }
  }

  async function check(path: string, whole: string, assertRuns: () => void): Promise<void> {
    const property = fc.asyncProperty(mutations, async (played) => {
      const received = await request(path, played);
      if (received?.status === 200 && received.isWhole) assert.equal(received.body, whole);
      else if (received?.status === 200) assert.ok(whole.startsWith(received.body));
      else if (received) assert.ok(received.status >= 500, String(received.status));
      // What is called not run was not handed to any upstream.
      if (received?.status === 503) assert.equal(runs, 0);
      assertRuns();
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
    const last = await request(path, { type: 'none' });
    assert.equal(last?.body, whole, 'the instance serves on');
  }

  it('give a stream that is whole, visibly broken, or an honest failure', async () => {
    await check('/app/stream/x', formatEvents(1, LAST_EVENT), () => assert.ok(runs <= 3));
  });

  it('give a buffered answer that is whole, or an honest failure', async () => {
    await check('/app/plain/x', BODY, () => assert.ok(runs <= 2));
  });

  it('run a request that must not be repeated once', async () => {
    await check('/app/plain/once/x', BODY, () => assert.ok(runs <= 1));
  });
});
