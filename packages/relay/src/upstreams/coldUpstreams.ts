import type { ColdBound, ColdLimits } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import type { Service } from '../config/relayConfig.js';
import type { RelayBounds } from '../relayOptions.js';
import type { Upstream } from './upstream.js';
import type { UpstreamRecord } from './upstreamRecord.js';

const MAX_LOST = 10_000;

/** Why an upstream is cold. Its entry says so, or may be too old to say so. */
export type ColdReason = 'entry' | 'appeared' | 'restarted' | 'returned' | 'evacuation_ended';

/** Options of `ColdUpstreams`. */
export interface ColdUpstreamsOptions {
  clock: Clock;
  limits: ColdLimits;
  bounds: Pick<RelayBounds, 'coldOverage' | 'coldSlack'>;
  findUpstream: (id: string) => Upstream | undefined;
  listUpstreams: () => readonly Upstream[];
  findService: (name: string) => Service | undefined;
  /** Called when an upstream becomes cold, or is cold for longer because of a new reason. */
  onCold?: (upstream: Upstream, leftMs: number, reason: ColdReason) => void;
  /** Called once for an upstream whose entry does not say how long it is cold. */
  onUnknown?: (upstream: Upstream) => void;
}

interface Warmup {
  warmupMs: number;
  bound: ColdBound;
}

/**
 * Knows which upstreams are cold, and bounds what they get until they are warm. An entry of the list
 * may be 2 s old. So an upstream is also cold for the warm-up time of its service from when it
 * appears, restarts, comes back after it was down, or when the evacuation of its zone ends; its
 * entry can make that longer. Upstreams of services without a warm-up rate are never cold.
 *
 * Serves pools of which a few upstreams start at a time, or all at once.
 */
export class ColdUpstreams {
  /** Time until which an upstream is cold whatever its entry states, by its id. */
  private readonly coldUntilMs = new Map<string, number>();

  /** Ids of the upstreams that were cold when they were last looked at. */
  private readonly cold = new Set<string>();

  /** Start times of upstreams whose entries vanished in a store outage, by id. */
  private readonly lostStarts = new Map<string, number>();

  private readonly warmups = new WeakMap<Service, Warmup>();

  /** Ids of the upstreams that were passed to `onUnknown`. */
  private readonly unknown = new Set<string>();

  constructor(private readonly options: ColdUpstreamsOptions) {}

  /** Makes an upstream cold for the warm-up time of its service. */
  start(upstream: Upstream, reason: ColdReason): void {
    const { clock, onCold } = this.options;
    const warmup = this.findWarmup(upstream);
    if (!warmup || warmup.warmupMs <= 0) return;
    this.coldUntilMs.set(upstream.id, clock.monotonicMs() + warmup.warmupMs);
    this.cold.add(upstream.id);
    onCold?.(upstream, this.computeLeftMs(upstream, warmup), reason);
  }

  /** Records that the entry of an upstream vanished while the store was or had been away. */
  recordMissing({ id, startedAtMs }: UpstreamRecord): void {
    this.lostStarts.delete(id);
    this.lostStarts.set(id, startedAtMs);
    const oldest = this.lostStarts.size > MAX_LOST ? this.lostStarts.keys().next() : undefined;
    if (oldest && !oldest.done) this.lostStarts.delete(oldest.value);
  }

  /**
   * Records that an upstream was added to the list. One that the store had lost and that has not
   * started since is not cold: a whole pool may be registered again after an outage.
   */
  recordAppeared(upstream: Upstream): void {
    const { id, startedAtMs } = upstream.record;
    const isKnown = startedAtMs > 0 && this.lostStarts.get(id) === startedAtMs;
    this.lostStarts.delete(id);
    if (!isKnown) this.start(upstream, 'appeared');
  }

  isCold(id: string): boolean {
    const upstream = this.options.findUpstream(id);
    return upstream !== undefined && this.update(upstream) !== undefined;
  }

  /** Returns the time until a cold upstream accepts a request of this instance, in milliseconds. */
  getWaitMs(id: string): number {
    const upstream = this.options.findUpstream(id);
    const warmup = upstream && this.update(upstream);
    return warmup ? this.options.limits.getWaitMs(id, warmup.bound) : 0;
  }

  /** Counts a request that is sent to an upstream. */
  recordSent(id: string): void {
    const upstream = this.options.findUpstream(id);
    if (upstream && this.findWarmup(upstream)) this.options.limits.recordSent(id);
  }

  /** Records that a connection to an upstream was opened. */
  recordReached(id: string): void {
    const upstream = this.options.findUpstream(id);
    if (upstream?.returnsAtMs === undefined) return;
    const isKnownCold = this.update(upstream) !== undefined;
    upstream.returnsAtMs = undefined;
    if (isKnownCold) this.start(upstream, 'returned');
  }

  /** Forgets an upstream that is gone. */
  forget(id: string): void {
    this.coldUntilMs.delete(id);
    this.cold.delete(id);
    this.unknown.delete(id);
    this.options.limits.forget(id);
  }

  /** Looks at all upstreams, and divides their bounds again; to be called regularly. */
  refresh(): void {
    this.options.limits.refresh();
    for (const upstream of this.options.listUpstreams()) this.update(upstream);
  }

  /** Number of cold upstreams. */
  get count(): number {
    return this.cold.size;
  }

  /** Returns how an upstream warms up if it is cold now; logs and limits follow the change. */
  private update(upstream: Upstream): Warmup | undefined {
    const { id, record } = upstream;
    const warmup = this.findWarmup(upstream);
    if (warmup && record.warmupLeftMs === undefined && !this.unknown.has(id)) {
      this.unknown.add(id);
      this.options.onUnknown?.(upstream);
    }
    const leftMs = warmup ? this.computeLeftMs(upstream, warmup) : 0;
    if (leftMs <= 0) {
      if (this.cold.delete(id)) this.options.limits.end(id);
      upstream.returnsAtMs = undefined;
      return undefined;
    }
    if (!this.cold.has(id)) {
      this.cold.add(id);
      const reason = upstream.returnsAtMs === undefined ? 'entry' : 'returned';
      this.options.onCold?.(upstream, leftMs, reason);
    }
    return warmup;
  }

  private computeLeftMs(upstream: Upstream, { warmupMs }: Warmup): number {
    const nowMs = this.options.clock.monotonicMs();
    const untilMs = this.coldUntilMs.get(upstream.id) ?? -Infinity;
    // Nobody may try an upstream that was down while others are warm, so it counts as back early.
    const returnedMs = (upstream.returnsAtMs ?? -Infinity) + warmupMs;
    return Math.max(upstream.warmupLeftMs, Math.max(untilMs, returnedMs) - nowMs);
  }

  private findWarmup({ record }: Upstream): Warmup | undefined {
    const service = this.options.findService(record.service);
    const { warmupMs = 0, warmupRequestsPerSecond = 0 } = service ?? {};
    if (!service || warmupRequestsPerSecond <= 0) return undefined;
    const known = this.warmups.get(service);
    if (known) return known;
    const { coldOverage = 1, coldSlack = 0 } = this.options.bounds;
    const maxRequests = warmupRequestsPerSecond * coldOverage + coldSlack;
    const bound = { requestsPerSecond: warmupRequestsPerSecond, maxRequests };
    const warmup = { warmupMs, bound };
    this.warmups.set(service, warmup);
    return warmup;
  }
}
