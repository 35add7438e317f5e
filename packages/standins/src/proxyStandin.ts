import type { AddressInfo, Server, Socket } from 'node:net';
import { createConnection, createServer } from 'node:net';

import type { Random } from '@cactusstair/utils';
import { createRandom, systemClock } from '@cactusstair/utils';
import { z } from 'zod';

import { parseAddress } from './address.js';
import { FaultTable } from './faultTable.js';
import { HttpStandin } from './httpStandin.js';
import type { PipeDirection, PipeRules } from './proxyPipe.js';
import { ProxyPipe } from './proxyPipe.js';
import { resetSocket } from './resetSocket.js';

/** Options of the proxy. */
export interface ProxyOptions {
  /** Address that clients use; port 0 takes a free port. Default `127.0.0.1:0`. */
  listen?: string;
  /** Address to which the proxy forwards, `host:port`. */
  target: string;
  /** Address of the control port, for `/fault`, `/state` and `/journal`. Default `127.0.0.1:0`. */
  control?: string;
  /** Seed of all random choices. Default 1. */
  seed?: number;
}

/** Faults of the proxy, by name. They end with `clear` or after `durationMs`. */
export const proxyFaults = {
  /** Delays bytes in each direction by `delayMs` plus up to `jitterMs`. */
  delay: { delayMs: z.number().nonnegative(), jitterMs: z.number().nonnegative().default(0) },
  /** Resets all connections and refuses new ones. */
  cut: {},
  /**
   * Holds back all bytes and connection ends in one or both directions. With the scope
   * `existing`, connections opened after the injection work.
   */
  blackhole: {
    direction: z.enum(['both', 'toTarget', 'toClient']).default('both'),
    scope: z.enum(['all', 'existing']).default('all'),
  },
  /** Limits the bandwidth of each direction of each connection. */
  throttle: { bytesPerSecond: z.number().positive() },
  /** Resets each connection after `bytes` bytes in both directions together. */
  resetAfter: { bytes: z.number().int().nonnegative() },
} satisfies Record<string, z.ZodRawShape>;

/** One proxied connection. Times are wall-clock milliseconds. */
export interface ConnectionEntry {
  number: number;
  openedAtMs: number;
  closedAtMs?: number;
  bytes: number;
}

const CUT_CHECK_MS = 10;
const HOLD_CHECK_MS = 10;
// Above this size the journal drops the entries of closed connections.
const MAX_JOURNAL_ENTRIES = 10_000;

/** The control port of a proxy. */
class ProxyControl extends HttpStandin {
  constructor(proxy: ProxyStandin, listen: string | undefined) {
    super({ listen: listen ?? '127.0.0.1:0' });
    proxy.faults.register(this.app);
    this.app.get('/state', () => ({ openConnections: proxy.openConnections }));
    this.app.get('/journal', () => ({ connections: proxy.journal }));
  }
}

/** A TCP proxy that can delay, hold back, throttle, reset and refuse connections. */
export class ProxyStandin {
  readonly faults = new FaultTable(proxyFaults);

  readonly journal: ConnectionEntry[] = [];

  private readonly control: ProxyControl;

  private readonly listenAddress: { host: string; port: number };

  private readonly random: Random;

  private readonly sockets = new Set<Socket>();

  private readonly abortController = new AbortController();

  private server: Server | undefined;

  private connectionCount = 0;

  /** Number of the last connection that a blackhole with the scope `existing` holds back. */
  private lastHeldConnection = 0;

  private cutTask: Promise<void> = Promise.resolve();

  constructor(private readonly options: ProxyOptions) {
    this.listenAddress = parseAddress(options.listen ?? '127.0.0.1:0');
    this.random = createRandom(options.seed ?? 1);
    this.faults.setHandlers({
      cut: () => {
        this.cutTask = this.cutTask.then(() => this.cutUntilCleared());
      },
      blackhole: () => {
        this.lastHeldConnection = this.connectionCount;
      },
    });
    this.control = new ProxyControl(this, options.control);
  }

  /** Address that clients use, `host:port`. */
  get address(): string {
    return `${this.listenAddress.host}:${this.listenAddress.port}`;
  }

  get controlAddress(): string {
    return this.control.address;
  }

  /** Further fields of the ready line. */
  get extra(): { control: string } {
    return { control: this.controlAddress };
  }

  get openConnections(): number {
    return this.journal.filter((entry) => entry.closedAtMs === undefined).length;
  }

  async start(): Promise<this> {
    await this.listen();
    await this.control.start();
    return this;
  }

  async close(): Promise<void> {
    this.abortController.abort();
    await this.cutTask;
    await this.stopListening();
    await this.control.close();
  }

