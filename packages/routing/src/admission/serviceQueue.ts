import type { Clock } from '@cactusstair/utils';

import { PlaceRate } from './placeRate.js';
import type { QueueOrder } from './queueOrder.js';
import { computeQueueOrder } from './queueOrder.js';
import { ReturnSchedule } from './returnSchedule.js';
import type { WaitingRequest } from './waitingRequest.js';
import { normalizeWaiting } from './waitingRequest.js';
import { WorkspaceUsage } from './workspaceUsage.js';

/** Why a request is not served. */
export type RefusalReason =
  /** The requests ahead of it take longer than it can wait. */
  | 'no_time'
  /** It has waited until it could no longer be served. */
  | 'expired'
  /** Too many requests wait. */
  | 'queue_full';

/** What a decision to wait or to refuse was based on. */
export interface QueuePosition {
  /** Number of requests ahead. */
  position: number;
  /** Work that leaves the queue per millisecond: the number of places that it uses. */
  rate: number | undefined;
  /** Expected wait; 0 while no rate is known. */
  waitMs: number;
  /** Time left for the wait. */
  timeLeftMs: number;
}

/** A request that was taken from the queue unserved. */
export interface Refusal<T> extends QueuePosition {
  item: T;
  reason: RefusalReason;
}

/** Options of `ServiceQueue`. */
export interface ServiceQueueOptions {
  clock: Clock;
  /** Returns the places that the service is expected to offer here; undefined if not known. */
  getExpectedRate: () => number | undefined;
  /** Random number in [0, 1). */
  random?: () => number;
}

interface Entry<T> extends WaitingRequest {
  item: T;
}

/** More waiting requests than this of one service are not worth their memory. */
const MAX_WAITING = 500;
/** Least share of the work for requests that can only be late or are above their share. */
const MIN_OTHERS_SHARE = 0.1;
/** Expected share for them before it is measured. */
const EXPECTED_OTHERS_SHARE = 0.5;
/**
 * A waiting request is refused early only if its expected wait is longer than its time by this
 * factor, because the expectation varies from moment to moment.
 */
const EARLY_REFUSAL_FACTOR = 1.5;
const MIN_RATE = 1e-3;
/** The order changes with time as well, but not within so little. */
const MAX_ORDER_AGE_MS = 1;
/** Time after which refused callers return when no rate is known. */
const UNKNOWN_RETURN_MS = 500;

/**
 * Queue of the requests of one service that wait for a place at an upstream. It decides who is
 * served next, how long the wait is expected to be, who is refused, and when refused callers are to
 * return. It knows nothing of upstreams: its owner offers it a place by `offer`, and it starts no
 * timers: its owner calls `takeRefusals` at `nextRefusalAtMs`.
 */
export class ServiceQueue<T> {
  private readonly entries = new Map<T, Entry<T>>();

  private readonly usage = new WorkspaceUsage();

  private readonly rate: PlaceRate;

  /** The rate of the requests that can only be late or are above their share. */
  private readonly othersRate: PlaceRate;

  private readonly returns: ReturnSchedule;

  /** Work that is due to the other requests while requests in time are served. */
  private othersCreditMs = 0;

  /** The last order; undefined since a request has come or gone. */
  private lastOrder: QueueOrder<Entry<T>> | undefined;

  private orderedAtMs = 0;

  /** Whether any of them was among the requests that were ordered last. */
  private areOthersWaiting = false;

  constructor(private readonly options: ServiceQueueOptions) {
    const nowMs = options.clock.monotonicMs();
    this.rate = new PlaceRate(nowMs);
    this.othersRate = new PlaceRate(nowMs);
    this.returns = new ReturnSchedule(options.random ? { random: options.random } : {});
  }

  get length(): number {
    return this.entries.size;
  }

  /** Counts a request that was started without a wait. */
  recordStarted(request: WaitingRequest): void {
    const { workspace, workMs } = normalizeWaiting(request, this.nowMs);
    this.usage.record(workspace, workMs, this.nowMs);
  }

