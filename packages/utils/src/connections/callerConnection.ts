import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';

import type { Clock } from '../clock.js';
import { recordReadBytes } from './bufferCollection.js';
import type { BodyProgress } from './messageSlices.js';
import { measureBodySlice, measureHead, SLICE_BYTES } from './messageSlices.js';
import { RateMeter } from './rateMeter.js';
import type { ReceiveBudget, Receiver } from './receiveBudget.js';
import { READ_BYTES } from './receiveBudget.js';
import { connectionTurns } from './turnQueue.js';

/** Bytes that wait for the parser before no more is read; two reads of 64 KiB may exceed it. */
const MAX_PENDING_BYTES = 16 * 1024;
/** Copies of a long head that become garbage while its request is relayed. */
const LONG_HEAD_COPIES = 6;
/**
 * After a refusal the connection stays open for this long, so that the caller can read it: closing a
 * connection with unread bytes resets it.
 */
const LINGER_MS = 1000;
/** Bytes read and dropped in that time; some callers read only when they have sent everything. */
const MAX_LINGER_BYTES = 256 * 1024;

/** The last request that the parser found on a connection. */
interface CurrentMessage extends BodyProgress {
  incoming: IncomingMessage;
  outgoing: ServerResponse;
  /** Bytes that the parser has had of the body, with its framing. */
  passedBytes: number;
}

/**
 * Connection of a caller as an HTTP server sees it. It passes on one request at a time: the next one
 * when the response before it has been written. Bytes are passed on in slices, between which other
 * connections are served, and not while a body is held back.
 */
export class CallerConnection extends Duplex implements Receiver {
  private readonly rate: RateMeter;

  private pending: Buffer[] = [];

  private pendingBytes = 0;

  private current: CurrentMessage | undefined;

  private openResponses = 0;

  private canTakeBytes = false;

  private isHeld = false;

  private hasCallerEnded = false;

  private lingerTimer: NodeJS.Timeout | undefined;

  private lingerBytes = 0;

  /** Held bytes as the budget knows them. */
  private countedBytes = 0;

  /** Whether everything that the caller sends is dropped, and the next response is the last. */
  private isDropping = false;

  /** Monotonic time at which bytes were last read or written. */
  progressAtMs: number;

  private readonly passNext = () => this.passSlice();

  constructor(
    private readonly socket: Socket,
    private readonly clock: Clock,
    private readonly budget?: ReceiveBudget,
  ) {
    super();
    this.progressAtMs = clock.monotonicMs();
    this.rate = new RateMeter(this.progressAtMs);
    socket.on('end', () => this.receiveEnd());
    socket.on('error', (error) => this.destroy(error));
    socket.on('close', () => this.destroy());
    socket.on('timeout', () => this.emit('timeout'));
    if (budget) budget.add(this);
    else this.startReceiving();
  }

  get remoteAddress(): string | undefined {
    return this.socket.remoteAddress;
  }

  get remotePort(): number | undefined {
    return this.socket.remotePort;
  }

  /** Whether a request was received whole and its response is not complete. */
  get isServing(): boolean {
    const { current } = this;
    return (
      this.openResponses > 0 &&
      current?.incoming.complete === true &&
      !current.outgoing.writableEnded
    );
  }

  /** Whether it stays open only until the caller has read a refusal. */
  get isLingering(): boolean {
    return this.lingerTimer !== undefined;
  }

  /** Bytes read and written per second, measured over the last one to two seconds. */
  get bytesPerSecond(): number {
    return this.rate.getBytesPerSecond(this.clock.monotonicMs());
  }

  /** Bytes that were received and that the parser has not had; Node.js may read once in a pause. */
  get heldBytes(): number {
    const readBytes = this.socket.isPaused() ? READ_BYTES : this.socket.readableLength;
    return this.pendingBytes + readBytes;
  }

  /** Called by the budget. */
  startReceiving(): void {
    if (this.destroyed) return;
    this.socket.on('data', (chunk: Buffer) => this.receive(chunk));
    this.socket.resume();
  }

