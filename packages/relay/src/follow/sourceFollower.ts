import type { Clock } from '@cactusstair/utils';

import type { ClockReading } from './clockReading.js';
import { computeAgeMs, readClocks } from './clockReading.js';
import { ChangeLog } from './changeLog.js';
import type { ChangeSource, SourceChange, SourceFailure, SourceItem } from './changeSource.js';

/** Options of `SourceFollower`. */
export interface SourceFollowerOptions<T> {
  clock: Clock;
  source: ChangeSource<T>;
  /** Longest time that one poll for changes waits at the store, in milliseconds. */
  waitMs: number;
  /**
   * Whether this instance waits for changes at the source. One that does not hears from its peers
   * that there are some, and reads them then. Default: always.
   */
  shouldLongPoll?: () => boolean;
  /** Returns the age above which the state is confirmed by a read of its own, in milliseconds. */
  getMaxAgeMs: () => number;
  /**
   * Pause after a poll that brought changes, in milliseconds, so that changes in quick succession
   * come with one call. Default 0.
   */
  coalesceMs?: number;
  /** Longest pause after a failed read, in milliseconds. Default 700. */
  maxRetryMs?: number;
  /** Called with the full state after a list. */
  onSnapshot: (items: readonly SourceItem<T>[]) => void;
  onChange: (change: SourceChange<T>) => void;
  /** Called when reads begin to fail and when they succeed again. */
  onAvailability?: (isAvailable: boolean, reason: string) => void;
}

// Refused calls are priced too, so failures are not repeated at full speed.
const MIN_RETRY_MS = 150;
const DEFAULT_MAX_RETRY_MS = 700;
const AGE_CHECK_INTERVAL_MS = 100;

/** The changes that a view has taken in since a revision, for another instance. */
export interface ExportedChanges<T> {
  changes: SourceChange<T>[];
  revision: number;
  /** Age of the last confirmed read. */
  ageMs: number;
  /** Whether the last read of the store failed. */
  isDisturbed: boolean;
  /** Time since the store came back; null when it was not away. */
  restoredAgeMs: number | null;
}

/**
 * Keeps a view of one kind of objects current. A long poll brings the changes; since a silent poll
 * proves nothing, the view is confirmed by short reads from its revision, or by a peer that has
 * confirmed the same state.
 */
export class SourceFollower<T> {
  private confirmed: ClockReading | undefined;

  private revision: number | undefined;

  private isAvailable = true;

  private disturbed: ClockReading | undefined;

  private restored: ClockReading | undefined;

  private confirming: Promise<boolean> | undefined;

  private retryMs = MIN_RETRY_MS;

  /** When a store that did not answer is tried again, on the monotonic clock. */
  private retryAtMs = -Infinity;

  /** Whether a poll has brought changes since the last pause. */
  private hasNewChanges = false;

  /** Revision of the newest change of each object that was taken in. */
  private readonly applied = new Map<string, number>();

  /** Revision of the last list; older objects are known not to exist if it lacked them. */
  private listedRevision = 0;

  private readonly log = new ChangeLog<T>();

  constructor(private readonly options: SourceFollowerOptions<T>) {}

  /** Whether the first list has been read. */
  get isLoaded(): boolean {
    return this.confirmed !== undefined;
  }

  /** Age of the last confirmed read, counted from before it was sent; Infinity before the first. */
  getAgeMs(): number {
    return this.confirmed ? computeAgeMs(this.options.clock, this.confirmed) : Infinity;
  }

  /** Whether the last read failed, or a failure lies less than `spanMs` back. */
  hasRecentFailure(spanMs: number): boolean {
    if (!this.isAvailable) return true;
    return (
      this.disturbed !== undefined && computeAgeMs(this.options.clock, this.disturbed) < spanMs
    );
  }

  /** Time since reads succeeded again after a failure; Infinity without one, 0 while they fail. */
  getRestoredAgeMs(): number {
    if (!this.isAvailable) return 0;
    return this.restored ? computeAgeMs(this.options.clock, this.restored) : Infinity;
  }

  /** Returns the changes since `revision` for a peer; undefined when they are no longer known. */
  exportSince(revision: number): ExportedChanges<T> | undefined {
    const changes = this.log.listSince(revision);
    if (!changes || this.revision === undefined) return undefined;
    const restoredAgeMs = this.getRestoredAgeMs();
    return {
      changes,
      revision: this.revision,
      ageMs: this.getAgeMs(),
      isDisturbed: !this.isAvailable,
      restoredAgeMs: Number.isFinite(restoredAgeMs) ? restoredAgeMs : null,
    };
  }

  /** Takes over that a peer confirmed the state that this view has, by a read begun at `since`. */
  adopt(since: ClockReading): void {
    if (!this.confirmed) return;
    const { clock } = this.options;
    if (computeAgeMs(clock, since) < computeAgeMs(clock, this.confirmed)) this.confirmed = since;
  }

  /**
   * Reads once what changed since the last revision. Calls at the same time share one read.
   *
   * @returns whether the state is confirmed by a read that began after the call, or by the shared
   * one that was under way.
   */
  confirm(): Promise<boolean> {
    this.confirming ??= this.readChanges().finally(() => {
      this.confirming = undefined;
    });
    return this.confirming;
  }

