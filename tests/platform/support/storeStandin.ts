import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

const KIND_PATH = /^\/cactusstair\/objects\/([^/?]+)/;
const WATCH_QUERY = /[?&]watch=(\d+)&wait_ms=(\d+)/;

interface StoredChange {
  atMs: number;
  revision: number;
  kind: string;
  name: string;
  /** Undefined when the object was removed. */
  spec: unknown;
}

/** How the store is restored from an older copy. */
export interface RestoreOptions {
  /** Age of the copy in milliseconds. */
  ageMs: number;
  /** Time for which the store answers 503 before it is back, in milliseconds. */
  outageMs?: number;
  /** Number of revisions that writes of other kinds use up in the new era before the next read. */
  writes?: number;
}

/** The platform's store: answers lists, holds watches, and can be restored from an older copy. */
export class StoreStandin {
  private readonly server: Server;

  /** Kinds of objects that were read. */
  readonly kindsRead = new Set<string>();

  private changes: StoredChange[] = [];

  private revision = 1;

  private isDown = false;

  private readonly watches = new Set<() => void>();

  /** Era that all responses name; undefined for a store that names none. */
  era: number | undefined;

  private constructor() {
    this.server = createServer((request, response) => this.handle(request, response));
  }

  static async open(): Promise<StoreStandin> {
    const store = new StoreStandin();
    await new Promise<void>((resolve) => {
      store.server.listen(0, '127.0.0.1', resolve);
    });
    return store;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  put(kind: string, name: string, spec: unknown): void {
    this.revision += 1;
    const { revision } = this;
    this.changes.push({ atMs: performance.now(), revision, kind, name, spec });
    for (const answer of [...this.watches]) answer();
  }

  remove(kind: string, name: string): void {
    this.put(kind, name, undefined);
  }

  /** Returns to the state of some time ago in a new era, and ends all connections. */
  async restore({ ageMs, outageMs = 0, writes = 0 }: RestoreOptions): Promise<void> {
    const copiedAtMs = performance.now() - ageMs;
    this.changes = this.changes.filter(({ atMs }) => atMs <= copiedAtMs);
    this.revision = this.changes.at(-1)?.revision ?? 1;
    if (this.era !== undefined) this.era += 1;
    this.watches.clear();
    this.server.closeAllConnections();
    this.isDown = outageMs > 0;
    await new Promise((resolve) => {
      setTimeout(resolve, outageMs);
    });
    this.isDown = false;
    this.revision += writes;
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    const url = request.url ?? '';
    const kind = KIND_PATH.exec(url)?.[1] ?? '';
    if (request.method === 'GET') this.kindsRead.add(kind);
    if (this.era !== undefined) response.setHeader('Store-Era', String(this.era));
    if (this.isDown) {
      response.writeHead(503).end('{}');
      return;
    }
    if (request.method !== 'GET') {
      response.end('{}');
      return;
    }
    const watch = WATCH_QUERY.exec(url);
    if (watch) this.answerWatch(response, kind, Number(watch[1]), Number(watch[2]));
    else this.answerList(response, kind);
  }

  private answerList(response: ServerResponse, kind: string): void {
    const objects = new Map<string, StoredChange>();
    for (const change of this.changes) {
      if (change.kind === kind) objects.set(change.name, change);
    }
    const items = [...objects.values()]
      .filter(({ spec }) => spec !== undefined)
      .map(({ name, revision, spec }) => ({ metadata: { name, revision }, spec, status: null }));
    response.end(JSON.stringify({ items, has_more: false, at: this.revision }));
  }

  private answerWatch(response: ServerResponse, kind: string, since: number, waitMs: number): void {
    if (since > this.revision) {
      response.writeHead(410).end('{}');
      return;
    }
    const answer = () => {
      const events = this.changes
        .filter((change) => change.kind === kind && change.revision > since)
        .map(({ name, revision, spec }) => ({
          is_deleted: spec === undefined,
          object: { metadata: { name, revision }, spec, status: null },
        }));
      if (events.length === 0 && waitMs > 0) return;
      this.watches.delete(answer);
      response.end(JSON.stringify({ events, at: this.revision }));
    };
    this.watches.add(answer);
    answer();
  }
}
