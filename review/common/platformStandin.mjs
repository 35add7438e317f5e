/**
 * Stand-in for the platform's store, as PROTOCOL.md describes it: objects by kind and name, one
 * revision counter, conditional writes, lists and watches. It loses nothing and answers at once.
 */
import { createServer } from 'node:http';

const BASE_PATH = '/cactusstair/objects/';

export class PlatformStandin {
  constructor(host) {
    this.host = host;
    this.revision = 100;
    this.kinds = new Map();
    this.history = [];
    this.waiting = new Set();
    this.watching = new Set();
    /** Returns a fault for a call: `undefined`, `'busy'` or `'silent'`. */
    this.getFault = () => undefined;
    /** Called with the events of each answer to a watch, and the port at which it was asked. */
    this.onEvents = () => {};
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async start() {
    await new Promise((resolve) => {
      this.server.listen(0, this.host, resolve);
    });
    return this;
  }

  get address() {
    return `${this.host}:${this.server.address().port}`;
  }

  /** Creates or replaces an object and returns it; its revision is the confirmation. */
  put(kind, name, spec) {
    const objects = this.kinds.get(kind) ?? new Map();
    this.kinds.set(kind, objects);
    const known = objects.get(name);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) return known;
    return this.store(kind, name, { spec, status: known?.status ?? null });
  }

  remove(kind, name) {
    const known = this.kinds.get(kind)?.get(name);
    if (!known) return;
    this.kinds.get(kind).delete(name);
    this.revision += 1;
    const object = { ...known, metadata: { ...known.metadata, revision: this.revision } };
    this.record(kind, object, true);
  }

  /** Cuts off all watches that are waiting. */
  cutWatches() {
    for (const response of this.watching) response.destroy();
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  store(kind, name, { spec, status }) {
    this.revision += 1;
    const known = this.kinds.get(kind)?.get(name);
    const object = {
      metadata: {
        name,
        revision: this.revision,
        created: known?.metadata.created ?? this.revision,
        finalizers: [],
        deletion_started: false,
      },
      spec,
      status,
    };
    this.kinds.get(kind).set(name, object);
    this.record(kind, object, false);
    return object;
  }

  record(kind, object, isDeleted) {
    this.history.push({ kind, object, isDeleted });
    for (const wake of [...this.waiting]) wake();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const fault = this.getFault(request);
    if (fault === 'silent') return;
    if (fault === 'busy') {
      send(response, 503, { error: 'busy' });
      return;
    }
    const url = new URL(request.url, 'http://store');
    if (!url.pathname.startsWith(BASE_PATH)) {
      send(response, 404, {});
      return;
    }
    const [kind, name, part] = url.pathname.slice(BASE_PATH.length).split('/');
    const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : undefined;
    if (request.method === 'GET' && name === undefined) await this.read(kind, url, response);
    else if (request.method === 'GET') this.get(kind, name, response);
    else this.write(request.method, kind, name ?? body?.metadata?.name, part, body, response);
  }

  async read(kind, url, response) {
    const watch = url.searchParams.get('watch');
    if (watch === null) {
      const items = [...(this.kinds.get(kind)?.values() ?? [])];
      send(response, 200, { items, has_more: false, at: this.revision });
      return;
    }
    const since = Number(watch);
    const untilMs = Date.now() + Number(url.searchParams.get('wait_ms') ?? 0);
    const listEvents = () =>
      this.history
        .filter((event) => event.kind === kind && event.object.metadata.revision > since)
        .map(({ object, isDeleted }) => ({ object, is_deleted: isDeleted }));
    while (listEvents().length === 0 && Date.now() < untilMs && !response.destroyed) {
      await this.waitForChange(untilMs - Date.now(), response);
    }
    const events = listEvents();
    this.onEvents(kind, events, response.socket?.localPort);
    send(response, 200, { events, at: this.revision });
  }

  waitForChange(waitMs, response) {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.waiting.delete(finish);
        this.watching.delete(response);
        response.off('close', finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.waiting.add(finish);
      this.watching.add(response);
      response.on('close', finish);
    });
  }

  get(kind, name, response) {
    const object = this.kinds.get(kind)?.get(name);
    send(response, object ? 200 : 404, object ?? {});
  }

  write(method, kind, name, part, body, response) {
    const objects = this.kinds.get(kind) ?? new Map();
    this.kinds.set(kind, objects);
    const known = objects.get(name);
    if (method === 'POST' && known) {
      send(response, 409, known);
      return;
    }
    if (method !== 'POST' && !known) {
      send(response, 404, {});
      return;
    }
    const revision = body?.metadata?.revision;
    if (known && revision !== undefined && revision !== known.metadata.revision) {
      send(response, 409, known);
      return;
    }
    if (method === 'DELETE') {
      this.remove(kind, name);
      send(response, 200, known);
      return;
    }
    const spec = part === 'status' ? known.spec : body.spec;
    const status = part === 'status' ? body.status : (known?.status ?? null);
    send(response, 200, this.store(kind, name, { spec, status }));
  }
}

function send(response, status, value) {
  if (response.destroyed) return;
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
