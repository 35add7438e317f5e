import type { AwaitClaimReply, KeptAnswer } from '@cactusstair/protocol';
import type { Clock, LifecycleManager, Random } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { Claim, ClaimChange, ClaimDecision, ClaimOperation } from './claimOperations.js';
import { computeEntryKey, computeShardNumber } from './claimShard.js';
import { ClaimShardWriter } from './claimShardWriter.js';
import { LocalClaims } from './localClaims.js';
import type { ObjectStore, StoreFailure } from './objectStore.js';
import { WriteRateLimiter } from './writeRateLimiter.js';

/** Options of `ClaimJournal`. */
export interface ClaimJournalOptions {
  store: ObjectStore;
  clock: Clock;
  random: Random;
  lifecycle: LifecycleManager;
  /** Id of this instance. */
  owner: string;
  /** Returns the incarnation of this instance; it is raised when peers report it lost. */
  getIncarnation: () => number;
  /**
   * Number of shard objects. Must be the same on every instance. Default 32. More shards hold more
   * claims; under load a claim waits up to `shards / writesPerSecond` seconds.
   */
  shards?: number;
  /** Largest serialised size of a shard in bytes. Default 400,000; the object API takes 1 MB. */
  maxShardBytes?: number;
  /**
   * Time for which claims and answers are kept, in milliseconds. Default 1 h. A request that is
   * repeated after this time runs again. Must exceed the longest request plus the difference
   * between the wall clocks of two instances.
   */
  retentionMs?: number;
  /** Sustained rate of this instance's writes to all shards. Default 40 per second. */
  writesPerSecond?: number;
  /**
   * Time for which an outcome waits to share a write with claims, in milliseconds. Default 500;
   * with 100, outcomes used up the write rate at 200 claims a second and delayed the claims. The
   * caller's answer need not wait for it: local waiters are answered at once.
   */
  completionDelayMs?: number;
  /** Attempts to write one batch while other instances write the same shard. Default 8. */
  maxAttempts?: number;
  /** Operations that may wait in memory. Default 5,000; more are refused. */
  maxWaiting?: number;
}

const defaults = {
  shards: 32,
  maxShardBytes: 400_000,
  retentionMs: 3_600_000,
  writesPerSecond: 40,
  completionDelayMs: 500,
  maxAttempts: 8,
  maxWaiting: 5000,
};

/** Largest body of a kept answer in bytes. */
const MAX_ANSWER_BYTES = 4096;
const MAX_FINISHED_CLAIMS = 1000;

/**
 * Grants each idempotency key of a workspace to one request across all instances. Each shard of
 * keys is one object of kind `claims`; a conditional update of it decides between instances.
 */
export class ClaimJournal {
  private readonly options: Required<ClaimJournalOptions>;

  private readonly writers = new Map<number, ClaimShardWriter>();

  private readonly local: LocalClaims;

  private readonly writeRate: WriteRateLimiter;

  /** Results of the outcomes and releases that are not stored yet. */
  private readonly pendingChanges = new Set<Promise<Result<unknown, StoreFailure>>>();

  private waitingCount = 0;

  private nextNonce = 1;

  constructor(options: ClaimJournalOptions) {
    this.options = { ...defaults, ...options };
    const { clock, writesPerSecond, lifecycle } = this.options;
    this.local = new LocalClaims(clock, MAX_FINISHED_CLAIMS);
    this.writeRate = new WriteRateLimiter({ clock, writesPerSecond, burst: writesPerSecond });
    lifecycle.addCleanup('claim journal', async () => {
      await Promise.all([...this.writers.values()].map((writer) => writer.finish()));
    });
  }

  /**
   * Claims a key for a request. Only `granted` allows the request to be sent.
   *
   * @returns a failure when nothing was granted: `unavailable` when the store cannot be reached,
   * the shard is full or too many operations wait, `conflict` after too many conflicting writes,
   * `unknown` when a write got no answer; the journal then removes the claim as soon as it can.
   */
  async claim(
    workspace: string,
    key: string,
    requestDigest: string,
  ): Promise<Result<ClaimDecision, StoreFailure>> {
    const { owner, getIncarnation, random } = this.options;
    const incarnation = getIncarnation();
    const nonce = `${this.nextNonce}-${random.nextInt(0x7fffffff).toString(36)}`;
    this.nextNonce += 1;
    const claim: Claim = { workspace, key, requestDigest, owner, incarnation, nonce };
    if (this.waitingCount >= this.options.maxWaiting) {
      const message = `${this.waitingCount} operations wait for the object API; nothing was claimed`;
      return err({ type: 'unavailable', message });
    }
    const entryKey = computeEntryKey(workspace, key);
    // The write takes effect before its answer arrives; a peer that read the claim may call
    // `awaitLocal` in between.
    this.local.startPending(entryKey, nonce);
    const decision = await this.enqueue<ClaimDecision>((resolve, fail) => ({
      type: 'claim',
      entryKey,
      claim,
      resolve,
      fail,
    }));
    this.local.endPending(entryKey, nonce);
    return decision;
  }