  /** Called by the budget: closes the connection, after the response to a request that is served. */
  dropHeldBytes(): void {
    if (!this.isServing) {
      this.destroy();
      return;
    }
    if (this.isDropping) return;
    this.isDropping = true;
    const { outgoing } = this.current!;
    if (!outgoing.headersSent) outgoing.setHeader('connection', 'close');
    outgoing.once('close', () => this.destroySoon());
    this.dropPending();
    this.socket.resume();
    this.recordHeldBytes();
  }

  /** Bytes that the parser has had of the body of the last request, with its framing. */
  get passedBodyBytes(): number {
    return this.current?.passedBytes ?? 0;
  }

  /** Counts a request that the parser has found; the next one waits for its response. */
  recordRequest(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const isChunked = incoming.headers['transfer-encoding'] !== undefined;
    const leftBytes = isChunked ? undefined : Number(incoming.headers['content-length'] ?? 0);
    this.current = { incoming, outgoing, leftBytes, passedBytes: 0, mayBeInTrailers: false };
    this.isHeld = false;
    this.openResponses += 1;
    outgoing.once('close', () => {
      this.openResponses -= 1;
      if (this.canPass) connectionTurns.add(this.passNext);
    });
  }

  /** Passes on no more of the body that the parser is in, and so reads no more, until `release`. */
  hold(): void {
    this.isHeld = true;
  }

  release(): void {
    this.isHeld = false;
    this.pass();
  }

  /** Closes the connection when everything is written; a caller that still sends gets time to read. */
  destroySoon(): void {
    if (this.writable) this.end();
    if (this.writableFinished) this.closeAfterWrites();
    else this.once('finish', () => this.closeAfterWrites());
  }

  setTimeout(timeoutMs: number, listener?: () => void): this {
    this.socket.setTimeout(timeoutMs);
    if (listener && timeoutMs > 0) this.once('timeout', listener);
    else if (listener) this.off('timeout', listener);
    return this;
  }

  setNoDelay(isEnabled?: boolean): this {
    this.socket.setNoDelay(isEnabled);
    return this;
  }

  setKeepAlive(isEnabled?: boolean, initialDelayMs?: number): this {
    this.socket.setKeepAlive(isEnabled, initialDelayMs);
    return this;
  }

  override _read(): void {
    this.canTakeBytes = true;
    // Not at once: bytes that are pushed during this call are parsed later.
    if (this.canPass) connectionTurns.add(this.passNext);
  }

  override _write(chunk: Buffer, encoding: BufferEncoding, done: (error?: Error | null) => void) {
    this.socket.write(chunk, encoding, (error) => this.finishWrite(chunk.length, done, error));
  }

  override _writev(
    chunks: { chunk: Buffer; encoding: BufferEncoding }[],
    done: (error?: Error | null) => void,
  ): void {
    const bytes = chunks.reduce((sum, { chunk }) => sum + chunk.length, 0);
    this.socket.cork();
    chunks.forEach(({ chunk, encoding }, index) => {
      const isLast = index === chunks.length - 1;
      if (!isLast) this.socket.write(chunk, encoding);
      else this.socket.write(chunk, encoding, (error) => this.finishWrite(bytes, done, error));
    });
    this.socket.uncork();
  }

