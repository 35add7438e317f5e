import type { Clock } from '@cactusstair/utils';
import { hashText } from '@cactusstair/utils';

import { RateAllowance } from './rateAllowance.js';

/** What a cold upstream takes from all instances together. */
export interface ColdBound {
  /** Rate to send at, in requests per second. */
  requestsPerSecond: number;
  /** Requests that it may receive in any sliding second. */
  maxRequests: number;
}

/** The instances that may send to a cold upstream, as far as this one knows. */
export interface KnownInstances {
  self: string;
  /** Names of all others heard of since the start, also of those that are silent now. */
  others: readonly string[];
  /** Largest number of instances known so far, this one included; may exceed the names. */
  count: number;
  /** Whether the others can know this instance. Before that it has no share. */
  isIntroduced: boolean;
}

/** Options of `ColdLimits`. */
export interface ColdLimitsOptions {
  clock: Clock;
  getInstances: () => KnownInstances;
}

interface ColdShare {
  bound: ColdBound;
  quota: number;
  allowance: RateAllowance;
}

const MS_PER_SECOND = 1000;
/** A second, and the time that the opening of a connection may take off its start. */
const WINDOW_MS = 1200;
/** Share of the bound that the rate may use, so that a quota of 1 is never exceeded in a window. */
const MAX_RATE_SHARE = 0.8;

/**
 * Divides the requests that an upstream may receive in a second among instances. The one of rank 0
 * gets the first, that of rank 1 the second, and so on in turn, so the quotas of all ranks add up to
 * `maxRequests`. No quota grows when a further instance is known: as long as each instance knows at
 * least those that run, the sum stays within the bound, however much their knowledge differs.
 */
export function computeColdQuota(rank: number, count: number, maxRequests: number): number {
  return Math.max(0, Math.ceil((Math.floor(maxRequests) - rank) / count));
}

/**
 * Keeps the requests of all instances to an upstream that warms up within its bound for any sliding
 * second. Each instance has a quota of the requests of a second, which covers its rate and what it
 * may have saved up. Instances are ranked for each upstream by rendezvous hashing. Instances whose
 * names are not known count as if they came first, and silent ones keep their quota: they may be
 * cut off and still send.
 *
 * Serves upstreams that crash under a few tens of requests in their first seconds, in front of one
 * to some hundred instances. With more instances than `maxRequests` only some may send to an
 * upstream, others to other ones.
 */
export class ColdLimits {
  private readonly shares = new Map<string, ColdShare>();

  /** Time of the last request to each upstream, cold or not. */
  private readonly sentAtMs = new Map<string, number>();

  private readonly ranks = new Map<string, number>();

  private instances: KnownInstances = { self: '', others: [], count: 1, isIntroduced: false };

  private instancesKey = '';

  constructor(private readonly options: ColdLimitsOptions) {}

  /** Returns the time until this instance may send to a cold upstream, in milliseconds. */
  getWaitMs(upstream: string, bound: ColdBound): number {
    return this.getShare(upstream, bound).allowance.getWaitMs();
  }

  /** Counts a request that is sent to an upstream, cold or not. */
  recordSent(upstream: string): void {
    this.sentAtMs.set(upstream, this.options.clock.monotonicMs());
    this.shares.get(upstream)?.allowance.tryTake();
  }

  /** Ends the limit of an upstream that is warm. */
  end(upstream: string): void {
    this.shares.delete(upstream);
  }

  /** Forgets an upstream that is gone. */
  forget(upstream: string): void {
    this.end(upstream);
    this.sentAtMs.delete(upstream);
    this.ranks.delete(upstream);
  }

  /** Divides the limits again; to be called when the known instances may have changed. */
  refresh(): void {
    this.instances = this.options.getInstances();
    const { count, isIntroduced, others } = this.instances;
    // Names are only added, so their number tells whether they have changed.
    const key = `${others.length} ${count} ${isIntroduced}`;
    if (key === this.instancesKey) return;
    this.instancesKey = key;
    this.ranks.clear();
    for (const [upstream, share] of this.shares) this.apply(upstream, share);
  }

  private getShare(upstream: string, bound: ColdBound): ColdShare {
    const known = this.shares.get(upstream);
    if (known) {
      const isSame =
        known.bound.requestsPerSecond === bound.requestsPerSecond &&
        known.bound.maxRequests === bound.maxRequests;
      if (!isSame) {
        known.bound = bound;
        this.apply(upstream, known);
      }
      return known;
    }
    const share = { bound, quota: 0, allowance: new RateAllowance(this.options.clock) };
    this.shares.set(upstream, share);
    this.apply(upstream, share);
    return share;
  }

  private apply(upstream: string, share: ColdShare): void {
    const { requestsPerSecond, maxRequests } = share.bound;
    const whole = Math.floor(maxRequests);
    const hadQuota = share.quota > 0;
    share.quota = this.computeQuota(upstream, maxRequests);
    const rate = Math.min(requestsPerSecond, whole * MAX_RATE_SHARE);
    const ownRate = share.quota === 0 ? 0 : (rate * share.quota) / whole;
    const inWindow = (ownRate * WINDOW_MS) / MS_PER_SECOND;
    const maxSaved = share.quota === 0 ? 0 : Math.max(1, share.quota - inWindow);
    share.allowance.setRate(ownRate, maxSaved);
    // Requests that were sent just before count within the same second.
    const sentMs = this.sentAtMs.get(upstream) ?? -Infinity;
    const isRested = this.options.clock.monotonicMs() - sentMs >= WINDOW_MS;
    if (hadQuota || share.quota === 0 || !isRested) return;
    // The instances start in turn, so that an upstream does not get all of a second at once.
    share.allowance.fill(this.computeRank(upstream) / whole);
  }

  private computeQuota(upstream: string, maxRequests: number): number {
    if (!this.instances.isIntroduced) return 0;
    return computeColdQuota(this.computeRank(upstream), this.size, maxRequests);
  }

  /** Number of instances, named or not. */
  private get size(): number {
    return Math.max(this.instances.count, this.instances.others.length + 1);
  }

  /** Returns the number of instances that may come before this one at an upstream. */
  private computeRank(upstream: string): number {
    const { others, self } = this.instances;
    const unnamed = this.size - others.length - 1;
    const known = this.ranks.get(upstream);
    if (known !== undefined) return known + unnamed;
    const own = hashText(`${upstream}@${self}`);
    const rank = others.filter((name) => {
      const other = hashText(`${upstream}@${name}`);
      return other > own || (other === own && name < self);
    }).length;
    this.ranks.set(upstream, rank);
    return rank + unnamed;
  }
}
