import type { EventLoop } from './eventLoop.js';
import type { EngineCall, FakeEngine } from './fakeEngine.js';
import type { WorkloadRequest } from './workload.js';

/** Why an attempt ended without an answer. */
export type AttemptFailure = 'status' | 'crash' | 'timeout';

/** Callbacks of an attempt; at most one of `onDone` and `onFailed` is called. */
export interface AttemptHandlers {
  onFirstToken: (latencyMs: number) => void;
  onDone: () => void;
  onFailed: (reason: AttemptFailure) => void;
}

/**
 * Sends a request to an engine with a first-token timeout.
 *
 * @returns a function that cancels the attempt; no further callback is called then.
 */
export function startAttempt(
  loop: EventLoop,
  engine: FakeEngine,
  request: WorkloadRequest,
  firstTokenTimeoutMs: number,
  handlers: AttemptHandlers,
): () => void {
  const startedAtMs = loop.monotonicMs();
  let ended = false;
  const end = (): boolean => {
    const first = !ended;
    ended = true;
    timer.cancelled = true;
    return first;
  };
  const call: EngineCall = {
    ...request,
    onFirstToken: () => {
      timer.cancelled = true;
      if (!ended) handlers.onFirstToken(loop.monotonicMs() - startedAtMs);
    },
    onToken: () => {},
    onDone: () => {
      if (end()) handlers.onDone();
    },
    onFailed: (reason) => {
      if (end()) handlers.onFailed(reason);
    },
  };
  const timer = loop.schedule(firstTokenTimeoutMs, () => {
    if (!end()) return;
    engine.cancel(call);
    handlers.onFailed('timeout');
  });
  engine.submit(call);
  return () => {
    if (end()) engine.cancel(call);
  };
}
