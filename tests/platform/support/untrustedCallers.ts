import { readdirSync, readFileSync } from 'node:fs';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const SAMPLE_INTERVAL_MS = 50;
const STATUS_LINE = 'HTTP/1.1 ';
/** Default of `holdMs`. */
const HOLD_MS = 1000;

/** Largest use of memory and descriptors by a process, sampled while it is watched. */
export class ProcessWatch {
  private readonly timer: NodeJS.Timeout;

  private memoryMb = 0;

  private descriptors = 0;

  constructor(private readonly pid: number) {
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
  }

  /** Stops sampling and returns the largest values; the memory counts from the process's start. */
  stop(): { memoryMb: number; descriptors: number } {
    this.sample();
    clearInterval(this.timer);
    const { memoryMb, descriptors } = this;
    return { memoryMb, descriptors };
  }

  private sample(): void {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
      const match = /VmHWM:\s+(\d+) kB/.exec(status);
      this.memoryMb = Math.max(this.memoryMb, Number(match?.[1] ?? 0) / 1024);
      const count = readdirSync(`/proc/${this.pid}/fd`).length;
      this.descriptors = Math.max(this.descriptors, count);
    } catch {
      // The process has ended.
    }
  }
}

/** What the callers of a crowd send on each connection. */
export interface CrowdOptions {
  port: number;
  connections: number;
  head: string;
  /** Bytes that are sent again and again after the head. */
  block: Buffer;
  /** Returns the bytes that are sent in place of `block`, which are as long. */
  createBlock?: (connection: number, index: number) => Buffer;
  /** Bytes sent after the head in all, a multiple of the block's length. */
  totalBytes: number;
  /** Whether responses are read; otherwise they stay unread until the connection ends. */
  readsResponses: boolean;
  /** Number of responses to wait for on each connection; default: none. */
  responses?: number;
  /** Time for which connections stay open when everything is sent; default: 1000. */
  holdMs?: number;
}

/**
 * Opens connections that send what `options` say as fast as they are read, and stay open. Resolves
 * a while after each has sent everything or has ended, or after `timeoutMs`.
 */
export async function openCrowd(options: CrowdOptions, timeoutMs: number): Promise<Socket[]> {
  const sockets: Socket[] = [];
  const sent: Promise<void>[] = [];
  for (let index = 0; index < options.connections; index += 1) {
    const socket = connect(options.port, '127.0.0.1');
    sockets.push(socket);
    sent.push(sendAll(socket, index, options));
  }
  const timeout = new AbortController();
  await Promise.race([
    Promise.all(sent),
    sleep(timeoutMs, undefined, { signal: timeout.signal }).catch(() => undefined),
  ]);
  timeout.abort();
  await sleep(options.holdMs ?? HOLD_MS);
  return sockets;
}

/** Ends the connections of a crowd. */
export function closeCrowd(sockets: readonly Socket[]): void {
  for (const socket of sockets) socket.destroy();
}

/** Calls `onAll` when `count` responses, of which none has a body with a status line, have begun. */
function countResponses(socket: Socket, count: number, onAll: () => void): void {
  let left = count;
  let tail = '';
  socket.on('data', (chunk: Buffer) => {
    const text = tail + chunk.toString('latin1');
    left -= text.split(STATUS_LINE).length - 1;
    tail = text.slice(1 - STATUS_LINE.length);
    if (left <= 0) onAll();
  });
}

function sendAll(socket: Socket, connection: number, options: CrowdOptions): Promise<void> {
  const { block, createBlock = () => block, totalBytes } = options;
  return new Promise((resolve) => {
    let left = totalBytes;
    const send = () => {
      while (left > 0) {
        if (socket.destroyed) return;
        const index = (totalBytes - left) / block.length;
        left -= block.length;
        if (!socket.write(createBlock(connection, index))) {
          socket.once('drain', send);
          return;
        }
      }
      if (options.responses === undefined) socket.write('', () => resolve());
    };
    socket.on('error', () => {});
    socket.on('close', () => resolve());
    // Without a listener for data, nothing is read once the socket's own buffer is full.
    if (options.readsResponses) socket.resume();
    if (options.responses !== undefined) countResponses(socket, options.responses, resolve);
    socket.once('connect', () => {
      socket.write(options.head);
      send();
    });
  });
}
