import type { Failure } from '@cactusstair/protocol';
import { createFailure } from '@cactusstair/protocol';
import type { Clock, LifecycleManager, Random } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { ObjectStore } from './objectStore.js';
import { QuotaObject, WINDOW_MS } from './quotaObject.js';

/** Options of `QuotaLease`. */
export interface QuotaLeaseOptions {
  store: ObjectStore;
  clock: Clock;
  random: Random;
  lifecycle: LifecycleManager;
  /** Id and incarnation of this instance. */
  instance: string;
  incarnation: number;
  /** Returns the number of instances that share the limits, this one included. */
  getInstanceCount: () => number;
  /** Time for which a chunk should last at the current rate, in milliseconds. Default 10,000. */
  chunkDurationMs?: number;
  /** Fraction of the static share served before the first lease of a window. Default 0.1. */
  advanceShare?: number;
  /** Shortest time between two leases of one workspace, in milliseconds. Default 500. */
  leaseIntervalMs?: number;
  /** Time between two checks for unused tokens, in milliseconds. Default 5,000. */
  returnIntervalMs?: number;
}

const defaults = {
  chunkDurationMs: 10_000,
  advanceShare: 0.1,
  leaseIntervalMs: 500,
  returnIntervalMs: 5000,
};

/** Time constant with which the measured rate decays. */
const RATE_DECAY_MS = 10_000;
/** A chunk covers at least this many requests of the largest recent size. */
const REQUESTS_PER_CHUNK = 4;
/** Largest chunk in static shares, so that one instance cannot lease the whole window. */
const MAX_CHUNK_SHARES = 2;
/** Lease interval while the window is used up; other instances may return tokens. */
const EXHAUSTED_RETRY_MS = 2000;
/** Time for which a lower instance count is ignored; a network partition looks the same. */
const INSTANCE_COUNT_PERIOD_MS = 600_000;
/** The state of a workspace is removed after this time without requests. */
const IDLE_MS = 300_000;

interface WorkspaceState {
  object: QuotaObject;
  limitPerMinute: number;
  window: number;
  /** Tokens leased and consumed in this window; consumption may exceed them by the advance. */
  leased: number;
  consumed: number;
  /** Whether the object API answered a lease in this window. */
  leaseAnswered: boolean;
  storeFailed: boolean;
  ratePerMs: number;
  largestRequest: number;
  lastRequestAtMs: number;
  nextLeaseAtMs: number;
  leasing: boolean;
}

/**
 * Shares each workspace's tokens per minute between the instances. Each instance leases chunks of
 * the window from `quota/{workspace}` and serves from them in memory.
 *
 * Tokens served above the limit L in one window, over all instances:
 * - object API reachable: at most the advances, that is 0.1 L (`advanceShare`) or one request per
 *   instance where a first request is larger. It occurs only when the window is used up before the
 *   advance is leased;
 * - the window in which the object API fails: at most L, because an instance may have leased tokens
 *   before it serves its static share L / instances, which is not added to them;
 * - later windows of an outage: none beyond one request per instance, also during a network
 *   partition, while the number of instances does not exceed the highest number of the last 10
 *   minutes; with more instances, their excess times the static share.
 * Clocks that differ by d ms let an instance use the rest of its chunk d ms into the next window.
 * A refund counts for the window in which it arrives.
 */
export class QuotaLease {
  private readonly options: QuotaLeaseOptions & typeof defaults;

  private readonly states = new Map<string, WorkspaceState>();

  private instanceCounts: { sinceMs: number; current: number; previous: number };

  private readonly pending = new Set<Promise<void>>();

