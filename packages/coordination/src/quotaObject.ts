import type { Clock, Random } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { ObjectStore, StoredObject, StoreFailure } from './objectStore.js';

const QUOTA_KIND = 'quota';
const MAX_ATTEMPTS = 6;
const BACKOFF_MS = 10;

/** Length of the window of a limit per minute. */
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

/** Result of a lease. */
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
   * Leases up to `wanted` tokens of the current window. A write whose answer was lost and that
   * cannot be found again counts as not made: its tokens are unused in this window.
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
    let doubtful: { chunk: LeasedChunk; version: number } | undefined;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const read = await store.get(QUOTA_KIND, this.workspace);
      if (read.isErr() && read.error.type !== 'not_found') return err(read.error);
      const current = read.isOk() ? read.value : undefined;
      const version = current?.version ?? 0;
      if (doubtful && this.isChangedBy(current, changeId)) return ok(doubtful.chunk);
      // A later change may cover the one whose answer was lost; a repeat could take tokens twice.
      if (doubtful && doubtful.version !== version) {
        return err({ type: 'unknown', message: 'a change of the quota got no answer' });
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
      if (failure.type === 'unknown') doubtful = { chunk, version };
      await clock.sleep(BACKOFF_MS * attempt * (0.5 + random.next()), signal);
    }
    return err(failure);
  }

  private isChangedBy(current: StoredObject | undefined, changeId: string): boolean {
    return (current?.value as QuotaValue | undefined)?.changeId === changeId;
  }

  /** Returns the stored value with the current window and limit. */
  private openWindow(current: StoredObject | undefined, limitPerMinute: number): QuotaValue {
    const window = Math.floor(this.options.clock.wallMs() / WINDOW_MS);
    const stored = current?.value as QuotaValue | undefined;
    // Another instance whose clock is ahead may have opened the next window. A number further
    // ahead comes from a wrong clock; following it would stop the workspace.
    const isCurrent = stored && (stored.window === window || stored.window === window + 1);
    if (!isCurrent) return { window, limitPerMinute, remaining: limitPerMinute, changeId: '' };
    const remaining = stored.remaining + limitPerMinute - stored.limitPerMinute;
    return { ...stored, limitPerMinute, remaining };
  }
}
