const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

/**
 * Collects the chunks of a body in blocks of its own, so that it takes little more memory than the
 * bytes that it holds. A chunk of a socket may keep the whole buffer in memory that it was read
 * into, and a body of many small chunks would take many times its length.
 */
export class ByteCollector {
  private blocks: Buffer[] = [];

  /** Bytes that are used in the last block. */
  private lastUsed = 0;

  private total = 0;

  /** @param maxBytes largest number of bytes that is collected; default: no limit */
  constructor(private readonly maxBytes = Infinity) {}

  /** Number of bytes collected. */
  get length(): number {
    return this.total;
  }

  /** Copies a chunk; returns false, and keeps nothing of it, if it exceeds the limit. */
  append(chunk: Buffer): boolean {
    if (this.total + chunk.length > this.maxBytes) return false;
    let copied = 0;
    while (copied < chunk.length) {
      const block = this.findRoom(chunk.length - copied);
      const count = chunk.copy(block, this.lastUsed, copied);
      this.lastUsed += count;
      copied += count;
    }
    this.total += chunk.length;
    return true;
  }

  /** Returns the collected bytes in order and forgets them, so that the collector holds no memory. */
  takeBuffers(): Buffer[] {
    const buffers = this.blocks;
    const last = buffers.pop();
    if (last) buffers.push(last.subarray(0, this.lastUsed));
    this.blocks = [];
    this.lastUsed = 0;
    this.total = 0;
    return buffers;
  }

  /** Returns the collected bytes as one buffer and forgets them. */
  takeBuffer(): Buffer {
    const buffers = this.takeBuffers();
    return buffers.length === 1 ? buffers[0]! : Buffer.concat(buffers);
  }

  /** Returns the last block, or a new one if it is full. */
  private findRoom(missing: number): Buffer {
    const last = this.blocks.at(-1);
    if (last && this.lastUsed < last.length) return last;
    const wanted = Math.max(MIN_BLOCK_BYTES, this.total, missing);
    // Not from the pool of small buffers, which is shared.
    const block = Buffer.allocUnsafeSlow(Math.min(MAX_BLOCK_BYTES, wanted));
    this.blocks.push(block);
    this.lastUsed = 0;
    return block;
  }
}
