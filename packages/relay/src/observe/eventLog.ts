/**
 * Destination of log lines. `write` returns false if the reader is too slow; `drain` is emitted
 * once it has caught up.
 */
export interface LogSink {
  write(text: string): boolean;
  once(event: 'drain', listener: () => void): unknown;
}

/** Options of `EventLog`. */
export interface EventLogOptions {
  /** Fields of every line, for example the instance's name. */
  fields: Record<string, string>;
  /** Defaults to standard output. */
  sink?: LogSink;
  /**
   * Maximum number of bytes buffered for a slow reader; further lines are dropped and counted.
   * Default 256 KiB.
   */
  maxPendingBytes?: number;
  wallMs?: () => number;
}

const DEFAULT_MAX_PENDING_BYTES = 256 * 1024;
/**
 * Interval at which buffered lines are written together, because each write to the sink costs a
 * system call.
 */
const FLUSH_INTERVAL_MS = 100;

/**
 * Writes one JSON object per line without ever waiting for the reader. A line is written or dropped
 * as a whole.
 */
export class EventLog {
  private pending: string[] = [];

  private pendingBytes = 0;

  private droppedLines = 0;

  private isBlocked = false;

  private flushTimer: NodeJS.Timeout | undefined;

  private readonly sink: LogSink;

  constructor(private readonly options: EventLogOptions) {
    this.sink = options.sink ?? process.stdout;
  }

  /** Lines dropped since the start. */
  get dropped(): number {
    return this.droppedLines;
  }

  /** Queues one line. */
  write(event: string, fields: Record<string, unknown> = {}): void {
    const atMs = this.options.wallMs?.() ?? Date.now();
    const line = `${JSON.stringify({ atMs, event, ...this.options.fields, ...fields })}\n`;
    if (this.pendingBytes + line.length > this.maxPendingBytes) {
      this.droppedLines += 1;
      return;
    }
    this.pending.push(line);
    this.pendingBytes += line.length;
    this.flushTimer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS).unref();
  }

  /** Hands the queued lines to the sink. */
  flush(): void {
    clearTimeout(this.flushTimer);
    this.flushTimer = undefined;
    if (this.isBlocked || this.pending.length === 0) return;
    const text = this.pending.join('');
    this.pending = [];
    this.pendingBytes = 0;
    if (this.sink.write(text)) return;
    this.isBlocked = true;
    this.sink.once('drain', () => {
      this.isBlocked = false;
      if (this.droppedLines > 0) this.write('log_lines_dropped', { total: this.droppedLines });
      this.flush();
    });
  }

  private get maxPendingBytes(): number {
    return this.options.maxPendingBytes ?? DEFAULT_MAX_PENDING_BYTES;
  }
}
