import type { Clock } from '@cactusstair/utils';

import type { UpstreamAvailability } from './upstreamChooser.js';

/** `crash` means that the upstream's process ended with requests in flight. */
export type UpstreamFailureKind = 'connect' | 'crash' | 'timeout' | 'status';

/** Source of the information that an upstream is leaving. */
export type LeavingSignal = 'platform_list' | 'upstream' | 'answer' | 'probe';

/** Options of `UpstreamHealth`; `UpstreamHealthPool` passes them on. */
export interface UpstreamHealthOptions {
  /** Failure points without a success in between at which the upstream is ejected. Default 3. */
  ejectionPoints?: number;
  /** Share of failures among recent outcomes at which the upstream is ejected. Default 0.5. */
  ejectionFailureShare?: number;
  /** Minimum number of outcomes for the failure share. Default 20. */
  minOutcomes?: number;
  /** Length of the window of recent outcomes. Default 10,000. */
  outcomeWindowMs?: number;
  /** Duration of the first ejection; it doubles with each further one. Default 5,000. */
  baseEjectionMs?: number;
  /** Maximum duration of an ejection. Default 300,000. */
  maxEjectionMs?: number;
  /**
   * Time in service after which the next ejection lasts `baseEjectionMs` again. Default 300,000.
   */
  ejectionBackoffResetMs?: number;
  /** Duration of slow start after joining, an ejection or failed probes. Default 30,000. */
  slowStartMs?: number;
  /**
   * Consecutive failed probes after which the upstream counts as leaving. With one probe per
   * second, 2 stay within the 3 s after which a leaving upstream must receive no new work. Default
   * 2.
   */
  probeFailuresToLeave?: number;
}

/** Limits how many upstreams of a pool are out of service. */
export interface EjectionArbiter {
  /** Returns whether an upstream may be taken out of service because of failures. */
  tryTakeOutOfService(name: string): boolean;
  /** Returns upstreams to service if too many are out; called when one starts or stops leaving. */
  restoreExcess(): void;
}

export const DEFAULT_HEALTH_OPTIONS: Required<UpstreamHealthOptions> = {
  ejectionPoints: 3,
  ejectionFailureShare: 0.5,
  minOutcomes: 20,
  outcomeWindowMs: 10_000,
  baseEjectionMs: 5000,
  maxEjectionMs: 300_000,
  ejectionBackoffResetMs: 300_000,
  slowStartMs: 30_000,
  probeFailuresToLeave: 2,
};

// A crash ejects at once, because the request that caused it may still be queued at the upstream. A
// time-out or an error status can be caused by a single request.
const FAILURE_POINTS: Record<UpstreamFailureKind, number> = {
  crash: 3,
  connect: 1.5,
  timeout: 1,
  status: 1,
};

/** Health of one upstream as seen by one instance. Created by `UpstreamHealthPool`. */
export class UpstreamHealth {
  private failurePoints = 0;

  private windowStartMs: number;

  private successes = 0;

  private failures = 0;

  private consecutiveEjections = 0;

  private ejectedUntilMs = -Infinity;

  private availableSinceMs: number;

  private failedProbes = 0;

  private removedByProbes = false;

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
    this.failurePoints = 0;
  }

  /**
   * Counts a failed call and ejects the upstream if a threshold is reached and the pool allows it.
   */
  recordFailure(kind: UpstreamFailureKind): void {
    // Failures of calls that were in flight at the ejection have the same cause.
    if (this.getAvailability() === 'ejected') return;
    this.startWindowIfDue();
    this.failures += 1;
    this.failurePoints += FAILURE_POINTS[kind];
    const outcomes = this.successes + this.failures;
    const shareExceeded =
      outcomes >= this.options.minOutcomes &&
      this.failures >= outcomes * this.options.ejectionFailureShare;
    if (this.failurePoints >= this.options.ejectionPoints || shareExceeded) this.eject();
  }

  /** Records the result of a periodic probe. Repeated failures mark the upstream as leaving. */
  recordProbe(ok: boolean): void {
    if (ok) {
      this.failedProbes = 0;
      if (!this.removedByProbes) return;
      this.removedByProbes = false;
      this.availableSinceMs = this.clock.monotonicMs();
      return;
    }
    this.failedProbes += 1;
    if (this.removedByProbes || this.failedProbes < this.options.probeFailuresToLeave) return;
    if (this.arbiter.tryTakeOutOfService(this.name)) this.removedByProbes = true;
  }

  /**
   * Marks the upstream as leaving. The pool's limit does not apply, since the upstream itself or
   * the platform has announced it.
   */
  markLeaving(signal: LeavingSignal = 'upstream'): void {
    this.leavingSignals.add(signal);
    this.arbiter.restoreExcess();
  }

  /** Clears a leaving signal, for example when the platform lists the upstream as live again. */
  clearLeaving(signal: LeavingSignal): void {
    if (!this.leavingSignals.delete(signal) || this.leavingSignals.size > 0) return;
    this.availableSinceMs = this.clock.monotonicMs();
    // The upstream counts towards its pool again and may still be ejected.
    this.arbiter.restoreExcess();
  }

  getAvailability(): UpstreamAvailability {
    if (this.isMarkedLeaving() || this.removedByProbes) return 'leaving';
    const nowMs = this.clock.monotonicMs();
    if (nowMs < this.ejectedUntilMs) return 'ejected';
    return nowMs - this.getAvailableSinceMs() < this.options.slowStartMs ? 'slow_start' : 'ready';
  }

  /** Returns the time since the upstream last became available; 0 while it is unavailable. */
  getReadyForMs(): number {
    const availability = this.getAvailability();
    if (availability === 'ejected' || availability === 'leaving') return 0;
    return this.clock.monotonicMs() - this.getAvailableSinceMs();
  }

  /** True when the platform or the upstream itself has signalled that it is leaving. */
  isMarkedLeaving(): boolean {
    return this.leavingSignals.size > 0;
  }

  /** True while failures or failed probes keep it out of service; the pool limits how many are. */
  isTakenOut(): boolean {
    return this.removedByProbes || this.clock.monotonicMs() < this.ejectedUntilMs;
  }

  /** Returns the upstream to service because too many others are unavailable. */
  returnToService(): void {
    this.ejectedUntilMs = Math.min(this.ejectedUntilMs, this.clock.monotonicMs());
    this.removedByProbes = false;
    this.availableSinceMs = this.clock.monotonicMs();
  }

  /** Returns the end of the ejection on the monotonic clock; Infinity for failed probes. */
  getOutUntilMs(): number {
    return this.removedByProbes ? Infinity : this.ejectedUntilMs;
  }

  private eject(): void {
    const nowMs = this.clock.monotonicMs();
    const inServiceMs = nowMs - this.getAvailableSinceMs();
    if (inServiceMs >= this.options.ejectionBackoffResetMs) this.consecutiveEjections = 0;
    if (!this.arbiter.tryTakeOutOfService(this.name)) return;
    const backoffMs = this.options.baseEjectionMs * 2 ** Math.min(this.consecutiveEjections, 30);
    this.consecutiveEjections += 1;
    this.ejectedUntilMs = nowMs + Math.min(backoffMs, this.options.maxEjectionMs);
    this.failurePoints = 0;
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
