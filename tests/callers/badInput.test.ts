import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import type { CallerAnswer } from './callerFixture.js';
import {
  API_KEY,
  assertNoLeak,
  assertRefused,
  CallerFixture,
  limits,
  parseRawAnswers,
} from './callerFixture.js';

const message = { role: 'user', content: 'Who leads the ladder?' };
const chat = { model: 'small', messages: [message] };

/** Bodies that are not valid chat requests and must be refused with 1101. */
const malformedBodies: [name: string, body: string][] = [
  ['an empty body', ''],
  ['text that is not JSON', '{"model": small}'],
  ['truncated JSON', '{"model": "small", "messages": ['],
  ['text after the JSON', `${JSON.stringify(chat)} {}`],
  ['a comment', `/* note */ ${JSON.stringify(chat)}`],
  ['a trailing comma', '{"model": "small", "messages": [{"role": "user", "content": "a"},]}'],
  ['a byte order mark', `\ufeff${JSON.stringify(chat)}`],
  ['a control character in a string', '{"model": "sm\u0001all", "messages": []}'],
  ['a number with a leading zero', '{"model": "small", "max_tokens": 01, "messages": []}'],
  [
    'a number without digits after the point',
    '{"model": "small", "max_tokens": 1., "messages": []}',
  ],
  ['a lone minus sign', '-'],
  ['JSON null', 'null'],
  ['a JSON list', '[]'],
  [
    'a repeated key',
    '{"model": "small", "model": "large", "messages": [{"role": "user", "content": "a"}]}',
  ],
  [
    'a repeated key that is escaped',
    '{"model": "small", "mod\\u0065l": "large", "messages": [{"role": "user"}]}',
  ],
  [
    'a repeated key below the top',
    '{"model": "small", "messages": [{"role": "user", "role": "system"}]}',
  ],
  ['nesting of 33 levels', `{"model": "small", "messages": ${'['.repeat(33)}${']'.repeat(33)}}`],
  // A recursive parser overflows its stack long before the body reaches its size limit.
  ['nesting of 90,000 lists', '['.repeat(90_000)],
  ['nesting of 30,000 objects', '{"a":'.repeat(30_000)],
  ['a missing model', JSON.stringify({ messages: [message] })],
  ['an empty model', JSON.stringify({ ...chat, model: '' })],
  ['a model that is a number', JSON.stringify({ ...chat, model: 7 })],
  ['no messages', JSON.stringify({ ...chat, messages: [] })],
  ['messages that are text', JSON.stringify({ ...chat, messages: 'hello' })],
  [
    'content that is a number',
    JSON.stringify({ ...chat, messages: [{ role: 'user', content: 7 }] }),
  ],
  ['stream as text', JSON.stringify({ ...chat, stream: 'yes' })],
  ['max_tokens as text', JSON.stringify({ ...chat, max_tokens: '10' })],
  ['max_tokens below one', JSON.stringify({ ...chat, max_tokens: 0 })],
  ['max_tokens with a fraction', JSON.stringify({ ...chat, max_tokens: 1.5 })],
  ['several choices', JSON.stringify({ ...chat, n: 2 })],
  ['metadata that is a list', JSON.stringify({ ...chat, metadata: [] })],
];

