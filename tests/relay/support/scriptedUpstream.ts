import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import { resetSocket } from '@cactusstair/standins';

/** One request as the upstream received it. */
export interface ReceivedRequest {
  method: string;
  path: string;
  headers: Record<string, string>;
  body: string;
}

/** Answers a request by writing to its connection. */
export type Script = (socket: Socket, request: ReceivedRequest) => void;

/** An upstream whose answers are raw bytes written by a test's script. */
export class ScriptedUpstream {
  readonly received: ReceivedRequest[] = [];

  readonly closed: ReceivedRequest[] = [];

  private readonly sockets = new Set<Socket>();

  private restartPort = 0;

  private isClosed = false;

  private constructor(
    private readonly server: Server,
    public script: Script,
  ) {}

  static async open(script: Script): Promise<ScriptedUpstream> {
    const server = createServer();
    const upstream = new ScriptedUpstream(server, script);
    server.on('connection', (socket) => upstream.handle(socket));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return upstream;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Resets all connections and refuses new ones until `restart`, like a process that crashed. */
  crash(): void {
    this.restartPort = this.port;
    this.server.close();
    for (const socket of this.sockets) resetSocket(socket);
  }

  /** Listens again at the address at which the upstream crashed. */
  async restart(): Promise<void> {
    if (this.isClosed) return;
    await new Promise<void>((resolve) => {
      this.server.listen(this.restartPort, '127.0.0.1', resolve);
    });
    // A server that is closed while it starts to listen would keep the test process alive.
    if (this.isClosed) this.server.close();
  }

  async close(): Promise<void> {
    this.isClosed = true;
    for (const socket of this.sockets) socket.destroy();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  private handle(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => {});
    let text = '';
    let request: ReceivedRequest | undefined;
    socket.on('close', () => {
      this.sockets.delete(socket);
      if (request) this.closed.push(request);
    });
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      const parsed = request ? undefined : parseRequest(text);
      if (!parsed) return;
      request = parsed;
      this.received.push(parsed);
      this.script(socket, parsed);
    });
  }
}

function parseRequest(text: string): ReceivedRequest | undefined {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const [line = '', ...lines] = text.slice(0, headEnd).split('\r\n');
  const [method = '', path = ''] = line.split(' ');
  const headers = Object.fromEntries(
    lines.map((header) => {
      const at = header.indexOf(':');
      return [header.slice(0, at).toLowerCase(), header.slice(at + 1).trim()];
    }),
  );
  const body = text.slice(headEnd + 4);
  if (body.length < Number(headers['content-length'] ?? 0)) return undefined;
  return { method, path, headers, body };
}

/** Formats a signed answer that echoes the request id. */
export function formatAnswer(
  request: ReceivedRequest,
  status: number,
  body: string,
  headers: Record<string, string> = {},
): string {
  const all = {
    'X-Attempt-Id': request.headers['x-attempt-id'] ?? '',
    'X-Response-Seal': 'seal',
    'Content-Length': String(body.length),
    ...headers,
  };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} Answer\r\n${lines.join('')}\r\n${body}`;
}

/** Formats the head of an answer that ends with its connection. */
export function formatUnframedHead(request: ReceivedRequest, status = 200): string {
  return formatAnswer(request, status, '').replace('Content-Length: 0\r\n', '');
}

/** Formats the head of a stream with chunked encoding. */
export function formatStreamHead(
  request: ReceivedRequest,
  headers: Record<string, string> = {},
): string {
  const all = {
    'X-Attempt-Id': request.headers['x-attempt-id'] ?? '',
    'X-Response-Seal': 'seal',
    'Content-Type': 'text/event-stream',
    'Transfer-Encoding': 'chunked',
    ...headers,
  };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`;
}

export function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Formats events with ids from `first` to `last`. */
export function formatEvents(first: number, last: number): string {
  let text = '';
  for (let id = first; id <= last; id += 1) text += `id: ${id}\ndata: piece ${id}\n\n`;
  return text;
}

export const LAST_CHUNK = '0\r\n\r\n';

/** Formats a whole stream of the events after the request's `Last-Event-ID`, up to `last`. */
export function formatRest(
  request: ReceivedRequest,
  last: number,
  headers: Record<string, string> = {},
): string {
  const first = Number(request.headers['last-event-id'] ?? '0') + 1;
  return formatStreamHead(request, headers) + formatChunk(formatEvents(first, last)) + LAST_CHUNK;
}

/** Streams the events after the request's `Last-Event-ID`, up to `last`. */
export function streamRest(last: number): Script {
  return (socket, request) => socket.end(formatRest(request, last));
}
