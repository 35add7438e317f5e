import { randomUUID } from 'node:crypto';

import type { Clock } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { ClockReading, TrackedLease } from './heldLease.js';
import { HeldLeaseHandle, parseLeaseRecord, readClocks } from './heldLease.js';
import type { ObjectStore, StoredObject, StoreFailure } from './objectStore.js';
import { writeWithReadBack } from './writeWithReadBack.js';

/** Options of `Lease`. */
export interface LeaseOptions {
  store: ObjectStore;
  /** Name of the object of kind `lease`, for example `rollouts`. */
  name: string;
  /** Identifies this holder to operators, for example its instance id. */
  holder: string;
  /** Time for which one acquisition or renewal is valid, in milliseconds. Default 15,000. */
  durationMs?: number;
  /** Longest time in which a sent order can still take effect, in milliseconds. Default 30,000. */
  orderTimeoutMs?: number;
  clock?: Clock;
}

/** Another holder has the lease, or may have until a wait has passed. */
export interface LeaseHeldByOther {
  type: 'held';
  holder: string;
}

// Several renewals fit into the duration, so that one slow answer does not lose the lease.
const DEFAULT_DURATION_MS = 15_000;
const DEFAULT_ORDER_TIMEOUT_MS = 30_000;

interface SeenState {
  /** Revision of the lease object; 0 after its deletion. */
  revision: number;
  sinceMs: number;
  waitMs: number;
  holder: string;
}

interface Acquisition {
  nonce: string;
  startedAt: ClockReading;
  handle?: HeldLeaseHandle;
}

/**
 * A lease on an object of the object API. At most one holder sends orders at a time;
 * docs/coordination.md states what this rests on.
 */
export class Lease {
  private readonly clock: Clock;

  private readonly durationMs: number;

  private readonly orderTimeoutMs: number;

  private seen: SeenState | undefined;

  private own: Acquisition | undefined;

  constructor(private readonly options: LeaseOptions) {
    this.clock = options.clock ?? systemClock;
    this.durationMs = options.durationMs ?? DEFAULT_DURATION_MS;
    this.orderTimeoutMs = options.orderTimeoutMs ?? DEFAULT_ORDER_TIMEOUT_MS;
  }

  /**
   * Tries once to acquire the lease. Call it again at an interval: the wait for a lost holder starts
   * when this object first sees the holder's last renewal.
   */
  async acquire(): Promise<Result<TrackedLease, StoreFailure | LeaseHeldByOther>> {
    const read = await this.options.store.get('lease', this.options.name);
    if (read.isErr() && read.error.type !== 'not_found') return err(read.error);
    const object = read.isOk() ? read.value : undefined;
    const record = object && parseLeaseRecord(object);
    const { own } = this;
    if (object && own && record?.nonce === own.nonce && !own.handle?.isReleased) {
      return this.resume(own, object);
    }
    const remainingWaitMs = this.noteSeen(object);
    if (record?.isReleased || remainingWaitMs <= 0) return this.take(object);
    return err({ type: 'held', holder: this.seen?.holder ?? '' });
  }

  /** Notes the state that was read and returns how long its holder has to be waited for. */
  private noteSeen(object: StoredObject | undefined): number {
    const nowMs = this.clock.monotonicMs();
    if (!object) {
      // An object that was never seen has no holder. One that was deleted may still have one.
      if (!this.seen) return 0;
      if (this.seen.revision !== 0) this.seen = { ...this.seen, revision: 0, sinceMs: nowMs };
    } else if (this.seen?.revision !== object.revision) {
      const record = parseLeaseRecord(object);
      // The holder's own times count: it may run with other settings.
      const waitMs =
        Math.max(record.durationMs, this.durationMs) +
        Math.max(record.orderTimeoutMs, this.orderTimeoutMs);
      const { revision } = object;
      this.seen = { revision, sinceMs: nowMs, waitMs, holder: record.holder };
    }
    return this.seen.sinceMs + this.seen.waitMs - nowMs;
  }

  private async take(
    object: StoredObject | undefined,
  ): Promise<Result<TrackedLease, StoreFailure | LeaseHeldByOther>> {
    const { store, name, holder } = this.options;
    const own: Acquisition = { nonce: randomUUID(), startedAt: readClocks(this.clock) };
    this.own = own;
    const value = {
      holder,
      nonce: own.nonce,
      durationMs: this.durationMs,
      orderTimeoutMs: this.orderTimeoutMs,
    };
    const options = { clock: this.clock };
    const written = await writeWithReadBack(
      store,
      'lease',
      name,
      value,
      object?.version ?? 0,
      options,
    );
    if (written.isOk()) return ok(this.createHandle(own, written.value));
    if (written.error.type !== 'conflict') return err(written.error);
    const { current } = written.error;
    return err({ type: 'held', holder: current ? parseLeaseRecord(current).holder : '' });
  }

  /** Continues an acquisition of this object whose answer was lost or whose validity has lapsed. */
  private async resume(
    own: Acquisition,
    object: StoredObject,
  ): Promise<Result<TrackedLease, StoreFailure | LeaseHeldByOther>> {
    const handle = own.handle ?? this.createHandle(own, object);
    const renewed = await handle.renew();
    return renewed.map(() => handle);
  }

  private createHandle(own: Acquisition, object: StoredObject): HeldLeaseHandle {
    const handle = new HeldLeaseHandle({
      store: this.options.store,
      clock: this.clock,
      durationMs: this.durationMs,
      orderTimeoutMs: this.orderTimeoutMs,
      object,
      startedAt: own.startedAt,
    });
    this.own = { ...own, handle };
    return handle;
  }
}
