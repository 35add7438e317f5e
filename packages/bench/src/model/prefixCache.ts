/** LRU cache of prompt blocks, like the prefix cache of an inference engine. */
export class PrefixCache {
  // A Map iterates in insertion order; the first block is the least recently used one.
  private readonly blocks = new Map<string, true>();

  constructor(
    private readonly maxBlocks: number,
    private readonly onChange: (type: 'stored' | 'evicted', prefixHash: string) => void,
  ) {}

  /** Counts the leading blocks in the cache and marks them as recently used. */
  countCached(prefixHashes: readonly string[]): number {
    let count = 0;
    while (count < prefixHashes.length && this.blocks.has(prefixHashes[count]!)) count += 1;
    this.touch(prefixHashes.slice(0, count));
    return count;
  }

  store(prefixHashes: readonly string[]): void {
    const added = prefixHashes.filter((prefixHash) => !this.blocks.has(prefixHash));
    this.touch(prefixHashes);
    for (const prefixHash of added) this.onChange('stored', prefixHash);
    while (this.blocks.size > this.maxBlocks) {
      const oldest = this.blocks.keys().next().value!;
      this.blocks.delete(oldest);
      this.onChange('evicted', oldest);
    }
  }

  /** Drops all blocks without eviction events, as after a crash. */
  clear(): void {
    this.blocks.clear();
  }

  /** Marks blocks as used, the last one first, so that long prefixes are evicted from their end. */
  private touch(prefixHashes: readonly string[]): void {
    for (let index = prefixHashes.length - 1; index >= 0; index -= 1) {
      this.blocks.delete(prefixHashes[index]!);
      this.blocks.set(prefixHashes[index]!, true);
    }
  }
}
