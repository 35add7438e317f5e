import type { Clock } from '@cactusstair/utils';

interface ZoneState {
  /** Upstreams that could not be reached since the zone was last heard from. */
  unreachable: Set<string>;
  failedAtMs: number;
}

// One upstream that is not reached may be down by itself; two in a row without a sign of life from
// any other one mean that the way to the zone is cut.
const MIN_UNREACHABLE = 2;
/** After this time without a new failure a zone is tried again. */
const RETRY_AFTER_MS = 1200;

/**
 * Tells from failed connections which availability zones cannot be reached, so that each of their
 * upstreams need not be found out by a request of its own.
 */
export class ZoneReachability {
  private readonly zones = new Map<string, ZoneState>();

  constructor(private readonly clock: Clock) {}

  /** Notes that no connection to an upstream could be opened in time. */
  recordUnreachable(zone: string, upstreamId: string): void {
    const state = this.zones.get(zone) ?? { unreachable: new Set<string>(), failedAtMs: 0 };
    state.unreachable.add(upstreamId);
    state.failedAtMs = this.clock.monotonicMs();
    this.zones.set(zone, state);
  }

  /** Notes that an upstream of the zone was reached. */
  recordReached(zone: string): void {
    if (this.zones.size > 0) this.zones.delete(zone);
  }

  isCut(zone: string): boolean {
    const state = this.zones.get(zone);
    return (
      state !== undefined &&
      state.unreachable.size >= MIN_UNREACHABLE &&
      this.clock.monotonicMs() - state.failedAtMs < RETRY_AFTER_MS
    );
  }
}
