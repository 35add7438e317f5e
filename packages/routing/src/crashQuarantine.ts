import { createHash } from 'node:crypto';

import type { QuarantineEntry } from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';

/** `clear` runs anywhere, `suspect` only in isolation, `guilty` is refused with code 1110. */
export type QuarantineClass = 'clear' | 'suspect' | 'guilty';

/** How a call ended. Only `completed` proves that the request does not crash its upstream. */
export type RunOutcome = 'completed' | 'abandoned';

/**
 * Blame of a request that runs on other upstreams too, which have not crashed. Many callers ask the
 * same; with full shares, 12 equal innocent requests on 4 engines reached 2.0 together.
 */
const ELSEWHERE_SHARE = 0.05;
/** Tokens of one run after which a request counts as one that upstreams can bear. */
export const MIN_PROGRESS_TOKENS = 4;
/**
 * Blame of a request that has made progress. A crashing request ends its upstream when it begins to run,
 * but an isolated innocent one can meet it there, sent by an instance that knows nothing of the
 * isolation. It is not 0, so that a request that crashes its upstreams late is found as well.
 */
const PROGRESSED_SHARE = 0.2;

/** Options of `CrashQuarantine`. */
export interface CrashQuarantineOptions {
  clock?: Clock;
  /** Total blame at which a request is guilty. Default 2. */
  guiltyBlame?: number;
  /** Lifetime of a suspect and of the note that a request was cleared. Default 600,000. */
  suspectTtlMs?: number;
  /** Lifetime of a guilty entry. Default 3,600,000. */
  guiltyTtlMs?: number;
  /** Reports about one upstream within this time are the same crash. Default 1,000. */
  crashMergeMs?: number;
  /** Fingerprints kept; suspects with the least blame go first. Default 4,096. */
  maxEntries?: number;
  /** Entries in one export, so that exchanges between instances stay small. Default 20. */
  maxExported?: number;
}

interface Run {
  fingerprint: string;
  suspect: boolean;
  /** Returns the most tokens that the request has brought in one run. */
  getProgress: () => number;
}

interface Suspicion {
  /** 0 after the request was cleared. */
  blame: number;
  /** Whether one of the request's runs has made progress. */
  hasProgressed?: boolean;
  expiresAtMs: number;
  exportedAtMs: number;
}

// Entries about to expire are not imported: two peers with slightly different expiry times would
// hand them back and forth.
const MIN_IMPORT_TTL_MS = 2000;
const MAX_FINGERPRINT_LENGTH = 64;

/** Hashes a request for the quarantine. The workspace is part of the hash, so that one workspace
 * cannot have another one's request refused. */
export function computeFingerprint(workspace: string, body: string | Uint8Array): string {
  return createHash('sha256')
    .update(`${workspace.length}:${workspace}`)
    .update(body)
    .digest('hex')
    .slice(0, 32);
}

/** Finds the requests that crash upstreams and clears their neighbours. */
export class CrashQuarantine {
  private readonly runs = new Map<string, Set<Run>>();

  private readonly crashedAtMs = new Map<string, number>();

  private readonly suspicions = new Map<string, Suspicion>();

  private readonly options: Required<CrashQuarantineOptions>;

  constructor(options: CrashQuarantineOptions = {}) {
    this.options = {
      clock: systemClock,
      guiltyBlame: 2,
      suspectTtlMs: 600_000,
      guiltyTtlMs: 3_600_000,
      crashMergeMs: 1000,
      maxEntries: 4096,
      maxExported: 20,
      ...options,
    };
  }

  /** Fingerprints in memory. */
  get size(): number {
    return this.suspicions.size;
  }

  /**
   * Notes that a request runs on an upstream.
   *
   * @returns a function to call once when the call ends. `abandoned` means that the call ended
   * without a complete answer, for example because the caller went away. After a crash, call
   * `recordCrash` first.
   * @param getProgress returns the most tokens that the request has brought in one run. Default:
   * none.
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
      // A run that was blamed for a crash is no longer in the set.
      if (!this.runs.get(upstream)?.delete(run)) return;
      if (this.runs.get(upstream)?.size === 0) this.runs.delete(upstream);
      if (outcome === 'completed') this.clear(fingerprint);
    };
  }

  /**
   * Blames the requests in flight on an upstream that crashed. Safe to call for each of them.
   *
   * @param reportedInFlight requests of all instances in the last load report. If other instances
   * had requests there, one of them shares the blame. It is not divided further, since a crashing
   * request on a busy upstream would then need too many crashes to be found.
   */
  recordCrash(upstream: string, reportedInFlight = 0): void {
    const nowMs = this.options.clock.monotonicMs();
    this.forgetOldCrashes(nowMs);
    // The calls in flight report one crash each. Without this check a request that was sent after
    // the first report would be blamed alone by the second one.
    if (this.crashedAtMs.has(upstream)) return;
    const runs = this.runs.get(upstream);
    if (!runs) return;
    this.crashedAtMs.set(upstream, nowMs);
    this.runs.delete(upstream);
    const weights = new Map<string, number>();
    for (const { fingerprint, getProgress } of runs) {
      const hasProgressed =
        getProgress() >= MIN_PROGRESS_TOKENS || this.getSuspicion(fingerprint)?.hasProgressed;
      const weight = hasProgressed ? PROGRESSED_SHARE : 1;
      weights.set(fingerprint, Math.min(weight, weights.get(fingerprint) ?? 1));
    }
    const others = reportedInFlight > runs.size ? 1 : 0;
    const sum = [...weights.values()].reduce((total, weight) => total + weight, others);
    for (const [fingerprint, weight] of weights) {
      // The weights of progressed requests alone do not make up a whole crash.
      const share = this.isRunning(fingerprint) ? ELSEWHERE_SHARE : weight / Math.max(1, sum);
      this.addBlame(fingerprint, share, nowMs, weight < 1);
    }
  }

