import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { ConnectionGuard, ConnectionGuardOptions } from '@cactusstair/utils';
import { guardConnections } from '@cactusstair/utils';

import type { CallerLimits } from './config/relayConfig.js';
import type { SocketAddress } from './relayOptions.js';

/** HTTP server for callers that tracks open requests per connection for a graceful shutdown. */
export class CallerServer {
  private readonly server: Server;

  private readonly openRequests = new Map<Socket, number>();

  private readonly guard: ConnectionGuard;

  private isClosing = false;

  constructor(
    options: ConnectionGuardOptions,
    handle: (incoming: IncomingMessage, outgoing: ServerResponse) => void,
  ) {
    this.server = createServer(
      {
        // `RequestHandler` checks the configured limit; this one only bounds memory.
        maxHeaderSize: MAX_HEADER_BYTES,
        requestTimeout: 0,
        noDelay: true,
      },
      (incoming, outgoing) => {
        const { socket } = incoming;
        this.openRequests.set(socket, (this.openRequests.get(socket) ?? 0) + 1);
        outgoing.once('close', () => this.finishRequest(socket));
        handle(incoming, outgoing);
      },
    );
    this.guard = guardConnections(this.server, options);
    this.guard.onConnection((socket) => {
      this.openRequests.set(socket, 0);
      socket.once('close', () => this.openRequests.delete(socket));
    });
  }

  /** Number of requests that were read and not yet answered. */
  get openCount(): number {
    let count = 0;
    for (const open of this.openRequests.values()) count += open;
    return count;
  }

  get connectionCount(): number {
    return this.openRequests.size;
  }

  /** Connections that were closed for others, or not accepted, since the start. */
  get closedCount(): number {
    return this.guard.closedCount;
  }

  applyLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  listen(address: SocketAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host: address.host, port: address.port, backlog: 1024 }, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /**
   * Refuses new connections and closes each open one when it has no unanswered request. A request
   * that arrives during the close is not read, so its caller may safely send it again.
   */
  startClosing(): void {
    if (this.isClosing) return;
    this.isClosing = true;
    this.server.close();
    for (const [socket, open] of this.openRequests) {
      if (open === 0) socket.destroySoon();
    }
  }

  /** Stops listening and closes all connections immediately. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      for (const socket of this.openRequests.keys()) socket.destroy();
      if (this.isClosing) resolve();
      else this.server.close(() => resolve());
    });
  }

  private finishRequest(socket: Socket): void {
    const open = this.openRequests.get(socket);
    if (open === undefined) return;
    this.openRequests.set(socket, open - 1);
    if (this.isClosing && open === 1) socket.destroySoon();
  }
}

const MAX_HEADER_BYTES = 64 * 1024;
