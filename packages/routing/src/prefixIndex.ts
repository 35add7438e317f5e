import type { Clock } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';

/** A change of an engine's prefix cache. `cleared` empties the cache and names no prefix. */
export interface CacheEvent {
  /** Rises by 1 with each event of one engine. */
  sequence: number;
  type: 'stored' | 'evicted' | 'cleared';
  prefixHash?: string;
}

/** Options of `PrefixIndex`. */
export interface PrefixIndexOptions {
  clock?: Clock;
  /** Maximum prefixes per upstream; the least recently updated are evicted first. Default 4,096. */
  maxPrefixesPerUpstream?: number;
  /** Maximum upstreams per prefix; bounds the cost of `find` for common prefixes. Default 32. */
  maxHoldersPerPrefix?: number;
  /** Maximum pairs of prefix and upstream in total. Default 200,000. */
  maxEntries?: number;
  /** Lifetime of an entry that a cache event confirmed. Default 300,000. */
  confirmedTtlMs?: number;
  /**
   * Lifetime of an entry that is only assumed because a request was sent, and of all older entries
   * after a gap in the events, since an eviction event may have been lost. Default 60,000.
   */
  assumedTtlMs?: number;
}

interface Entry {
  /** Sequence number of the newest event for the entry; 0 without an event. */
  sequence: number;
  /** False after an eviction, which is kept so that an older `stored` event cannot undo it. */
  present: boolean;
  confirmed: boolean;
  seenAtMs: number;
}

interface UpstreamCache {
  lastSequence: number;
  /** Events up to this sequence number are ignored because the cache was cleared after them. */
  clearedSequence: number;
  gapAtMs: number;
  entries: Map<string, Entry>;
}

/**
 * Tracks which upstreams hold which prompt prefixes in their caches.
 *
 * Events may arrive late, twice, out of order or not at all. The index is only a hint, since a
 * wrong entry costs one cache miss. Entries expire, and memory is bounded by the options.
 */
export class PrefixIndex {
  private readonly caches = new Map<string, UpstreamCache>();

  private readonly holders = new Map<string, Set<string>>();

  private entryCount = 0;

  private readonly options: Required<PrefixIndexOptions>;

  constructor(options: PrefixIndexOptions = {}) {
    this.options = {
      clock: systemClock,
      maxPrefixesPerUpstream: 4096,
      maxHoldersPerPrefix: 32,
      maxEntries: 200_000,
      confirmedTtlMs: 300_000,
      assumedTtlMs: 60_000,
      ...options,
    };
  }

  /** Number of pairs of prefix and upstream in memory. */
  get size(): number {
    return this.entryCount;
  }

  /** Returns the highest event sequence number received from an upstream; 0 without events. */
  getLastSequence(upstream: string): number {
    return this.caches.get(upstream)?.lastSequence ?? 0;
  }

  /** Applies cache events in any order; repeated events have no effect. */
  applyEvents(upstream: string, events: readonly CacheEvent[]): void {
    if (events.length === 0) return;
    const cache = this.getCache(upstream);
    for (const event of events) this.applyEvent(upstream, cache, event);
  }

  /** Records that a request with these prefixes was sent; its upstream will hold them soon. */
  recordSent(upstream: string, prefixHashes: readonly string[]): void {
    const cache = this.getCache(upstream);
    for (const prefixHash of prefixHashes) {
      const known = cache.entries.get(prefixHash);
      const confirmed = known?.present === true && known.confirmed;
      this.put(upstream, cache, prefixHash, {
        sequence: known?.sequence ?? 0,
        present: true,
        confirmed,
        seenAtMs: this.options.clock.monotonicMs(),
      });
    }
  }

  /**
   * Finds the upstreams that hold a prefix of a prompt.
   *
   * @param prefixHashes cumulative hashes, shortest prefix first.
   * @returns for each upstream the number of leading blocks that it holds.
   */
  find(prefixHashes: readonly string[]): Map<string, number> {
    const found = new Map<string, number>();
    const nowMs = this.options.clock.monotonicMs();
    for (let index = prefixHashes.length - 1; index >= 0; index -= 1) {
      const prefixHash = prefixHashes[index]!;
      for (const upstream of this.holders.get(prefixHash) ?? []) {
        if (!found.has(upstream) && this.isHeld(upstream, prefixHash, nowMs)) {
          found.set(upstream, index + 1);
        }
      }
    }
    return found;
  }