  private async listen(): Promise<void> {
    const server = createServer({ allowHalfOpen: true }, (client) => {
      this.forward(client).catch(() => resetSocket(client));
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.listenAddress.port, this.listenAddress.host, () => resolve());
    });
    this.listenAddress.port = (server.address() as AddressInfo).port;
    this.server = server;
  }

  private async stopListening(): Promise<void> {
    const server = this.server;
    this.server = undefined;
    const stopped = new Promise<void>((resolve) => {
      if (server) server.close(() => resolve());
      else resolve();
    });
    for (const socket of this.sockets) resetSocket(socket);
    await stopped;
  }

  private async cutUntilCleared(): Promise<void> {
    const { signal } = this.abortController;
    await this.stopListening();
    while (this.faults.get('cut') && !signal.aborted) {
      await systemClock.sleep(CUT_CHECK_MS, signal);
    }
    while (!signal.aborted && !this.server) {
      try {
        await this.listen();
      } catch {
        // Another process may briefly use the port as the local port of a connection.
        await systemClock.sleep(CUT_CHECK_MS, signal);
      }
    }
  }

  private async forward(client: Socket): Promise<void> {
    this.connectionCount += 1;
    const entry: ConnectionEntry = {
      number: this.connectionCount,
      openedAtMs: Date.now(),
      bytes: 0,
    };
    this.journal.push(entry);
    if (this.journal.length > MAX_JOURNAL_ENTRIES) this.removeClosedEntries();
    const abort = new AbortController();
    this.trackSocket(client, abort);
    client.on('close', () => {
      entry.closedAtMs = Date.now();
      if (client.errored || !client.readableEnded) abort.abort();
    });
    // A blackhole also holds back the connection itself: the target sees it only afterwards.
    while (this.isHeld(entry.number, 'toTarget') && !abort.signal.aborted) {
      await systemClock.sleep(HOLD_CHECK_MS, abort.signal);
    }
    if (abort.signal.aborted) return;
    const { host, port } = parseAddress(this.options.target);
    const target = createConnection({ host, port, allowHalfOpen: true });
    this.trackSocket(target, abort);
    const rules = this.createRules(entry, () => {
      resetSocket(client);
      resetSocket(target);
      abort.abort();
    });
    abort.signal.addEventListener('abort', () => {
      this.forwardReset(client, target, entry.number).catch(() => {});
    });
    await Promise.all([
      new ProxyPipe(client, target, 'toTarget', rules).run(abort.signal),
      new ProxyPipe(target, client, 'toClient', rules).run(abort.signal),
    ]);
  }

  private trackSocket(socket: Socket, abort: AbortController): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    // After a graceful close the pipes still forward the queued bytes; only a reset stops them.
    socket.on('error', () => abort.abort());
    socket.on('close', () => this.sockets.delete(socket));
  }

  /** Forwards the reset of one side to the other, after a blackhole in that direction ends. */
  private async forwardReset(client: Socket, target: Socket, number: number): Promise<void> {
    const { signal } = this.abortController;
    const isHeld = () => this.isHeld(number, client.destroyed ? 'toTarget' : 'toClient');
    const isOpen = () => !client.destroyed || !target.destroyed;
    while (isOpen() && isHeld() && !signal.aborted) await systemClock.sleep(HOLD_CHECK_MS, signal);
    for (const socket of [client, target]) {
      if (!socket.destroyed) resetSocket(socket);
    }
  }

  private createRules(entry: ConnectionEntry, reset: () => void): PipeRules {
    return {
      isHeld: (direction) => this.isHeld(entry.number, direction),
      getDelayMs: () => {
        const delay = this.faults.get('delay');
        return delay ? delay.delayMs + this.random.next() * delay.jitterMs : 0;
      },
      getBytesPerSecond: () => this.faults.get('throttle')?.bytesPerSecond,
      countBytes: (length) => {
        entry.bytes += length;
        const limit = this.faults.get('resetAfter');
        if (!limit || entry.bytes <= limit.bytes) return true;
        reset();
        return false;
      },
    };
  }

  private isHeld(number: number, direction: PipeDirection): boolean {
    const hole = this.faults.get('blackhole');
    if (!hole) return false;
    const isInScope = hole.scope === 'all' || number <= this.lastHeldConnection;
    return isInScope && (hole.direction === 'both' || hole.direction === direction);
  }

  private removeClosedEntries(): void {
    const open = this.journal.filter((entry) => entry.closedAtMs === undefined);
    this.journal.splice(0, this.journal.length, ...open);
  }
}