  /** Adds a request. Call `takeRefusals` afterwards: it or another one may have to be refused. */
  add(item: T, request: WaitingRequest): void {
    this.advance();
    this.lastOrder = undefined;
    this.entries.set(item, { ...normalizeWaiting(request, this.nowMs), item });
  }

  /** Removes a request whose caller has left; false if it does not wait. */
  remove(item: T): boolean {
    this.advance();
    this.lastOrder = undefined;
    return this.entries.delete(item);
  }

  /**
   * Offers places to the waiting requests in order.
   *
   * @param tryStart starts a request; false if no free place is fit for it
   * @param hasPlace whether there is a place to offer; asked before each offer
   */
  offer(tryStart: (item: T) => boolean, hasPlace: () => boolean): void {
    const unfit = new Set<T>();
    while (this.entries.size > unfit.size && hasPlace()) {
      const order = this.computeOrder();
      if (!this.startNext(order, unfit, tryStart)) return;
    }
  }

  /** Returns the place of a request in the queue and its expected wait. */
  findPosition(item: T): QueuePosition | undefined {
    return this.listPositions().find((position) => position.item === item);
  }

  /**
   * Removes and returns the requests that can no longer be served in time, and those that can't be
   * expected to.
   *
   * @param newest a request that was just added; it is refused as soon as its expected wait is too
   * long
   */
  takeRefusals(newest?: T): Refusal<T>[] {
    this.advance();
    const refusals: Refusal<T>[] = [];
    for (const position of this.listPositions()) {
      const reason = this.findRefusalReason(position, newest);
      if (reason !== undefined) refusals.push({ ...position, reason });
    }
    for (const { item } of refusals) this.entries.delete(item);
    if (refusals.length > 0) this.lastOrder = undefined;
    return refusals;
  }

  /** Monotonic time at which the next request can no longer be served; Infinity if none waits. */
  get nextRefusalAtMs(): number {
    let atMs = Infinity;
    for (const { latestStartMs } of this.entries.values()) atMs = Math.min(atMs, latestStartMs);
    return atMs;
  }

  /** Reserves a time at which a refused caller may return, in milliseconds from now. */
  reserveReturn(request: WaitingRequest, minMs: number): number {
    const { workspace, priority, workMs } = normalizeWaiting(request, this.nowMs);
    const rate = this.findRate();
    const waitingMs = rate === undefined ? UNKNOWN_RETURN_MS : this.sumWorkMs() / rate;
    const earliestMs = Math.max(minMs, waitingMs);
    const returning = { workspace, priority, workMs, earliestMs };
    return this.returns.reserve(returning, rate ?? 1, this.nowMs);
  }

