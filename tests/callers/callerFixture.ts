import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { ClusterOptions } from '@cactusstair/place';
import { LocalCluster } from '@cactusstair/place';
import { request } from 'undici';

/** Key of the workspace `ladders`; it must not appear in any answer or log. */
export const API_KEY = 'caller-secret-key-7f3a';

/** Limits of the instance, small enough for tests to exceed them cheaply. */
export const limits = {
  bodyBytes: 200_000,
  headerBytes: 16_384,
  promptCharacters: 10_000,
  completionTokens: 1000,
  receiveMs: 1000,
} as const;

/** The parts of an answer that the tests check. */
export interface CallerAnswer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  text: string;
}

const RAW_TIMEOUT_MS = 30_000;

/** One entry instance, one engine and one non-idempotent service. */
export class CallerFixture {
  private constructor(
    readonly cluster: LocalCluster,
    private readonly runDir: string,
  ) {}

  static async start(options: Partial<ClusterOptions> = {}): Promise<CallerFixture> {
    const runDir = mkdtempSync(join(tmpdir(), 'cactusstair-callers-'));
    const cluster = await LocalCluster.start({
      runDir,
      zones: [
        {
          name: 'riga-a',
          engines: [{ versions: ['small@1', 'large@1'] }],
          services: [{ service: 'standings' }],
        },
      ],
      models: [
        { name: 'small', versions: [{ version: '1' }] },
        { name: 'large', versions: [{ version: '1' }] },
      ],
      workspaces: [{ name: 'ladders', apiKey: API_KEY, models: ['small'] }],
      entrySettings: { limits, invariants: { fatal: true } },
      ...options,
    });
    return new CallerFixture(cluster, runDir);
  }

  get callers(): string {
    return this.cluster.entries[0]?.callers ?? '';
  }

  /** Sends a request with an HTTP client. Adds the API key unless `authorization` is given. */
  async send(
    method: string,
    path: string,
    options: { headers?: Record<string, string | string[]>; body?: string | Buffer } = {},
  ): Promise<CallerAnswer> {
    const answer = await request(`${this.callers}${path}`, {
      method: method as 'GET',
      headers: { authorization: `Bearer ${API_KEY}`, ...options.headers },
      body: options.body ?? null,
    });
    return {
      status: answer.statusCode,
      headers: answer.headers,
      text: await answer.body.text(),
    };
  }

  sendChat(body: unknown, headers: Record<string, string> = {}): Promise<CallerAnswer> {
    return this.send('POST', '/v1/chat/completions', {
      headers: { 'content-type': 'application/json', ...headers },
      body: typeof body === 'string' || Buffer.isBuffer(body) ? body : JSON.stringify(body),
    });
  }

  /** Sends raw bytes and returns everything received until the connection closes. */
  sendRaw(bytes: string | Buffer): Promise<string> {
    const { hostname, port } = new URL(this.callers);
    return new Promise((resolve, reject) => {
      const socket = connect(Number(port), hostname, () => socket.write(bytes));
      const chunks: Buffer[] = [];
      socket.setTimeout(RAW_TIMEOUT_MS, () => {
        socket.destroy();
        reject(new Error(`waited ${RAW_TIMEOUT_MS} ms for the instance to close the connection`));
      });
      socket.on('data', (chunk: Buffer) => chunks.push(chunk));
      socket.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code !== 'ECONNRESET' && error.code !== 'EPIPE') reject(error);
      });
      socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1')));
    });
  }

  /** Asserts that nothing ran, nothing was billed or claimed, and no object changed. */
  async assertUnchanged(): Promise<void> {
    const engine = (await this.cluster.fetchJournal('riga-a-engine-1')) as { requests: unknown[] };
    const service = (await this.cluster.fetchJournal('riga-a-standings-1')) as { calls: unknown[] };
    assert.deepEqual(engine.requests, [], 'an engine ran a request');
    assert.deepEqual(service.calls, [], 'a service ran a request');
    assert.deepEqual(await this.listWrites(), [], 'an object changed');
  }

  /** Lists the writes since the start, except for the instance's record and rollout lease. */
  async listWrites(): Promise<string[]> {
    const response = await fetch(`${this.cluster.platformUrl}/v1/history`);
    const { events } = (await response.json()) as {
      events: { event: { kind?: string; object?: { kind: string; name: string } } }[];
    };
    return events
      .map(({ event }) => event.object?.kind ?? event.kind ?? '')
      .filter((kind) => !BACKGROUND_KINDS.includes(kind) && !CONFIG_KINDS.includes(kind))
      .concat(await this.listChangedConfig());
  }

  /** Reads everything that the entry instance wrote to standard output and standard error. */
  readLog(): string {
    return readFileSync(join(this.runDir, 'riga-a-1.log'), 'utf8');
  }

  async close(): Promise<void> {
    await this.cluster.close();
    rmSync(this.runDir, { recursive: true, force: true });
  }

  /** Lists configuration objects that were written more than once. */
  private async listChangedConfig(): Promise<string[]> {
    const changed: string[] = [];
    for (const kind of CONFIG_KINDS) {
      const response = await fetch(`${this.cluster.platformUrl}/v1/objects/${kind}`);
      const { objects } = (await response.json()) as {
        objects: { name: string; version: number }[];
      };
      for (const { name, version } of objects) if (version > 1) changed.push(`${kind}/${name}`);
    }
    return changed;
  }
}

const BACKGROUND_KINDS: readonly string[] = ['instance', 'lease'];
const CONFIG_KINDS: readonly string[] = [
  'workspace',
  'model',
  'upstream',
  'cascade',
  'sessionkeys',
];

/** Asserts a refusal with a result code that reports "not run" and reveals no internals. */
export function assertRefused(answer: CallerAnswer, status: number, code: number): void {
  const shown = `${answer.status} ${answer.text.slice(0, 300)}`;
  assert.equal(answer.status, status, shown);
  assert.equal(answer.headers['x-cactusstair-code'], String(code), shown);
  assert.equal(answer.headers['x-cactusstair-ran'], 'no', shown);
  assertNoLeak(answer.text);
  if (answer.text === '') return;
  const { error } = JSON.parse(answer.text) as { error: { code: number; ran: string } };
  assert.equal(error.code, code, shown);
  assert.equal(error.ran, 'no', shown);
}

/** Asserts that a text contains no stack trace, no file name of the program and no secret. */
export function assertNoLeak(text: string): void {
  assert.doesNotMatch(
    text,
    /\n\s+at |node_modules|\.js:\d+|\.ts:\d+/,
    'the text contains a stack trace',
  );
  assert.ok(!text.includes(API_KEY), 'the text contains the API key');
}

/** Parses the answers of a raw connection. */
export function parseRawAnswers(text: string): CallerAnswer[] {
  return text
    .split(/(?=HTTP\/1\.1 \d{3} )/)
    .filter((part) => part.startsWith('HTTP/1.1 '))
    .map((part) => {
      const [head = '', body = ''] = part.split('\r\n\r\n');
      const lines = head.split('\r\n').slice(1);
      const headers = Object.fromEntries(
        lines.map((line) => {
          const colon = line.indexOf(':');
          return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }),
      );
      return { status: Number(part.slice(9, 12)), headers, text: body };
    });
}
