import type { Clock } from '@cactusstair/utils';

/** Options of `CrashCounter`. */
export interface CrashCounterOptions {
  clock: Clock;
  /** Number of crashes at which a request is quarantined. Default 3. */
  quarantineCount?: number;
  /** Time for which a count is kept after its last crash, in milliseconds. Default 120,000. */
  ttlMs?: number;
  /** Maximum number of requests with a count; the oldest are evicted first. Default 1,000. */
  maxEntries?: number;
}

interface Entry {
  count: number;
  atMs: number;
}

/** One exported count. */
export interface CrashEntry {
  fingerprint: string;
  count: number;
  /** Time since the last crash, in milliseconds. */
  ageMs: number;
}

/**
 * Counts the upstreams that crashed while running a request, by the request's fingerprint. The
 * count is reset when the request completes on any upstream. A harmless request is therefore
 * quarantined only if it was in flight at several crashes without completing in between.
 */
export class CrashCounter {
  private readonly entries = new Map<string, Entry>();

  constructor(private readonly options: CrashCounterOptions) {}

  /** Number of requests with a count. */
  get size(): number {
    return this.entries.size;
  }

  recordCrash(fingerprint: string): void {
    const atMs = this.options.clock.monotonicMs();
    this.put(fingerprint, { count: this.getCount(fingerprint) + 1, atMs });
  }

  recordCompletion(fingerprint: string): void {
    if (this.entries.size > 0) this.entries.delete(fingerprint);
  }

  getCount(fingerprint: string): number {
    const entry = this.entries.get(fingerprint);
    if (!entry) return 0;
    if (this.options.clock.monotonicMs() - entry.atMs < (this.options.ttlMs ?? 120_000)) {
      return entry.count;
    }
    this.entries.delete(fingerprint);
    return 0;
  }

  isQuarantined(fingerprint: string): boolean {
    return this.getCount(fingerprint) >= (this.options.quarantineCount ?? 3);
  }

  /** Returns up to `limit` of the newest counts, to be sent to peers. */
  exportEntries(limit: number): CrashEntry[] {
    const nowMs = this.options.clock.monotonicMs();
    return [...this.entries]
      .slice(-limit)
      .map(([fingerprint, { count, atMs }]) => ({ fingerprint, count, ageMs: nowMs - atMs }));
  }

  /** Keeps the higher of both counts. A sum would count the same crash again in each exchange. */
  importEntries(entries: readonly CrashEntry[]): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const { fingerprint, count, ageMs } of entries) {
      if (count > this.getCount(fingerprint)) this.put(fingerprint, { count, atMs: nowMs - ageMs });
    }
  }

  private put(fingerprint: string, entry: Entry): void {
    this.entries.delete(fingerprint);
    this.entries.set(fingerprint, entry);
    if (this.entries.size <= (this.options.maxEntries ?? 1000)) return;
    const oldest = this.entries.keys().next();
    if (!oldest.done) this.entries.delete(oldest.value);
  }
}
