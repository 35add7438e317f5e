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

/** Another holder has the lease, or may still have it until the wait for it is over. */
export interface LeaseHeldByOther {
  type: 'held';
  holder: string;
}

// Several renewals fit into the duration, so that one slow answer does not lose the lease.
const DEFAULT_DURATION_MS = 15_000;
const DEFAULT_ORDER_TIMEOUT_MS = 30_000;

interface ObservedState {
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
 * docs/coordination.md states the assumptions.
 */
export class Lease {
  private readonly clock: Clock;

  private readonly durationMs: number;

  private readonly orderTimeoutMs: number;

  private observed: ObservedState | undefined;

  private acquisition: Acquisition | undefined;

  constructor(private readonly options: LeaseOptions) {
    this.clock = options.clock ?? systemClock;
    this.durationMs = options.durationMs ?? DEFAULT_DURATION_MS;
    this.orderTimeoutMs = options.orderTimeoutMs ?? DEFAULT_ORDER_TIMEOUT_MS;
  }

  /**
   * Tries once to acquire the lease. Call it at an interval: the wait for a lost holder starts when
   * this object first reads the holder's last renewal.
   */
  async acquire(): Promise<Result<TrackedLease, StoreFailure | LeaseHeldByOther>> {
    const read = await this.options.store.get('lease', this.options.name);
    if (read.isErr() && read.error.type !== 'not_found') return err(read.error);
    const object = read.isOk() ? read.value : undefined;
    const record = object && parseLeaseRecord(object);
    const { acquisition } = this;
    if (
      object &&
      acquisition &&
      record?.nonce === acquisition.nonce &&
      !acquisition.handle?.isReleased
    ) {
      return this.resume(acquisition, object);
    }
    const remainingWaitMs = this.recordObserved(object);
    if (record?.isReleased || remainingWaitMs <= 0) return this.writeAcquisition(object);
    return err({ type: 'held', holder: this.observed?.holder ?? '' });
  }

  /** Records the state that was read; returns the remaining time to wait for its holder. */
  private recordObserved(object: StoredObject | undefined): number {
    const nowMs = this.clock.monotonicMs();
    if (!object) {
      // Without an earlier read there is no holder. A deleted object may still have one.
      if (!this.observed) return 0;
      if (this.observed.revision !== 0)
        this.observed = { ...this.observed, revision: 0, sinceMs: nowMs };
    } else if (this.observed?.revision !== object.revision) {
      const record = parseLeaseRecord(object);
      // The holder may run with other settings; the longer times count.
      const waitMs =
        Math.max(record.durationMs, this.durationMs) +
        Math.max(record.orderTimeoutMs, this.orderTimeoutMs);
      const { revision } = object;
      this.observed = { revision, sinceMs: nowMs, waitMs, holder: record.holder };
    }
    return this.observed.sinceMs + this.observed.waitMs - nowMs;
  }

  private async writeAcquisition(
    object: StoredObject | undefined,
  ): Promise<Result<TrackedLease, StoreFailure | LeaseHeldByOther>> {
    const { store, name, holder } = this.options;
    const acquisition: Acquisition = { nonce: randomUUID(), startedAt: readClocks(this.clock) };
    this.acquisition = acquisition;
    const value = {
      holder,
      nonce: acquisition.nonce,
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
    if (written.isOk()) return ok(this.createHandle(acquisition, written.value));
    if (written.error.type !== 'conflict') return err(written.error);
    const { current } = written.error;
    return err({ type: 'held', holder: current ? parseLeaseRecord(current).holder : '' });
  }

  /** Continues an acquisition of this object whose answer was lost or that has expired. */
  private async resume(
    acquisition: Acquisition,
    object: StoredObject,
  ): Promise<Result<TrackedLease, StoreFailure | LeaseHeldByOther>> {
    const handle = acquisition.handle ?? this.createHandle(acquisition, object);
    const renewed = await handle.renew();
    return renewed.map(() => handle);
  }

  private createHandle(acquisition: Acquisition, object: StoredObject): HeldLeaseHandle {
    const handle = new HeldLeaseHandle({
      store: this.options.store,
      clock: this.clock,
      durationMs: this.durationMs,
      orderTimeoutMs: this.orderTimeoutMs,
      object,
      startedAt: acquisition.startedAt,
    });
    this.acquisition = { ...acquisition, handle };
    return handle;
  }
}
