import type { IncomingMessage } from 'node:http';

import { ByteCollector, findConnection, refuseBody } from '@cactusstair/utils';

import type { BodyBudget, BodyLease, BodyRefusal } from './bodyBudget.js';

/** Bytes of framing that any body in chunks may have: 4096 chunks of the smallest kind. */
const FREE_FRAMING_BYTES = 24 * 1024;
/** Framing of a larger body per byte of it; chunks of 60 bytes are within it. */
const MAX_FRAMING_SHARE = 0.1;

/** How the reading of a request's body ended. */
export type BodyResult =
  | { type: 'whole'; body: Buffer }
  /** The connection ended before. */
  | { type: 'cut' }
  | { type: 'too_long' }
  | { type: 'chunks_too_small' }
  /** The memory for bodies is needed elsewhere. */
  | { type: BodyRefusal };

/** Options of `readBody`. */
export interface ReadBodyOptions {
  maxBytes: number;
  /** Memory for bodies. */
  budget: BodyBudget;
  /** Workspace or address that sends the body. */
  owner: string;
  /** Time that the caller waits, in milliseconds. */
  maxWaitMs: number;
}

/** The body of a request, and the memory that it takes until `release` is called. */
export interface ReceivedBody {
  result: BodyResult;
  /** Time for which it waited for memory, in milliseconds. */
  waitedMs: number;
  release: () => void;
}

/** Reads one body. */
class BodyReader {
  private readonly connection: ReturnType<typeof findConnection>;

  private readonly isChunked: boolean;

  private readonly collector: ByteCollector;

  private readonly lease: BodyLease;

  private resolve: ((received: ReceivedBody) => void) | undefined;

  constructor(
    private readonly incoming: IncomingMessage,
    { budget, owner, maxBytes, maxWaitMs }: ReadBodyOptions,
    declaredBytes: number | undefined,
  ) {
    this.connection = findConnection(incoming);
    this.isChunked = incoming.headers['transfer-encoding'] !== undefined;
    this.collector = new ByteCollector(maxBytes);
    this.lease = budget.open({
      owner,
      maxBytes: declaredBytes ?? maxBytes,
      maxWaitMs,
      listener: {
        onWait: () => this.connection?.hold(),
        onGranted: () => this.connection?.release(),
        onRefused: (reason) => this.end({ type: reason }),
      },
    });
  }

  read(): Promise<ReceivedBody> {
    const { incoming } = this;
    incoming.on('data', this.onData);
    incoming.on('end', () => this.complete());
    incoming.on('error', () => this.end({ type: 'cut' }));
    incoming.on('close', () => this.end({ type: 'cut' }));
    return new Promise((resolve) => {
      this.resolve = resolve;
    });
  }

  private readonly onData = (chunk: Buffer) => {
    if (!this.collector.append(chunk)) this.end({ type: 'too_long' });
    else if (this.hasTooSmallChunks) this.end({ type: 'chunks_too_small' });
    else this.lease.record(chunk.length);
  };

  private get hasTooSmallChunks(): boolean {
    if (!this.isChunked || !this.connection) return false;
    const bytes = this.collector.length;
    const framingBytes = this.connection.passedBodyBytes - bytes;
    return framingBytes > FREE_FRAMING_BYTES + bytes * MAX_FRAMING_SHARE;
  }

  private complete(): void {
    this.lease.complete();
    this.end({ type: 'whole', body: this.collector.takeBuffer() });
  }

  private end(result: BodyResult): void {
    const { incoming, lease, resolve } = this;
    if (!resolve) return;
    this.resolve = undefined;
    incoming.off('data', this.onData);
    if (result.type !== 'whole') {
      this.collector.takeBuffers();
      lease.release();
      refuseBody(incoming);
    }
    resolve({ result, waitedMs: lease.waitedMs, release: () => lease.release() });
  }
}

/** Returns the length that the head of a request announces, in bytes; undefined if none. */
function readDeclaredBytes({ headers }: IncomingMessage): number | undefined {
  const text = headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/**
 * Reads the body of a request into memory, no faster than there is memory for it. Nothing more of it
 * is read once its end is known; one whose announced length exceeds the limit is not read at all.
 */
export function readBody(
  incoming: IncomingMessage,
  options: ReadBodyOptions,
): Promise<ReceivedBody> {
  const declaredBytes = readDeclaredBytes(incoming);
  if (declaredBytes === undefined || declaredBytes <= options.maxBytes) {
    return new BodyReader(incoming, options, declaredBytes).read();
  }
  incoming.on('error', () => {});
  refuseBody(incoming);
  return Promise.resolve({ result: { type: 'too_long' }, waitedMs: 0, release: () => {} });
}
