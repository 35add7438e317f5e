// A small deployment on loopback addresses: the program of the deploy file as separate processes, and
// stand-ins of the platform's store, the servers and the clients. Only modules of Node.js are used.
import { randomBytes } from 'node:crypto';
import { once } from 'node:events';
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { Machine } from './machine.mjs';
import { NOT_RUN, waitUntil } from './record.mjs';
import { Store } from './store.mjs';

const IP = '127.0.0.1';
/** A case takes 120 s at most. */
const MAX_RUN_MS = 117_000;

export { send } from './client.mjs';
export { BROKEN, HELD, NOT_RUN, Record, sleep } from './record.mjs';
export { Server } from './server.mjs';

/** Finds free ports by listening at all of them at the same time. */
export async function findFreePorts(count) {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(
    servers.map(async (server) => {
      server.listen(0, IP);
      await once(server, 'listening');
      return server.address().port;
    }),
  );
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
}

/** The store, the machines and the temporary folder of a case. */
export class Deployment {
  constructor(record) {
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), 'cactusstair-review-'));
    this.store = new Store(record);
    this.tag = randomBytes(4).toString('hex');
    this.machines = [];
    this.servers = [];
    // Ends what it started, also when the case is cut off.
    process.on('exit', () => this.killMachines());
    for (const name of ['SIGINT', 'SIGTERM']) process.once(name, () => process.exit(NOT_RUN));
    setTimeout(() => process.exit(NOT_RUN), MAX_RUN_MS).unref();
  }

  killMachines() {
    for (const { child, end } of this.machines) {
      if (child && end === undefined) child.kill('SIGKILL');
    }
    rmSync(this.folder, { recursive: true, force: true });
  }

  async open({ machines = 1, zones = ['zone-1'], limits = {}, bounds = {} } = {}) {
    await this.store.open();
    const ports = await findFreePorts(3 * machines);
    const peers = Array.from({ length: machines }, (_, index) => ports[3 * index + 2]);
    for (let index = 0; index < machines; index += 1) {
      const zone = zones[index % zones.length];
      this.machines.push(
        new Machine(this, {
          name: `edge-${zone}-${index + 1}`,
          zone,
          zones,
          ports: ports.slice(3 * index, 3 * index + 3),
          store: this.store.address,
          seeds: peers.slice(0, 3).map((port) => `${IP}:${port}`),
          limits,
          bounds,
        }),
      );
    }
  }

  async start() {
    for (const machine of this.machines) machine.start();
    for (const machine of this.machines) {
      await waitUntil(() => machine.isReady(), `${machine.name} is ready`, 20_000);
    }
  }

  async close() {
    for (const machine of this.machines) {
      if (!machine.child || machine.end !== undefined) continue;
      machine.child.kill('SIGKILL');
      machine.child.kill('SIGCONT');
      await once(machine.child, 'exit');
    }
    for (const server of this.servers) server.close();
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}
