import type { Clock } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { ObjectStore, StoredObject, StoreFailure } from './objectStore.js';
import type { JsonObject } from './writeWithReadBack.js';
import { writeWithReadBack } from './writeWithReadBack.js';

/** A lease that this process has acquired. */
export interface HeldLease {
  /** Fencing token, higher than that of every earlier holder, also if the object was deleted. */
  readonly fencing: number;
  /**
   * Time for which the lease is guaranteed to be valid, in milliseconds; 0 when expired, lost or
   * released.
   */
  getRemainingMs(): number;
  /**
   * Extends the validity, counted from the start of the call. An expired lease can be renewed if no
   * other holder has acquired it. A conflict or `not_found` means that it is lost.
   */
  renew(): Promise<Result<void, StoreFailure>>;
  /** Stops new orders, waits for the orders in flight, and lets a successor take over at once. */
  release(): Promise<void>;
}

/** A held lease that tracks the orders sent under it. */
export interface TrackedLease extends HeldLease {
  /** Records an order that is about to be sent. Call the returned function with the outcome. */
  trackOrder(): (outcome: 'settled' | 'unknown') => void;
}

/** The time of both clocks at one moment. */
export interface ClockReading {
  monotonicMs: number;
  wallMs: number;
}

/** Content of a lease object. */
export interface LeaseRecord {
  holder: string;
  nonce: string | undefined;
  fencing: number;
  durationMs: number;
  orderTimeoutMs: number;
  isReleased: boolean;
}

interface HeldLeaseOptions {
  store: ObjectStore;
  clock: Clock;
  durationMs: number;
  orderTimeoutMs: number;
  object: StoredObject;
  startedAt: ClockReading;
}

export function readClocks(clock: Clock): ClockReading {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() };
}

/** Parses a lease object; malformed fields count as absent. */
export function parseLeaseRecord(object: StoredObject): LeaseRecord {
  const value = (object.value ?? {}) as JsonObject;
  const readNumber = (field: unknown) =>
    typeof field === 'number' && Number.isFinite(field) ? field : 0;
  return {
    holder: typeof value.holder === 'string' ? value.holder : '',
    nonce: typeof value.nonce === 'string' ? value.nonce : undefined,
    // The acquiring write cannot know its own revision, so the first renewal stores it.
    fencing: readNumber(value.fencing) || object.revision,
    durationMs: readNumber(value.durationMs),
    orderTimeoutMs: readNumber(value.orderTimeoutMs),
    isReleased: value.released === true,
  };
}

/** See `TrackedLease`. Created by `Lease`. */
export class HeldLeaseHandle implements TrackedLease {
  /**
   * The store-wide revision of the acquiring write. Unlike a counter in the object it also rises
   * when the object is deleted and created again.
   */
  readonly fencing: number;

  private readonly record: LeaseRecord;

  private object: StoredObject;

  private startedAt: ClockReading;

  private state: 'held' | 'lost' | 'released' = 'held';

  private readonly ordersInFlight = new Set<Promise<void>>();

  /** Time until which an order with an unknown outcome may still take effect. */
  private ordersInDoubtUntilMs = -Infinity;

  constructor(private readonly options: HeldLeaseOptions) {
    this.object = options.object;
    this.startedAt = options.startedAt;
    this.record = parseLeaseRecord(options.object);
    this.fencing = this.record.fencing;
  }

  get isReleased(): boolean {
    return this.state === 'released';
  }

  getRemainingMs(): number {
    if (this.state !== 'held') return 0;
    const now = readClocks(this.options.clock);
    // The monotonic clock can stop while the machine is suspended; the wall clock then shows the
    // pause. A step of the wall clock can only shorten the validity.
    const elapsedMs = Math.max(
      now.monotonicMs - this.startedAt.monotonicMs,
      now.wallMs - this.startedAt.wallMs,
    );
    return Math.max(0, this.options.durationMs - elapsedMs);
  }

  async renew(): Promise<Result<void, StoreFailure>> {
    if (this.state !== 'held') return err({ type: 'conflict' });
    const startedAt = readClocks(this.options.clock);
    const written = await this.write(false);
    if (written.isErr()) return err(written.error);
    if (startedAt.monotonicMs > this.startedAt.monotonicMs) this.startedAt = startedAt;
    return ok(undefined);
  }

  async release(): Promise<void> {
    if (this.state !== 'held') return;
    this.state = 'released';
    await Promise.all(this.ordersInFlight);
    // A successor must not start while an order without an answer can still take effect. It waits
    // for the full time if the lease is not marked as released.
    if (this.options.clock.monotonicMs() < this.ordersInDoubtUntilMs) return;
    await this.write(true);
  }

  trackOrder(): (outcome: 'settled' | 'unknown') => void {
    const sentAtMs = this.options.clock.monotonicMs();
    let finish = () => {};
    const order = new Promise<void>((resolve) => {
      finish = resolve;
    });
    this.ordersInFlight.add(order);
    return (outcome) => {
      if (outcome === 'unknown') {
        const untilMs = sentAtMs + this.options.orderTimeoutMs;
        this.ordersInDoubtUntilMs = Math.max(this.ordersInDoubtUntilMs, untilMs);
      }
      this.ordersInFlight.delete(order);
      finish();
    };
  }

  /** Writes the lease; retries once if the conflict is with an earlier write of this holder. */
  private async write(released: boolean): Promise<Result<void, StoreFailure>> {
    const { store, clock } = this.options;
    const { holder, nonce, durationMs, orderTimeoutMs } = this.record;
    const { fencing } = this;
    const value = { holder, nonce, fencing, durationMs, orderTimeoutMs, released };
    const { kind, name } = this.object;
    let failure: StoreFailure = { type: 'conflict' };
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const { version } = this.object;
      const written = await writeWithReadBack(store, kind, name, value, version, { clock });
      if (written.isOk()) {
        this.object = written.value;
        return ok(undefined);
      }
      failure = written.error;
      const isOwn = await this.refreshAfterFailure(failure);
      if (!isOwn) break;
    }
    return err(failure);
  }

  /** Reads the lease after a failed write; returns whether its last write is by this holder. */
  private async refreshAfterFailure(failure: StoreFailure): Promise<boolean> {
    if (failure.type === 'unavailable' || failure.type === 'unknown') return false;
    let current = failure.type === 'conflict' ? failure.current : undefined;
    if (!current) {
      const read = await this.options.store.get(this.object.kind, this.object.name);
      if (read.isErr() && read.error.type !== 'not_found') return false;
      current = read.isOk() ? read.value : undefined;
    }
    const isOwn = current !== undefined && parseLeaseRecord(current).nonce === this.record.nonce;
    if (isOwn && current) this.object = current;
    else if (this.state === 'held') this.state = 'lost';
    return isOwn;
  }
}
