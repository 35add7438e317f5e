import type { Failure } from '@cactusstair/protocol';
import { createFailure } from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import { DeficitRoundRobin } from './deficitRoundRobin.js';
import { DrainRate } from './drainRate.js';

/** `short` and `long` by expected output tokens. */
export type RequestClass = 'short' | 'long';

/** Options of `AdmissionQueue`. */
export interface AdmissionQueueOptions {
  clock?: Clock;
  /** Maximum permits in use at once. Default 0: requests wait until `setCapacity` is called. */
  capacity?: number;
  /** Maximum number of waiting requests. Default 1,000. */
  maxQueued?: number;
  /** Minimum share of the served tokens for waiting long requests. Default 0.2. */
  minLongShare?: number;
  /** Time constant of the drain rate average, in milliseconds. Default 5,000. */
  drainTimeConstantMs?: number;
  /** Backlog time after which requests are refused based on the drain rate. Default 250. */
  minBacklogMs?: number;
}

/** One request for a permit. */
export interface AdmissionRequest {
  workspace: string;
  /** Weight of the workspace relative to the others. Values that are not above 0 count as 1. */
  weight: number;
  requestClass: RequestClass;
  /** Expected cost in tokens. Values below 1 count as 1. */
  cost: number;
  /** Longest wait from now, in milliseconds. A duration, not a point in time. */
  deadlineMs: number;
  /** Ends the wait when the caller disconnects. */
  signal?: AbortSignal;
}

/** The right to run one request; must be released when the request ends. */
export interface Permit {
  /** Frees the slot; further calls have no effect. */
  release(): void;
}

interface Waiter {
  workspace: string;
  weight: number;
  cost: number;
  requestClass: RequestClass;
  deadlineMs: number;
  settle: (result: Result<Permit, Failure>) => void;
}

const CLASSES: readonly RequestClass[] = ['short', 'long'];

/** Decides which requests of a model pool run now, wait or are refused. */
export class AdmissionQueue {
  private readonly clock: Clock;

  private readonly maxQueued: number;

  private readonly minLongShare: number;

  private readonly queues: Record<RequestClass, DeficitRoundRobin<Waiter>> = {
    short: new DeficitRoundRobin(),
    long: new DeficitRoundRobin(),
  };

  private readonly drainRates: Record<RequestClass, DrainRate>;

  private capacity: number;

  private inUse = 0;

  /** Tokens that waiting long requests have accumulated while short ones were served. */
  private longCredit = 0;

  private closed = false;

  constructor(options: AdmissionQueueOptions = {}) {
    this.clock = options.clock ?? systemClock;
    this.capacity = options.capacity ?? 0;
    this.maxQueued = options.maxQueued ?? 1000;
    this.minLongShare = Math.min(0.9, Math.max(0, options.minLongShare ?? 0.2));
    const nowMs = this.clock.monotonicMs();
    const drainOptions = {
      timeConstantMs: options.drainTimeConstantMs ?? 5000,
      minBacklogMs: options.minBacklogMs ?? 250,
    };
    this.drainRates = {
      short: new DrainRate(nowMs, drainOptions),
      long: new DrainRate(nowMs, drainOptions),
    };
  }

  /** Returns the number of waiting requests. */
  getQueueLength(requestClass?: RequestClass): number {
    if (requestClass) return this.queues[requestClass].length;
    return this.queues.short.length + this.queues.long.length;
  }

  /** Returns the number of permits in use. */
  getInUse(): number {
    return this.inUse;
  }

  /** Changes the number of permits. Permits already granted above a lower number stay valid. */
  setCapacity(slots: number): void {
    this.capacity = Math.max(0, Math.floor(slots));
    this.dispatch();
  }

  /**
   * Waits for a permit.
   *
   * @returns `overloaded` when the queue is full or the expected wait exceeds the deadline;
   * `queue_timeout` when the deadline passed or the signal was aborted; `stopping` after `close`.
   * Each of them means that the request was not run.
   */
  acquire(request: AdmissionRequest): Promise<Result<Permit, Failure>> {
    if (this.closed) return Promise.resolve(err(createStoppingFailure()));
    if (request.signal?.aborted) return Promise.resolve(err(createAbortFailure()));
    this.advanceDrainRates();
    if (this.getQueueLength() === 0 && this.inUse < this.capacity) {
      return Promise.resolve(ok(this.grantPermit()));
    }
    const item = {
      ...request,
      weight: request.weight > 0 ? request.weight : 1,
      cost: Math.max(1, request.cost),
    };
    const expectedWaitMs = this.estimateWaitMs(item);
    if (expectedWaitMs > request.deadlineMs) {
      const message =
        `the expected wait of ${Math.round(expectedWaitMs)} ms exceeds the deadline of ` +
        `${Math.round(request.deadlineMs)} ms; send fewer requests or raise the deadline`;
      const retryAfterMs = Math.ceil(expectedWaitMs - request.deadlineMs);
      return Promise.resolve(err(createFailure('overloaded', message, retryAfterMs)));
    }
    if (!this.makeRoom(item)) {
      const message = `${this.maxQueued} requests are already waiting; retry later`;
      return Promise.resolve(err(createFailure('overloaded', message, request.deadlineMs)));
    }
    return this.enqueue(item);
  }

