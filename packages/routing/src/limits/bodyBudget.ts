import type { Clock } from '@cactusstair/utils';
import { RateMeter } from '@cactusstair/utils';

import type { MemoryGrant } from './memoryShares.js';
import { MemoryShares } from './memoryShares.js';

/** Bodies up to this size take no memory of the budget; the bound on connections bounds them. */
const SMALL_BODY_BYTES = 8 * 1024;
/** What a connection may hold in memory while its body waits: 16 KiB and two reads of 64 KiB. */
const WAITING_BYTES = 144 * 1024;
/** Share of the memory that bodies which wait may take beside the budget. */
const MAX_WAITING_SHARE = 0.5;
/** A body that has not got memory by then is refused. */
const MAX_WAIT_MS = 10_000;
/** A body that may be read is not ended before it has had this time to arrive. */
const ARRIVAL_GRACE_MS = 1000;
/**
 * A body that arrives more slowly is ended when another one waits. It doubles with each second of the
 * longest wait, so that fast bodies get memory before they are refused.
 */
const MIN_BYTES_PER_SECOND = 16 * 1024;
/** The least rate does not rise above this, so that an overload of fast callers ends no body. */
const MAX_LEAST_BYTES_PER_SECOND = 256 * 1024;
const CHECK_INTERVAL_MS = 100;
/** After a longer gap between checks this process was paused, and bytes that arrived are not read. */
const PAUSE_GAP_MS = 300;

/** Why a body is not read on. */
export type BodyRefusal = 'no_memory' | 'too_slow';

/** Hears what becomes of a body that is larger than `SMALL_BODY_BYTES`. */
export interface BodyListener {
  /** Called when reading has to stop until there is memory. */
  onWait(): void;
  onGranted(): void;
  /** Called at most once; the memory is released by then. */
  onRefused(reason: BodyRefusal): void;
}

/** Options of `BodyBudget.open`. */
export interface BodyOptions {
  /** Workspace or address that sends the body; owners share the memory evenly. */
  owner: string;
  /** Announced length, or the largest one that is allowed. */
  maxBytes: number;
  /** Time that the caller waits for memory; at most `MAX_WAIT_MS` is used. */
  maxWaitMs: number;
  listener: BodyListener;
}

/** What decides which body is ended for one that waits. */
export interface ArrivingBody {
  /** Monotonic time since which it is read. */
  readonly readSinceMs: number;
  readonly rate: Pick<RateMeter, 'getBytesPerSecond'>;
}

/**
 * Chooses the body that is ended so that others get its memory: the slowest one below the least rate.
 * Load: callers that stall or send little at a time while they hold the memory for bodies.
 *
 * @param longestWaitMs time for which the first of the others has waited
 */
export function chooseBodyToEnd<T extends ArrivingBody>(
  bodies: Iterable<T>,
  nowMs: number,
  longestWaitMs: number,
): T | undefined {
  let chosen: T | undefined;
  const raisedRate = MIN_BYTES_PER_SECOND * 2 ** Math.floor(longestWaitMs / 1000);
  let leastRate = Math.min(MAX_LEAST_BYTES_PER_SECOND, raisedRate);
  for (const body of bodies) {
    if (nowMs - body.readSinceMs < ARRIVAL_GRACE_MS) continue;
    const rate = body.rate.getBytesPerSecond(nowMs);
    if (rate >= leastRate) continue;
    chosen = body;
    leastRate = rate;
  }
  return chosen;
}

/** Memory for one body of a caller, from its first bytes until its request has ended. */
export class BodyLease implements ArrivingBody {
  readSinceMs: number;

  readonly rate: RateMeter;

  /** Monotonic time since which it waits for memory; undefined if it does not. */
  waitingSinceMs: number | undefined;

  /** Time for which it waited for memory that it got, in milliseconds. */
  waitedMs = 0;

  private receivedBytes = 0;

  private grant: MemoryGrant | undefined;

  private isOver = false;

  constructor(
    private readonly budget: BodyBudget,
    readonly options: BodyOptions,
    private readonly getNowMs: () => number,
  ) {
    this.readSinceMs = getNowMs();
    this.rate = new RateMeter(this.readSinceMs);
  }

  /** Counts bytes that have arrived; may call the listener. */
  record(bytes: number): void {
    this.receivedBytes += bytes;
    this.rate.record(bytes, this.getNowMs());
    if (this.receivedBytes <= SMALL_BODY_BYTES || this.grant || this.isOver) return;
    this.reserve();
  }

  /** Keeps the memory of a whole body, which is no longer ended for others. */
  complete(): void {
    this.budget.stopWatching(this);
    this.grant?.shrinkTo(this.receivedBytes);
  }

  /** Gives back the memory. Repeated calls have no effect. */
  release(): void {
    this.isOver = true;
    this.budget.stopWatching(this);
    this.waitingSinceMs = undefined;
    this.grant?.release();
  }

