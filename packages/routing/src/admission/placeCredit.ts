/** Time in which all instances learn of places that came free elsewhere. */
const REPORT_INTERVAL_MS = 500;

/**
 * Divides the free places of which an instance learns by reports. All instances learn of the same
 * ones at about the same time; if each took what it sees, the upstreams would get several times as
 * many requests as they have places. Each takes its share of them in each interval instead.
 */
export class PlaceCredit {
  private credit = 0;

  private atMs = -Infinity;

  /**
   * Adds what has accrued since the last call.
   *
   * @param freePlaces places that are free as far as this instance knows
   * @param share part of the free places that is for this instance, above 0
   */
  accrue(freePlaces: number, share: number, nowMs: number): void {
    const elapsedMs = Math.min(REPORT_INTERVAL_MS, Math.max(0, nowMs - this.atMs));
    this.atMs = nowMs;
    const perInterval = freePlaces * share;
    const accrued = this.credit + (perInterval * elapsedMs) / REPORT_INTERVAL_MS;
    // A place that is free for long goes to whoever asks; more is never saved up than is free.
    this.credit = Math.min(accrued, Math.max(1, perInterval));
  }

  get hasPlace(): boolean {
    return this.credit >= 1;
  }

  take(): void {
    this.credit -= 1;
  }
}