  /**
   * Estimates the wait of a request in milliseconds from the measured drain rate of its class.
   * Returns 0 while there is no measurement.
   */
  estimateWaitMs(
    request: Pick<AdmissionRequest, 'workspace' | 'weight' | 'requestClass' | 'cost'>,
  ) {
    const rate = this.drainRates[request.requestClass].getRate();
    const queue = this.queues[request.requestClass];
    if (rate === undefined || queue.length === 0) return 0;
    const costAhead = queue.getCostAhead(request);
    return rate > 0 ? costAhead / rate : Infinity;
  }

  /** Refuses all waiting requests with `stopping`; permits in use stay valid. */
  close(): Promise<void> {
    this.closed = true;
    for (const requestClass of CLASSES) {
      const queue = this.queues[requestClass];
      for (let waiter = queue.shift(); waiter; waiter = queue.shift()) {
        waiter.settle(err(createStoppingFailure()));
      }
    }
    return Promise.resolve();
  }

  private enqueue(request: AdmissionRequest): Promise<Result<Permit, Failure>> {
    return new Promise((resolve) => {
      const timer = new AbortController();
      const { workspace, weight, cost, requestClass, deadlineMs, signal } = request;
      const handleAbort = () => {
        if (this.removeWaiter(waiter)) waiter.settle(err(createAbortFailure()));
      };
      const settle = (result: Result<Permit, Failure>) => {
        timer.abort();
        signal?.removeEventListener('abort', handleAbort);
        resolve(result);
      };
      const waiter: Waiter = { workspace, weight, cost, requestClass, deadlineMs, settle };
      this.queues[requestClass].push(waiter);
      signal?.addEventListener('abort', handleAbort, { once: true });
      void this.expireWaiter(waiter, timer.signal);
      this.dispatch();
    });
  }

  private async expireWaiter(waiter: Waiter, timerSignal: AbortSignal): Promise<void> {
    await this.clock.sleep(waiter.deadlineMs, timerSignal);
    if (timerSignal.aborted || !this.removeWaiter(waiter)) return;
    const message = `no capacity within ${Math.round(waiter.deadlineMs)} ms; retry later`;
    waiter.settle(err(createFailure('queue_timeout', message, waiter.deadlineMs)));
  }

  private removeWaiter(waiter: Waiter): boolean {
    this.advanceDrainRates();
    return this.queues[waiter.requestClass].remove(waiter);
  }

  /**
   * Keeps the queue bounded. A full queue drops the newest request of the workspace with the
   * largest waiting cost per weight, so that one workspace cannot block the others.
   */
  private makeRoom(request: AdmissionRequest): boolean {
    if (this.getQueueLength() < this.maxQueued) return true;
    const excess = CLASSES.map((requestClass) => this.queues[requestClass].findEvictionCandidate())
      .filter((found) => found !== undefined)
      .sort((a, b) => b.costPerWeight - a.costPerWeight)[0];
    const own = this.queues[request.requestClass].getCostPerWeight(request.workspace);
    if (!excess || own + request.cost / request.weight >= excess.costPerWeight) return false;
    this.queues[excess.item.requestClass].remove(excess.item);
    const message = `${this.maxQueued} requests are waiting and this workspace has the most; retry later`;
    excess.item.settle(err(createFailure('overloaded', message, excess.item.deadlineMs)));
    return true;
  }

  private dispatch(): void {
    this.advanceDrainRates();
    while (this.inUse < this.capacity) {
      const waiter = this.takeNext();
      if (!waiter) return;
      this.drainRates[waiter.requestClass].add(waiter.cost);
      waiter.settle(ok(this.grantPermit()));
    }
  }

  /** Takes a short request first, unless the long ones are below their minimum share. */
  private takeNext(): Waiter | undefined {
    const nextShort = this.queues.short.peek();
    const nextLong = this.queues.long.peek();
    if (!nextLong) {
      this.longCredit = 0;
      return this.queues.short.shift();
    }
    if (!nextShort) return this.queues.long.shift();
    if (this.longCredit >= nextLong.cost) {
      this.longCredit -= nextLong.cost;
      return this.queues.long.shift();
    }
    this.longCredit += (nextShort.cost * this.minLongShare) / (1 - this.minLongShare);
    return this.queues.short.shift();
  }

  private grantPermit(): Permit {
    this.inUse += 1;
    let released = false;
    return {
      release: () => {
        if (released) return;
        released = true;
        this.inUse -= 1;
        this.dispatch();
      },
    };
  }

  private advanceDrainRates(): void {
    const nowMs = this.clock.monotonicMs();
    for (const requestClass of CLASSES) {
      this.drainRates[requestClass].advance(nowMs, this.queues[requestClass].length > 0);
    }
  }
}

function createAbortFailure(): Failure {
  return createFailure('queue_timeout', 'the caller disconnected while the request was waiting');
}

function createStoppingFailure(): Failure {
  return createFailure('stopping', 'this instance is stopping; retry the request');
}
