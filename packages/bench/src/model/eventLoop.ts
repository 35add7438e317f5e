import type { Clock } from '@cactusstair/utils';

interface ScheduledEvent {
  atMs: number;
  /**
   * Order of scheduling; breaks ties between events of equal time, so that runs are reproducible.
   */
  order: number;
  run: () => void;
  cancelled: boolean;
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/**
 * Discrete-event simulator: runs events in the order of their simulated time. It is also the clock
 * of the components under test, so that their timers run in simulated time.
 */
export class EventLoop implements Clock {
  private readonly heap: ScheduledEvent[] = [];

  private nowMs = 0;

  private order = 0;

  private isFlushScheduled = false;

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
      const event = this.schedule(durationMs, () => {
        this.schedulePromiseFlush();
        resolve();
      });
      const handleAbort = () => {
        event.cancelled = true;
        resolve();
      };
      signal?.addEventListener('abort', handleAbort, { once: true });
    });
  }

  /** Runs `run` after `delayMs` of simulated time. */
  schedule(delayMs: number, run: () => void): { cancelled: boolean } {
    const event = {
      atMs: this.nowMs + Math.max(0, delayMs),
      order: this.order,
      run,
      cancelled: false,
    };
    this.order += 1;
    this.heap.push(event);
    this.siftUp(this.heap.length - 1);
    return event;
  }

  /** Runs `run` every `intervalMs`, first after `firstMs`. */
  repeat(intervalMs: number, firstMs: number, run: () => void): void {
    this.schedule(firstMs, () => {
      run();
      this.repeat(intervalMs, intervalMs, run);
    });
  }

  /** Lets promises settle before the next event. An event that resolves a promise must call it. */
  schedulePromiseFlush(): void {
    this.isFlushScheduled = true;
  }

  /** Runs the events up to `endMs`. */
  async runUntil(endMs: number): Promise<void> {
    for (;;) {
      const event = this.heap[0];
      if (!event || event.atMs > endMs) break;
      this.removeFirst();
      if (event.cancelled) continue;
      this.nowMs = event.atMs;
      event.run();
      if (!this.isFlushScheduled) continue;
      this.isFlushScheduled = false;
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    this.nowMs = endMs;
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (!last || this.heap.length === 0) return;
    this.heap[0] = last;
    this.siftDown();
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(this.heap[index]!, this.heap[parent]!)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      if (left >= this.heap.length) return;
      const right = left + 1;
      const rightIsFirst =
        right < this.heap.length && isBefore(this.heap[right]!, this.heap[left]!);
      const first = rightIsFirst ? right : left;
      if (!isBefore(this.heap[first]!, this.heap[index]!)) return;
      this.swap(index, first);
      index = first;
    }
  }

  private swap(a: number, b: number): void {
    const kept = this.heap[a]!;
    this.heap[a] = this.heap[b]!;
    this.heap[b] = kept;
  }
}