  /** Says how a request may run. */
  classify(fingerprint: string): QuarantineClass {
    const suspicion = this.getSuspicion(fingerprint);
    if (!suspicion || suspicion.blame === 0) return 'clear';
    return suspicion.blame >= this.options.guiltyBlame - 1e-9 ? 'guilty' : 'suspect';
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

  /** Entries for a peer: guilty ones first, then those that were not exported for longest. */
  exportEntries(): QuarantineEntry[] {
    const nowMs = this.options.clock.monotonicMs();
    this.forgetExpired(nowMs);
    const { guiltyBlame, maxExported } = this.options;
    return [...this.suspicions]
      .filter(([, suspicion]) => suspicion.blame > 0)
      .sort(
        ([, a], [, b]) =>
          Number(b.blame >= guiltyBlame) - Number(a.blame >= guiltyBlame) ||
          a.exportedAtMs - b.exportedAtMs,
      )
      .slice(0, maxExported)
      .map(([fingerprint, suspicion]) => {
        suspicion.exportedAtMs = nowMs;
        const ttlMs = Math.ceil(suspicion.expiresAtMs - nowMs);
        return { fingerprint, blame: suspicion.blame, ttlMs };
      });
  }

  /**
   * Takes the higher blame of both sides. Adding them up would count one crash again in each
   * exchange.
   */
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
    const known = this.getSuspicion(fingerprint);
    if (known && known.blame >= blame) return;
    const guilty = blame >= this.options.guiltyBlame;
    // A peer that has not yet seen the request complete must not make it a suspect again.
    if (known?.blame === 0 && !guilty) return;
    // A peer may have had the request only where another one crashed its upstreams.
    if (known?.hasProgressed) return;
    const maxTtlMs = guilty ? this.options.guiltyTtlMs : this.options.suspectTtlMs;
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
    const known = this.getSuspicion(fingerprint);
    const blame = (known?.blame ?? 0) + share;
    const { guiltyBlame, guiltyTtlMs, suspectTtlMs } = this.options;
    const ttlMs = blame >= guiltyBlame ? guiltyTtlMs : suspectTtlMs;
    const expiresAtMs = nowMs + ttlMs;
    this.put(fingerprint, { blame, hasProgressed, expiresAtMs, exportedAtMs: -Infinity });
  }

  private clear(fingerprint: string): void {
    if (this.classify(fingerprint) !== 'suspect') return;
    const expiresAtMs = this.options.clock.monotonicMs() + this.options.suspectTtlMs;
    this.put(fingerprint, { blame: 0, expiresAtMs, exportedAtMs: -Infinity });
  }

  private getSuspicion(fingerprint: string): Suspicion | undefined {
    const suspicion = this.suspicions.get(fingerprint);
    if (!suspicion || suspicion.expiresAtMs > this.options.clock.monotonicMs()) return suspicion;
    this.suspicions.delete(fingerprint);
    return undefined;
  }

  private put(fingerprint: string, suspicion: Suspicion): void {
    this.suspicions.delete(fingerprint);
    this.suspicions.set(fingerprint, suspicion);
    if (this.suspicions.size <= this.options.maxEntries) return;
    this.forgetExpired(this.options.clock.monotonicMs());
    while (this.suspicions.size > this.options.maxEntries) this.evictLeastBlamed(fingerprint);
  }

  private evictLeastBlamed(keep: string): void {
    let victim: string | undefined;
    let leastBlame = Infinity;
    for (const [fingerprint, { blame }] of this.suspicions) {
      if (blame < leastBlame && fingerprint !== keep) {
        victim = fingerprint;
        leastBlame = blame;
      }
    }
    if (victim === undefined) return;
    this.suspicions.delete(victim);
  }

  private forgetExpired(nowMs: number): void {
    for (const [fingerprint, suspicion] of this.suspicions) {
      if (suspicion.expiresAtMs <= nowMs) this.suspicions.delete(fingerprint);
    }
  }

  private forgetOldCrashes(nowMs: number): void {
    for (const [upstream, crashedAtMs] of this.crashedAtMs) {
      if (nowMs - crashedAtMs >= this.options.crashMergeMs) this.crashedAtMs.delete(upstream);
    }
  }
}
