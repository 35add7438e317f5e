import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { OperatorService, PeerService } from '@cactusstair/protocol';
import { credentials, makeGenericClientConstructor, status } from '@grpc/grpc-js';
import fc from 'fast-check';

import { API_KEY, assertNoLeak, CallerFixture, parseRawAnswers } from './callerFixture.js';

const SEED = 4711;
const CALL_TIMEOUT_MS = 10_000;

interface Method {
  path: string;
  requestStream: boolean;
  responseStream: boolean;
}

interface CallEnd {
  code: number;
  details: string;
}

const jsonBody = fc.oneof(
  fc.json({ maxDepth: 6 }),
  fc
    .record(
      {
        model: fc.oneof(fc.constantFrom('large', 'none', 'small@9'), fc.jsonValue()),
        messages: fc.oneof(
          fc.array(fc.record({ role: fc.string(), content: fc.jsonValue() })),
          fc.jsonValue(),
        ),
        stream: fc.jsonValue(),
        max_tokens: fc.jsonValue(),
      },
      { requiredKeys: [] },
    )
    .map((body) => JSON.stringify(body)),
  fc.string({ unit: 'binary' }),
);

/** Requests that must always be refused: none names an allowed model or has an Idempotency-Key. */
const callerRequest = fc.record({
  method: fc.constantFrom('POST', 'PUT', 'PATCH', 'DELETE'),
  path: fc.oneof(
    fc.constantFrom('/v1/chat/completions', '/v1/models', '/services/standings/results'),
    fc.webPath().map((path) => path || '/'),
    fc.webPath().map((path) => `/services/standings${path}`),
  ),
  body: jsonBody,
  session: fc.option(fc.stringMatching(/^[A-Za-z0-9._-]{1,60}$/), { nil: undefined }),
});