  constructor(options: QuotaLeaseOptions) {
    this.options = { ...defaults, ...options };
    const { clock, lifecycle, returnIntervalMs } = this.options;
    this.instanceCounts = { sinceMs: clock.monotonicMs(), current: 1, previous: 1 };
    lifecycle.addCleanup('quota leases', async () => {
      await Promise.all(this.pending);
      await Promise.all([...this.states.values()].map((state) => this.returnUnused(state, 0)));
    });
    lifecycle.startTask('quota returns', async (signal) => {
      while (!signal.aborted) {
        await clock.sleep(returnIntervalMs, signal);
        if (!signal.aborted) await this.returnExcess();
      }
    });
  }

  /**
   * Consumes tokens of a workspace; a limit of 0 means unlimited. Decides from memory, without I/O.
   *
   * @returns `quota_exceeded` with the time after which a retry is useful.
   */
  tryConsume(workspace: string, limitPerMinute: number, tokens: number): Result<void, Failure> {
    if (limitPerMinute === 0) return ok(undefined);
    const state = this.getState(workspace, limitPerMinute);
    this.recordDemand(state, tokens);
    const allowance = this.computeAllowance(state);
    const isFirst = state.consumed === 0 && !state.leaseAnswered && !state.storeFailed;
    const isAllowed = isFirst || state.consumed + tokens <= allowance;
    if (isAllowed) state.consumed += tokens;
    this.leaseIfLow(state);
    if (isAllowed) return ok(undefined);
    const windowEndsInMs = WINDOW_MS - (this.options.clock.wallMs() % WINDOW_MS);
    const retryAfterMs = Math.ceil(state.leasing ? this.options.leaseIntervalMs : windowEndsInMs);
    const message = `workspace ${workspace} has used its ${limitPerMinute} tokens per minute`;
    return err(createFailure('quota_exceeded', message, retryAfterMs));
  }

  /** Gives back tokens of the current window that a request did not need. */
  refund(workspace: string, tokens: number): void {
    const state = this.states.get(workspace);
    if (!state) return;
    this.enterWindow(state);
    // A refund from an earlier window must not raise this one above its allowance.
    state.consumed = Math.max(0, state.consumed - tokens);
  }

  private getState(workspace: string, limitPerMinute: number): WorkspaceState {
    let state = this.states.get(workspace);
    if (!state) {
      const { store, clock, random, instance, incarnation, lifecycle } = this.options;
      const writer = `${instance}.${incarnation}`;
      const objectOptions = { store, clock, random, writer, signal: lifecycle.signal };
      state = {
        object: new QuotaObject(objectOptions, workspace),
        limitPerMinute,
        window: 0,
        leased: 0,
        consumed: 0,
        leaseAnswered: false,
        storeFailed: false,
        ratePerMs: 0,
        largestRequest: 0,
        lastRequestAtMs: clock.monotonicMs(),
        nextLeaseAtMs: -Infinity,
        leasing: false,
      };
      this.states.set(workspace, state);
    }
    state.limitPerMinute = limitPerMinute;
    this.enterWindow(state);
    return state;
  }

  private enterWindow(state: WorkspaceState): void {
    const window = Math.floor(this.options.clock.wallMs() / WINDOW_MS);
    // By the clock of another instance, a lease may already have started the next window.
    if (window <= state.window) return;
    this.startWindow(state, window);
  }

  private startWindow(state: WorkspaceState, window: number): void {
    state.window = window;
    state.leased = 0;
    state.consumed = 0;
    state.leaseAnswered = false;
    state.largestRequest /= 2;
    if (!state.leasing) state.nextLeaseAtMs = -Infinity;
  }

  private recordDemand(state: WorkspaceState, tokens: number): void {
    const nowMs = this.options.clock.monotonicMs();
    const decay = Math.exp((state.lastRequestAtMs - nowMs) / RATE_DECAY_MS);
    state.ratePerMs = state.ratePerMs * decay + tokens / RATE_DECAY_MS;
    state.lastRequestAtMs = nowMs;
    state.largestRequest = Math.max(state.largestRequest, tokens);
  }

