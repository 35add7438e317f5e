import type { Clock } from '@cactusstair/utils';

import { findCrashCauses } from './crashCauses.js';
import type { CrashCause, CrashSuspects } from './crashCauses.js';
import type { CrashReport } from './crashReport.js';
import { filterReports, MAX_EXPORTED_TRAITS } from './crashReport.js';

/** Options of `CrashAttribution`. */
export interface CrashAttributionOptions {
  clock: Clock;
  /** Time for which a crash is remembered, in milliseconds. Default 120,000. */
  ttlMs?: number;
  /** Maximum number of remembered crashes; the oldest are evicted first. Default 100. */
  maxCrashes?: number;
  /** Time after the start in which all traits count as if they had run well. Default 3,000. */
  minHistoryMs?: number;
  /** Called for each cause when it is found. */
  onCause?: (cause: CrashCause) => void;
}

/** Whether a request may run, runs to find out whether it still crashes upstreams, or is refused. */
export type CrashAdmission = 'admitted' | 'trial' | 'refused';

/** Whether to export what this instance saw itself, or also what its peers told it. */
export type ExportScope = 'own' | 'all';

/** A request at an upstream that has not made progress yet. */
export interface SuspectRun {
  /** Records that the request has passed the point at which it could have crashed its upstream. */
  recordProgress(): void;
  /** Records that this instance no longer waits for the request. */
  end(): void;
}

interface Run {
  traits: readonly string[];
  /** When the run ended, on the monotonic clock; undefined while it is in flight. */
  endedAtMs: number | undefined;
  cancel: () => void;
}

type TraitState = 'suspect' | 'cleared';

interface Crash {
  upstream: string;
  atMs: number;
  traits: Map<string, TraitState>;
  /** Traits whose state this instance has found out itself. */
  own: Set<string>;
}

/** Reports of one upstream within this time are about the same crash. */
const CRASH_MERGE_MS = 1500;
/**
 * An upstream may crash on a request that was given up shortly before, for example because a larger
 * model is to answer.
 */
const ENDED_RUN_MS = 500;
/** Number of traits whose last progress is remembered. */
const MAX_PROGRESS_ENTRIES = 4096;
/** Number of causes that are remembered beyond their crashes. */
const MAX_PAST_CAUSES = 256;
/** An instance that starts does not know yet what runs well. */
const MIN_HISTORY_MS = 3000;
/** Time between two requests that are tried although they have the traits of a cause. */
const TRIAL_INTERVAL_MS = 5000;
/** Cleared traits are exported for this long, so that peers clear them as well. */
const CLEARED_EXPORT_MS = 10_000;

const noop = () => {};

function listTraits(crash: Crash, state: TraitState, scope: ExportScope): string[] {
  return [...crash.traits]
    .filter(([trait, own]) => own === state && (scope === 'all' || crash.own.has(trait)))
    .map(([trait]) => trait);
}

/**
 * Finds what requests that crash upstreams have in common, and tells which requests to refuse.
 *
 * Each request has traits: its fingerprint and the parts of its prompt that it shares with others.
 * A crash makes the traits of all requests suspect that had not made progress at the upstream. A
 * trait is cleared when any request that has it makes progress afterwards. What remains suspect in
 * several crashes is their cause (`findCrashCauses`).
 *
 * Instances exchange what each of them saw of a crash. Suspects are united, and a trait that one
 * instance cleared is clear for all, so reports may arrive twice, late and by any way.
 */
export class CrashAttribution {
  private readonly runs = new Map<string, Set<Run>>();

  private crashes: Crash[] = [];

  /** When a request with a trait last made progress, in insertion order of the traits. */
  private readonly progressAtMs = new Map<string, number>();

  private readonly pastCauses = new Set<string>();

  private causes: CrashCause[] = [];

  private triedAtMs = -Infinity;

  private readonly startedAtMs: number;

  constructor(private readonly options: CrashAttributionOptions) {
    this.startedAtMs = options.clock.monotonicMs();
  }

  /** Number of remembered crashes. */
  get size(): number {
    return this.crashes.length;
  }

