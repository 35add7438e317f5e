// Stand-in of the platform's store. It follows PROTOCOL.md; where that is silent, it behaves like a sound
// store.
import { once } from 'node:events';
import { createServer } from 'node:http';

const IP = '127.0.0.1';
const OBJECTS_PATH = /^\/cactusstair\/objects\/([^/?]+)(?:\/([^/?]+))?(\/status)?(?:\?(.*))?$/;

/** The platform's store: objects by kind and name, lists, watches and conditional writes. */
export class Store {
  constructor(record) {
    this.record = record;
    this.objects = new Map();
    this.history = [];
    this.revision = 100;
    this.watches = new Set();
    /** Set to delay, drop or refuse calls: returns true if it has taken care of the response. */
    this.intercept = () => false;
    this.server = createServer((incoming, outgoing) => this.receive(incoming, outgoing));
  }

  async open() {
    this.server.listen(0, IP);
    await once(this.server, 'listening');
  }

  get address() {
    return `${IP}:${this.server.address().port}`;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  find(kind, name) {
    return this.objects.get(`${kind}/${name}`);
  }

  /** Writes an object as the operator or a server does. */
  put(kind, name, spec, status) {
    const known = this.find(kind, name);
    this.revision += 1;
    const object = {
      metadata: { name, revision: this.revision, finalizers: [], created: known?.created ?? 0 },
      spec,
      status: status === undefined ? (known?.status ?? null) : status,
    };
    this.objects.set(`${kind}/${name}`, object);
    this.notify(kind, { object, is_deleted: false });
    return object;
  }

  remove(kind, name) {
    const object = this.find(kind, name);
    if (!object) return;
    this.objects.delete(`${kind}/${name}`);
    this.revision += 1;
    const metadata = { ...object.metadata, revision: this.revision };
    this.notify(kind, { object: { ...object, metadata }, is_deleted: true });
  }

  notify(kind, event) {
    this.history.push({ kind, revision: this.revision, event });
    for (const answer of [...this.watches]) answer();
  }

  receive(incoming, outgoing) {
    let body = '';
    incoming.on('data', (chunk) => {
      body += chunk;
    });
    incoming.on('end', () => {
      if (!this.intercept(incoming, outgoing, body)) this.answer(incoming, outgoing, body);
    });
  }

  answer(incoming, outgoing, body) {
    const send = (status, value) => {
      outgoing.writeHead(status, { 'content-type': 'application/json' });
      outgoing.end(JSON.stringify(value));
    };
    const match = OBJECTS_PATH.exec(incoming.url ?? '');
    if (!match) {
      send(404, {});
      return;
    }
    const [, kind, name, statusPart, query] = match;
    if (incoming.method === 'GET')
      this.read(kind, name, new URLSearchParams(query), outgoing, send);
    else this.write(incoming.method, kind, name, Boolean(statusPart), body, send);
  }

  read(kind, name, query, outgoing, send) {
    if (name !== undefined) {
      const object = this.find(kind, name);
      send(object ? 200 : 404, object ?? {});
      return;
    }
    if (!query.has('watch')) {
      const items = [...this.objects]
        .filter(([key]) => key.startsWith(`${kind}/`))
        .map(([, object]) => object);
      send(200, { items, has_more: false, at: this.revision });
      return;
    }
    const since = Number(query.get('watch'));
    const waitMs = Number(query.get('wait_ms') ?? 0);
    let timer;
    const finish = (events) => {
      clearTimeout(timer);
      this.watches.delete(answer);
      send(200, { events, at: this.revision });
    };
    const answer = () => {
      const events = this.history
        .filter((entry) => entry.kind === kind && entry.revision > since)
        .map(({ event }) => event);
      if (events.length > 0) finish(events);
    };
    this.watches.add(answer);
    outgoing.on('close', () => {
      clearTimeout(timer);
      this.watches.delete(answer);
    });
    timer = setTimeout(() => finish([]), waitMs);
    answer();
  }

  write(method, kind, name, isStatus, body, send) {
    const value = body === '' ? {} : JSON.parse(body);
    const target = name ?? value.metadata?.name;
    const known = this.find(kind, target);
    const expected = value.metadata?.revision;
    if (method === 'POST' && known) send(409, known);
    else if (method === 'POST') send(200, this.put(kind, target, value.spec));
    else if (!known) send(404, {});
    else if (expected !== undefined && expected !== known.metadata.revision) send(409, known);
    else if (method === 'DELETE') {
      this.remove(kind, target);
      send(200, {});
    } else if (isStatus) {
      this.record.write(`store status ${kind}/${target} ${JSON.stringify(value.status)}`);
      send(200, this.put(kind, target, known.spec, value.status));
    } else send(200, this.put(kind, target, value.spec));
  }
}
