import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

const KIND_PATH = /^\/cactusstair\/objects\/([^/?]+)/;
const REVISION = 1;

/** The platform's store with objects that do not change: it answers lists, and holds watches. */
export class StoreStandin {
  private readonly server: Server;

  /** Kinds of objects that were read. */
  readonly kindsRead = new Set<string>();

  private readonly specs = new Map<string, Record<string, unknown>>();

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
    this.specs.set(kind, { ...this.specs.get(kind), [name]: spec });
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
    if (request.method !== 'GET') {
      response.end('{}');
      return;
    }
    if (url.includes('watch=')) {
      if (url.includes('wait_ms=0')) response.end(JSON.stringify({ events: [], at: REVISION }));
      return;
    }
    const items = Object.entries(this.specs.get(kind) ?? {}).map(([name, spec]) => ({
      metadata: { name, revision: REVISION },
      spec,
      status: null,
    }));
    response.end(JSON.stringify({ items, has_more: false, at: REVISION }));
  }
}