  /** Removes an upstream that restarted or left; its sequence numbers may start again at 1. */
  removeUpstream(upstream: string): void {
    const cache = this.caches.get(upstream);
    if (!cache) return;
    for (const prefixHash of [...cache.entries.keys()]) this.drop(upstream, cache, prefixHash);
    this.caches.delete(upstream);
  }

  private isHeld(upstream: string, prefixHash: string, nowMs: number): boolean {
    const cache = this.caches.get(upstream);
    const entry = cache?.entries.get(prefixHash);
    if (!cache || !entry?.present) return false;
    const certain = entry.confirmed && entry.seenAtMs >= cache.gapAtMs;
    const ttlMs = certain ? this.options.confirmedTtlMs : this.options.assumedTtlMs;
    if (nowMs - entry.seenAtMs <= ttlMs) return true;
    this.drop(upstream, cache, prefixHash);
    return false;
  }

  private applyEvent(upstream: string, cache: UpstreamCache, event: CacheEvent): void {
    const nowMs = this.options.clock.monotonicMs();
    if (event.sequence > cache.lastSequence) {
      if (cache.lastSequence > 0 && event.sequence > cache.lastSequence + 1) cache.gapAtMs = nowMs;
      cache.lastSequence = event.sequence;
    }
    if (event.sequence <= cache.clearedSequence) return;
    if (event.type === 'cleared') {
      this.clearUpTo(upstream, cache, event.sequence);
      return;
    }
    if (event.prefixHash === undefined) return;
    const known = cache.entries.get(event.prefixHash);
    if (known && known.sequence >= event.sequence) return;
    this.put(upstream, cache, event.prefixHash, {
      sequence: event.sequence,
      present: event.type === 'stored',
      confirmed: true,
      seenAtMs: nowMs,
    });
  }

  private clearUpTo(upstream: string, cache: UpstreamCache, sequence: number): void {
    cache.clearedSequence = sequence;
    for (const [prefixHash, entry] of [...cache.entries]) {
      if (entry.sequence < sequence) this.drop(upstream, cache, prefixHash);
    }
  }

  private getCache(upstream: string): UpstreamCache {
    let cache = this.caches.get(upstream);
    if (!cache) {
      cache = { lastSequence: 0, clearedSequence: 0, gapAtMs: -Infinity, entries: new Map() };
      this.caches.set(upstream, cache);
    }
    return cache;
  }

  private put(upstream: string, cache: UpstreamCache, prefixHash: string, entry: Entry): void {
    // Maps iterate in insertion order; deleting the entry first moves it to the end.
    const isKnown = cache.entries.delete(prefixHash);
    cache.entries.set(prefixHash, entry);
    if (isKnown) return;
    this.entryCount += 1;
    const holders = this.holders.get(prefixHash);
    if (!holders) {
      this.holders.set(prefixHash, new Set([upstream]));
    } else {
      holders.add(upstream);
      if (holders.size > this.options.maxHoldersPerPrefix) {
        const first = holders.values().next().value!;
        this.drop(first, this.getCache(first), prefixHash);
      }
    }
    this.evict(upstream, cache);
  }

  private evict(upstream: string, cache: UpstreamCache): void {
    const { maxPrefixesPerUpstream, maxEntries } = this.options;
    if (cache.entries.size > maxPrefixesPerUpstream) this.dropOldest(upstream, cache);
    if (this.entryCount <= maxEntries) return;
    // Evicts from the upstream that adds entries, as long as it has others.
    if (cache.entries.size > 1) {
      this.dropOldest(upstream, cache);
      return;
    }
    for (const [name, other] of this.caches) {
      if (name === upstream || other.entries.size === 0) continue;
      this.dropOldest(name, other);
      return;
    }
  }

  private dropOldest(upstream: string, cache: UpstreamCache): void {
    this.drop(upstream, cache, cache.entries.keys().next().value!);
  }

  private drop(upstream: string, cache: UpstreamCache, prefixHash: string): void {
    if (!cache.entries.delete(prefixHash)) return;
    this.entryCount -= 1;
    const holders = this.holders.get(prefixHash);
    holders?.delete(upstream);
    if (holders?.size === 0) this.holders.delete(prefixHash);
  }
}
