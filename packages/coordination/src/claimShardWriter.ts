import type { Clock, Random } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { ClaimChange, ClaimOperation, OperationOutcome } from './claimOperations.js';
import { applyOperations } from './claimOperations.js';
import type { ClaimShardLimits } from './claimShard.js';
import { ClaimShard } from './claimShard.js';
import type { ObjectStore, StoredObject, StoreFailure } from './objectStore.js';
import type { WriteRateLimiter } from './writeRateLimiter.js';

/** Kind of the shard objects. */
const CLAIMS_KIND = 'claims';
const MAX_BATCH_OPERATIONS = 500;
const MAX_FAILED_CHANGES = 500;
const BACKOFF_BASE_MS = 5;
const BACKOFF_LIMIT_MS = 200;
const FAILED_CHANGE_RETRY_MS = 1000;

/** Options of `ClaimShardWriter`. */
export interface ClaimShardWriterOptions {
  store: ObjectStore;
  clock: Clock;
  random: Random;
  /** Ends pauses early when the instance stops. */
  signal: AbortSignal;
  writeRate: WriteRateLimiter;
  /** Name of the shard object. */
  name: string;
  limits: ClaimShardLimits;
  completionDelayMs: number;
  maxAttempts: number;
  /** Called before the result of a stored operation is delivered. */
  onStored: (operation: ClaimOperation, granted: boolean) => void;
  /** Called for a claim that was not granted although a write of it may have taken effect. */
  onInDoubt: (operation: ClaimOperation) => void;
}

/** Writes one shard, one update at a time; operations that arrive meanwhile share the next. */
export class ClaimShardWriter {
  private waiting: ClaimOperation[] = [];

  /** Outcomes and releases that could not be stored yet; they are part of every later batch. */
  private failedChanges: ClaimChange[] = [];

  private pause = new AbortController();

  private task: Promise<void> | undefined;

  constructor(private readonly options: ClaimShardWriterOptions) {}

  enqueue(operation: ClaimOperation): void {
    this.waiting.push(operation);
    if (operation.type !== 'complete') this.pause.abort();
    this.task ??= this.run();
  }

  /** Ends the delay before the next batch; removes and returns the changes that failed. */
  takeFailedChanges(): ClaimChange[] {
    this.pause.abort();
    return this.failedChanges.splice(0);
  }

  /** Writes the remaining operations without delays. Call it after `signal` has aborted. */
  async finish(): Promise<void> {
    this.pause.abort();
    await this.task;
  }

  private async run(): Promise<void> {
    const { signal, writeRate } = this.options;
    while (this.waiting.length > 0 || (this.failedChanges.length > 0 && !signal.aborted)) {
      await this.pauseBeforeBatch();
      await writeRate.acquire(signal);
      await this.writeBatch();
    }
    this.task = undefined;
  }

  private async pauseBeforeBatch(): Promise<void> {
    const { clock, signal, completionDelayMs } = this.options;
    this.pause = new AbortController();
    const isUrgent = this.waiting.some((operation) => operation.type !== 'complete');
    if (isUrgent || signal.aborted) return;
    const delayMs = this.waiting.length > 0 ? completionDelayMs : FAILED_CHANGE_RETRY_MS;
    if (delayMs > 0) await clock.sleep(delayMs, this.pause.signal);
  }

  private async writeBatch(): Promise<void> {
    const { clock, signal, maxAttempts, writeRate } = this.options;
    let batch: ClaimOperation[] = [];
    let failure: StoreFailure = { type: 'conflict' };
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      if (attempt > 0) {
        await clock.sleep(this.computeBackoffMs(attempt), signal);
        // Waiting for the rate limiter again would add a round of all shards to each conflict.
        writeRate.recordWrite();
      }
      const current = await this.readShard();
      // Operations that arrived during the read share the update.
      if (batch.length === 0) batch = this.takeBatch();
      if (current.isErr()) {
        failure = current.error;
        if (!batch.some((operation) => operation.inDoubtVersion !== undefined)) break;
        continue;
      }
      const written = await this.tryWrite(batch, current.value);
      if (written.isOk()) return;
      failure = written.error;
      batch = batch.filter((operation) => !operation.delivered);
      if (failure.type === 'unavailable') break;
    }
    for (const operation of batch) this.fail(operation, failure);
  }

  /** Applies the batch to a fresh copy of the shard and writes it if anything changed. */
  private async tryWrite(
    batch: readonly ClaimOperation[],
    current: StoredObject | undefined,
  ): Promise<Result<void, StoreFailure>> {
    const { clock, limits, name, store } = this.options;
    const version = current?.version ?? 0;
    for (const operation of batch) {
      // The lost write expected an older version of the shard and can no longer take effect.
      if ((operation.inDoubtVersion ?? version) < version) delete operation.inDoubtVersion;
    }
    const nowMs = clock.wallMs();
    const shard = new ClaimShard(current?.value, limits);
    shard.prune(nowMs);
    const outcomes = applyOperations(batch, shard, nowMs);
    batch.forEach((operation, index) => {
      const outcome = outcomes[index];
      if (outcome && !outcome.needsWrite) this.deliverResult(operation, outcome);
    });
    if (!outcomes.some((outcome) => outcome.needsWrite)) return ok(undefined);
    const value = shard.toValue();
    const written = current
      ? await store.update(CLAIMS_KIND, name, value, version)
      : await store.create(CLAIMS_KIND, name, value);
    if (written.isOk()) {
      batch.forEach((operation, index) => {
        const outcome = outcomes[index];
        if (outcome?.needsWrite) this.deliverResult(operation, outcome);
      });
      return ok(undefined);
    }
    if (written.error.type === 'unknown') {
      for (const operation of batch) operation.inDoubtVersion = version;
    }
    return err(written.error);
  }

  private async readShard(): Promise<Result<StoredObject | undefined, StoreFailure>> {
    const read = await this.options.store.get(CLAIMS_KIND, this.options.name);
    return read.orElse((failure) => (failure.type === 'not_found' ? ok(undefined) : err(failure)));
  }

  private takeBatch(): ClaimOperation[] {
    // In-doubt claims are removed first, so that a new claim in the same batch can be granted.
    return [...this.failedChanges.splice(0), ...this.waiting.splice(0, MAX_BATCH_OPERATIONS)];
  }

  private deliverResult(operation: ClaimOperation, outcome: OperationOutcome): void {
    operation.delivered = true;
    this.options.onStored(operation, outcome.granted);
    outcome.deliver();
  }

  private fail(operation: ClaimOperation, failure: StoreFailure): void {
    const { entryKey, claim, inDoubtVersion } = operation;
    if (operation.type !== 'claim') {
      this.retryLater(operation);
      operation.fail(failure);
    } else if (inDoubtVersion === undefined) {
      operation.fail(failure);
    } else {
      this.options.onInDoubt(operation);
      const resolve = () => {};
      const release = { entryKey, claim, inDoubtVersion, resolve, fail: () => {} };
      this.retryLater({ type: 'release', ...release });
      const message = 'the write got no answer; the claim is not granted and will be removed';
      operation.fail({ type: 'unknown', message });
    }
  }

  private retryLater(operation: ClaimChange): void {
    this.failedChanges.push({ ...operation, resolve: () => {}, fail: () => {} });
    // A dropped operation leaves its key claimed, which is safe: the request never runs again.
    if (this.failedChanges.length > MAX_FAILED_CHANGES) this.failedChanges.shift();
  }

  private computeBackoffMs(attempt: number): number {
    const limitMs = Math.min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS * 2 ** attempt);
    return limitMs * (0.5 + this.options.random.next() / 2);
  }
}
