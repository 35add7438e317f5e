import type { Clock } from '@cactusstair/utils';

import type { UpstreamAvailability } from './upstreamChooser.js';

/** `crash` means that the process went away with requests in flight. */
export type UpstreamFailureKind = 'connect' | 'crash' | 'timeout' | 'status';

/** Which of the three signals told that an upstream leaves. */
export type LeavingSignal = 'platform_list' | 'upstream' | 'probe';

/** Options of `UpstreamHealth`; `UpstreamHealthPool` passes them on. */
export interface UpstreamHealthOptions {
  /** Points without a success in between that eject. Default 3. */
  ejectionPoints?: number;
  /** Share of failures among recent outcomes that ejects. Default 0.5. */
  ejectionFailureShare?: number;
  /** Outcomes that the share needs. Default 20. */
  minOutcomes?: number;
  /** Window of recent outcomes. Default 10,000. */
  outcomeWindowMs?: number;
  /** First ejection; each further one doubles it. Default 5,000. */
  baseEjectionMs?: number;
  /** Longest ejection. Default 300,000. */
  maxEjectionMs?: number;
  /** Time in service after which the next ejection is short again. Default 300,000. */
  forgiveAfterMs?: number;
  /** Slow start after joining, an ejection or failed probes. Default 30,000. */
  slowStartMs?: number;
  /** Failed probes in a row that mean leaving. With one probe a second, 2 stay within the 3 s
   * after which a leaving upstream must receive no new work. Default 2. */
  probeFailuresToLeave?: number;
}

/** What one upstream needs from its pool. */
export interface EjectionArbiter {
  /** Asks to take an upstream out of service because of failures; false keeps it in service. */
  tryTakeOut(name: string): boolean;
  /** Called after a change of the upstreams that count towards the pool. */
  rebalance(): void;
}

export const DEFAULT_HEALTH_OPTIONS: Required<UpstreamHealthOptions> = {
  ejectionPoints: 3,
  ejectionFailureShare: 0.5,
  minOutcomes: 20,
  outcomeWindowMs: 10_000,
  baseEjectionMs: 5000,
  maxEjectionMs: 300_000,
  forgiveAfterMs: 300_000,
  slowStartMs: 30_000,
  probeFailuresToLeave: 2,
};

// A crash ejects at once: its cause, often one request, may still be queued there. A time-out or
// an error status can be the fault of a single request.
const FAILURE_POINTS: Record<UpstreamFailureKind, number> = {
  crash: 3,
  connect: 1.5,
  timeout: 1,
  status: 1,
};

/** Health of one upstream as seen by one instance. Created by `UpstreamHealthPool`. */
export class UpstreamHealth {
  private points = 0;

  private windowStartMs: number;

  private successes = 0;

  private failures = 0;

  private ejections = 0;

  private ejectedUntilMs = -Infinity;

  private availableSinceMs: number;

  private failedProbes = 0;

  private outByProbes = false;

  private readonly leavingSignals = new Set<LeavingSignal>();

  constructor(
    readonly name: string,
    private readonly arbiter: EjectionArbiter,
    private readonly clock: Clock,
    private readonly options: Required<UpstreamHealthOptions> = DEFAULT_HEALTH_OPTIONS,
  ) {
    this.availableSinceMs = clock.monotonicMs();
    this.windowStartMs = this.availableSinceMs;
  }

  recordSuccess(): void {
    this.startWindowIfDue();
    this.successes += 1;
    this.points = 0;
  }

  /** Counts a failed call and ejects the upstream if its pool allows. */
  recordFailure(kind: UpstreamFailureKind): void {
    // Calls that were in flight at the ejection belong to the same fault.
    if (this.getAvailability() === 'ejected') return;
    this.startWindowIfDue();
    this.failures += 1;
    this.points += FAILURE_POINTS[kind];
    const outcomes = this.successes + this.failures;
    const shareExceeded =
      outcomes >= this.options.minOutcomes &&
      this.failures >= outcomes * this.options.ejectionFailureShare;
    if (this.points >= this.options.ejectionPoints || shareExceeded) this.eject();
  }

  /** Takes the result of a periodic probe. A failed one is the third signal for leaving. */
  recordProbe(ok: boolean): void {
    if (ok) {
      this.failedProbes = 0;
      if (!this.outByProbes) return;
      this.outByProbes = false;
      this.availableSinceMs = this.clock.monotonicMs();
      return;
    }
    this.failedProbes += 1;
    if (this.outByProbes || this.failedProbes < this.options.probeFailuresToLeave) return;
    if (this.arbiter.tryTakeOut(this.name)) this.outByProbes = true;
  }

  /** Marks the upstream as leaving; always honoured, since the upstream itself or the platform
   * says so. */
  markLeaving(signal: LeavingSignal = 'upstream'): void {
    this.leavingSignals.add(signal);
    this.arbiter.rebalance();
  }

  /** Withdraws a signal, for example when the platform lists the upstream as live again. */
  clearLeaving(signal: LeavingSignal): void {
    if (!this.leavingSignals.delete(signal) || this.leavingSignals.size > 0) return;
    this.availableSinceMs = this.clock.monotonicMs();
    // The upstream counts towards its pool again and may still be ejected.
    this.arbiter.rebalance();
  }

  getAvailability(): UpstreamAvailability {
    if (this.isMarkedLeaving() || this.outByProbes) return 'leaving';
    const nowMs = this.clock.monotonicMs();
    if (nowMs < this.ejectedUntilMs) return 'ejected';
    return nowMs - this.getAvailableSinceMs() < this.options.slowStartMs ? 'slow_start' : 'ready';
  }

  /** Time since the upstream last became available; 0 while it is not. */
  getReadyForMs(): number {
    const availability = this.getAvailability();
    if (availability === 'ejected' || availability === 'leaving') return 0;
    return this.clock.monotonicMs() - this.getAvailableSinceMs();
  }

  /** True when the platform or the upstream said that it leaves. */
  isMarkedLeaving(): boolean {
    return this.leavingSignals.size > 0;
  }

  /** True while failures or failed probes keep it out of service; the pool bounds their number. */
  isTakenOut(): boolean {
    return this.outByProbes || this.clock.monotonicMs() < this.ejectedUntilMs;
  }

  /** Puts the upstream back into service because too many others are missing. */
  putBack(): void {
    this.ejectedUntilMs = Math.min(this.ejectedUntilMs, this.clock.monotonicMs());
    this.outByProbes = false;
    this.availableSinceMs = this.clock.monotonicMs();
  }

  /** End of the current ejection on the monotonic clock; Infinity for failed probes. */
  getOutUntilMs(): number {
    return this.outByProbes ? Infinity : this.ejectedUntilMs;
  }

  private eject(): void {
    const nowMs = this.clock.monotonicMs();
    const inServiceMs = nowMs - this.getAvailableSinceMs();
    if (inServiceMs >= this.options.forgiveAfterMs) this.ejections = 0;
    if (!this.arbiter.tryTakeOut(this.name)) return;
    const backoffMs = this.options.baseEjectionMs * 2 ** Math.min(this.ejections, 30);
    this.ejections += 1;
    this.ejectedUntilMs = nowMs + Math.min(backoffMs, this.options.maxEjectionMs);
    this.points = 0;
    this.successes = 0;
    this.failures = 0;
  }

  private getAvailableSinceMs(): number {
    return Math.max(this.availableSinceMs, this.ejectedUntilMs);
  }

  private startWindowIfDue(): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.windowStartMs < this.options.outcomeWindowMs) return;
    this.windowStartMs = nowMs;
    this.successes = 0;
    this.failures = 0;
  }
}
