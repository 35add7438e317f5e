import type { SourceChange } from './changeSource.js';

const MAX_ENTRIES = 300;

interface LogEntry<T> {
  /** Revision up to which the read that returned the change was complete. */
  readRevision: number;
  change: SourceChange<T>;
}

/** Keeps the newest changes of a followed state for instances that hold an earlier revision. */
export class ChangeLog<T> {
  private entries: LogEntry<T>[] = [];

  /** Changes up to this revision are no longer in the log. */
  private floor = Infinity;

  /** Clears the log after a full list was read at `revision`. */
  reset(revision: number): void {
    this.entries = [];
    this.floor = revision;
  }

  record(change: SourceChange<T>, readRevision: number): void {
    this.entries.push({ readRevision, change });
    if (this.entries.length <= MAX_ENTRIES) return;
    const dropped = this.entries.shift();
    if (dropped) this.floor = Math.max(this.floor, dropped.readRevision);
  }

  /** Returns the changes after `revision`, or undefined if the log does not reach back that far. */
  listSince(revision: number): SourceChange<T>[] | undefined {
    if (revision < this.floor) return undefined;
    return this.entries
      .filter((entry) => entry.readRevision > revision)
      .map(({ change }) => change);
  }
}
