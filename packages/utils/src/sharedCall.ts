import type { Clock } from './clock.js';

/** Options of `SharedCall`. */
export interface SharedCallOptions<T> {
  clock: Clock;
  /** Time for which a result is used again, from the begin of its call, in milliseconds. */
  maxAgeMs: number;
  call: () => Promise<T>;
}

/**
 * One expensive call for all who ask for its result at about the same time. A call that fails is not
 * used again once it has ended.
 */
export class SharedCall<T> {
  private result: Promise<T> | undefined;

  private startedAtMs = -Infinity;

  private isRunning = false;

  constructor(private readonly options: SharedCallOptions<T>) {}

  get(): Promise<T> {
    const { clock, maxAgeMs } = this.options;
    const isRecent = clock.monotonicMs() - this.startedAtMs < maxAgeMs;
    if (!this.result || !(this.isRunning || isRecent)) this.result = this.start();
    return this.result;
  }

  private async start(): Promise<T> {
    this.startedAtMs = this.options.clock.monotonicMs();
    this.isRunning = true;
    try {
      return await this.options.call();
    } catch (error) {
      this.result = undefined;
      throw error;
    } finally {
      this.isRunning = false;
    }
  }
}
