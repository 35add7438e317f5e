import type { IncomingMessage } from 'node:http';

import type { ReleaseMemory } from '@cactusstair/routing';
import { MemoryShares } from '@cactusstair/routing';
import { ByteCollector } from '@cactusstair/utils';

/** Largest answer that is buffered before it is passed on, in bytes. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Answers up to this size are buffered without asking for memory, in bytes. */
const SMALL_ANSWER_BYTES = 32 * 1024;
/** Memory for the larger answers of an instance together, in bytes. */
const SHARED_MEMORY_BYTES = 4 * MAX_ANSWER_BYTES;
/** Bytes of large answers that are read before their buffers are collected. */
const COLLECT_INTERVAL_BYTES = 8 * 1024 * 1024;

/** Memory for the answers that an instance buffers. */
export class AnswerMemory {
  private readonly shares = new MemoryShares(SHARED_MEMORY_BYTES);

  private readBytes = 0;

  /**
   * Asks for memory for a large answer.
   *
   * @param owner the upstream that answers; upstreams share the memory evenly
   */
  reserve(owner: string, bytes: number, onGranted: () => void): ReleaseMemory {
    return this.shares.request(owner, bytes, onGranted);
  }

  /**
   * Counts bytes of a large answer. Node.js reads them into buffers whose size the garbage collector
   * hardly sees, so it is called in time where it is exposed (`--expose-gc`).
   */
  recordRead(bytes: number): void {
    this.readBytes += bytes;
    if (this.readBytes < COLLECT_INTERVAL_BYTES) return;
    this.readBytes = 0;
    globalThis.gc?.();
  }
}

/** Memory for the answer of one upstream to one request, until its caller has received it. */
export interface AnswerLease {
  memory: AnswerMemory;
  /** The upstream that answers. */
  owner: string;
  /** Calls a listener when the caller has received everything or has left. */
  onCallerDone: (listener: () => void) => void;
}

/** How the reading of a body ended. */
export type BodyEnd =
  | { type: 'whole'; body: Buffer[] }
  /** The connection ended before. */
  | { type: 'cut' }
  | { type: 'too_long' };

/** Returns the length that the head of an answer declares, in bytes; undefined if none. */
function readDeclaredBytes({ headers }: IncomingMessage): number | undefined {
  const text = headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/**
 * Reads the body of an answer into memory. A large one is read on when there is memory for it; until
 * then its upstream has to wait. One that declares too great a length is not read at all.
 */
export function readBoundedBody(
  answer: IncomingMessage,
  { memory, owner, onCallerDone }: AnswerLease,
  onProgress: () => void,
): Promise<BodyEnd> {
  const declaredBytes = readDeclaredBytes(answer);
  if (declaredBytes !== undefined && declaredBytes > MAX_ANSWER_BYTES) {
    answer.on('error', () => {});
    return Promise.resolve({ type: 'too_long' });
  }
  return new Promise((resolve) => {
    const body = new ByteCollector(MAX_ANSWER_BYTES);
    let release: ReleaseMemory | undefined;
    const fail = (type: 'cut' | 'too_long') => {
      release?.();
      // What crashed an upstream is searched among requests that ended a while ago as well, so the
      // answer is kept in memory longer than its body may be.
      body.takeBuffers();
      resolve({ type });
    };
    const reserve = () => {
      let isGranted = false;
      release = memory.reserve(owner, declaredBytes ?? MAX_ANSWER_BYTES, () => {
        isGranted = true;
        answer.resume();
      });
      onCallerDone(release);
      if (!isGranted) answer.pause();
    };
    answer.on('data', (chunk: Buffer) => {
      onProgress();
      if (!body.append(chunk)) {
        answer.removeAllListeners('data');
        fail('too_long');
        return;
      }
      if (body.length <= SMALL_ANSWER_BYTES) return;
      memory.recordRead(chunk.length);
      if (!release) reserve();
    });
    answer.on('error', () => fail('cut'));
    answer.on('end', () => resolve({ type: 'whole', body: body.takeBuffers() }));
    answer.on('close', () => {
      if (!answer.readableEnded) fail('cut');
    });
  });
}
