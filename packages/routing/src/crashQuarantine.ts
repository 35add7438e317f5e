import { createHash } from 'node:crypto';

import type { QuarantineEntry } from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';

/**
 * `clear` runs anywhere, `suspect` only in isolation. `quarantined` has the blame to be refused; the
 * entry instance isolates these too and leaves the refusal to `CrashAttribution`.
 */
export type QuarantineClass = 'clear' | 'suspect' | 'quarantined';

/** How a call ended. Only `completed` proves that the request does not crash its upstream. */
export type RunOutcome = 'completed' | 'abandoned';

/**
 * Blame of a request that is also running on upstreams that have not crashed. Many callers send the
 * same request: with full shares, 12 equal harmless requests on 4 engines reached a blame of 2.0.
 */
const RUNNING_ELSEWHERE_BLAME = 0.05;
/** Tokens of one run from which on a request counts as having made progress. */
export const MIN_PROGRESS_TOKENS = 4;
/**
 * Weight in the blame for a crash of a request that has made progress. Most crashing requests crash
 * their upstream as soon as they run, but a harmless isolated request can share an upstream with
 * one that was sent by an instance unaware of the isolation. The weight is above 0 so that a
 * request that crashes its upstreams late is quarantined as well.
 */
const PROGRESSED_BLAME_WEIGHT = 0.2;

/** Options of `CrashQuarantine`. */
export interface CrashQuarantineOptions {
  clock?: Clock;
  /** Total blame at which a request is quarantined. Default 2. */
  quarantineBlame?: number;
  /** Lifetime of the record of a suspect or cleared request. Default 600,000. */
  suspectTtlMs?: number;
  /** Lifetime of the record of a quarantined request. Default 3,600,000. */
  quarantineTtlMs?: number;
  /** Crash reports about one upstream within this time count as one crash. Default 1,000. */
  crashMergeMs?: number;
  /** Maximum fingerprints; those with the least blame are evicted first. Default 4,096. */
  maxEntries?: number;
  /** Maximum entries per export, so that exchanges between instances stay small. Default 20. */
  maxExported?: number;
}

interface Run {
  fingerprint: string;
  suspect: boolean;
  /** Returns the largest number of tokens that the request has produced in one run. */
  getProgress: () => number;
}

interface BlameRecord {
  /** 0 for a cleared request. */
  blame: number;
  /** Whether one of the request's runs has made progress. */
  hasProgressed?: boolean;
  expiresAtMs: number;
  exportedAtMs: number;
}

// Entries about to expire are not imported: two peers with slightly different expiry times would
// otherwise keep sending them to each other.
const MIN_IMPORT_TTL_MS = 2000;
const MAX_FINGERPRINT_LENGTH = 64;

/**
 * Hashes a request for the quarantine. The workspace is part of the hash, so that one workspace
 * cannot cause another one's request to be refused.
 */
export function computeFingerprint(workspace: string, body: string | Uint8Array): string {
  return createHash('sha256')
    .update(`${workspace.length}:${workspace}`)
    .update(body)
    .digest('hex')
    .slice(0, 32);
}

/** Identifies requests that crash upstreams, and clears those that only ran beside them. */
export class CrashQuarantine {
  private readonly runs = new Map<string, Set<Run>>();

  private readonly crashedAtMs = new Map<string, number>();

  private readonly records = new Map<string, BlameRecord>();

  private readonly options: Required<CrashQuarantineOptions>;

  constructor(options: CrashQuarantineOptions = {}) {
    this.options = {
      clock: systemClock,
      quarantineBlame: 2,
      suspectTtlMs: 600_000,
      quarantineTtlMs: 3_600_000,
      crashMergeMs: 1000,
      maxEntries: 4096,
      maxExported: 20,
      ...options,
    };
  }

