import type { MemoryGrant } from '@cactusstair/routing';
import { MemoryShares } from '@cactusstair/routing';

/** Largest answer that is buffered before it is passed on, in bytes. */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
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
  reserve(owner: string, bytes: number, onGranted: () => void): MemoryGrant {
    return this.shares.request(owner, bytes, onGranted);
  }

  /** Whether an answer that cannot be read on waits for memory of the upstream's answers. */
  isAwaitedFrom(owner: string): boolean {
    return this.shares.isAwaitedFrom(owner);
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
