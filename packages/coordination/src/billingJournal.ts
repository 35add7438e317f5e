import type { Bill, Failure } from '@cactusstair/protocol';
import { createFailure } from '@cactusstair/protocol';
import type { Clock, LifecycleManager } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import { computeBillKey, splitSegments, storeSegment } from './billSegments.js';
import { HeldBills } from './heldBills.js';
import type { ObjectStore, StoreFailure } from './objectStore.js';

/** Sends copies of bills to the holder of this instance. */
export interface BillCopier {
  /**
   * Copies bills to an instance in another zone or, if there is none, to another instance.
   * Resolves with true once they are held there.
   */
  copy(bills: Bill[]): Promise<boolean>;
  /** Tells every holder that bills up to a sequence number are stored; may be lost. */
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
  /** Bills that wait for the object API. Default 20,000, about 10 MB. */
  maxBufferedBills?: number;
  /** Buffered bills above which new work is refused. Default 3/4 of `maxBufferedBills`. */
  refuseAboveBills?: number;
  /** Copies that are held for other instances. Default 40,000. */
  maxHeldBills?: number;
  /**
   * Time after which a holder stores copies that were not released, in milliseconds. Default
   * 60,000. When a whole zone fails, no instance is left that reports its members lost.
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
/** A release may be lost in transit; later flushes send it this many times in all. */
const RELEASE_SENDS = 3;

/** A bill without the numbers that its origin assigns. */
export type UnnumberedBill = Omit<Bill, 'origin' | 'incarnation' | 'sequence'>;

interface BufferedBill {
  bill: Bill;
  /** Resolves when the bill is copied or stored. */
  safe: Promise<Result<Bill, Failure>>;
}

/**
 * Keeps each bill on two instances or in the object API before the last byte of its answer is
 * sent. Bills are flushed in segments of kind `bill`, so that the number of writes grows with time
 * and not with requests.
 */
export class BillingJournal {
  private readonly options: Required<BillingJournalOptions>;

  /** Bills that are not stored yet, by sequence number in ascending order. */
  private readonly buffer = new Map<number, BufferedBill>();

  private readonly sequenceByKey = new Map<string, number>();

  private readonly held: HeldBills;

  private nextSequence = 1;

  /** Bills that wait for the next copy call, with the callers that wait for its result. */
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
    });
    lifecycle.startTask('billing flush', async (signal) => {
      while (!signal.aborted) {
        await clock.sleep(flushIntervalMs, signal);
        if (!signal.aborted) await this.flush();
      }
    });
  }

  /** Bills that wait for the object API and copies that are held for other instances. */
  getSizes(): { buffered: number; held: number } {
    return { buffered: this.buffer.size, held: this.held.size };
  }

  /** Whether new work may be taken. Below the hard limit there is room for work in progress. */
  hasRoom(): boolean {
    return this.buffer.size < this.options.refuseAboveBills;
  }

  /**
   * Records the bill of a finished request; resolves when the bill is copied or stored. A repeat
   * of a buffered request id returns the first bill.
   *
   * @returns `billing_unavailable` when the buffer is full (nothing is recorded) or when the bill
   * could be neither copied nor stored (it stays buffered and is flushed later).
   */
  record(unnumbered: UnnumberedBill): Promise<Result<Bill, Failure>> {
    const key = computeBillKey(unnumbered);
    const known = this.buffer.get(this.sequenceByKey.get(key) ?? 0);
    if (known) return known.safe;
    if (this.buffer.size >= this.options.maxBufferedBills) {
      const message = `${this.buffer.size} bills wait for the object API; the bill is not recorded`;
      return Promise.resolve(err(createFailure('billing_unavailable', message)));
    }
    const { origin, incarnation } = this.options;
    const bill: Bill = { ...unnumbered, origin, incarnation, sequence: this.nextSequence };
    this.nextSequence += 1;
    const buffered = { bill, safe: this.secure(bill) };
    this.buffer.set(bill.sequence, buffered);
    this.sequenceByKey.set(key, bill.sequence);
    return buffered.safe;
  }

  /** Holds copies for their origin. Returns false, holding none, when there is no room. */
  holdCopies(bills: Bill[]): boolean {
    return this.held.tryHold(bills);
  }

  /** Drops the copies that their origin has stored. */
  releaseCopies(origin: string, incarnation: number, upToSequence: number): void {
    this.held.release({ origin, incarnation }, upToSequence);
  }

  /**
   * Stores the copies of an instance that was lost, of this run and of earlier ones, now or, if
   * the object API fails, with a later flush. Copies that arrive after this call are stored in the
   * same way.
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
    // The flush in progress may have passed the caller's bills; calls until its end share the next.
    this.nextFlush ??= this.currentFlush.then(() => {
      this.nextFlush = undefined;
      return this.flush();
    });
    return this.nextFlush;
  }

  private async flushOnce(): Promise<Result<void, StoreFailure>> {
    const own = await this.flushOwn();
    const adopted = await this.flushHeld();
    return own.andThen(() => adopted);
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

  private async flushHeld(): Promise<Result<void, StoreFailure>> {
    const { store, maxSegmentBytes, maxHoldMs } = this.options;
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
    // Stored bills need no copy. Removing them bounds the queue by the buffer while copies fail.
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
    if (upToSequence === 0 || this.released.sends >= RELEASE_SENDS) return;
    this.released.sends += 1;
    copier.release(origin, incarnation, upToSequence);
  }

  private async secure(bill: Bill): Promise<Result<Bill, Failure>> {
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
    // Bills of the same turn of the event loop share the first call.
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