  /** Ends the pause after a failed read, for example because another follower's has succeeded. */
  retryNow(): void {
    this.retryAtMs = -Infinity;
  }

  /** Follows the changes until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {
      clock,
      coalesceMs: settleMs = 0,
      shouldLongPoll: shouldWait = () => true,
      waitMs,
    } = this.options;
    while (!signal.aborted) {
      if (this.revision === undefined) {
        if (!(await this.load())) await clock.sleep(this.growRetry(), signal);
      } else if (!this.isAvailable || !shouldWait()) {
        // `keepFresh` tries the store; it also does so while a poll hangs in a silent outage.
        await clock.sleep(AGE_CHECK_INTERVAL_MS, signal);
      } else if (await this.poll(this.revision, waitMs)) {
        if (this.hasNewChanges && settleMs > 0) await clock.sleep(settleMs, signal);
        this.hasNewChanges = false;
      }
    }
  }

  /** Confirms the state when it is older than the age that is asked for, and after failures. */
  async keepFresh(signal: AbortSignal): Promise<void> {
    const { clock, getMaxAgeMs } = this.options;
    while (!signal.aborted) {
      await clock.sleep(AGE_CHECK_INTERVAL_MS, signal);
      if (!this.isLoaded) continue;
      const isDue = this.isAvailable
        ? this.getAgeMs() >= getMaxAgeMs()
        : clock.monotonicMs() >= this.retryAtMs;
      if (isDue && !(await this.confirm())) {
        this.retryAtMs = clock.monotonicMs() + this.growRetry();
      }
    }
  }

  /** Returns the pause before the next try and lengthens the one after it. */
  private growRetry(): number {
    const pauseMs = this.retryMs * (0.7 + Math.random() * 0.6);
    const maxRetryMs = this.options.maxRetryMs ?? DEFAULT_MAX_RETRY_MS;
    this.retryMs = Math.min(this.retryMs * 1.6, maxRetryMs);
    return pauseMs;
  }

  private async readChanges(): Promise<boolean> {
    if (this.revision !== undefined && (await this.poll(this.revision, 0))) return true;
    // The history is gone; a poll that still waits must not delay the new list.
    return this.revision === undefined && this.isLoaded ? this.load() : false;
  }

  private async load(): Promise<boolean> {
    const before = readClocks(this.options.clock);
    const listed = await this.options.source.list();
    if (listed.isErr()) return this.handleFailure(listed.error);
    this.applied.clear();
    for (const item of listed.value.items) this.applied.set(item.name, item.revision);
    this.listedRevision = listed.value.revision;
    this.log.reset(listed.value.revision);
    this.options.onSnapshot(listed.value.items);
    this.recordRead(before, listed.value.revision);
    return true;
  }

  private async poll(revision: number, waitMs: number): Promise<boolean> {
    const before = readClocks(this.options.clock);
    const polled = await this.options.source.poll(revision, waitMs);
    if (polled.isErr()) return this.handleFailure(polled.error);
    const { changes, revision: readRevision, ageMs = 0, restoredAgeMs } = polled.value;
    if (typeof restoredAgeMs === 'number') this.recordRestored(restoredAgeMs);
    for (const change of changes) this.apply(change, readRevision);
    const { monotonicMs, wallMs } = before;
    this.recordRead({ monotonicMs: monotonicMs - ageMs, wallMs: wallMs - ageMs }, readRevision);
    return true;
  }

  /** Takes a change in unless a read that overtook this one has brought a newer state. */
  private apply(change: SourceChange<T>, readRevision: number): void {
    const known = this.applied.get(change.name) ?? 0;
    // The store may name the object's last change in a deletion, not the deletion itself.
    const isOld = change.isDeleted
      ? change.revision < known
      : change.revision <= Math.max(known, this.listedRevision);
    if (isOld) return;
    this.applied.set(change.name, Math.max(known, change.revision));
    this.hasNewChanges = true;
    this.log.record(change, readRevision);
    this.options.onChange(change);
  }

  /** Takes over that the store was away, so that vanished entries are judged as at the peer. */
  private recordRestored(restoredAgeMs: number): void {
    if (restoredAgeMs >= this.getRestoredAgeMs()) return;
    const { monotonicMs, wallMs } = readClocks(this.options.clock);
    this.restored = { monotonicMs: monotonicMs - restoredAgeMs, wallMs: wallMs - restoredAgeMs };
    this.disturbed = this.restored;
  }

  private recordRead(before: ClockReading, revision: number): void {
    this.revision = Math.max(this.revision ?? 0, revision);
    if (!this.confirmed || this.getAgeMs() > computeAgeMs(this.options.clock, before)) {
      this.confirmed = before;
    }
    this.retryMs = MIN_RETRY_MS;
    this.setAvailable(true, '');
  }

  private handleFailure(failure: SourceFailure): boolean {
    if (failure.type === 'history_gone') this.revision = undefined;
    else this.setAvailable(false, failure.message);
    return false;
  }

  private setAvailable(isAvailable: boolean, reason: string): void {
    const now = readClocks(this.options.clock);
    if (!isAvailable) this.disturbed = now;
    if (isAvailable === this.isAvailable) return;
    this.isAvailable = isAvailable;
    if (isAvailable) this.restored = now;
    this.options.onAvailability?.(isAvailable, reason);
  }
}
