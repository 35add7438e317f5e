/** Options of `BatchScheduler`. */
export interface BatchOptions {
  /** Maximum number of concurrent requests. */
  slots: number;
  /** Maximum number of queued requests. */
  queueLimit: number;
}

interface Waiter {
  priority: number;
  sequence: number;
  admit: () => void;
}

/** Admits up to `slots` requests to the batch; the rest queue by priority, then by arrival. */
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

  /** Waits for a slot, which `release` frees; returns false if `signal` aborts first. */
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

  /** Passes the slot to the next queued request, or frees it. */
  release(): void {
    const next = this.waiting.shift();
    if (next) next.admit();
    else this.running -= 1;
  }
}
