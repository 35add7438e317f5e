import type { Clock } from './clock.js';

interface Sleeper {
  wakeAtMs: number;
  wake: () => void;
}

/** A clock that moves only when a test advances it. Both of its times start at `startMs`. */
export class ManualClock implements Clock {
  private nowMs: number;

  private readonly sleepers = new Set<Sleeper>();

  constructor(startMs = 0) {
    this.nowMs = startMs;
  }

  monotonicMs(): number {
    return this.nowMs;
  }

  wallMs(): number {
    return this.nowMs;
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = () => {
        this.sleepers.delete(sleeper);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const sleeper: Sleeper = { wakeAtMs: this.nowMs + durationMs, wake: finish };
      this.sleepers.add(sleeper);
      signal?.addEventListener('abort', finish, { once: true });
    });
  }

  /** Moves time forward and wakes the sleepers that are due, earliest first. */
  async advance(durationMs: number): Promise<void> {
    const targetMs = this.nowMs + durationMs;
    for (;;) {
      const due = [...this.sleepers]
        .filter((sleeper) => sleeper.wakeAtMs <= targetMs)
        .sort((a, b) => a.wakeAtMs - b.wakeAtMs)[0];
      if (!due) break;
      this.sleepers.delete(due);
      this.nowMs = Math.max(this.nowMs, due.wakeAtMs);
      due.wake();
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    this.nowMs = targetMs;
  }
}
