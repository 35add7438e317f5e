import type { Clock } from '@cactusstair/utils';

import type { ClockReading } from './clockReading.js';
import { computeAgeMs, readClocks } from './clockReading.js';
import { ChangeLog } from './changeLog.js';
import type {
  ChangeSource,
  SourceChange,
  SourceChanges,
  SourceFailure,
  SourceItem,
} from './changeSource.js';

/** Options of `SourceFollower`. */
export interface SourceFollowerOptions<T> {
  clock: Clock;
  source: ChangeSource<T>;
  /** Longest time that one poll for changes waits at the store, in milliseconds. */
  waitMs: number;
  /**
   * Whether to long-poll the source for changes. An instance that does not learns of changes from
   * its peers and reads them then. Default: always.
   */
  shouldLongPoll?: () => boolean;
  /** Returns the age in milliseconds above which the follower confirms its state by a read. */
  getMaxAgeMs: () => number;
  /**
   * Pause after a poll that returned changes, in milliseconds, so that changes in quick succession
   * arrive in one call. Default 0.
   */
  coalesceMs?: number;
  /** Longest pause after a failed read, in milliseconds. Default 700. */
  maxRetryMs?: number;
  /** Called with the full state after a list. */
  onSnapshot: (items: readonly SourceItem<T>[]) => void;
  onChange: (change: SourceChange<T>) => void;
  /** Called when reads begin to fail and when they succeed again. */
  onAvailability?: (isAvailable: boolean, reason: string) => void;
  /**
   * Called when a newer era of the store is seen after the first list, before the list of that era
   * is passed to `onSnapshot`.
   */
  onEra?: (era: number) => void;
  /** Returns the newest era that any answer of the store has named. */
  getKnownEra?: () => number | undefined;
}

// Refused calls also have a cost, so failed reads are retried with a growing pause.
const MIN_RETRY_MS = 150;
const DEFAULT_MAX_RETRY_MS = 700;
/** Interval at which the age of the state is looked at. */
export const AGE_CHECK_INTERVAL_MS = 100;

/** The changes that a view has applied since a revision, as sent to another instance. */
export interface ExportedChanges<T> {
  changes: SourceChange<T>[];
  revision: number;
  /** Era of the revision; absent if the store names none. */
  era?: number;
  /** Age of the last confirmed read. */
  ageMs: number;
  /** Whether the last read of the store failed. */
  isDisturbed: boolean;
  /** Time since reads succeeded again after a failure; null if none has failed. */
  restoredAgeMs: number | null;
}

/**
 * Keeps a view of one kind of objects up to date. A long poll delivers the changes. A poll that
 * gets no answer does not prove that nothing changed, so the view is also confirmed by short reads
 * from its revision, or by a peer that has confirmed the same state.
 */
export class SourceFollower<T> {
  private confirmedAt: ClockReading | undefined;

  private revision: number | undefined;

  /** Newest era that an answer has named; undefined while the store has named none. */
  private era: number | undefined;

  /** Era of the list that the state is based on. */
  private listedEra: number | undefined;

  /** Whether the list of a new era is still to be read. */
  private isRelisting = false;

  private isAvailable = true;

  private failedAt: ClockReading | undefined;

  private restoredAt: ClockReading | undefined;

  private confirming: Promise<boolean> | undefined;

  private loading: Promise<boolean> | undefined;

  private retryMs = MIN_RETRY_MS;

  /** Earliest time of the next read after a failed one, on the monotonic clock. */
  private retryAtMs = -Infinity;

  /** Whether changes were applied since the last pause. */
  private hasNewChanges = false;

  /** Revision of the newest applied change of each object. */
  private readonly applied = new Map<string, number>();

  /** Revision of the last list. An object that the list lacks did not exist at this revision. */
  private listedRevision = 0;

  private readonly log = new ChangeLog<T>();

  constructor(private readonly options: SourceFollowerOptions<T>) {}

  /** Whether the first list has been read. */
  get isLoaded(): boolean {
    return this.confirmedAt !== undefined;
  }

  /**
   * Returns the age of the last confirmed read, counted from before it was sent; Infinity before
   * the first.
   */
  getAgeMs(): number {
    return this.confirmedAt ? computeAgeMs(this.options.clock, this.confirmedAt) : Infinity;
  }

  /**
   * Era of the state's revisions; undefined if the store names none. It lags behind the store until
   * the list of a new era has been read.
   */
  get stateEra(): number | undefined {
    return this.listedEra;
  }

  /** Whether the last read failed, or any read failed less than `spanMs` ago. */
  hasRecentFailure(spanMs: number): boolean {
    if (!this.isAvailable) return true;
    return this.failedAt !== undefined && computeAgeMs(this.options.clock, this.failedAt) < spanMs;
  }

