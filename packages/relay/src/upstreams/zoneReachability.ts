import type { Clock } from '@cactusstair/utils';

interface ZoneState {
  /** Ids of upstreams that timed out since the last successful connection to the zone. */
  unreachable: Set<string>;
  failedAtMs: number;
}

// A single unreachable upstream may be down on its own. Two different ones without a successful
// connection in between mean that the network path to the zone is broken.
const MIN_UNREACHABLE = 2;
/** A zone is tried again after this time without a new failure. */
const RETRY_AFTER_MS = 1200;

/**
 * Detects unreachable availability zones from connection timeouts, so that requests need not time
 * out once at each upstream of such a zone.
 */
export class ZoneReachability {
  private readonly zones = new Map<string, ZoneState>();

  constructor(private readonly clock: Clock) {}

  /** Records that a connection to an upstream timed out. */
  recordUnreachable(zone: string, upstreamId: string): void {
    const state = this.zones.get(zone) ?? { unreachable: new Set<string>(), failedAtMs: 0 };
    state.unreachable.add(upstreamId);
    state.failedAtMs = this.clock.monotonicMs();
    this.zones.set(zone, state);
  }

  /** Records a successful connection to an upstream of the zone. */
  recordReached(zone: string): void {
    if (this.zones.size > 0) this.zones.delete(zone);
  }

  isUnreachable(zone: string): boolean {
    const state = this.zones.get(zone);
    return (
      state !== undefined &&
      state.unreachable.size >= MIN_UNREACHABLE &&
      this.clock.monotonicMs() - state.failedAtMs < RETRY_AFTER_MS
    );
  }
}