  /** Called by the budget. */
  refuse(reason: BodyRefusal): void {
    if (this.isOver) return;
    this.release();
    this.options.listener.onRefused(reason);
  }

  private reserve(): void {
    const { owner, maxBytes, listener } = this.options;
    let isGranted = false;
    this.waitingSinceMs = this.getNowMs();
    const grant = this.budget.request(owner, maxBytes, () => {
      isGranted = true;
      const nowMs = this.getNowMs();
      this.waitedMs = nowMs - (this.waitingSinceMs ?? nowMs);
      this.waitingSinceMs = undefined;
      this.readSinceMs = nowMs;
      if (this.grant) listener.onGranted();
    });
    this.grant = grant;
    this.budget.watch(this);
    if (isGranted) return;
    if (this.budget.isWaitingFull) this.budget.refuse(this, 'no_memory');
    else listener.onWait();
  }
}

/** Options of `BodyBudget`. */
export interface BodyBudgetOptions {
  clock: Clock;
  /** Memory for all bodies together, in bytes. */
  maxBytes: number;
}

/**
 * Memory for the bodies that callers send to one instance. A body that finds none waits, and a bounded
 * number may wait. While one waits, bodies that stall or arrive slowly are ended, the slowest first.
 */
export class BodyBudget {
  /** Bodies that arrive and hold memory or wait for it. */
  private readonly arriving = new Set<BodyLease>();

  private readonly shares: MemoryShares;

  private readonly maxWaiting: number;

  private timer: NodeJS.Timeout | undefined;

  private checkedAtMs = 0;

  /** Bodies that were ended or refused since the start, by reason. */
  readonly refusals: Record<BodyRefusal, number> = { no_memory: 0, too_slow: 0 };

  constructor(private readonly options: BodyBudgetOptions) {
    this.shares = new MemoryShares(options.maxBytes);
    const waitingBytes = options.maxBytes * MAX_WAITING_SHARE;
    this.maxWaiting = Math.max(1, Math.floor(waitingBytes / WAITING_BYTES));
  }

  /** Memory that is granted, in bytes. */
  get usedBytes(): number {
    return this.shares.usedBytes;
  }

  /** Number of bodies that wait for memory. */
  get waitingCount(): number {
    return this.listWaiting().length;
  }

  open(options: BodyOptions): BodyLease {
    return new BodyLease(this, options, () => this.options.clock.monotonicMs());
  }

  /** Used by `BodyLease`. */
  request(owner: string, bytes: number, onGranted: () => void): MemoryGrant {
    return this.shares.request(owner, bytes, onGranted);
  }

  /** Used by `BodyLease`. */
  watch(lease: BodyLease): void {
    this.arriving.add(lease);
    if (this.timer || lease.waitingSinceMs === undefined) return;
    this.checkedAtMs = this.options.clock.monotonicMs();
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  /** Used by `BodyLease`. */
  stopWatching(lease: BodyLease): void {
    this.arriving.delete(lease);
  }

  /** Whether more bodies wait than may. */
  get isWaitingFull(): boolean {
    return this.waitingCount > this.maxWaiting;
  }

  /** Ends bodies whose memory others wait for, and waits that take too long; called by a timer. */
  check(): void {
    const nowMs = this.options.clock.monotonicMs();
    const gapMs = nowMs - this.checkedAtMs;
    this.checkedAtMs = nowMs;
    const waiting = this.listWaiting();
    if (waiting.length === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
      return;
    }
    if (gapMs > PAUSE_GAP_MS) return;
    this.endSlowBodies(nowMs);
    for (const lease of this.listWaiting()) {
      const maxWaitMs = Math.min(MAX_WAIT_MS, lease.options.maxWaitMs);
      if (nowMs - lease.waitingSinceMs! >= maxWaitMs) this.refuse(lease, 'no_memory');
    }
  }

  private endSlowBodies(nowMs: number): void {
    for (;;) {
      const waiting = this.listWaiting();
      if (waiting.length === 0) return;
      const sinceMs = Math.min(...waiting.map(({ waitingSinceMs }) => waitingSinceMs!));
      const holding = [...this.arriving].filter(
        ({ waitingSinceMs, options }) =>
          waitingSinceMs === undefined && this.shares.isAwaitedFrom(options.owner),
      );
      const ended = chooseBodyToEnd(holding, nowMs, nowMs - sinceMs);
      if (!ended) return;
      this.refuse(ended, 'too_slow');
    }
  }

  /** Used by `BodyLease`. */
  refuse(lease: BodyLease, reason: BodyRefusal): void {
    this.refusals[reason] += 1;
    lease.refuse(reason);
  }

  private listWaiting(): BodyLease[] {
    return [...this.arriving].filter(({ waitingSinceMs }) => waitingSinceMs !== undefined);
  }
}
