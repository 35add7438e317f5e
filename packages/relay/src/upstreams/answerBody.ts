import type { IncomingMessage } from 'node:http';

import type { MemoryGrant } from '@cactusstair/routing';
import { ByteCollector } from '@cactusstair/utils';

import type { AnswerLease } from './answerMemory.js';
import { MAX_ANSWER_BYTES } from './answerMemory.js';

/** Answers up to this size are buffered without asking for memory, in bytes. */
const SMALL_ANSWER_BYTES = 32 * 1024;

/** A whole answer in memory. What a large one takes is given back as its bytes are taken. */
export class AnswerBody {
  /** Length of the whole answer, in bytes. */
  readonly length: number;

  private leftBytes: number;

  /** @param grant memory of a large answer; undefined for a small one */
  constructor(
    private readonly parts: Buffer[],
    private readonly grant?: MemoryGrant,
  ) {
    this.length = parts.reduce((sum, part) => sum + part.length, 0);
    this.leftBytes = this.length;
    grant?.shrinkTo(this.length);
  }

  get isLarge(): boolean {
    return this.grant !== undefined;
  }

  /** Takes the next bytes, at most `maxBytes`; those taken before need no memory any more. */
  take(maxBytes: number): Buffer | undefined {
    this.grant?.shrinkTo(this.leftBytes);
    const [part] = this.parts;
    if (!part) return undefined;
    const taken = part.subarray(0, maxBytes);
    if (taken.length < part.length) this.parts[0] = part.subarray(taken.length);
    else this.parts.shift();
    this.leftBytes -= taken.length;
    return taken;
  }

  /** Takes everything that is left of a small answer. */
  takeAll(): Buffer[] {
    return this.parts.splice(0);
  }

  /** Drops what is left, and gives back its memory. */
  release(): void {
    this.parts.length = 0;
    this.grant?.release();
  }
}

/** Hears how the reading of a body goes. */
export interface BodyListener {
  onBytes(count: number): void;
  /** Called when the reading stops until there is memory for the body. */
  onMemoryWait(): void;
  onMemoryGranted(): void;
}

/** How the reading of a body ended. */
export type BodyEnd =
  | { type: 'whole'; body: AnswerBody }
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
  listener: BodyListener,
): Promise<BodyEnd> {
  const declaredBytes = readDeclaredBytes(answer);
  if (declaredBytes !== undefined && declaredBytes > MAX_ANSWER_BYTES) {
    answer.on('error', () => {});
    return Promise.resolve({ type: 'too_long' });
  }
  return new Promise((resolve) => {
    const collector = new ByteCollector(MAX_ANSWER_BYTES);
    let grant: MemoryGrant | undefined;
    const fail = (type: 'cut' | 'too_long') => {
      grant?.release();
      // What crashed an upstream is searched among requests that ended a while ago as well, so the
      // answer is kept in memory longer than its body may be.
      collector.takeBuffers();
      resolve({ type });
    };
    const reserve = () => {
      let isGranted = false;
      const reserved = memory.reserve(owner, declaredBytes ?? MAX_ANSWER_BYTES, () => {
        isGranted = true;
        listener.onMemoryGranted();
        answer.resume();
      });
      grant = reserved;
      onCallerDone(() => reserved.release());
      if (isGranted) return;
      listener.onMemoryWait();
      answer.pause();
    };
    answer.on('data', (chunk: Buffer) => {
      listener.onBytes(chunk.length);
      if (!collector.append(chunk)) {
        answer.removeAllListeners('data');
        fail('too_long');
        return;
      }
      if (collector.length <= SMALL_ANSWER_BYTES) return;
      memory.recordRead(chunk.length);
      if (!grant) reserve();
    });
    answer.on('error', () => fail('cut'));
    answer.on('end', () => {
      resolve({ type: 'whole', body: new AnswerBody(collector.takeBuffers(), grant) });
    });
    answer.on('close', () => {
      if (!answer.readableEnded) fail('cut');
    });
  });
}
