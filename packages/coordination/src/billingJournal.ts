import type { Bill, Failure } from '@cactusstair/protocol';
import { createFailure } from '@cactusstair/protocol';
import type { Clock, LifecycleManager } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import { computeBillKey, splitSegments, storeSegment } from './billSegments.js';
import { HeldBills } from './heldBills.js';
import type { ObjectStore, StoreFailure } from './objectStore.js';

/** Sends copies of bills to other instances, the holders, until the bills are stored. */
export interface BillCopier {
  /**
   * Copies bills to an instance in another zone or, if there is none, to another instance.
   * Resolves with true once that instance holds them.
   */
  copy(bills: Bill[]): Promise<boolean>;
  /** Notifies all holders that the bills up to a sequence number are stored; may be lost. */
  release(origin: string, incarnation: number, upToSequence: number): void;
}

/** Options of `BillingJournal`. */
export interface BillingJournalOptions {
  store: ObjectStore;
  copier: BillCopier;
  clock: Clock;
  lifecycle: LifecycleManager;
  /** Id and incarnation of this instance. */
  origin: string;
  incarnation: number;
  /** Largest number of bills that wait to be stored. Default 20,000, about 10 MB. */
  maxBufferedBills?: number;
  /** Number of buffered bills at which new requests are refused. Default 3/4 of the maximum. */
  refuseAboveBills?: number;
  /** Largest number of copies held for other instances. Default 40,000. */
  maxHeldBills?: number;
  /**
   * Time after which a holder stores copies that were not released, in milliseconds. Default
   * 60,000. Needed when a whole zone fails: no instance is left to report its members lost.
   */
  maxHoldMs?: number;
  /** Time between two flushes in milliseconds. Default 2,000. */
  flushIntervalMs?: number;
  /** Time after which a copy counts as failed, in milliseconds. Default 500. */
  copyTimeoutMs?: number;
  /** Largest serialised size of a stored segment. Default 400,000; the object API takes 1 MB. */
  maxSegmentBytes?: number;
}

const defaults = {
  maxBufferedBills: 20_000,
  maxHeldBills: 40_000,
  maxHoldMs: 60_000,
  flushIntervalMs: 2000,
  copyTimeoutMs: 500,
  maxSegmentBytes: 400_000,
};

const MAX_BILLS_PER_COPY = 1000;
/** Each release is sent with this many flushes, because it may be lost in transit. */
const MAX_RELEASE_SENDS = 3;

/** A bill without the numbers that its origin assigns. */
export type UnnumberedBill = Omit<Bill, 'origin' | 'incarnation' | 'sequence'>;

interface BufferedBill {
  bill: Bill;
  /** Resolves when the bill is copied or stored. */
  persisted: Promise<Result<Bill, Failure>>;
}

/**
 * Records the bills of finished requests. Each bill is on two instances or in the object API
 * before the last byte of the answer is sent. Bills are stored in segments of kind `bill`, so that
 * the number of writes depends on the time and not on the number of requests.
 */
export class BillingJournal {
  private readonly options: Required<BillingJournalOptions>;

  /** Bills that are not stored yet, by sequence number in ascending order. */
  private readonly buffer = new Map<number, BufferedBill>();

  private readonly sequenceByKey = new Map<string, number>();

  private readonly held: HeldBills;

  private nextSequence = 1;

  /** Bills that wait for the next copy call, with the callbacks for its result. */
  private copyQueue: { bill: Bill; resolve: (copied: boolean) => void }[] = [];

  private copying = false;

  private currentFlush: Promise<Result<void, StoreFailure>> | undefined;

  private nextFlush: Promise<Result<void, StoreFailure>> | undefined;

  private released = { upToSequence: 0, sends: 0 };

  constructor(options: BillingJournalOptions) {
    const maxBufferedBills = options.maxBufferedBills ?? defaults.maxBufferedBills;
    const refuseAboveBills = Math.floor(maxBufferedBills * 0.75);
    this.options = { ...defaults, maxBufferedBills, refuseAboveBills, ...options };
    this.held = new HeldBills(this.options.maxHeldBills, options.clock);
    const { lifecycle, clock, flushIntervalMs } = this.options;
    lifecycle.addCleanup('billing journal', async () => {
      await this.flush();
      // Nobody else may hold the copies of an origin that is lost before it has flushed.
      await this.flushHeld(0);
    });
    lifecycle.startTask('billing flush', async (signal) => {
      while (!signal.aborted) {
        await clock.sleep(flushIntervalMs, signal);
        if (!signal.aborted) await this.flush();
      }
    });
  }

  /** Returns the number of bills not stored yet and of copies held for other instances. */
  getSizes(): { buffered: number; held: number } {
    return { buffered: this.buffer.size, held: this.held.size };
  }

  /** Returns whether new requests may start; the buffer keeps room for those in progress. */
  hasRoom(): boolean {
    return this.buffer.size < this.options.refuseAboveBills;
  }

  /**
   * Records the bill of a finished request; resolves when the bill is copied or stored. If a
   * bill with the same request id is buffered, its result is returned instead.
   *
   * @returns `billing_unavailable` when the buffer is full (nothing is recorded) or when the bill
   * could be neither copied nor stored (it stays buffered and is flushed later).
   */
  record(unnumbered: UnnumberedBill): Promise<Result<Bill, Failure>> {
    const key = computeBillKey(unnumbered);
    const known = this.buffer.get(this.sequenceByKey.get(key) ?? 0);
    if (known) return known.persisted;
    if (this.buffer.size >= this.options.maxBufferedBills) {
      const message = `the billing buffer is full (${this.buffer.size} bills); the bill is not recorded`;
      return Promise.resolve(err(createFailure('billing_unavailable', message)));
    }
    const { origin, incarnation } = this.options;
    const bill: Bill = { ...unnumbered, origin, incarnation, sequence: this.nextSequence };
    this.nextSequence += 1;
    const buffered = { bill, persisted: this.copyOrStore(bill) };
    this.buffer.set(bill.sequence, buffered);
    this.sequenceByKey.set(key, bill.sequence);
    return buffered.persisted;
  }

