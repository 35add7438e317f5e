import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Clock } from '../clock.js';
import { systemClock } from '../clock.js';
import { CallerConnection } from './callerConnection.js';
import type { ReceiveBudget } from './receiveBudget.js';

/** What decides which connection is closed for a new one. */
export interface ConnectionState {
  /** Whether a request was received whole and its response is not complete. */
  readonly isServing: boolean;
  /** Whether it stays open only until the caller has read a refusal. */
  readonly isLingering: boolean;
  readonly bytesPerSecond: number;
  /** Monotonic time at which bytes were last read or written. */
  readonly progressAtMs: number;
}

/**
 * Chooses the connection that is closed for a new one: one that was refused, else the one with the
 * fewest bytes per second, and among idle ones the longest idle. One whose request is being served is
 * never chosen. Load: more connections than the process has descriptors for.
 */
export function chooseConnectionToClose<T extends ConnectionState>(
  connections: Iterable<T>,
): T | undefined {
  let chosen: T | undefined;
  let chosenRate = Infinity;
  for (const connection of connections) {
    if (connection.isServing) continue;
    const rate = connection.isLingering ? -1 : connection.bytesPerSecond;
    const isSlower =
      rate < chosenRate ||
      (rate === chosenRate && connection.progressAtMs < (chosen?.progressAtMs ?? Infinity));
    if (!isSlower) continue;
    chosen = connection;
    chosenRate = rate;
  }
  return chosen;
}

/** Options of `guardConnections`. */
export interface ConnectionGuardOptions {
  /** Default: no limit. */
  maxConnections?: number;
  /** Memory for what connections have received; servers may share it. Default: no limit. */
  receiveBudget?: ReceiveBudget;
  clock?: Clock;
}

/** The connections of an HTTP server, with a bound on their number and on what each may send. */
export class ConnectionGuard {
  readonly connections = new Set<CallerConnection>();

  /** Connections that were closed for others, or not accepted, since the start. */
  closedCount = 0;

  private readonly listeners: ((socket: Socket) => void)[] = [];

  private readonly clock: Clock;

  private readonly maxConnections: number;

  constructor(private readonly options: ConnectionGuardOptions) {
    this.clock = options.clock ?? systemClock;
    this.maxConnections = options.maxConnections ?? Infinity;
  }

  /** Calls `listener` with each connection, as the HTTP server sees it. */
  onConnection(listener: (socket: Socket) => void): void {
    this.listeners.push(listener);
  }

  /** Admits a connection, or closes it because all others are being served. */
  admit(socket: Socket): void {
    if (this.connections.size >= this.maxConnections && !this.closeOne()) {
      socket.destroy();
      return;
    }
    const connection = new CallerConnection(socket, this.clock, this.options.receiveBudget);
    this.connections.add(connection);
    connection.once('close', () => this.connections.delete(connection));
    // The HTTP server needs no more of a socket than this class has.
    for (const listener of this.listeners) listener(connection as unknown as Socket);
  }

  /** Closes a connection for a new one; returns false if none can be closed. */
  private closeOne(): boolean {
    this.closedCount += 1;
    const closed = chooseConnectionToClose(this.connections);
    if (!closed) return false;
    this.connections.delete(closed);
    closed.destroy();
    return true;
  }
}

/** Returns the guarded connection of a request; undefined if its server is not guarded. */
export function findConnection(incoming: IncomingMessage): CallerConnection | undefined {
  const socket: unknown = incoming.socket;
  return socket instanceof CallerConnection ? socket : undefined;
}

/** Answers a request without reading its body, and closes the connection if it has one. */
export function ignoreBody(incoming: IncomingMessage, outgoing: ServerResponse): void {
  const { headers } = incoming;
  const hasBody =
    headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
  if (hasBody) {
    outgoing.setHeader('connection', 'close');
    refuseBody(incoming);
  } else incoming.resume();
}

/** Reads no more of a request's body; what the parser has had of it is dropped. */
export function refuseBody(incoming: IncomingMessage): void {
  findConnection(incoming)?.hold();
  incoming.resume();
}

/** Option of `net.Server`: a socket is not read before the receive budget has room for it. */
const SOCKET_OPTIONS = { pauseOnConnect: true };

/**
 * Bounds what callers may send to an HTTP server. Listeners for `connection` that exist get the guarded
 * connections; further ones are added to the guard.
 */
export function guardConnections(
  server: Server,
  options: ConnectionGuardOptions = {},
): ConnectionGuard {
  const guard = new ConnectionGuard(options);
  // By default Node.js drops all header lines after the first 1000, of which one may say how the body
  // is framed. The size of a head bounds the number of its lines.
  server.maxHeadersCount = 0;
  Object.assign(server, SOCKET_OPTIONS);
  const listeners = server.listeners('connection') as ((socket: Socket) => void)[];
  server.removeAllListeners('connection');
  for (const listener of listeners) guard.onConnection((socket) => listener.call(server, socket));
  server.on('connection', (socket: Socket) => guard.admit(socket));
  const record = (incoming: IncomingMessage, outgoing: ServerResponse) =>
    findConnection(incoming)?.recordRequest(incoming, outgoing);
  server.prependListener('request', record);
  // Requests with an unknown `Expect` header are not reported as requests.
  server.prependListener(
    'checkExpectation',
    (incoming: IncomingMessage, outgoing: ServerResponse) => {
      record(incoming, outgoing);
      if (server.listenerCount('checkExpectation') > 1) return;
      outgoing.writeHead(417);
      outgoing.end();
    },
  );
  return guard;
}
