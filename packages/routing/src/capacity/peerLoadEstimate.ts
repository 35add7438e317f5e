import type { Clock } from '@cactusstair/utils';

/** Estimated number of requests of other instances at an upstream. */
export interface LoadEstimate {
  running: number;
  /** Part of them that is known only as a mean over time. */
  unknown: number;
}

/** Time over which the mean of the reported loads is taken; several reports arrive in it. */
const MEAN_TIME_MS = 2000;
/** Deviations by which arrivals alone let a load differ from its mean. */
const MAX_DEVIATIONS = 2;
/** Age of a load when it arrives: half of the interval between reports, and its way. */
const ARRIVAL_AGE_MS = 250;

/**
 * Estimates the load that other instances put on an upstream from their reports, which are up to a
 * second old. A report that is older than a call says nothing about the calls that run now, only
 * its mean over time does. Serves fleets whose instances all see the same old loads: without this
 * they all chose the upstream that happened to be idle when the report was made.
 */
export class PeerLoadEstimate {
  private mean: number | undefined;

  private last: number | undefined;

  private atMs = 0;

  constructor(private readonly clock: Clock) {}

  /** Records the number of requests that the other instances reported. */
  record(running: number): void {
    const nowMs = this.clock.monotonicMs();
    if (this.last !== undefined) {
      // The load that was reported last is taken to have lasted until now.
      const share = 1 - Math.exp(-Math.max(0, nowMs - this.atMs) / MEAN_TIME_MS);
      this.mean = (this.mean ?? this.last) + (this.last - (this.mean ?? this.last)) * share;
    }
    this.last = running;
    this.atMs = nowMs;
  }

  /** @param callMs typical duration of a call at the upstream, in milliseconds */
  estimate(callMs: number): LoadEstimate {
    const { mean, last = 0, atMs } = this;
    // A single report is all that is known.
    if (mean === undefined) return { running: last, unknown: 0 };
    const ageMs = Math.max(0, this.clock.monotonicMs() - atMs) + ARRIVAL_AGE_MS;
    const known = Math.exp(-ageMs / Math.max(1, callMs));
    // A load that differs more than arrivals explain is a queue, which lasts.
    const spread = MAX_DEVIATIONS * Math.sqrt(last + 1);
    const steady = Math.min(last + spread, Math.max(last - spread, mean));
    return { running: steady + (last - steady) * known, unknown: steady * (1 - known) };
  }

  /** Forgets all reports. */
  reset(): void {
    this.mean = undefined;
    this.last = undefined;
  }
}
