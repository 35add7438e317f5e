/** Weight of the newest request in the average. */
const NEWEST_WEIGHT = 0.02;

/** Averages the work of the requests to one service, to tell large requests from small ones. */
export class WorkAverage {
  private averageMs: number | undefined;

  /** Records the work of a request, in milliseconds of an engine's time. */
  record(workMs: number): void {
    this.averageMs ??= workMs;
    this.averageMs += (workMs - this.averageMs) * NEWEST_WEIGHT;
  }

  /** Whether a request is larger than the average; true while none is known. */
  isLarge(workMs: number): boolean {
    return workMs >= (this.averageMs ?? 0);
  }
}
