/** Options of `BatchScheduler`. */
export interface BatchOptions {
  /** Requests that run at once. */
  slots: number;
  /** Requests that may wait. */
  queueLimit: number;
}

interface Waiter {
  priority: number;
  sequence: number;
  admit: () => void;
}

/** Admits requests to the batch: up to `slots` at once, the rest by priority, then by arrival. */
export class BatchScheduler {
  private readonly waiting: Waiter[] = [];

  private running = 0;

  private sequence = 0;

  constructor(private readonly options: BatchOptions) {}

  get active(): number {
    return this.running;
  }

  get queued(): number {
    return this.waiting.length;
  }

  get isFull(): boolean {
    return this.running >= this.options.slots && this.waiting.length >= this.options.queueLimit;
  }

  /** Waits for a slot; returns false when `signal` aborts first. Pair it with `release`. */
  acquire(priority: number, signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return Promise.resolve(false);
    if (this.running < this.options.slots) {
      this.running += 1;
      return Promise.resolve(true);
    }
    return new Promise((resolve) => {
      this.sequence += 1;
      const waiter: Waiter = {
        priority,
        sequence: this.sequence,
        admit: () => resolve(true),
      };
      this.waiting.push(waiter);
      this.waiting.sort((a, b) => b.priority - a.priority || a.sequence - b.sequence);
      signal.addEventListener('abort', () => {
        const index = this.waiting.indexOf(waiter);
        if (index >= 0) this.waiting.splice(index, 1);
        resolve(false);
      });
    });
  }

  release(): void {
    const next = this.waiting.shift();
    if (next) next.admit();
    else this.running -= 1;
  }
}