  /**
   * Returns the time since reads succeeded again after a failure; Infinity if none has failed, 0
   * while they fail.
   */
  getRestoredAgeMs(): number {
    if (!this.isAvailable) return 0;
    return this.restoredAt ? computeAgeMs(this.options.clock, this.restoredAt) : Infinity;
  }

  /**
   * Returns the changes since `revision` for a peer; undefined if the log no longer holds them or
   * the revision is of another era.
   */
  exportSince(revision: number, era?: number): ExportedChanges<T> | undefined {
    if (this.revision === undefined || era !== this.listedEra) return undefined;
    const changes = this.log.listSince(revision);
    if (!changes) return undefined;
    const restoredAgeMs = this.getRestoredAgeMs();
    return {
      changes,
      revision: this.revision,
      ...(era === undefined ? {} : { era }),
      ageMs: this.getAgeMs(),
      isDisturbed: !this.isAvailable,
      restoredAgeMs: Number.isFinite(restoredAgeMs) ? restoredAgeMs : null,
    };
  }

  /** Adopts the confirmation of a peer that holds the same state, by a read begun at `since`. */
  adopt(since: ClockReading): void {
    if (!this.confirmedAt) return;
    const { clock } = this.options;
    if (computeAgeMs(clock, since) < computeAgeMs(clock, this.confirmedAt))
      this.confirmedAt = since;
  }

  /**
   * Reads the changes since the last revision once. Concurrent calls share one read.
   *
   * @returns whether the state was confirmed, by a read that began after the call or by the shared
   * one that was already in progress.
   */
  confirm(): Promise<boolean> {
    this.confirming ??= this.readChanges().finally(() => {
      this.confirming = undefined;
    });
    return this.confirming;
  }

  /** Ends the pause after a failed read, for example because another follower reached the store. */
  retryNow(): void {
    this.retryAtMs = -Infinity;
  }

  /**
   * Ends all comparisons with revisions of earlier eras when `era` is newer. The state stays as it
   * is until the objects have been listed in the new era.
   */
  startEra(era: number): void {
    if (this.era !== undefined && era <= this.era) return;
    this.era = era;
    if (!this.isLoaded) return;
    this.revision = undefined;
    this.isRelisting = true;
    this.options.onEra?.(era);
  }

  /** Follows the changes until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, coalesceMs = 0, shouldLongPoll = () => true, waitMs } = this.options;
    while (!signal.aborted) {
      if (this.revision === undefined) {
        if (!(await this.load())) await clock.sleep(this.growRetryPause(), signal);
      } else if (!this.isAvailable || !shouldLongPoll()) {
        // `keepFresh` retries the store, also while a long poll hangs because the store does not
        // respond.
        await clock.sleep(AGE_CHECK_INTERVAL_MS, signal);
      } else if (await this.watch(this.revision, waitMs)) {
        if (this.hasNewChanges && coalesceMs > 0) await clock.sleep(coalesceMs, signal);
        this.hasNewChanges = false;
      } else if (this.revision !== undefined) {
        await clock.sleep(this.growRetryPause(), signal);
      }
    }
  }

  /** Confirms the state whenever it exceeds the maximum age, and retries after failures. */
  async keepFresh(signal: AbortSignal): Promise<void> {
    const { clock, getMaxAgeMs } = this.options;
    while (!signal.aborted) {
      await clock.sleep(AGE_CHECK_INTERVAL_MS, signal);
      const knownEra = this.options.getKnownEra?.();
      if (knownEra !== undefined) this.startEra(knownEra);
      if (!this.isLoaded) continue;
      const isDue =
        this.isAvailable && !this.isRelisting
          ? this.getAgeMs() >= getMaxAgeMs()
          : clock.monotonicMs() >= this.retryAtMs;
      if (isDue && !(await this.confirm())) {
        this.retryAtMs = clock.monotonicMs() + this.growRetryPause();
      }
    }
  }

  /** Returns the pause before the next attempt and increases the one after it. */
  private growRetryPause(): number {
    const pauseMs = this.retryMs * (0.7 + Math.random() * 0.6);
    const maxRetryMs = this.options.maxRetryMs ?? DEFAULT_MAX_RETRY_MS;
    this.retryMs = Math.min(this.retryMs * 1.6, maxRetryMs);
    return pauseMs;
  }

  private async readChanges(): Promise<boolean> {
    if (this.revision !== undefined && (await this.poll(this.revision))) return true;
    // The store has dropped the history or was restored: list now instead of waiting for the long
    // poll in `run`.
    return this.revision === undefined && this.isLoaded ? this.load() : false;
  }

  /** Reads the whole state. Concurrent calls share one read, so that no older list comes last. */
  private load(): Promise<boolean> {
    this.loading ??= this.readList().finally(() => {
      this.loading = undefined;
    });
    return this.loading;
  }