  /**
   * Stores the outcome of a granted claim; answers above 4 KiB are not kept. Requests that wait
   * for it on this instance get it at once. After a failure the journal retries the write.
   */
  complete(claim: Claim, answer: KeptAnswer): Promise<Result<void, StoreFailure>> {
    const kept = answer.body.length <= MAX_ANSWER_BYTES ? answer : undefined;
    const entryKey = computeEntryKey(claim.workspace, claim.key);
    this.local.setState(entryKey, claim.nonce, 'done', kept);
    return this.enqueueChange((resolve, fail) => ({
      type: 'complete',
      entryKey,
      claim,
      answer: kept,
      resolve,
      fail,
    }));
  }

  /**
   * Removes a granted claim. Allowed only while no byte of the request was sent. After a failure
   * the journal retries the write.
   */
  release(claim: Claim): Promise<Result<void, StoreFailure>> {
    const entryKey = computeEntryKey(claim.workspace, claim.key);
    this.local.setState(entryKey, claim.nonce, 'releasing');
    return this.enqueueChange((resolve, fail) => ({
      type: 'release',
      entryKey,
      claim,
      resolve,
      fail,
    }));
  }

  /** Waits up to `waitMs` for the outcome of a claim of this instance. */
  awaitLocal(workspace: string, key: string, waitMs: number): Promise<AwaitClaimReply> {
    return this.local.awaitOutcome(computeEntryKey(workspace, key), waitMs);
  }

  /** Tries once, without delay, to store every outcome and release that is not stored yet. */
  async flush(): Promise<Result<void, StoreFailure>> {
    const failed = [...this.writers.values()].flatMap((writer) => writer.takeFailedChanges());
    for (const operation of failed)
      void this.enqueueChange((resolve, fail) => ({ ...operation, resolve, fail }));
    const results = await Promise.all(this.pendingChanges);
    for (const result of results) if (result.isErr()) return err(result.error);
    return ok(undefined);
  }

  private enqueueChange(
    create: (resolve: () => void, fail: (failure: StoreFailure) => void) => ClaimChange,
  ): Promise<Result<void, StoreFailure>> {
    const change = this.enqueue<void>(create);
    this.pendingChanges.add(change);
    void change.then(() => this.pendingChanges.delete(change));
    return change;
  }

  private enqueue<T>(
    create: (resolve: (value: T) => void, fail: (failure: StoreFailure) => void) => ClaimOperation,
  ): Promise<Result<T, StoreFailure>> {
    this.waitingCount += 1;
    return new Promise((settle) => {
      const finish = (result: Result<T, StoreFailure>) => {
        this.waitingCount -= 1;
        settle(result);
      };
      const operation = create(
        (value) => finish(ok(value)),
        (failure) => finish(err(failure)),
      );
      this.getWriter(operation.entryKey).enqueue(operation);
    });
  }

  private getWriter(entryKey: string): ClaimShardWriter {
    const { lifecycle, maxShardBytes, retentionMs, ...options } = this.options;
    const shard = computeShardNumber(entryKey, options.shards);
    let writer = this.writers.get(shard);
    if (!writer) {
      writer = new ClaimShardWriter({
        ...options,
        name: String(shard),
        signal: lifecycle.signal,
        writeRate: this.writeRate,
        limits: { maxBytes: maxShardBytes, retentionMs },
        onStored: (operation, granted) => this.recordStored(operation, granted),
        onInDoubt: ({ entryKey: inDoubtKey, claim }) =>
          this.local.setState(inDoubtKey, claim.nonce, 'releasing'),
      });
      this.writers.set(shard, writer);
    }
    return writer;
  }

  private recordStored({ type, entryKey, claim }: ClaimOperation, granted: boolean): void {
    if (type === 'claim' && granted) this.local.setState(entryKey, claim.nonce, 'running');
    if (type === 'release') this.local.setState(entryKey, claim.nonce, 'released');
  }
}