  private computeRatePerMs(state: WorkspaceState): number {
    const idleMs = this.options.clock.monotonicMs() - state.lastRequestAtMs;
    return state.ratePerMs * Math.exp(-idleMs / RATE_DECAY_MS);
  }

  private computeAllowance(state: WorkspaceState): number {
    const share = this.computeShare(state);
    const unleased = state.storeFailed ? share : share * this.options.advanceShare;
    return Math.max(state.leased, unleased);
  }

  private computeShare(state: WorkspaceState): number {
    return state.limitPerMinute / this.countInstances();
  }

  /** Returns the highest number of instances in the last 10 to 20 minutes. */
  private countInstances(): number {
    const nowMs = this.options.clock.monotonicMs();
    const counts = this.instanceCounts;
    const count = Math.max(1, this.options.getInstanceCount());
    if (nowMs - counts.sinceMs > INSTANCE_COUNT_PERIOD_MS) {
      this.instanceCounts = { sinceMs: nowMs, current: count, previous: counts.current };
    } else counts.current = Math.max(counts.current, count);
    return Math.max(this.instanceCounts.current, this.instanceCounts.previous);
  }

  /** Returns the number of unused tokens to keep for the current rate. */
  private computeTarget(state: WorkspaceState): number {
    const forRate = this.computeRatePerMs(state) * this.options.chunkDurationMs;
    const forRequests = state.largestRequest * REQUESTS_PER_CHUNK;
    const limit = this.computeShare(state) * MAX_CHUNK_SHARES;
    return Math.ceil(
      Math.min(Math.max(forRate, forRequests), Math.max(limit, state.largestRequest)),
    );
  }

  private leaseIfLow(state: WorkspaceState): void {
    const nowMs = this.options.clock.monotonicMs();
    if (state.leasing || nowMs < state.nextLeaseAtMs) return;
    const unused = state.leased - state.consumed;
    const target = this.computeTarget(state);
    if (unused >= target / 2) return;
    state.leasing = true;
    const lease = this.lease(state, target - unused).finally(() => {
      this.pending.delete(lease);
    });
    this.pending.add(lease);
  }

  private async lease(state: WorkspaceState, wanted: number): Promise<void> {
    const { clock, leaseIntervalMs } = this.options;
    const result = await state.object.lease(Math.ceil(wanted), state.limitPerMinute);
    state.leasing = false;
    state.nextLeaseAtMs = clock.monotonicMs() + leaseIntervalMs;
    state.storeFailed = result.isErr() && result.error.type !== 'conflict';
    if (result.isErr()) return;
    const chunk = result.value;
    if (chunk.window > state.window) this.startWindow(state, chunk.window);
    // The window of the chunk ended while the lease was in flight.
    if (chunk.window < state.window) return;
    state.leased += chunk.tokens;
    state.leaseAnswered = true;
    if (chunk.tokens === 0) state.nextLeaseAtMs = clock.monotonicMs() + EXHAUSTED_RETRY_MS;
  }

  /** Returns tokens that the current rate does not need, and removes idle workspaces. */
  private async returnExcess(): Promise<void> {
    const nowMs = this.options.clock.monotonicMs();
    for (const [workspace, state] of this.states) {
      this.enterWindow(state);
      await this.returnUnused(state, this.computeTarget(state));
      const isIdle = nowMs - state.lastRequestAtMs > IDLE_MS && !state.leasing;
      if (isIdle) this.states.delete(workspace);
    }
  }

  private async returnUnused(state: WorkspaceState, keep: number): Promise<void> {
    const unused = state.leased - state.consumed;
    // Keeps twice the target, so that small changes of the rate cause no writes.
    if (unused <= 0 || unused < keep * 2) return;
    const tokens = Math.floor(unused - keep);
    if (tokens === 0) return;
    // Deducts the tokens before the write: if it fails they stay unused and are never used twice.
    state.leased -= tokens;
    await state.object.return({ window: state.window, tokens }, state.limitPerMinute);
  }
}
