import type { Clock } from '@cactusstair/utils';

/** Both clocks at one moment. */
export interface ClockReading {
  monotonicMs: number;
  wallMs: number;
}

export function readClocks(clock: Clock): ClockReading {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() };
}

/**
 * Computes the age of what was learnt at `since`. The monotonic clock stands still while a machine
 * is suspended and the wall clock may be stepped back, so the larger difference counts.
 */
export function computeAgeMs(clock: Clock, since: ClockReading): number {
  return Math.max(clock.monotonicMs() - since.monotonicMs, clock.wallMs() - since.wallMs);
}
