/**
 * Learns how much longer requests wait in a zone than the loads known here lead one to expect.
 * What is known of another zone's engines is older than what is known of the own zone's, and the
 * engine that looks best is the one whose load is most likely to have grown since. Serves fleets
 * whose instances all choose among the same engines.
 */

/** Weight of the newest wait once there are many. */
const MIN_SAMPLE_WEIGHT = 0.05;
/** One wait counts as at most this much longer than expected, in milliseconds. */
const MAX_ERROR_MS = 2000;

interface ZoneError {
  meanMs: number;
  samples: number;
}

/** Mean difference between observed and expected waits, by availability zone. */
export class QueueBias {
  private readonly zones = new Map<string, ZoneError>();

  record(zone: string, waitMs: number, expectedMs: number): void {
    const error = this.zones.get(zone) ?? { meanMs: 0, samples: 1 };
    const errorMs = Math.min(MAX_ERROR_MS, waitMs - expectedMs);
    // The assumption of no error counts as the first sample.
    error.samples += 1;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / error.samples);
    error.meanMs += weight * (errorMs - error.meanMs);
    this.zones.set(zone, error);
  }

  /** Returns the wait to add to what is expected at an upstream of the zone; at least 0. */
  getMs(zone: string): number {
    return Math.max(0, this.zones.get(zone)?.meanMs ?? 0);
  }
}
