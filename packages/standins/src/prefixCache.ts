import type { Random } from '@cactusstair/utils';
import { hashPrefixBlocks } from '@cactusstair/utils';

/** A change of the prefix cache. A gap in the sequence numbers means that events were lost. */
export interface CacheEvent {
  sequence: number;
  type: 'added' | 'evicted' | 'cleared';
  /** Hexadecimal hash of the block and of every block before it. */
  block: string;
}

/** Options of `PrefixCache`. */
export interface PrefixCacheOptions {
  /** Maximum number of cached blocks. */
  capacityBlocks: number;
  /** Characters of prompt text per block. */
  blockChars: number;
  /** Delay until an event becomes visible, in milliseconds. */
  eventLagMs: number;
  /** Probability that an event is never published. */
  eventLoss: number;
}

const RETAINED_EVENTS = 10_000;

/** LRU cache of prompt prefix blocks, whose change events arrive late or are lost. */
export class PrefixCache {
  private readonly blocks = new Set<string>();

  private events: { event: CacheEvent; visibleAtMs: number }[] = [];

  private sequence = 0;

  constructor(
    private readonly options: PrefixCacheOptions,
    private readonly random: Random,
  ) {}

  get lastSequence(): number {
    return this.sequence;
  }

  get size(): number {
    return this.blocks.size;
  }

  /** Looks up a prompt, stores its blocks and returns the share of blocks that were cached. */
  lookUpAndStore(prompt: string): number {
    const hashes = hashPrefixBlocks(prompt, this.options.blockChars);
    let hits = 0;
    while (hits < hashes.length && this.blocks.has(hashes[hits] ?? '')) hits += 1;
    for (const [index, hash] of hashes.entries()) {
      this.blocks.delete(hash);
      this.blocks.add(hash);
      if (index >= hits) this.record('added', hash);
    }
    this.evict();
    return hashes.length === 0 ? 0 : hits / hashes.length;
  }

  clear(): void {
    this.blocks.clear();
    this.record('cleared', '');
  }

  /** Returns the events after `sequence` that are already visible. */
  getEventsAfter(sequence: number): CacheEvent[] {
    const nowMs = performance.now();
    return this.events
      .filter(({ event, visibleAtMs }) => event.sequence > sequence && visibleAtMs <= nowMs)
      .map(({ event }) => event);
  }

  private evict(): void {
    for (const block of this.blocks) {
      if (this.blocks.size <= this.options.capacityBlocks) return;
      this.blocks.delete(block);
      this.record('evicted', block);
    }
  }

  private record(type: CacheEvent['type'], block: string): void {
    this.sequence += 1;
    if (this.random.next() < this.options.eventLoss) return;
    const visibleAtMs = performance.now() + this.options.eventLagMs;
    this.events.push({ event: { sequence: this.sequence, type, block }, visibleAtMs });
    if (this.events.length > 2 * RETAINED_EVENTS) this.events = this.events.slice(-RETAINED_EVENTS);
  }
}
