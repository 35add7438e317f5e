import type { Clock, Random } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { ObjectStore, StoredObject, StoreFailure } from './objectStore.js';

const QUOTA_KIND = 'quota';
const MAX_ATTEMPTS = 6;
const BACKOFF_MS = 10;

/** Length of a quota window. */
export const WINDOW_MS = 60_000;

interface QuotaValue {
  /** Number of the window: wall-clock milliseconds divided by the length of a window. */
  window: number;
  /** Limit at the time of the last change. */
  limitPerMinute: number;
  /** Tokens of the window that are not leased. It is negative after the limit was lowered. */
  remaining: number;
  /** Identifies the last change, so that its writer recognises it after a lost answer. */
  changeId: string;
}

/** Tokens leased from one window. */
export interface LeasedChunk {
  window: number;
  tokens: number;
}

/** Options of `QuotaObject`. */
export interface QuotaObjectOptions {
  store: ObjectStore;
  clock: Clock;
  random: Random;
  /** Identifies this run of the instance in change ids. */
  writer: string;
  signal: AbortSignal;
}

/** The object `quota/{workspace}`, changed by conditional updates. */
export class QuotaObject {
  private nextChange = 1;

  constructor(
    private readonly options: QuotaObjectOptions,
    private readonly workspace: string,
  ) {}

  /**
   * Leases up to `wanted` tokens of the current window. If the answer of a write was lost and
   * its outcome cannot be determined, the lease fails and its tokens may stay unused in this window.
   */
  lease(wanted: number, limitPerMinute: number): Promise<Result<LeasedChunk, StoreFailure>> {
    return this.change((value) => {
      const tokens = Math.max(0, Math.min(wanted, value.remaining));
      return { value: { ...value, remaining: value.remaining - tokens }, tokens };
    }, limitPerMinute);
  }

  /** Returns unused tokens; they are dropped when their window is over. */
  async return(chunk: LeasedChunk, limitPerMinute: number): Promise<Result<void, StoreFailure>> {
    const changed = await this.change((value) => {
      if (value.window !== chunk.window) return { value, tokens: 0 };
      const remaining = Math.min(limitPerMinute, value.remaining + chunk.tokens);
      return { value: { ...value, remaining }, tokens: chunk.tokens };
    }, limitPerMinute);
    return changed.map(() => undefined);
  }

  private async change(
    apply: (value: QuotaValue) => { value: QuotaValue; tokens: number },
    limitPerMinute: number,
  ): Promise<Result<LeasedChunk, StoreFailure>> {
    const { store, clock, random, writer, signal } = this.options;
    const changeId = `${writer}.${this.nextChange}`;
    this.nextChange += 1;
    let failure: StoreFailure = { type: 'conflict' };
    let inDoubt: { chunk: LeasedChunk; version: number } | undefined;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const read = await store.get(QUOTA_KIND, this.workspace);
      if (read.isErr() && read.error.type !== 'not_found') return err(read.error);
      const current = read.isOk() ? read.value : undefined;
      const version = current?.version ?? 0;
      if (inDoubt && this.isChangedBy(current, changeId)) return ok(inDoubt.chunk);
      // A later change may hide the one whose answer was lost; a retry could take tokens twice.
      if (inDoubt && inDoubt.version !== version) {
        return err({
          type: 'unknown',
          message: 'the write of the quota object got no answer; its outcome is unknown',
        });
      }
      const value = this.openWindow(current, limitPerMinute);
      const changed = apply(value);
      const chunk = { window: value.window, tokens: changed.tokens };
      if (changed.tokens === 0) return ok(chunk);
      const next = { ...changed.value, changeId };
      const written = current
        ? await store.update(QUOTA_KIND, this.workspace, next, version)
        : await store.create(QUOTA_KIND, this.workspace, next);
      if (written.isOk()) return ok(chunk);
      failure = written.error;
      if (failure.type === 'unavailable') return err(failure);
      if (failure.type === 'unknown') inDoubt = { chunk, version };
      await clock.sleep(BACKOFF_MS * attempt * (0.5 + random.next()), signal);
    }
    return err(failure);
  }

  private isChangedBy(current: StoredObject | undefined, changeId: string): boolean {
    return (current?.value as QuotaValue | undefined)?.changeId === changeId;
  }

  /** Returns the stored value, updated to the current window and limit. */
  private openWindow(current: StoredObject | undefined, limitPerMinute: number): QuotaValue {
    const window = Math.floor(this.options.clock.wallMs() / WINDOW_MS);
    const stored = current?.value as QuotaValue | undefined;
    // Another instance whose clock is ahead may have opened the next window. A number further
    // ahead comes from a wrong clock; using it would block the workspace.
    const isCurrent = stored && (stored.window === window || stored.window === window + 1);
    if (!isCurrent) return { window, limitPerMinute, remaining: limitPerMinute, changeId: '' };
    const remaining = stored.remaining + limitPerMinute - stored.limitPerMinute;
    return { ...stored, limitPerMinute, remaining };
  }
}
