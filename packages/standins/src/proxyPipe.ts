import type { Socket } from 'node:net';

import { systemClock } from '@cactusstair/utils';

/** Direction of bytes through the proxy. */
export type PipeDirection = 'toTarget' | 'toClient';

/** Rules that a pipe applies to the bytes that it forwards. */
export interface PipeRules {
  isHeld(direction: PipeDirection): boolean;
  getDelayMs(): number;
  /** Returns the bandwidth limit, or undefined without one. */
  getBytesPerSecond(): number | undefined;
  /** Counts bytes before they are forwarded; returns false if the connection was reset instead. */
  countBytes(length: number): boolean;
}

const HOLD_CHECK_MS = 10;
const QUEUE_LIMIT_BYTES = 256 * 1024;
const THROTTLE_CHUNK_BYTES = 4096;

interface QueuedChunk {
  bytes: Buffer;
  dueAtMs: number;
}

/**
 * One direction of one proxied connection. Bytes that a blackhole holds back stay queued, and the
 * source is paused when the queue is full. Both ends see it as packet loss, and no bytes are
 * missing when it ends.
 */
export class ProxyPipe {
  private readonly queue: QueuedChunk[] = [];

  private queuedBytes = 0;

  private ended = false;

  private wake: () => void = () => {};

  private wakeDrained: () => void = () => {};

  constructor(
    private readonly source: Socket,
    private readonly sink: Socket,
    private readonly direction: PipeDirection,
    private readonly rules: PipeRules,
  ) {}

  /** Forwards bytes until the source ends or `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.source.on('data', (bytes: Buffer) => {
      this.queue.push({ bytes, dueAtMs: performance.now() + this.rules.getDelayMs() });
      this.queuedBytes += bytes.length;
      if (this.queuedBytes > QUEUE_LIMIT_BYTES) this.source.pause();
      this.wake();
    });
    this.source.on('end', () => {
      this.ended = true;
      this.wake();
    });
    this.sink.on('drain', () => this.wakeDrained());
    signal.addEventListener('abort', () => {
      this.wake();
      this.wakeDrained();
    });
    while (!signal.aborted) {
      const chunk = this.queue.shift();
      if (chunk) await this.pass(chunk, signal);
      else if (this.ended) break;
      else await this.waitForChunk();
    }
    await this.waitWhileHeld(signal);
    if (!signal.aborted) this.sink.end();
  }

  private waitForChunk(): Promise<void> {
    return new Promise((resolve) => {
      this.wake = resolve;
    });
  }

  private async waitWhileHeld(signal: AbortSignal): Promise<void> {
    while (this.rules.isHeld(this.direction) && !signal.aborted) {
      await systemClock.sleep(HOLD_CHECK_MS, signal);
    }
  }

  private async pass(chunk: QueuedChunk, signal: AbortSignal): Promise<void> {
    const waitMs = chunk.dueAtMs - performance.now();
    if (waitMs > 0) await systemClock.sleep(waitMs, signal);
    const rate = this.rules.getBytesPerSecond();
    const step = rate === undefined ? chunk.bytes.length : THROTTLE_CHUNK_BYTES;
    for (let start = 0; start < chunk.bytes.length; start += step) {
      await this.waitWhileHeld(signal);
      const part = chunk.bytes.subarray(start, start + step);
      if (signal.aborted || !this.rules.countBytes(part.length)) return;
      if (!this.sink.write(part)) await this.waitForDrain();
      if (rate !== undefined) await systemClock.sleep((part.length / rate) * 1000, signal);
    }
    this.queuedBytes -= chunk.bytes.length;
    if (this.queuedBytes <= QUEUE_LIMIT_BYTES) this.source.resume();
  }

  private waitForDrain(): Promise<void> {
    return new Promise((resolve) => {
      this.wakeDrained = resolve;
    });
  }
}