  /** Returns the requests that wait, in no order. */
  listWaiting(): (WaitingRequest & { item: T })[] {
    return [...this.entries.values()];
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private computeOrder(): QueueOrder<Entry<T>> {
    const { nowMs } = this;
    if (this.lastOrder && nowMs - this.orderedAtMs < MAX_ORDER_AGE_MS) return this.lastOrder;
    const waiting = [...this.entries.values()];
    const order = computeQueueOrder(waiting, this.usage, this.findRate(), nowMs);
    this.areOthersWaiting = order.others.length > 0;
    this.lastOrder = order;
    this.orderedAtMs = nowMs;
    return order;
  }

  /** Starts the first request in order that is fit for a free place. */
  private startNext(
    { inTime, others }: QueueOrder<Entry<T>>,
    unfit: Set<T>,
    tryStart: (item: T) => boolean,
  ): boolean {
    const first = others[0];
    const isOthersTurn = first !== undefined && this.othersCreditMs >= first.workMs;
    const ordered = isOthersTurn ? [first, ...inTime, ...others.slice(1)] : [...inTime, ...others];
    for (const entry of ordered) {
      // The start of another one may have taken it from the queue meanwhile.
      if (unfit.has(entry.item) || !this.entries.has(entry.item)) continue;
      if (!tryStart(entry.item)) {
        if (this.entries.has(entry.item)) unfit.add(entry.item);
        continue;
      }
      this.recordServed(entry, others.includes(entry));
      return true;
    }
    return false;
  }

  private recordServed(entry: Entry<T>, isOther: boolean): void {
    this.advance();
    this.lastOrder = undefined;
    this.entries.delete(entry.item);
    this.usage.record(entry.workspace, entry.workMs, this.nowMs);
    this.rate.add(entry.workMs);
    if (isOther) {
      this.othersRate.add(entry.workMs);
      this.othersCreditMs = Math.max(0, this.othersCreditMs - entry.workMs);
    } else if (this.areOthersWaiting) {
      this.othersCreditMs += (entry.workMs * MIN_OTHERS_SHARE) / (1 - MIN_OTHERS_SHARE);
    } else {
      this.othersCreditMs = 0;
    }
  }

  /** Returns where each request stands and how long it is expected to wait, in order. */
  private listPositions(): (QueuePosition & { item: T })[] {
    const { inTime, others } = this.computeOrder();
    const rate = this.findRate();
    let aheadMs = 0;
    const positions = inTime.map((entry, index) => {
      const waitMs = rate === undefined ? 0 : aheadMs / rate;
      aheadMs += entry.workMs;
      return this.describe(entry, index, rate, waitMs);
    });
    const inTimeMs = aheadMs;
    aheadMs = 0;
    for (const entry of others) {
      const waitMs = rate === undefined ? 0 : this.estimateOtherMs(entry, inTimeMs, aheadMs, rate);
      aheadMs += entry.workMs;
      positions.push(this.describe(entry, positions.length, rate, waitMs));
    }
    return positions;
  }

  /**
   * Estimates the wait of a request that is not among those in time: until these are served or its
   * share is due, and no less than the rate says at which the others were served lately.
   */
  private estimateOtherMs(
    { workMs }: WaitingRequest,
    inTimeMs: number,
    aheadMs: number,
    rate: number,
  ): number {
    if (inTimeMs === 0) return aheadMs / rate;
    const dueMs = (aheadMs + workMs) / (rate * MIN_OTHERS_SHARE);
    const othersRate = this.othersRate.getRate(rate * EXPECTED_OTHERS_SHARE);
    const measuredMs = aheadMs / Math.max(MIN_RATE, Math.min(othersRate, rate));
    return Math.max(Math.min((inTimeMs + aheadMs) / rate, dueMs), measuredMs);
  }

  private describe(
    { item, latestStartMs }: Entry<T>,
    position: number,
    rate: number | undefined,
    waitMs: number,
  ): QueuePosition & { item: T } {
    return { item, position, rate, waitMs, timeLeftMs: latestStartMs - this.nowMs };
  }

  private findRefusalReason(
    { item, position, waitMs, timeLeftMs }: QueuePosition & { item: T },
    newest: T | undefined,
  ): RefusalReason | undefined {
    if (position >= MAX_WAITING) return 'queue_full';
    if (timeLeftMs <= 0) return item === newest ? 'no_time' : 'expired';
    const factor = item === newest ? 1 : EARLY_REFUSAL_FACTOR;
    return waitMs > timeLeftMs * factor ? 'no_time' : undefined;
  }

  private findRate(): number | undefined {
    const expected = this.options.getExpectedRate();
    if (expected === undefined || !(expected > 0)) return undefined;
    return Math.max(MIN_RATE, this.rate.getRate(expected));
  }

  private sumWorkMs(): number {
    let sum = 0;
    for (const { workMs } of this.entries.values()) sum += workMs;
    return sum;
  }

  private advance(): void {
    const { nowMs } = this;
    const isWaiting = this.entries.size > 0;
    this.rate.advance(nowMs, isWaiting);
    this.othersRate.advance(nowMs, isWaiting && this.areOthersWaiting);
  }
}
