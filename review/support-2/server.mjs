// Stand-in of a server. It follows PROTOCOL.md; what it answers is up to the case.
import { once } from 'node:events';
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const IP = '127.0.0.1';

/** Resets all connections of an HTTP server. */
export function resetAll(server) {
  for (const socket of server.reviewSockets ?? []) socket.resetAndDestroy();
}

/** A server: each request is passed to `answer`, and its entry stands in the store. */
export class Server {
  constructor(deployment, { id, service, version = '1', slots = 64, zone = 'zone-1', answer }) {
    Object.assign(this, { deployment, service, version, slots, zone, answer });
    // No other script's servers have the same ids.
    this.id = `${id}-${deployment.tag}`;
    this.bornMs = Date.now();
    this.sequence = 0;
    this.runs = [];
    this.server = createServer({ maxHeaderSize: 65_536 }, (incoming, outgoing) => {
      const chunks = [];
      incoming.on('error', () => {});
      outgoing.on('error', () => {});
      incoming.on('data', (chunk) => chunks.push(chunk));
      incoming.on('end', () => this.receive(incoming, outgoing, Buffer.concat(chunks)));
    });
    this.server.reviewSockets = new Set();
    this.server.on('connection', (socket) => {
      this.server.reviewSockets.add(socket);
      socket.on('close', () => this.server.reviewSockets.delete(socket));
    });
    deployment.servers.push(this);
  }

  async open(port = 0) {
    this.server.listen(port, IP);
    await once(this.server, 'listening');
    this.port = this.server.address().port;
  }

  register(state = 'ready') {
    this.sequence += 1;
    this.deployment.store.put('servers', this.id, {
      service: this.service,
      address: `${IP}:${this.port}`,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state,
      warmup_left_ms: 0,
      sequence: this.sequence,
      born: this.bornMs,
      stage: 'colocated',
      models: [],
    });
  }

  receive(incoming, outgoing, body) {
    const expected = incoming.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.reply(incoming, outgoing, 421, '', { 'X-Not-Executed': '1' });
      return;
    }
    this.answer(this, incoming, outgoing, body);
  }

  /** Resets all connections and refuses new ones, as a process that crashed; `restart` ends that. */
  crash() {
    this.server.close();
    resetAll(this.server);
  }

  /** Starts again under the same id and address, and knows nothing of before. */
  async restart() {
    this.bornMs = Date.now();
    this.sequence = 0;
    // A connection of this machine may have the port for a moment.
    while (!(await this.tryOpen(this.port))) await sleep(50);
    this.register();
  }

  tryOpen(port) {
    return new Promise((done) => {
      this.server.once('error', () => done(false));
      this.server.listen(port, IP, () => done(true));
    });
  }

  /** Answers with a signed body. */
  reply(incoming, outgoing, status, body, headers = {}) {
    outgoing.writeHead(status, {
      'X-Attempt-Id': incoming.headers['x-attempt-id'] ?? '',
      'X-Response-Seal': `seal.${this.id}`,
      'Content-Length': Buffer.byteLength(body),
      ...headers,
    });
    outgoing.end(body);
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }
}
