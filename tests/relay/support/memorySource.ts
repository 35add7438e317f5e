import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type {
  ChangeSource,
  SourceChange,
  SourceChanges,
  SourceFailure,
  SourceList,
} from '@cactusstair/relay';

/** In-memory source of one kind of objects that can simulate store failures. */
export class MemorySource<T> implements ChangeSource<T> {
  private readonly items = new Map<string, { revision: number; value: T | undefined }>();

  private history: SourceChange<T>[] = [];

  /** All changes since the start, from which a restore rebuilds an older state. */
  private writes: SourceChange<T>[] = [];

  private waiting: (() => void)[] = [];

  revision = 1;

  /** Number of calls to `list` and `poll`. */
  calls = 0;

  /** Makes all calls fail while set. */
  isDown = false;

  /** Era that all answers name, failures included; undefined for a store that names none. */
  era: number | undefined;

  /**
   * Restores the state before the last `lostWrites` changes, in a new era, and cuts all watches. An
   * outage is played by `isDown` before the call or after it; writes of the new era follow by `put`
   * and `skipRevisions`.
   */
  restore(lostWrites: number): void {
    this.writes = this.writes.slice(0, Math.max(0, this.writes.length - lostWrites));
    this.items.clear();
    for (const { name, revision, value, isDeleted } of this.writes) {
      if (isDeleted) this.items.delete(name);
      else this.items.set(name, { revision, value });
    }
    this.revision = this.writes.at(-1)?.revision ?? 1;
    this.history = this.history.filter(({ revision }) => revision <= this.revision);
    if (this.era !== undefined) this.era += 1;
    this.cutWatches();
  }

  /** Raises the revision as `count` writes of objects of other kinds do. */
  skipRevisions(count: number): void {
    this.revision += count;
  }

  put(name: string, value: T | undefined): void {
    this.revision += 1;
    this.items.set(name, { revision: this.revision, value });
    this.record({ name, revision: this.revision, value, isDeleted: false });
  }

  /** Stores an object without answering the waiting polls, like a store whose watches hang. */
  putSilently(name: string, value: T | undefined): void {
    const { waiting } = this;
    this.waiting = [];
    this.put(name, value);
    this.waiting = waiting;
  }

  get(name: string): T | undefined {
    return this.items.get(name)?.value;
  }

  getRevision(name: string): number | undefined {
    return this.items.get(name)?.revision;
  }

  remove(name: string): void {
    this.revision += 1;
    this.items.delete(name);
    this.record({ name, revision: this.revision, value: undefined, isDeleted: true });
  }

  /** Drops the history, so that polls from earlier revisions fail. */
  forgetHistory(): void {
    this.history = [];
    this.oldestRevision = this.revision;
    this.wake();
  }

  /** Ends all waiting polls without an answer, as the store may at any time. */
  cutWatches(): void {
    this.cuts += 1;
    this.wake();
  }

  /** Number of waiting polls. */
  get watchCount(): number {
    return this.waiting.length;
  }

  /** Ends all waiting polls. */
  wake(): void {
    for (const wake of this.waiting) wake();
    this.waiting = [];
  }

  private oldestRevision = 0;

  private cuts = 0;

  list(): Promise<Result<SourceList<T>, SourceFailure>> {
    this.calls += 1;
    if (this.isDown) return Promise.resolve(this.fail('unavailable'));
    const items = [...this.items].map(([name, item]) => ({ name, ...item }));
    return Promise.resolve(ok({ items, revision: this.revision, ...this.describeEra() }));
  }

  async poll(since: number, waitMs: number): Promise<Result<SourceChanges<T>, SourceFailure>> {
    this.calls += 1;
    if (!this.isDown && waitMs > 0 && since === this.revision) {
      const { cuts } = this;
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
      });
      // The connection ends without an answer, so that no era is known.
      if (this.cuts > cuts) return err({ type: 'unavailable', message: 'cut off' });
    }
    if (this.isDown) return this.fail('unavailable');
    if (since < this.oldestRevision || since > this.revision) return this.fail('history_gone');
    const changes = this.history.filter((change) => change.revision > since);
    return ok({ changes, revision: this.revision, ...this.describeEra() });
  }

  private fail(type: SourceFailure['type']) {
    const era = this.describeEra();
    return err<never, SourceFailure>(
      type === 'unavailable' ? { type, message: 'down', ...era } : { type, ...era },
    );
  }

  private describeEra(): { era?: number } {
    return this.era === undefined ? {} : { era: this.era };
  }

  private record(change: SourceChange<T>): void {
    this.history.push(change);
    this.writes.push(change);
    this.wake();
  }
}
