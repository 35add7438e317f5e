/** Source of time. Tests replace it to control deadlines. */
export interface Clock {
  /** Milliseconds on a monotonic clock with an arbitrary origin. */
  monotonicMs(): number;
  /** Wall-clock milliseconds since the epoch. */
  wallMs(): number;
  /** Resolves after `durationMs`, or at once when `signal` aborts. */
  sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the running process. */
export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
  sleep: (durationMs, signal) =>
    new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, durationMs);
      signal?.addEventListener('abort', finish, { once: true });
    }),
};
