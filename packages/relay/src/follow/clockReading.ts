import type { Clock } from '@cactusstair/utils';

/** Readings of the monotonic clock and the wall clock at the same moment. */
export interface ClockReading {
  monotonicMs: number;
  wallMs: number;
}

export function readClocks(clock: Clock): ClockReading {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() };
}

/**
 * Returns the time that has passed since `since`, in milliseconds. The monotonic clock stops while
 * a machine is suspended and the wall clock may be stepped back, so the larger difference counts.
 */
export function computeAgeMs(clock: Clock, since: ClockReading): number {
  return Math.max(clock.monotonicMs() - since.monotonicMs, clock.wallMs() - since.wallMs);
}