  private async readList(): Promise<boolean> {
    const before = readClocks(this.options.clock);
    const { era } = this;
    const listed = await this.options.source.list();
    if (listed.isErr()) return this.handleFailure(listed.error);
    const { items, revision, era: readEra } = listed.value;
    if (readEra !== undefined) this.startEra(readEra);
    // A list of the new era counts whenever it was sent.
    if (!this.checkEra(readEra, readEra === this.era ? readEra : era)) return false;
    this.applied.clear();
    for (const item of items) this.applied.set(item.name, item.revision);
    this.listedRevision = revision;
    this.listedEra = this.era;
    this.log.reset(revision);
    if (this.isRelisting) this.recordRelisted();
    this.options.onSnapshot(items);
    this.recordRead(before, revision);
    return true;
  }

  /** Treats entries that the list of a new era lacks as those that vanish in an outage. */
  private recordRelisted(): void {
    this.isRelisting = false;
    this.failedAt = readClocks(this.options.clock);
    this.restoredAt = this.failedAt;
  }

  /**
   * Waits for changes. The store may end a waiting call without an answer at any time, so only a
   * short read that fails as well shows an outage.
   */
  private async watch(revision: number, waitMs: number): Promise<boolean> {
    const before = readClocks(this.options.clock);
    const { era } = this;
    const polled = await this.options.source.poll(revision, waitMs, era);
    if (polled.isOk()) return this.applyRead(before, polled.value, era);
    if (polled.error.type === 'history_gone') return this.handleFailure(polled.error);
    await this.confirm();
    return false;
  }

  private async poll(revision: number): Promise<boolean> {
    const before = readClocks(this.options.clock);
    const { era } = this;
    const polled = await this.options.source.poll(revision, 0, era);
    return polled.isOk()
      ? this.applyRead(before, polled.value, era)
      : this.handleFailure(polled.error);
  }

  /**
   * Whether an answer belongs to the era in which the read was sent, and no newer era has been seen
   * since. An earlier era in answer to a later read means that the store is not what it was.
   */
  private checkEra(readEra: number | undefined, sentInEra: number | undefined): boolean {
    if (readEra !== undefined) this.startEra(readEra);
    if (sentInEra !== this.era) return false;
    if (readEra === undefined || readEra === this.era) return true;
    return this.handleFailure({
      type: 'unavailable',
      message: `the store answered in era ${readEra} after era ${this.era}`,
    });
  }

  /** Applies the changes of a read that began at `before`. */
  private applyRead(before: ClockReading, read: SourceChanges<T>, sentInEra?: number): boolean {
    if (!this.checkEra(read.era, sentInEra)) return false;
    const { changes, revision: readRevision, ageMs = 0, restoredAgeMs } = read;
    if (typeof restoredAgeMs === 'number') this.recordRestored(restoredAgeMs);
    for (const change of changes) this.apply(change, readRevision);
    const { monotonicMs, wallMs } = before;
    this.recordRead({ monotonicMs: monotonicMs - ageMs, wallMs: wallMs - ageMs }, readRevision);
    return true;
  }

  /** Applies a change unless a read that overtook this one has already applied a newer one. */
  private apply(change: SourceChange<T>, readRevision: number): void {
    const known = this.applied.get(change.name) ?? 0;
    // A deletion may carry the revision of the last change to the object instead of its own.
    const isOld = change.isDeleted
      ? change.revision < known
      : change.revision <= Math.max(known, this.listedRevision);
    if (isOld) return;
    this.applied.set(change.name, Math.max(known, change.revision));
    this.hasNewChanges = true;
    this.log.record(change, readRevision);
    this.options.onChange(change);
  }

  /**
   * Adopts the store outage that a peer has seen, so that missing entries are treated as they are
   * at the peer.
   */
  private recordRestored(restoredAgeMs: number): void {
    if (restoredAgeMs >= this.getRestoredAgeMs()) return;
    const { monotonicMs, wallMs } = readClocks(this.options.clock);
    this.restoredAt = { monotonicMs: monotonicMs - restoredAgeMs, wallMs: wallMs - restoredAgeMs };
    this.failedAt = this.restoredAt;
  }

  private recordRead(before: ClockReading, revision: number): void {
    this.revision = Math.max(this.revision ?? 0, revision);
    if (!this.confirmedAt || this.getAgeMs() > computeAgeMs(this.options.clock, before)) {
      this.confirmedAt = before;
    }
    this.retryMs = MIN_RETRY_MS;
    this.setAvailable(true, '');
  }

  private handleFailure(failure: SourceFailure): false {
    if (failure.era !== undefined) this.startEra(failure.era);
    if (failure.type === 'history_gone') this.revision = undefined;
    else this.setAvailable(false, failure.message);
    return false;
  }

  private setAvailable(isAvailable: boolean, reason: string): void {
    const now = readClocks(this.options.clock);
    if (!isAvailable) this.failedAt = now;
    if (isAvailable === this.isAvailable) return;
    this.isAvailable = isAvailable;
    if (isAvailable) this.restoredAt = now;
    this.options.onAvailability?.(isAvailable, reason);
  }
}