  override _final(done: () => void): void {
    if (this.socket.destroyed) done();
    else this.socket.end(() => done());
  }

  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    clearTimeout(this.lingerTimer);
    connectionTurns.remove(this.passNext);
    this.dropPending();
    this.budget?.remove(this, this.countedBytes);
    this.socket.destroy();
    done(error);
  }

  /** Whether the parser may get bytes of a message that has begun, or of the next one. */
  private get isMessageDue(): boolean {
    if (this.current?.incoming.complete === false) return !this.isHeld;
    return this.openResponses === 0;
  }

  private get canPass(): boolean {
    return (
      this.pendingBytes > 0 &&
      this.canTakeBytes &&
      // A slice that the parser has not taken may begin the next message.
      this.readableLength === 0 &&
      !this.isLingering &&
      !this.destroyed &&
      this.isMessageDue
    );
  }

  /** Whether the parser is in a body in chunks, whose work per byte is up to the caller. */
  private get isInChunkedBody(): boolean {
    const { current } = this;
    return current?.incoming.complete === false && current.leftBytes === undefined;
  }

  private receive(chunk: Buffer): void {
    recordReadBytes(chunk.length);
    if (this.isLingering) {
      this.lingerBytes += chunk.length;
      if (this.lingerBytes > MAX_LINGER_BYTES) this.socket.pause();
      return;
    }
    this.recordProgress(chunk.length);
    if (this.isDropping) {
      this.recordHeldBytes();
      return;
    }
    this.pending.push(chunk);
    this.pendingBytes += chunk.length;
    this.pass();
    if (this.pendingBytes >= MAX_PENDING_BYTES) this.socket.pause();
    this.recordHeldBytes();
  }

  private recordHeldBytes(): void {
    if (this.destroyed) return;
    const change = this.heldBytes - this.countedBytes;
    this.countedBytes += change;
    this.budget?.record(this, change);
  }

  private receiveEnd(): void {
    this.hasCallerEnded = true;
    if (this.isPastLastSlice) this.passEnd();
  }

  /**
   * Whether nothing more of what the caller sent is passed on. A request that waits for an earlier
   * response, or for memory, cannot be answered once its caller has ended the connection.
   */
  private get isPastLastSlice(): boolean {
    return this.pendingBytes === 0 || !this.isMessageDue;
  }

  private passEnd(): void {
    this.dropPending();
    this.push(null);
  }

  /** Passes on one slice if it costs little, and the rest in turn with other connections. */
  private pass(): void {
    if (!this.canPass) return;
    if (this.isInChunkedBody || this.passSlice()) connectionTurns.add(this.passNext);
  }

  /** Passes on one slice; returns whether there is more that can be passed on. */
  private passSlice(): boolean {
    if (!this.canPass) return false;
    const slice = this.takeSlice();
    this.canTakeBytes = this.push(slice);
    if (this.destroyed) return false;
    if (this.pendingBytes < MAX_PENDING_BYTES && this.socket.isPaused()) this.socket.resume();
    this.recordHeldBytes();
    if (this.hasCallerEnded && this.isPastLastSlice) this.passEnd();
    return this.canPass;
  }

  /** Takes bytes of one message: up to its head's end, or a part of its body. */
  private takeSlice(): Buffer {
    const chunk = this.pending[0]!;
    const message = this.current?.incoming.complete === false ? this.current : undefined;
    const slice = chunk.subarray(
      0,
      message ? measureBodySlice(message, chunk) : measureHead(chunk),
    );
    if (message) message.passedBytes += slice.length;
    else if (slice.length === SLICE_BYTES) recordReadBytes(slice.length * LONG_HEAD_COPIES);
    if (slice.length < chunk.length) this.pending[0] = chunk.subarray(slice.length);
    else this.pending.shift();
    this.pendingBytes -= slice.length;
    return slice;
  }

  private closeAfterWrites(): void {
    const isWhole = this.current?.incoming.complete !== false && this.pendingBytes === 0;
    if (this.destroyed || this.isLingering) return;
    if (isWhole || this.hasCallerEnded) {
      this.destroy();
      return;
    }
    this.dropPending();
    this.lingerTimer = setTimeout(() => this.destroy(), LINGER_MS);
    this.socket.on('end', () => this.destroy());
    this.socket.resume();
  }

  private dropPending(): void {
    this.pending = [];
    this.pendingBytes = 0;
  }

  private finishWrite(
    bytes: number,
    done: (error?: Error | null) => void,
    error: Error | null | undefined,
  ): void {
    if (!error) this.recordProgress(bytes);
    done(error);
  }

  private recordProgress(bytes: number): void {
    this.progressAtMs = this.clock.monotonicMs();
    this.rate.record(bytes, this.progressAtMs);
  }
}