describe('random input', () => {
  const shared = {} as { callers: CallerFixture };
  let instance: { pid: number; isRunning: boolean };

  before(async () => {
    shared.callers = await CallerFixture.start();
    instance = shared.callers.cluster.getProcess('riga-a-1');
  });

  after(async () => {
    await shared.callers.close();
  });

  /** Asserts that the instance is running and that no request ran or changed an object. */
  async function assertUnharmed(): Promise<void> {
    assert.ok(instance.isRunning, 'the instance has crashed');
    await shared.callers.assertUnchanged();
    assertNoLeak(shared.callers.readLog());
    assert.doesNotMatch(
      shared.callers.readLog(),
      /invariant is violated|request failed|task failed/,
    );
  }

  it('on the callers’ port is refused with a 4xx status or 503', async () => {
    const property = fc.asyncProperty(callerRequest, async ({ method, path, body, session }) => {
      const answer = await shared.callers.send(method, path, {
        headers: session === undefined ? {} : { 'x-cactusstair-session': session },
        body,
      });
      const shown = `${answer.status} ${answer.text.slice(0, 200)}`;
      assert.ok(answer.status >= 400 && (answer.status < 500 || answer.status === 503), shown);
      assert.equal(answer.headers['x-cactusstair-ran'], 'no', shown);
      assertNoLeak(answer.text);
    });
    await fc.assert(property, { seed: SEED, numRuns: 400 });
    await assertUnharmed();
  });

  it('on a raw callers’ connection is refused or closes the connection', async () => {
    const line = fc.oneof(
      fc.string({ unit: 'binary', maxLength: 40 }),
      fc.constantFrom(
        `authorization: Bearer ${API_KEY}`,
        'content-length: 3',
        'transfer-encoding: chunked',
        'expect: 100-continue',
        'expect: nothing',
        'connection: upgrade',
        'upgrade: h2c',
      ),
    );
    const raw = fc.oneof(
      fc.uint8Array({ minLength: 1, maxLength: 300 }).map((bytes) => Buffer.from(bytes)),
      fc
        .tuple(
          fc.constantFrom('POST /v1/chat/completions', 'GET /', 'DELETE *', 'CONNECT a:1'),
          fc.array(line, { maxLength: 6 }),
        )
        .map(([target, lines]) =>
          Buffer.from(
            [`${target} HTTP/1.1`, 'host: a', 'connection: close', ...lines, '', 'x'].join('\r\n'),
          ),
        ),
    );
    const property = fc.asyncProperty(raw, async (bytes) => {
      for (const answer of parseRawAnswers(await shared.callers.sendRaw(bytes))) {
        if (answer.status === 100) continue;
        const shown = `${answer.status} ${answer.text.slice(0, 200)}`;
        assert.ok(answer.status >= 400 && (answer.status < 500 || answer.status === 503), shown);
        assert.equal(answer.headers['x-cactusstair-ran'], 'no', shown);
        assertNoLeak(answer.text);
      }
    });
    // About half of the inputs run into the receive timeout, so the number of runs is small.
    await fc.assert(property, { seed: SEED, numRuns: 40 });
    await assertUnharmed();
  });

  /** Calls a method with raw bytes instead of an encoded message. */
  function callRaw(address: string, method: Method, bytes: Uint8Array): Promise<CallEnd> {
    const RawClient = makeGenericClientConstructor({}, 'raw');
    const client = new RawClient(address, credentials.createInsecure());
    const options = { deadline: Date.now() + CALL_TIMEOUT_MS };
    return new Promise<CallEnd>((resolve) => {
      const call = client.makeServerStreamRequest(
        method.path,
        (value: Buffer) => value,
        (value: Buffer) => value,
        Buffer.from(bytes),
        options,
      );
      call.on('data', () => {});
      call.on('error', () => {});
      call.on('status', ({ code, details }) => resolve({ code, details }));
    }).finally(() => client.close());
  }

  const acceptableCodes: readonly number[] = [
    status.OK,
    status.INVALID_ARGUMENT,
    status.NOT_FOUND,
    status.ABORTED,
    status.FAILED_PRECONDITION,
  ];
  const { rotateSessionKeys, ...operatorMethods } = OperatorService;
  // Excluded because its request has no fields: any bytes are a valid call that rotates the keys.
  assert.equal(rotateSessionKeys.path, '/cactusstair.v1.Operator/RotateSessionKeys');

  for (const [name, method] of Object.entries(operatorMethods)) {
    it(`on the operators’ port changes nothing: ${name}`, async () => {
      const address = shared.callers.cluster.entries[0]?.operators ?? '';
      const message = fc.uint8Array({ maxLength: 120 });
      // Fields 1 to 8 with a varint or length-delimited value reach the handlers more often.
      const field = fc
        .tuple(
          fc.integer({ min: 1, max: 8 }),
          fc.constantFrom(0, 2),
          fc.uint8Array({ maxLength: 12 }),
        )
        .map(([number, type, content]) =>
          type === 0
            ? [number * 8, content[0] ? content[0] % 128 : 0]
            : [number * 8 + 2, content.length, ...content],
        );
      const fields = fc
        .array(field, { maxLength: 6 })
        .map((parts) => Uint8Array.from(parts.flat()));
      const property = fc.asyncProperty(fc.oneof(message, fields), async (bytes) => {
        const end = await callRaw(address, method, bytes);
        // The gRPC library rejects undecodable bytes with INTERNAL before any handler runs.
        const unreadable = end.details.startsWith('Error deserializing request');
        const acceptable = acceptableCodes.includes(end.code) || unreadable;
        assert.ok(acceptable, `${status[end.code]}: ${end.details}`);
        assertNoLeak(end.details);
      });
      await fc.assert(property, { seed: SEED, numRuns: 25 });
      await assertUnharmed();
    });
  }

  it('on the peers’ port does not crash the instance', async () => {
    const address = shared.callers.cluster.entries[0]?.peers ?? '';
    const property = fc.asyncProperty(
      fc.constantFrom(...Object.values(PeerService)),
      fc.uint8Array({ maxLength: 60 }),
      async (method, bytes) => {
        const end = await callRaw(address, method, bytes);
        assertNoLeak(end.details);
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: 60 });
    assert.ok(instance.isRunning, 'the instance has crashed');
  });
});
