import type { Clock } from '@cactusstair/utils';

import { RateAllowance } from './rateAllowance.js';
import type { InstanceGroup, LimitedUpstream } from './rateLimitShares.js';
import { computeRateShares } from './rateLimitShares.js';

/** What an instance has heard of the limit of one upstream. */
export interface LimitReport {
  upstream: string;
  /** Requests a second that the upstream takes from all instances; absent without a limit. */
  requestsPerSecond?: number | undefined;
  /** Time since the answer that said so. */
  ageMs: number;
}

/** Options of `UpstreamLimits`. */
export interface UpstreamLimitsOptions {
  clock: Clock;
  /** Returns the instances among which the limits are divided. */
  getGroup: () => InstanceGroup;
  /**
   * Returns the zone of an upstream and the name that it shares with those that can replace it;
   * undefined if it is not listed.
   */
  findUpstream: (id: string) => { pool: string; zone: string } | undefined;
}

interface Statement {
  requestsPerSecond: number | undefined;
  /** Monotonic time of the answer that said so. */
  atMs: number;
  /** Whether this instance received that answer. */
  isOwn: boolean;
}

/** Whose statements to export: those of this instance, or also those of others. */
export type LimitScope = 'own' | 'all';

/** An upstream that takes less is still asked this often, to learn whether its limit has ended. */
const MIN_LIMIT_PER_S = 0.1;
/** Own statements are exported for this time; answers renew them. */
const OWN_EXPORT_MS = 5000;
/** The end of a limit is exported for this time. */
const END_EXPORT_MS = 10_000;
const MAX_STATEMENTS = 10_000;

function isReport(value: unknown): value is LimitReport {
  if (typeof value !== 'object' || value === null) return false;
  const { upstream, requestsPerSecond, ageMs } = value as Partial<LimitReport>;
  return (
    typeof upstream === 'string' &&
    isAmount(ageMs) &&
    (requestsPerSecond === undefined || isAmount(requestsPerSecond))
  );
}

function isAmount(value: unknown): value is number {
  return Number.isFinite(value) && (value as number) >= 0;
}

/**
 * Keeps the requests of all instances together within the limits that upstreams name in their
 * answers. Each instance sends at most its share of a limit. Instances tell each other the limits
 * that they hear of; the newest statement about an upstream holds.
 *
 * Serves upstreams in need, of which each takes a few requests a second from up to some hundred
 * instances.
 */
export class UpstreamLimits {
  private readonly statements = new Map<string, Statement>();

  private readonly allowances = new Map<string, RateAllowance>();

  constructor(private readonly options: UpstreamLimitsOptions) {}

  /**
   * Records what an answer says about the limit of its upstream.
   *
   * @returns whether it is new
   */
  record(upstream: string, requestsPerSecond: number | undefined): boolean {
    const known = this.statements.get(upstream);
    if (!known && requestsPerSecond === undefined) return false;
    const atMs = this.options.clock.monotonicMs();
    this.put(upstream, { requestsPerSecond, atMs, isOwn: true });
    if (known?.requestsPerSecond === requestsPerSecond) return false;
    this.refresh();
    return true;
  }

  /** Forgets an upstream that has started again or is gone. */
  forget(upstream: string): void {
    this.statements.delete(upstream);
    this.allowances.delete(upstream);
  }

  /** Returns the time until this instance may send to an upstream, in milliseconds. */
  getWaitMs(upstream: string): number {
    return this.allowances.get(upstream)?.getWaitMs() ?? 0;
  }

  /** Counts a request that is sent to an upstream; false if it is above the share. */
  tryTake(upstream: string): boolean {
    return this.allowances.get(upstream)?.tryTake() ?? true;
  }

  /**
   * Whether this instance can use no more of the share than it does: there is no limit, or what it
   * may save up is saved up.
   */
  hasSpare(upstream: string): boolean {
    return this.allowances.get(upstream)?.isFull() ?? true;
  }

  exportReports(scope: LimitScope): LimitReport[] {
    const nowMs = this.options.clock.monotonicMs();
    const reports: LimitReport[] = [];
    for (const [upstream, { requestsPerSecond, atMs, isOwn }] of this.statements) {
      const ageMs = Math.round(nowMs - atMs);
      const isDue = scope === 'all' ? true : isOwn && ageMs < OWN_EXPORT_MS;
      if (!isDue || (requestsPerSecond === undefined && ageMs >= END_EXPORT_MS)) continue;
      reports.push({ upstream, requestsPerSecond, ageMs });
    }
    return reports;
  }

  /** Adopts what other instances have heard, where it is newer; ignores malformed reports. */
  importReports(reports: readonly unknown[]): void {
    const nowMs = this.options.clock.monotonicMs();
    let hasChanged = false;
    for (const report of reports) {
      if (!isReport(report)) continue;
      const { upstream, requestsPerSecond } = report;
      const atMs = nowMs - report.ageMs;
      const known = this.statements.get(upstream);
      if (known ? atMs <= known.atMs : requestsPerSecond === undefined) continue;
      this.put(upstream, { requestsPerSecond, atMs, isOwn: false });
      hasChanged ||= known?.requestsPerSecond !== requestsPerSecond;
    }
    if (hasChanged) this.refresh();
  }

  /** Divides the limits again; to be called when instances or upstreams may have changed. */
  refresh(): void {
    const byPool = new Map<string, LimitedUpstream[]>();
    for (const [id, { requestsPerSecond }] of this.statements) {
      const upstream = this.options.findUpstream(id);
      if (requestsPerSecond === undefined || !upstream) {
        this.allowances.delete(id);
        continue;
      }
      const limited = byPool.get(upstream.pool) ?? [];
      byPool.set(upstream.pool, limited);
      limited.push({
        id,
        zone: upstream.zone,
        requestsPerSecond: Math.max(MIN_LIMIT_PER_S, requestsPerSecond),
      });
    }
    if (byPool.size === 0) return;
    const group = this.options.getGroup();
    for (const limited of byPool.values()) {
      const shares = computeRateShares(limited, group);
      for (const { id } of limited) this.getAllowance(id).setRate(shares.get(id) ?? 0);
    }
  }

  private getAllowance(upstream: string): RateAllowance {
    const allowance = this.allowances.get(upstream) ?? new RateAllowance(this.options.clock);
    this.allowances.set(upstream, allowance);
    return allowance;
  }

  private put(upstream: string, statement: Statement): void {
    this.statements.delete(upstream);
    this.statements.set(upstream, statement);
    const oldest =
      this.statements.size > MAX_STATEMENTS ? this.statements.keys().next() : undefined;
    if (oldest && !oldest.done) this.forget(oldest.value);
  }
}