  /** Number of fingerprints in memory. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Records that a request is running on an upstream.
   *
   * @returns a function to call once when the call ends. `abandoned` means that the call ended
   * without a complete answer, for example because the caller disconnected. After a crash, call
   * `recordCrash` first.
   * @param getProgress returns the largest number of tokens that the request has produced in one
   * run. Default: 0.
   */
  recordStart(
    upstream: string,
    fingerprint: string,
    getProgress: () => number = () => 0,
  ): (outcome?: RunOutcome) => void {
    const suspect = this.classify(fingerprint) === 'suspect';
    const run: Run = { fingerprint, suspect, getProgress };
    const runs = this.runs.get(upstream) ?? new Set<Run>();
    this.runs.set(upstream, runs.add(run));
    return (outcome = 'completed') => {
      // recordCrash has removed the runs that it blamed.
      if (!this.runs.get(upstream)?.delete(run)) return;
      if (this.runs.get(upstream)?.size === 0) this.runs.delete(upstream);
      if (outcome === 'completed') this.clear(fingerprint);
    };
  }

  /**
   * Assigns blame to the requests in flight on an upstream that crashed. Each of them may report
   * the crash.
   *
   * @param reportedInFlight requests of all instances in the last load report. If other instances
   * had requests there, all of them together count as one request in the division of the blame.
   * Otherwise a crashing request on a busy upstream would need too many crashes to be quarantined.
   */
  recordCrash(upstream: string, reportedInFlight = 0): void {
    const nowMs = this.options.clock.monotonicMs();
    this.removeOldCrashes(nowMs);
    // Each call in flight reports the crash. Without this check, a request that was sent after the
    // first report would get the full blame from the second one.
    if (this.crashedAtMs.has(upstream)) return;
    const runs = this.runs.get(upstream);
    if (!runs) return;
    this.crashedAtMs.set(upstream, nowMs);
    this.runs.delete(upstream);
    const weights = new Map<string, number>();
    for (const { fingerprint, getProgress } of runs) {
      const hasProgressed =
        getProgress() >= MIN_PROGRESS_TOKENS || this.getRecord(fingerprint)?.hasProgressed;
      const weight = hasProgressed ? PROGRESSED_BLAME_WEIGHT : 1;
      weights.set(fingerprint, Math.min(weight, weights.get(fingerprint) ?? 1));
    }
    const others = reportedInFlight > runs.size ? 1 : 0;
    const sum = [...weights.values()].reduce((total, weight) => total + weight, others);
    for (const [fingerprint, weight] of weights) {
      // Math.max keeps progressed requests from sharing the full blame of a crash.
      const share = this.isRunning(fingerprint)
        ? RUNNING_ELSEWHERE_BLAME
        : weight / Math.max(1, sum);
      this.addBlame(fingerprint, share, nowMs, weight < 1);
    }
  }

  /** Returns how a request may run. */
  classify(fingerprint: string): QuarantineClass {
    const record = this.getRecord(fingerprint);
    if (!record || record.blame === 0) return 'clear';
    return record.blame >= this.options.quarantineBlame - 1e-9 ? 'quarantined' : 'suspect';
  }

  /** Upstreams that run a suspect, for `ChooserState.exclusiveUpstreams`. */
  getSuspectUpstreams(): Set<string> {
    const found = new Set<string>();
    for (const [upstream, runs] of this.runs) {
      for (const run of runs) {
        if (run.suspect) found.add(upstream);
      }
    }
    return found;
  }

  /**
   * Returns entries for a peer: quarantined requests first, then the least recently exported ones.
   */
  exportEntries(): QuarantineEntry[] {
    const nowMs = this.options.clock.monotonicMs();
    this.removeExpired(nowMs);
    const { quarantineBlame, maxExported } = this.options;
    return [...this.records]
      .filter(([, record]) => record.blame > 0)
      .sort(
        ([, a], [, b]) =>
          Number(b.blame >= quarantineBlame) - Number(a.blame >= quarantineBlame) ||
          a.exportedAtMs - b.exportedAtMs,
      )
      .slice(0, maxExported)
      .map(([fingerprint, record]) => {
        record.exportedAtMs = nowMs;
        const ttlMs = Math.ceil(record.expiresAtMs - nowMs);
        return { fingerprint, blame: record.blame, ttlMs };
      });
  }

