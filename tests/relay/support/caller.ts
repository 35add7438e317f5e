import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { request } from 'node:http';

import { API_KEY, HOST } from './relayFixture.js';

/** An answer as the caller received it; `isWhole` is false when it was truncated. */
export interface CallerAnswer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  isWhole: boolean;
}

/** Options of `sendRequest`. */
export interface CallerRequest {
  path?: string;
  method?: string;
  body?: string;
  headers?: Record<string, string>;
  /** Aborts the request. */
  signal?: AbortSignal;
}

let nextId = 1;

/** Sends one request on a new connection. */
export function sendRequest(port: number, options: CallerRequest = {}): Promise<CallerAnswer> {
  nextId += 1;
  return new Promise((resolve, reject) => {
    const outgoing = request({
      agent: false,
      host: '127.0.0.1',
      port,
      method: options.method ?? 'POST',
      path: options.path ?? '/app/item',
      headers: {
        host: HOST,
        'x-attempt-id': `attempt-${nextId}`,
        'api-key': API_KEY,
        'x-deadline-ms': '4000',
        ...options.headers,
      },
      ...(options.signal ? { signal: options.signal } : {}),
    });
    outgoing.on('error', reject);
    outgoing.on('response', (answer) => {
      const chunks: Buffer[] = [];
      const finish = () =>
        resolve({
          status: answer.statusCode ?? 0,
          headers: answer.headers,
          body: Buffer.concat(chunks).toString(),
          isWhole: answer.complete,
        });
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('error', finish);
      answer.on('close', finish);
    });
    outgoing.end(options.body);
  });
}

/** Options of `sendWithoutReading`. */
export interface IdleRequest {
  path: string;
  id: string;
  deadlineMs: number;
}

/** Sends a request on a new connection and reads nothing of its answer. */
export function sendWithoutReading(port: number, { path, id, deadlineMs }: IdleRequest): Socket {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => {});
  const lines = [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Attempt-Id: ${id}`,
    `Api-Key: ${API_KEY}`,
    `X-Deadline-Ms: ${deadlineMs}`,
    'Content-Length: 0',
  ];
  // Without a listener for data, nothing is read once the socket's own buffer is full.
  socket.write(`${lines.join('\r\n')}\r\n\r\n`);
  return socket;
}

/** Sends raw bytes and returns what is received until the connection closes or is idle for 1 s. */
export function sendBytes(port: number, bytes: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, '127.0.0.1', () => socket.write(bytes));
    let text = '';
    socket.setTimeout(1000, () => socket.destroy());
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('error', reject);
    socket.on('close', () => resolve(text));
  });
}
