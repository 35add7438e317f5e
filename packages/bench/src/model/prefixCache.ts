/** Least recently used cache of prompt blocks, as an engine keeps them. */
export class PrefixCache {
  // A Map iterates in insertion order; the first block is the least recently used one.
  private readonly blocks = new Map<string, true>();

  constructor(
    private readonly maxBlocks: number,
    private readonly onChange: (type: 'stored' | 'evicted', prefixHash: string) => void,
  ) {}

  /** Number of leading blocks in the cache; they count as used. */
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

  /** Loses all blocks without events, as a crash does. */
  clear(): void {
    this.blocks.clear();
  }

  /** Marks the last block first, so that long prefixes are evicted from their end. */
  private touch(prefixHashes: readonly string[]): void {
    for (let index = prefixHashes.length - 1; index >= 0; index -= 1) {
      this.blocks.delete(prefixHashes[index]!);
      this.blocks.set(prefixHashes[index]!, true);
    }
  }
}