  /**
   * Records that a request was sent to an upstream.
   *
   * @param cancel ends the request if it turns out to have the traits of a cause
   */
  startRun(upstream: string, traits: readonly string[], cancel: () => void): SuspectRun {
    const run: Run = { traits, endedAtMs: undefined, cancel };
    const runs = this.runs.get(upstream) ?? new Set<Run>();
    this.removeEndedRuns(upstream, runs);
    this.runs.set(upstream, runs.add(run));
    return {
      recordProgress: () => {
        this.removeRun(upstream, run);
        this.clear(traits);
      },
      end: () => {
        run.endedAtMs ??= this.options.clock.monotonicMs();
        // Its request is no longer needed and would stay in memory.
        run.cancel = noop;
      },
    };
  }

  /**
   * Records that an upstream closed the connection of a request that it had not answered, or refused
   * a new one.
   *
   * @returns the traits that have come under suspicion
   */
  recordCrash(upstream: string): string[] {
    const runs = this.runs.get(upstream);
    if (!runs) return [];
    this.removeEndedRuns(upstream, runs);
    const traits = [...runs].flatMap((run) => run.traits);
    if (traits.length === 0) return [];
    const crash = this.getCrash(upstream, this.options.clock.monotonicMs());
    const added = this.addSuspects(crash, traits);
    for (const trait of traits) crash.own.add(trait);
    if (added.length > 0) this.updateCauses();
    return added;
  }

  /** Whether a request with these traits would crash its upstream. */
  isQuarantined(traits: readonly string[]): boolean {
    return this.findCause(traits) !== undefined;
  }

  /**
   * Decides about a new request. If requests with the traits of the cause have run well before, one
   * is tried now and then: refused ones could never show that an outage made them suspect.
   */
  admit(traits: readonly string[]): CrashAdmission {
    const cause = this.findCause(traits);
    if (!cause) return 'admitted';
    const nowMs = this.options.clock.monotonicMs();
    const canTry = cause.traits.every((trait) => this.progressAtMs.has(trait));
    if (!canTry || nowMs - this.triedAtMs < TRIAL_INTERVAL_MS) return 'refused';
    this.triedAtMs = nowMs;
    return 'trial';
  }

  /** Returns the newest crashes, to be sent to peers. */
  exportReports(scope: ExportScope): CrashReport[] {
    this.removeExpired();
    for (const [upstream, runs] of this.runs) this.removeEndedRuns(upstream, runs);
    const nowMs = this.options.clock.monotonicMs();
    const reports: CrashReport[] = [];
    let traitsLeft = MAX_EXPORTED_TRAITS;
    for (const crash of [...this.crashes].reverse()) {
      const ageMs = Math.round(nowMs - crash.atMs);
      const suspects = listTraits(crash, 'suspect', scope);
      const cleared = ageMs < CLEARED_EXPORT_MS ? listTraits(crash, 'cleared', scope) : [];
      traitsLeft -= suspects.length + cleared.length;
      if (traitsLeft < 0) break;
      if (suspects.length + cleared.length > 0) {
        reports.push({ upstream: crash.upstream, ageMs, suspects, cleared });
      }
    }
    return reports;
  }

