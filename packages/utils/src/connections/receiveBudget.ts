import type { Clock } from '../clock.js';

/** Bytes that one read of a socket may bring: Node.js allocates as much for each. */
export const READ_BYTES = 64 * 1024;
/** A new connection that has sent nothing for this long counts as idle, and holds no memory. */
const FIRST_READ_MS = 100;
/** New connections wait this long before connections that hold memory are closed for them. */
const MAX_WAIT_MS = 300;
const CHECK_INTERVAL_MS = 100;

/** A connection whose received bytes take memory until they are parsed. */
export interface Receiver {
  /** Bytes that were received and not yet parsed. */
  readonly heldBytes: number;
  /** Bytes read and written per second. */
  readonly bytesPerSecond: number;
  /** Begins to read; not called before there is memory. */
  startReceiving(): void;
  /** Gives up the held bytes: closes the connection, after the response that is being made. */
  dropHeldBytes(): void;
}

/**
 * Orders the connections that hold bytes by who gives them up first: the one that holds most, and of
 * those that hold as much the slowest. A caller that sends one ordinary request holds little of it for
 * a moment. Load: callers that send faster than they are served, on many connections.
 */
export function listByHeldBytes<T extends Receiver>(receivers: Iterable<T>): T[] {
  return [...receivers].sort(
    (a, b) => b.heldBytes - a.heldBytes || a.bytesPerSecond - b.bytesPerSecond,
  );
}

/** Options of `ReceiveBudget`. */
export interface ReceiveBudgetOptions {
  clock: Clock;
  /** Memory for bytes that were received and not yet parsed, in bytes. */
  maxBytes: number;
}

/**
 * Memory for the bytes that callers have sent and that are not parsed yet, of all connections together.
 * New connections are read in order while there is memory. Connections that are open already may exceed
 * it for a moment; those that hold most are closed then.
 */
export class ReceiveBudget {
  private readonly holders = new Set<Receiver>();

  /** Connections that were not read yet, with the monotonic time since which they wait. */
  private readonly waiting = new Map<Receiver, number>();

  /** Connections whose first read is awaited, with the monotonic time since when. */
  private readonly opening = new Map<Receiver, number>();

  private totalBytes = 0;

  private timer: NodeJS.Timeout | undefined;

  /** Connections that gave up their bytes since the start. */
  droppedCount = 0;

  constructor(private readonly options: ReceiveBudgetOptions) {}

  /** Bytes that are held by all connections. */
  get heldBytes(): number {
    return this.totalBytes;
  }

  /** Number of connections that wait for their first read. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Adds a connection; it is read when there is memory, possibly at once. */
  add(receiver: Receiver): void {
    this.waiting.set(receiver, this.nowMs);
    this.startWaiting();
    if (this.waiting.size > 0) this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  /** Counts that a connection holds `change` bytes more, or fewer if it is negative. */
  record(receiver: Receiver, change: number): void {
    if (change === 0) return;
    this.opening.delete(receiver);
    this.totalBytes += change;
    if (receiver.heldBytes > 0) this.holders.add(receiver);
    else this.holders.delete(receiver);
    if (change > 0) this.dropExcess();
    else this.startWaiting();
  }

  /** Removes a connection that was closed, and the bytes that it still held. */
  remove(receiver: Receiver, heldBytes: number): void {
    this.waiting.delete(receiver);
    this.opening.delete(receiver);
    this.holders.delete(receiver);
    this.totalBytes -= heldBytes;
    this.startWaiting();
  }

  /** Makes room for connections that have waited long; called by a timer. */
  check(): void {
    const { nowMs } = this;
    this.startWaiting();
    const [sinceMs] = this.waiting.values();
    if (sinceMs === undefined) {
      clearInterval(this.timer);
      this.timer = undefined;
      return;
    }
    if (nowMs - sinceMs < MAX_WAIT_MS) return;
    const wantedBytes = Math.min(this.waiting.size * READ_BYTES, this.options.maxBytes / 2);
    this.dropTo(this.options.maxBytes - wantedBytes);
    this.startWaiting();
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private get hasRoom(): boolean {
    const openingBytes = this.opening.size * READ_BYTES;
    return this.totalBytes + openingBytes + READ_BYTES <= this.options.maxBytes;
  }

  private startWaiting(): void {
    const { nowMs } = this;
    for (const [receiver, sinceMs] of this.opening) {
      if (nowMs - sinceMs < FIRST_READ_MS) break;
      this.opening.delete(receiver);
    }
    for (const [receiver] of this.waiting) {
      if (!this.hasRoom) return;
      this.waiting.delete(receiver);
      this.opening.set(receiver, nowMs);
      receiver.startReceiving();
    }
  }

  /** Bounds what connections that were idle send all at once. */
  private dropExcess(): void {
    const { maxBytes } = this.options;
    if (this.totalBytes > 2 * maxBytes) this.dropTo(maxBytes);
  }

  private dropTo(maxBytes: number): void {
    if (this.totalBytes <= maxBytes) return;
    for (const receiver of listByHeldBytes(this.holders)) {
      if (this.totalBytes <= maxBytes) return;
      this.droppedCount += 1;
      receiver.dropHeldBytes();
    }
  }
}
