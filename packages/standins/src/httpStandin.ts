import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { systemClock } from '@cactusstair/utils';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { fastify } from 'fastify';

import { parseAddress } from './address.js';
import { resetSocket } from './resetSocket.js';

/** Options that every HTTP stand-in takes. */
export interface HttpStandinOptions {
  /** Address to listen on, `host:port`; port 0 takes a free port. Default `127.0.0.1:0`. */
  listen?: string;
  /** Seed of all random choices. Default 1. */
  seed?: number;
  /** How long `close` waits for running requests to complete, in milliseconds. Default 2,000. */
  closeGraceMs?: number;
}

const BODY_LIMIT_BYTES = 8_000_000;
const DEFAULT_CLOSE_GRACE_MS = 2000;
const LISTEN_RETRY_MS = 50;
// Longer than the idle time of any client pool, so that only injected faults close connections.
const KEEP_ALIVE_TIMEOUT_MS = 600_000;
// These paths control the stand-in; faults that affect requests do not apply to them.
const CONTROL_PATHS = new Set(['/fault', '/journal', '/v1/calls', '/v1/history']);

/** Whether the request controls the stand-in, as opposed to a request of the system under test. */
export function isControlRequest(request: FastifyRequest): boolean {
  return CONTROL_PATHS.has(request.url.split('?')[0] ?? '');
}

/** Drops the connection of a request with a TCP reset and without an answer. */
export function resetConnection(reply: FastifyReply): void {
  reply.hijack();
  if (reply.raw.socket) resetSocket(reply.raw.socket);
}

/**
 * An HTTP server that can reset its connections, stop listening and restart on the same port.
 * Subclasses add their routes to `app` in the constructor.
 */
export abstract class HttpStandin {
  protected readonly app: FastifyInstance;

  private handler: RequestListener = () => {};

  private server: Server | undefined;

  private readonly sockets = new Set<Socket>();

  private readonly silentSockets = new WeakSet<Socket>();

  private readonly listenAddress: { host: string; port: number };

  private readonly closeGraceMs: number;

  private closed = false;

  protected constructor(options: HttpStandinOptions, bodyLimitBytes = BODY_LIMIT_BYTES) {
    this.listenAddress = parseAddress(options.listen ?? '127.0.0.1:0');
    this.closeGraceMs = options.closeGraceMs ?? DEFAULT_CLOSE_GRACE_MS;
    this.app = fastify({
      bodyLimit: bodyLimitBytes,
      // The stand-in creates a server at each start and restart; this one never listens.
      serverFactory: (handler) => {
        this.handler = handler;
        return createServer();
      },
    });
    // Some clients send a content type without a body, for example with DELETE.
    this.app.addContentTypeParser(
      'application/json',
      { parseAs: 'string' },
      (_request, body, done) => {
        try {
          done(null, body === '' ? undefined : JSON.parse(String(body)));
        } catch (error) {
          done(Object.assign(error as Error, { statusCode: 400 }));
        }
      },
    );
    this.app.addHook('onRequest', async (request, reply) => {
      // If clients kept this connection open, later control requests could use a connection that
      // the fault `silence` has stopped.
      if (isControlRequest(request)) reply.header('connection', 'close');
    });
  }

  /** Address in use, `host:port`. */
  get address(): string {
    return `${this.listenAddress.host}:${this.listenAddress.port}`;
  }

  /** Base URL in use. */
  get url(): string {
    return `http://${this.address}`;
  }

  /** Starts listening. */
  async start(): Promise<this> {
    await this.app.ready();
    await this.listen();
    return this;
  }

  /** Stops listening, waits up to `closeGraceMs` for running requests and drops the rest. */
  async close(): Promise<void> {
    if (this.closed) return;
    this.closed = true;
    await this.beforeClose();
    const server = this.server;
    if (server?.listening) {
      const drained = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      server.closeIdleConnections();
      const timer = setTimeout(() => this.resetConnections(), this.closeGraceMs);
      await drained;
      clearTimeout(timer);
    }
    this.resetConnections();
    await this.app.close();
  }

  /** Ends responses that would keep their connections open forever, for example watches. */
  protected beforeClose(): Promise<void> | void {}

  /** Resets every connection, refuses new ones for `downMs` and then listens again. */
  protected async crash(downMs: number, restore: () => void): Promise<void> {
    const server = this.server;
    this.server = undefined;
    const stopped = new Promise<void>((resolve) => {
      if (server?.listening) server.close(() => resolve());
      else resolve();
    });
    this.resetConnections();
    await stopped;
    restore();
    await systemClock.sleep(downMs);
    while (!this.closed) {
      try {
        await this.listen();
        return;
      } catch {
        // Another process may briefly use the port as the local port of a connection.
        await systemClock.sleep(LISTEN_RETRY_MS);
      }
    }
  }

  /** Stops all traffic on open connections without closing them; new connections work. */
  protected silenceConnections(): void {
    for (const socket of this.sockets) this.silence(socket);
  }

  protected resetConnections(): void {
    for (const socket of this.sockets) resetSocket(socket);
  }

  private async listen(): Promise<void> {
    const server = createServer((request, response) => this.dispatch(request, response));
    server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    server.requestTimeout = 0;
    server.headersTimeout = 0;
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => {});
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.listenAddress.port, this.listenAddress.host, () => resolve());
    });
    this.server = server;
    this.listenAddress.port = (server.address() as AddressInfo).port;
  }

  private dispatch(request: IncomingMessage, response: ServerResponse): void {
    if (this.silentSockets.has(request.socket)) return;
    this.handler(request, response);
  }

  private silence(socket: Socket): void {
    this.silentSockets.add(socket);
    socket.setTimeout(0);
    const discard = (...parameters: unknown[]) => {
      const callback = parameters.at(-1);
      if (typeof callback === 'function') callback();
      return true;
    };
    // Discards all output: the peer keeps an established connection without incoming data.
    Object.assign(socket, { write: discard, end: () => socket, destroySoon: () => {} });
  }
}