  /** Holds copies of another instance's bills. Returns false, and holds none, if they do not fit. */
  holdCopies(bills: Bill[]): boolean {
    return this.held.tryHold(bills);
  }

  /** Drops the copies of bills that their origin has stored. */
  releaseCopies(origin: string, incarnation: number, upToSequence: number): void {
    this.held.release({ origin, incarnation }, upToSequence);
  }

  /**
   * Takes over the copies of a lost instance, from this run and earlier ones. They are stored now
   * or, if the object API fails, by a later flush. So are copies that arrive after this call.
   */
  async adoptLostOrigin(origin: string, incarnation: number): Promise<void> {
    this.held.markLost({ origin, incarnation });
    await this.flush();
  }

  /** Stores all buffered bills, the copies of lost origins and copies that were not released. */
  flush(): Promise<Result<void, StoreFailure>> {
    if (!this.currentFlush) {
      this.currentFlush = this.flushOnce().finally(() => {
        this.currentFlush = undefined;
      });
      return this.currentFlush;
    }
    // The flush in progress may have started before the caller's bills were added. All calls made
    // until it ends share the next flush.
    this.nextFlush ??= this.currentFlush.then(() => {
      this.nextFlush = undefined;
      return this.flush();
    });
    return this.nextFlush;
  }

  private async flushOnce(): Promise<Result<void, StoreFailure>> {
    const ownResult = await this.flushOwn();
    const heldResult = await this.flushHeld(this.options.maxHoldMs);
    return ownResult.andThen(() => heldResult);
  }

  private async flushOwn(): Promise<Result<void, StoreFailure>> {
    const { store, maxSegmentBytes } = this.options;
    const bills = [...this.buffer.values()].map((buffered) => buffered.bill);
    let result: Result<void, StoreFailure> = ok(undefined);
    for (const segment of splitSegments(bills, maxSegmentBytes)) {
      result = await storeSegment(store, segment, this.options);
      if (result.isErr()) break;
      this.removeStored(segment);
    }
    this.sendRelease();
    return result;
  }

  private async flushHeld(maxHoldMs: number): Promise<Result<void, StoreFailure>> {
    const { store, maxSegmentBytes } = this.options;
    for (const bills of this.held.listDue(maxHoldMs)) {
      for (const segment of splitSegments(bills, maxSegmentBytes)) {
        const result = await storeSegment(store, segment, this.options);
        if (result.isErr()) return result;
        for (const bill of segment) this.held.remove(bill, bill.sequence);
      }
    }
    return ok(undefined);
  }

  private removeStored(segment: readonly Bill[]): void {
    for (const bill of segment) {
      this.buffer.delete(bill.sequence);
      this.sequenceByKey.delete(computeBillKey(bill));
    }
    // Stored bills need no copy. Without this the queue would outgrow the buffer while copies fail.
    const queued = this.copyQueue;
    this.copyQueue = queued.filter(({ bill }) => this.buffer.has(bill.sequence));
    for (const { bill, resolve } of queued) {
      if (!this.buffer.has(bill.sequence)) resolve(true);
    }
  }

  private sendRelease(): void {
    const { copier, origin, incarnation } = this.options;
    const [lowestBuffered] = this.buffer.keys();
    const upToSequence = (lowestBuffered ?? this.nextSequence) - 1;
    if (upToSequence > this.released.upToSequence) this.released = { upToSequence, sends: 0 };
    if (upToSequence === 0 || this.released.sends >= MAX_RELEASE_SENDS) return;
    this.released.sends += 1;
    copier.release(origin, incarnation, upToSequence);
  }

  private async copyOrStore(bill: Bill): Promise<Result<Bill, Failure>> {
    const copied = await new Promise<boolean>((resolve) => {
      this.copyQueue.push({ bill, resolve });
      this.startCopying();
    });
    if (copied || !this.buffer.has(bill.sequence)) return ok(bill);
    const flushed = await this.flush();
    if (flushed.isOk() || !this.buffer.has(bill.sequence)) return ok(bill);
    const message = `the bill could be neither copied nor stored (${flushed.error.type}); it is stored later`;
    return err(createFailure('billing_unavailable', message));
  }

  private startCopying(): void {
    if (this.copying) return;
    this.copying = true;
    // Bills recorded in the same turn of the event loop share the first call.
    setImmediate(() => {
      void this.copyQueued();
    });
  }

  private async copyQueued(): Promise<void> {
    while (this.copyQueue.length > 0) {
      const batch = this.copyQueue.splice(0, MAX_BILLS_PER_COPY);
      const copied = await this.copyWithTimeout(batch.map(({ bill }) => bill));
      for (const { resolve } of batch) resolve(copied);
    }
    this.copying = false;
  }

  private async copyWithTimeout(bills: Bill[]): Promise<boolean> {
    const { clock, copier, copyTimeoutMs } = this.options;
    const timeout = new AbortController();
    const expired = clock.sleep(copyTimeoutMs, timeout.signal).then(() => false);
    try {
      return await Promise.race([copier.copy(bills), expired]);
    } catch {
      return false;
    } finally {
      timeout.abort();
    }
  }
}