  /** Keeps the higher of both blames. A sum would count the same crash again in each exchange. */
  importEntries(entries: readonly QuarantineEntry[]): void {
    for (const entry of entries) this.importEntry(entry);
  }

  private importEntry({ fingerprint, blame, ttlMs }: QuarantineEntry): void {
    const valid =
      fingerprint.length > 0 &&
      fingerprint.length <= MAX_FINGERPRINT_LENGTH &&
      Number.isFinite(blame) &&
      blame > 0 &&
      ttlMs >= MIN_IMPORT_TTL_MS;
    if (!valid) return;
    const known = this.getRecord(fingerprint);
    if (known && known.blame >= blame) return;
    const isQuarantined = blame >= this.options.quarantineBlame;
    // The request completed here: a peer that still suspects it must not make it a suspect again.
    if (known?.blame === 0 && !isQuarantined) return;
    // A peer may have run the request only on upstreams that another request crashed.
    if (known?.hasProgressed) return;
    const maxTtlMs = isQuarantined ? this.options.quarantineTtlMs : this.options.suspectTtlMs;
    const expiresAtMs = this.options.clock.monotonicMs() + Math.min(ttlMs, maxTtlMs);
    const { hasProgressed = false, exportedAtMs = -Infinity } = known ?? {};
    this.put(fingerprint, { blame, hasProgressed, expiresAtMs, exportedAtMs });
  }

  private isRunning(fingerprint: string): boolean {
    return [...this.runs.values()].some((runs) =>
      [...runs].some((run) => run.fingerprint === fingerprint),
    );
  }

  private addBlame(
    fingerprint: string,
    share: number,
    nowMs: number,
    hasProgressed: boolean,
  ): void {
    const known = this.getRecord(fingerprint);
    const blame = (known?.blame ?? 0) + share;
    const { quarantineBlame, quarantineTtlMs, suspectTtlMs } = this.options;
    const ttlMs = blame >= quarantineBlame ? quarantineTtlMs : suspectTtlMs;
    const expiresAtMs = nowMs + ttlMs;
    this.put(fingerprint, { blame, hasProgressed, expiresAtMs, exportedAtMs: -Infinity });
  }

  private clear(fingerprint: string): void {
    if (this.classify(fingerprint) !== 'suspect') return;
    const expiresAtMs = this.options.clock.monotonicMs() + this.options.suspectTtlMs;
    this.put(fingerprint, { blame: 0, expiresAtMs, exportedAtMs: -Infinity });
  }

  private getRecord(fingerprint: string): BlameRecord | undefined {
    const record = this.records.get(fingerprint);
    if (!record || record.expiresAtMs > this.options.clock.monotonicMs()) return record;
    this.records.delete(fingerprint);
    return undefined;
  }

  private put(fingerprint: string, record: BlameRecord): void {
    this.records.delete(fingerprint);
    this.records.set(fingerprint, record);
    if (this.records.size <= this.options.maxEntries) return;
    this.removeExpired(this.options.clock.monotonicMs());
    while (this.records.size > this.options.maxEntries) this.evictLeastBlamed(fingerprint);
  }

  private evictLeastBlamed(keep: string): void {
    let victim: string | undefined;
    let leastBlame = Infinity;
    for (const [fingerprint, { blame }] of this.records) {
      if (blame < leastBlame && fingerprint !== keep) {
        victim = fingerprint;
        leastBlame = blame;
      }
    }
    if (victim === undefined) return;
    this.records.delete(victim);
  }

  private removeExpired(nowMs: number): void {
    for (const [fingerprint, record] of this.records) {
      if (record.expiresAtMs <= nowMs) this.records.delete(fingerprint);
    }
  }

  private removeOldCrashes(nowMs: number): void {
    for (const [upstream, crashedAtMs] of this.crashedAtMs) {
      if (nowMs - crashedAtMs >= this.options.crashMergeMs) this.crashedAtMs.delete(upstream);
    }
  }
}
