import type { Clock } from '@cactusstair/utils';

import type { CallerServer } from './callerServer.js';
import type { RequestHandler } from './requests/requestHandler.js';

/** Options of `drainCallers`. */
export interface DrainOptions {
  clock: Clock;
  handler: Pick<RequestHandler, 'startStopping'>;
  callerServer: Pick<CallerServer, 'startClosing' | 'connectionCount'>;
  /** Time from the request to stop until the platform ends the process, in milliseconds. */
  stopGraceMs: number;
}

// The platform stops routing connections to an instance two seconds after a failed readiness check.
// Later connections and further requests on keep-alive connections might exceed the grace period.
const CLOSE_AFTER_MS = 2500;
/** Subtracted from the grace period for the exit of the process. */
const STOP_MARGIN_MS = 500;
/** Time between the deadline of the last requests and the exit, in which their answers leave. */
const LAST_ANSWERS_MS = 100;
/** Share of the grace period in which new connections are accepted at most. */
const MAX_OPEN_SHARE = 0.5;
const STOP_CHECK_MS = 50;

/**
 * Serves callers on while they are sent elsewhere, then refuses new connections, and returns when
 * the requests in flight have ended or the grace period is over.
 */
export async function drainCallers(options: DrainOptions): Promise<void> {
  const { callerServer, clock, stopGraceMs, handler } = options;
  const startedMs = clock.monotonicMs();
  const untilMs = startedMs + stopGraceMs - STOP_MARGIN_MS;
  handler.startStopping(untilMs - LAST_ANSWERS_MS);
  const closeAfterMs = Math.min(CLOSE_AFTER_MS, stopGraceMs * MAX_OPEN_SHARE);
  while (clock.monotonicMs() < untilMs) {
    await clock.sleep(STOP_CHECK_MS);
    if (clock.monotonicMs() - startedMs < closeAfterMs) continue;
    callerServer.startClosing();
    if (callerServer.connectionCount === 0) return;
  }
}
