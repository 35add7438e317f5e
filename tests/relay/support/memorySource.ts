import { err, ok } from 'neverthrow';

import type { ChangeSource, SourceChange } from '@cactusstair/relay';

/** In-memory source of one kind of objects that can simulate store failures. */
export class MemorySource<T> implements ChangeSource<T> {
  private readonly items = new Map<string, { revision: number; value: T | undefined }>();

  private history: SourceChange<T>[] = [];

  private waiting: (() => void)[] = [];

  revision = 1;

  /** Number of calls to `list` and `poll`. */
  calls = 0;

  /** Makes all calls fail while set. */
  isDown = false;

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

  async list() {
    this.calls += 1;
    if (this.isDown) return err({ type: 'unavailable' as const, message: 'down' });
    const items = [...this.items].map(([name, item]) => ({ name, ...item }));
    return ok({ items, revision: this.revision });
  }

  async poll(since: number, waitMs: number) {
    this.calls += 1;
    if (!this.isDown && waitMs > 0 && since === this.revision) {
      const { cuts } = this;
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
      });
      if (this.cuts > cuts) return err({ type: 'unavailable' as const, message: 'cut off' });
    }
    if (this.isDown) return err({ type: 'unavailable' as const, message: 'down' });
    if (since < this.oldestRevision) return err({ type: 'history_gone' as const });
    const changes = this.history.filter((change) => change.revision > since);
    return ok({ changes, revision: this.revision });
  }

  private record(change: SourceChange<T>): void {
    this.history.push(change);
    this.wake();
  }
}
