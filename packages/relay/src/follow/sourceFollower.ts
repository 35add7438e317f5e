import type { Clock } from '@cactusstair/utils';

import type { ClockReading } from './beliefAge.js';
import { computeAgeMs, readClocks } from './beliefAge.js';
import type { ChangeSource, SourceChange, SourceItem } from './changeSource.js';

/** Options of `SourceFollower`. */
export interface SourceFollowerOptions<T> {
  clock: Clock;
  source: ChangeSource<T>;
  /** Longest time that one poll waits at the store, in milliseconds. */
  waitMs: number;
  /** Called with the full state after a list. */
  onSnapshot: (items: readonly SourceItem<T>[]) => void;
  onChange: (change: SourceChange<T>) => void;
  /** Called when reads begin to fail and when they succeed again. */
  onAvailability?: (isAvailable: boolean, reason: string) => void;
}

// Refused calls are priced too, so failures are not repeated at full speed.
const MIN_RETRY_MS = 150;
const MAX_RETRY_MS = 700;

/** Keeps a view of one kind of objects current by linearizable polls from the last revision. */
export class SourceFollower<T> {
  private confirmed: ClockReading | undefined;

  private isAvailable = true;

  private disturbed: ClockReading | undefined;

  private restored: ClockReading | undefined;

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
  isDisturbed(spanMs: number): boolean {
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

  async run(signal: AbortSignal): Promise<void> {
    let retryMs = MIN_RETRY_MS;
    let revision: number | undefined;
    while (!signal.aborted) {
      const before = readClocks(this.options.clock);
      const next = await (revision === undefined ? this.load() : this.poll(revision));
      if (next.type === 'ok') {
        this.confirmed = before;
        revision = next.revision;
        retryMs = MIN_RETRY_MS;
        this.setAvailable(true, '');
      } else if (next.type === 'history_gone') {
        revision = undefined;
      } else {
        this.setAvailable(false, next.message);
        await this.options.clock.sleep(retryMs * (0.7 + Math.random() * 0.6), signal);
        retryMs = Math.min(retryMs * 1.6, MAX_RETRY_MS);
      }
    }
  }

  private async load(): Promise<
    | { type: 'ok'; revision: number }
    | { type: 'history_gone' }
    | { type: 'unavailable'; message: string }
  > {
    const listed = await this.options.source.list();
    if (listed.isErr()) return listed.error;
    this.options.onSnapshot(listed.value.items);
    return { type: 'ok', revision: listed.value.revision };
  }

  private async poll(
    revision: number,
  ): Promise<
    | { type: 'ok'; revision: number }
    | { type: 'history_gone' }
    | { type: 'unavailable'; message: string }
  > {
    const polled = await this.options.source.poll(revision, this.options.waitMs);
    if (polled.isErr()) return polled.error;
    for (const change of polled.value.changes) this.options.onChange(change);
    return { type: 'ok', revision: Math.max(revision, polled.value.revision) };
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
