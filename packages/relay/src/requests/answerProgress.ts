import type { BodyListener } from '../upstreams/answerBody.js';
import type { Attempt } from './attempt.js';
import type { MonitoredCall } from './stallMonitor.js';

/** Bytes of an answer that count as progress: an upstream in trouble may send single bytes forever. */
const PROGRESS_BYTES = 16 * 1024;

/** Options of `AnswerProgress`. */
export interface AnswerProgressOptions {
  /** Time within which an answer, or more of it, is due, in milliseconds. */
  silenceMs: number;
  /**
   * Reserves everything that another attempt needs. Returns false if the request has to stay where
   * it is, because cancelling it would only lose its answer.
   */
  tryReserveMove: () => boolean;
  getNowMs: () => number;
}

/** Tracks one attempt whose answer is buffered, and cancels it when it is silent. */
export class AnswerProgress implements MonitoredCall, BodyListener {
  private progressAtMs: number;

  private newBytes = 0;

  private isWaitingForMemory = false;

  constructor(
    private readonly attempt: Attempt,
    private readonly options: AnswerProgressOptions,
  ) {
    this.progressAtMs = options.getNowMs();
  }

  onBytes(count: number): void {
    this.newBytes += count;
    if (this.newBytes >= PROGRESS_BYTES) this.recordProgress();
  }

  /** Stops the clock while the answer waits for memory, as nothing is read then. */
  onMemoryWait(): void {
    this.isWaitingForMemory = true;
  }

  onMemoryGranted(): void {
    this.isWaitingForMemory = false;
    this.recordProgress();
  }

  describeStall(nowMs: number): string | undefined {
    if (this.isWaitingForMemory) return undefined;
    const silentMs = nowMs - this.progressAtMs;
    return silentMs > this.options.silenceMs
      ? `no answer for ${Math.round(silentMs)} ms`
      : undefined;
  }

  onStall(reason: string): void {
    if (this.options.tryReserveMove()) this.attempt.cancel(reason);
  }

  private recordProgress(): void {
    this.newBytes = 0;
    this.progressAtMs = this.options.getNowMs();
  }
}