describe('bad input to the callers’ port', () => {
  const shared = {} as { callers: CallerFixture };

  before(async () => {
    shared.callers = await CallerFixture.start();
  });

  after(async () => {
    await shared.callers.close();
  });

  /** Sends raw bytes and asserts that exactly one answer is received. */
  async function sendRawOnce(bytes: string | Buffer): Promise<CallerAnswer> {
    const answers = parseRawAnswers(await shared.callers.sendRaw(bytes));
    assert.equal(answers.length, 1, `${answers.length} answers`);
    return answers[0] as CallerAnswer;
  }

  describe('chat bodies', () => {
    for (const [name, body] of malformedBodies) {
      it(`refuses ${name}`, async () => {
        assertRefused(await shared.callers.sendChat(body), 400, 1101);
        await shared.callers.assertUnchanged();
      });
    }

    it('refuses a model that the workspace does not allow', async () => {
      for (const model of ['large', 'large@1', 'small@9', 'none', '__proto__', '../small']) {
        assertRefused(await shared.callers.sendChat({ ...chat, model }), 403, 1103);
      }
      await shared.callers.assertUnchanged();
    });

    it('refuses a body, a prompt or a max_tokens above its limit', async () => {
      const prompt = 'a'.repeat(limits.promptCharacters + 1);
      const tooLarge = [
        { ...chat, padding: 'a'.repeat(limits.bodyBytes) },
        { ...chat, messages: [{ role: 'user', content: prompt }] },
        { ...chat, messages: [{ role: 'user', content: [{ type: 'text', text: prompt }] }] },
        { ...chat, max_tokens: limits.completionTokens + 1 },
        { ...chat, max_completion_tokens: limits.completionTokens + 1 },
        { ...chat, max_tokens: Number.MAX_SAFE_INTEGER, max_completion_tokens: 1 },
      ];
      for (const body of tooLarge) assertRefused(await shared.callers.sendChat(body), 413, 1104);
      await shared.callers.assertUnchanged();
    });
  });

  describe('headers', () => {
    it('refuses a request without a known workspace key', async () => {
      const values = ['', 'Bearer', 'Bearer wrong', `Basic ${API_KEY}`, `Bearer ${API_KEY} x`];
      values.push(`Bearer ${'a'.repeat(300)}`, API_KEY);
      for (const authorization of values) {
        assertRefused(await shared.callers.sendChat(chat, { authorization }), 401, 1102);
        const path = '/services/standings/results';
        const headers = { authorization, 'idempotency-key': 'k1' };
        assertRefused(await shared.callers.send('POST', path, { headers }), 401, 1102);
        assertRefused(await shared.callers.send('GET', '/v1/models', { headers }), 401, 1102);
      }
      const bare = `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}`;
      assertRefused(await sendRawOnce(bare), 401, 1102);
      await shared.callers.assertUnchanged();
    });

    it('refuses duplicates of headers that may be sent only once', async () => {
      const repeated = [
        ['Authorization', `Bearer ${API_KEY}`],
        ['Idempotency-Key', 'k1'],
        ['X-Request-Id', 'r1'],
        ['X-Cactusstair-Session', 'a.b.c'],
      ] as const;
      for (const [name, value] of repeated) {
        const lines = [
          'POST /services/standings/results HTTP/1.1',
          'host: a',
          'connection: close',
          ...(name === 'Authorization' ? [] : [`authorization: Bearer ${API_KEY}`]),
          `${name}: ${value}`,
          `${name.toLowerCase()}: ${value}`,
          'content-length: 0',
        ];
        assertRefused(await sendRawOnce(`${lines.join('\r\n')}\r\n\r\n`), 400, 1111);
      }
      await shared.callers.assertUnchanged();
    });

    it('refuses a malformed request id or Idempotency-Key', async () => {
      for (const value of ['', 'a b', 'a'.repeat(129), 'k\u00e9y']) {
        for (const name of ['x-request-id', 'idempotency-key']) {
          const headers = { [name]: value };
          const answer = await shared.callers.send('POST', '/services/standings/results', {
            headers,
          });
          assertRefused(answer, 400, 1111);
        }
      }
      await shared.callers.assertUnchanged();
    });

    it('refuses a malformed, unknown or altered session token', async () => {
      const unsigned = `${encode({ alg: 'none' })}.${encode({ jti: 's', workspace: 'ladders' })}.`;
      const unknownKey = `${encode({ alg: 'HS256', kid: 'k9' })}.${encode({ jti: 's' })}.AAAA`;
      const tokens = ['x', '..', 'a.b.c', unsigned, unknownKey, 'a b', 'a'.repeat(9000)];
      for (const token of tokens) {
        assertRefused(
          await shared.callers.sendChat(chat, { 'x-cactusstair-session': token }),
          400,
          1105,
        );
      }
      await shared.callers.assertUnchanged();
    });

    it('refuses headers above their limit', async () => {
      const headers = { 'x-padding': 'a'.repeat(limits.headerBytes) };
      assertRefused(await shared.callers.sendChat(chat, headers), 413, 1104);
      await shared.callers.assertUnchanged();
    });
  });

  describe('paths and methods', () => {
    it('refuses unknown routes and services', async () => {
      const paths = ['/', '/v1', '/v2/models', '/journal', '/metrics', '/services', '/services/'];
      paths.push('/services/none/x', '/services/__proto__/x', '/V1/models', '/v1/models/small');
      for (const path of paths) assertRefused(await shared.callers.send('GET', path), 404, 1107);
      assertRefused(await shared.callers.send('GET', '/v1/chat/completions'), 404, 1107);
      assertRefused(await shared.callers.send('POST', '/v1/models'), 404, 1107);
      await shared.callers.assertUnchanged();
    });

    it('refuses paths that escape the prefix of a service', async () => {
      // An upstream that resolves dot segments would run a different path than the one checked here.
      const paths = ['/..', '/x/../y', '/x/./y', '/%2e%2e/y', '/x/%2E%2e/y', '/x/.%2e/y'];
      paths.push(
        '/..%2fjournal',
        '/x%2f..%2fy',
        '/x%5c..%5cy',
        '/x\\..\\y',
        '/x%00',
        '/%252e%252e/y',
      );
      for (const path of paths) {
        const bytes = `GET /services/standings${path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\nauthorization: Bearer ${API_KEY}\r\n\r\n`;
        assertRefused(await sendRawOnce(bytes), 404, 1107);
      }
      for (const target of [
        '/services/../v1/models',
        '/services/%2e%2e/v1/models',
        '//services/standings/x',
        'http://b/services/standings/x',
      ]) {
        const bytes = `GET ${target} HTTP/1.1\r\nhost: a\r\nconnection: close\r\nauthorization: Bearer ${API_KEY}\r\n\r\n`;
        assertRefused(await sendRawOnce(bytes), 404, 1107);
      }
      await shared.callers.assertUnchanged();
    });

    it('refuses a path with a malformed percent escape', async () => {
      for (const path of ['/services/standings/%', '/services/standings/%zz', '/%c0%ae']) {
        const bytes = `GET ${path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\nauthorization: Bearer ${API_KEY}\r\n\r\n`;
        assertRefused(await sendRawOnce(bytes), 404, 1107);
      }
      await shared.callers.assertUnchanged();
    });

    it('refuses unsupported methods', async () => {
      for (const method of ['TRACE', 'PROPFIND', 'PURGE', 'SEARCH']) {
        for (const path of ['/services/standings/x', '/v1/models']) {
          const bytes = `${method} ${path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\nauthorization: Bearer ${API_KEY}\r\nidempotency-key: k\r\n\r\n`;
          assertRefused(await sendRawOnce(bytes), 404, 1107);
        }
      }
      for (const method of ['FOO', 'get', 'PRI']) {
        const bytes = `${method} /services/standings/x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n`;
        assertRefused(await sendRawOnce(bytes), 400, 1101);
      }
      await shared.callers.assertUnchanged();
    });

    it('refuses a non-idempotent call without an Idempotency-Key', async () => {
      for (const method of ['POST', 'PUT', 'PATCH', 'DELETE']) {
        assertRefused(await shared.callers.send(method, '/services/standings/results'), 400, 1109);
      }
      await shared.callers.assertUnchanged();
    });
  });

  describe('framing', () => {
    const start = `POST /services/standings/results HTTP/1.1\r\nhost: a\r\nconnection: close\r\nauthorization: Bearer ${API_KEY}\r\nidempotency-key: k1\r\n`;
    const hidden = `POST /services/standings/hidden HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${API_KEY}\r\nidempotency-key: k2\r\ncontent-length: 0\r\n\r\n`;
    const framings: [name: string, bytes: string][] = [
      ['a non-numeric Content-Length', `${start}content-length: ten\r\n\r\n`],
      ['a negative Content-Length', `${start}content-length: -1\r\n\r\n`],
      ['a signed Content-Length', `${start}content-length: +5\r\n\r\nhello`],
      ['two Content-Lengths', `${start}content-length: 0\r\ncontent-length: 5\r\n\r\n${hidden}`],
      ['a list of Content-Lengths', `${start}content-length: 0, 5\r\n\r\n${hidden}`],
      [
        'Content-Length with Transfer-Encoding',
        `${start}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n${hidden}`,
      ],
      [
        'an unknown Transfer-Encoding',
        `${start}transfer-encoding: xchunked\r\n\r\n0\r\n\r\n${hidden}`,
      ],
      [
        'chunked as a non-final encoding',
        `${start}transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n${hidden}`,
      ],
      ['a non-numeric chunk size', `${start}transfer-encoding: chunked\r\n\r\nzz\r\n\r\n${hidden}`],
      [
        'a space before the colon',
        `${start}content-length : 0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n${hidden}`,
      ],
      ['a folded header', `${start}x-note: a\r\n transfer-encoding: chunked\r\n\r\n${hidden}`],
      [
        'a bare line feed',
        `${start}x-note: a\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n${hidden}`,
      ],
      ['a NUL in a header', `${start}x-note: a\0b\r\n\r\n`],
      ['a missing Host', `POST /services/standings/results HTTP/1.1\r\nconnection: close\r\n\r\n`],
      ['an unknown version', 'GET /v1/models HTTP/9.9\r\nhost: a\r\n\r\n'],
      ['bytes that are not HTTP', '\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03'],
    ];

    for (const [name, bytes] of framings) {
      it(`refuses ${name} and closes the connection`, async () => {
        const answer = await sendRawOnce(Buffer.from(bytes, 'latin1'));
        assertRefused(answer, 400, 1101);
        await shared.callers.assertUnchanged();
      });
    }

    it('does not run a request with a truncated body', async () => {
      const text = await shared.callers.sendRaw(`${start}content-length: 50\r\n\r\n{"id": 1`);
      for (const answer of parseRawAnswers(text)) assertRefused(answer, 400, 1101);
      assertNoLeak(text);
      await shared.callers.assertUnchanged();
    });

    it('closes the connection of a slow sender', async () => {
      // Without a time limit, senders that never finish their headers could occupy all sockets.
      assertRefused(
        await sendRawOnce('POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n'),
        400,
        1101,
      );
      await shared.callers.assertUnchanged();
    });
  });

  it('does not answer "not run" for a request that ran before garbage on its connection', async () => {
    const text = await shared.callers.sendRaw(
      `POST /services/standings/results HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${API_KEY}\r\nidempotency-key: k1\r\ncontent-length: 0\r\n\r\nGARBAGE\r\n\r\n`,
    );
    // The caller attributes the first answer to its first request.
    const [first] = parseRawAnswers(text);
    assert.equal(first?.headers['x-cactusstair-ran'], undefined, text);
  });

  it('writes no secrets or stack traces to its log', () => {
    assertNoLeak(shared.callers.readLog());
  });
});

function encode(value: object): string {
  return Buffer.from(JSON.stringify(value)).toString('base64url');
}
