const WINDOW_MS = 1000;

/** Measures bytes per second over the last one to two seconds. */
export class RateMeter {
  private windowStartMs: number;

  private currentBytes = 0;

  private previousBytes = 0;

  constructor(nowMs: number) {
    this.windowStartMs = nowMs;
  }

  record(bytes: number, nowMs: number): void {
    this.advance(nowMs);
    this.currentBytes += bytes;
  }

  /** Returns the bytes per second; 0 if nothing was recorded for two seconds. */
  getBytesPerSecond(nowMs: number): number {
    this.advance(nowMs);
    const elapsedMs = WINDOW_MS + nowMs - this.windowStartMs;
    return ((this.previousBytes + this.currentBytes) * 1000) / elapsedMs;
  }

  private advance(nowMs: number): void {
    const windows = Math.floor((nowMs - this.windowStartMs) / WINDOW_MS);
    if (windows < 1) return;
    this.previousBytes = windows === 1 ? this.currentBytes : 0;
    this.currentBytes = 0;
    this.windowStartMs += windows * WINDOW_MS;
  }
}