  /** Adds what a peer saw. Entries of another form, as of older builds, are ignored. */
  importReports(reports: readonly unknown[]): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const report of filterReports(reports)) {
      if (report.ageMs < this.ttlMs) this.importReport(report, nowMs);
    }
  }

  private importReport(report: CrashReport, nowMs: number): void {
    if (report.suspects.length + report.cleared.length === 0) return;
    const crash = this.getCrash(report.upstream, nowMs - report.ageMs);
    const added = this.addSuspects(crash, report.suspects);
    const cleared = report.cleared.filter((trait) => crash.traits.get(trait) !== 'cleared');
    for (const trait of cleared) {
      crash.traits.set(trait, 'cleared');
      this.pastCauses.delete(trait);
    }
    if (added.length + cleared.length > 0) this.updateCauses();
  }

  private findCause(traits: readonly string[]): CrashCause | undefined {
    if (this.causes.length === 0) return undefined;
    this.removeExpired();
    return this.causes.find((cause) => cause.traits.every((trait) => traits.includes(trait)));
  }

  /** Whether this instance has just started, so that it cannot know what has run well before. */
  private get isHistoryShort(): boolean {
    return (
      this.options.clock.monotonicMs() - this.startedAtMs <
      (this.options.minHistoryMs ?? MIN_HISTORY_MS)
    );
  }

  private get ttlMs(): number {
    return this.options.ttlMs ?? 120_000;
  }

  /** Adds suspects to a crash and returns those that were not known and are not cleared. */
  private addSuspects(crash: Crash, suspects: readonly string[]): string[] {
    const added: string[] = [];
    for (const trait of suspects) {
      if (crash.traits.has(trait)) continue;
      const isCleared = (this.progressAtMs.get(trait) ?? -Infinity) > crash.atMs;
      crash.traits.set(trait, isCleared ? 'cleared' : 'suspect');
      if (isCleared) crash.own.add(trait);
      else added.push(trait);
    }
    return added;
  }

  /** Returns the crash of an upstream at about a time; creates it if it is not known. */
  private getCrash(upstream: string, atMs: number): Crash {
    const known = this.crashes.find(
      (crash) => crash.upstream === upstream && Math.abs(crash.atMs - atMs) < CRASH_MERGE_MS,
    );
    if (known) return known;
    const crash: Crash = { upstream, atMs, traits: new Map(), own: new Set() };
    this.crashes.push(crash);
    this.crashes.sort((a, b) => a.atMs - b.atMs);
    this.crashes = this.crashes.slice(-(this.options.maxCrashes ?? 100));
    return crash;
  }

  /** Clears traits of the crashes so far, because a request that has them has made progress. */
  private clear(traits: readonly string[]): void {
    const nowMs = this.options.clock.monotonicMs();
    let hasChanged = false;
    for (const trait of traits) {
      this.recordTraitProgress(trait, nowMs);
      for (const crash of this.crashes) {
        if (!crash.traits.has(trait)) continue;
        hasChanged ||= crash.traits.get(trait) === 'suspect';
        crash.traits.set(trait, 'cleared');
        crash.own.add(trait);
      }
    }
    if (hasChanged) this.updateCauses();
  }

  private recordTraitProgress(trait: string, nowMs: number): void {
    this.pastCauses.delete(trait);
    this.progressAtMs.delete(trait);
    this.progressAtMs.set(trait, nowMs);
    if (this.progressAtMs.size <= MAX_PROGRESS_ENTRIES) return;
    const oldest = this.progressAtMs.keys().next();
    if (!oldest.done) this.progressAtMs.delete(oldest.value);
  }

  private updateCauses(): void {
    const known = new Set(this.causes.map(({ traits }) => traits.join()));
    const crashes = this.crashes.map((crash): CrashSuspects => {
      return { atMs: crash.atMs, suspects: new Set(listTraits(crash, 'suspect', 'all')) };
    });
    this.causes = findCrashCauses(crashes, {
      hasProgressed: (trait) => this.isHistoryShort || this.progressAtMs.has(trait),
      isPastCause: (trait) => this.pastCauses.has(trait),
    });
    for (const cause of this.causes) {
      if (!known.has(cause.traits.join())) this.applyCause(cause);
    }
  }

  private applyCause(cause: CrashCause): void {
    if (cause.traits.length === 1) this.rememberCause(cause.traits[0]!);
    this.options.onCause?.(cause);
    for (const run of [...this.runs.values()].flatMap((runs) => [...runs])) {
      const hasAll = cause.traits.every((trait) => run.traits.includes(trait));
      if (hasAll && run.endedAtMs === undefined) run.cancel();
    }
  }

  private rememberCause(trait: string): void {
    this.pastCauses.delete(trait);
    this.pastCauses.add(trait);
    if (this.pastCauses.size <= MAX_PAST_CAUSES) return;
    const oldest = this.pastCauses.values().next();
    if (!oldest.done) this.pastCauses.delete(oldest.value);
  }

  private removeExpired(): void {
    const oldestMs = this.options.clock.monotonicMs() - this.ttlMs;
    if (this.crashes.every(({ atMs }) => atMs > oldestMs)) return;
    this.crashes = this.crashes.filter(({ atMs }) => atMs > oldestMs);
    this.updateCauses();
  }

  private removeEndedRuns(upstream: string, runs: Set<Run>): void {
    const oldestMs = this.options.clock.monotonicMs() - ENDED_RUN_MS;
    for (const run of runs) {
      if ((run.endedAtMs ?? Infinity) < oldestMs) this.removeRun(upstream, run);
    }
  }

  private removeRun(upstream: string, run: Run): void {
    const runs = this.runs.get(upstream);
    runs?.delete(run);
    if (runs?.size === 0) this.runs.delete(upstream);
  }
}
