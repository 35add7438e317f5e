import type { Clock } from './clock.js';
import { systemClock } from './clock.js';

/** Options of `waitFor`. */
export interface WaitOptions {
  /** Awaited condition for the error message, for example "3 instances alive". */
  what: string;
  /** Maximum wait in milliseconds. */
  timeoutMs: number;
  /** Time between checks in milliseconds. Default 20. */
  intervalMs?: number;
  clock?: Clock;
}

/** Thrown when the awaited condition does not hold before the timeout. */
export class WaitTimeoutError extends Error {
  constructor(what: string, timeoutMs: number, lastState: string) {
    super(`waited ${timeoutMs} ms for ${what}; last state: ${lastState}`);
    this.name = 'WaitTimeoutError';
  }
}

function describeState(state: unknown): string {
  if (state instanceof Error) return state.message;
  return JSON.stringify(state) ?? String(state);
}

/**
 * Calls `check` until it returns a value other than false, null or undefined, and returns it.
 *
 * @throws WaitTimeoutError with the last value or error of `check` when the timeout expires.
 */
export async function waitFor<T>(
  check: () => Promise<T | false | null | undefined> | T | false | null | undefined,
  options: WaitOptions,
): Promise<T> {
  const clock = options.clock ?? systemClock;
  const deadlineMs = clock.monotonicMs() + options.timeoutMs;
  let lastState: unknown = 'never checked';
  for (;;) {
    try {
      const value = await check();
      if (value !== false && value !== null && value !== undefined) return value;
      lastState = value;
    } catch (error) {
      lastState = error;
    }
    if (clock.monotonicMs() >= deadlineMs) {
      throw new WaitTimeoutError(options.what, options.timeoutMs, describeState(lastState));
    }
    await clock.sleep(options.intervalMs ?? 20);
  }
}
