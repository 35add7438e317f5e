/** Weight of the newest request in the average. */
const NEWEST_WEIGHT = 0.02;

/** Averages the work of the requests to one service, to tell large requests from small ones. */
export class WorkAverage {
  private knownMs: number | undefined;

  /** Average work in milliseconds; undefined while none is known. */
  get averageMs(): number | undefined {
    return this.knownMs;
  }

  /** Records the work of a request, in milliseconds of an engine's time. */
  record(workMs: number): void {
    this.knownMs ??= workMs;
    this.knownMs += (workMs - this.knownMs) * NEWEST_WEIGHT;
  }

  /** Whether a request is larger than the average; true while none is known. */
  isLarge(workMs: number): boolean {
    return workMs >= (this.knownMs ?? 0);
  }
}
