/** Weight of a new sample in the exponential moving average. */
const SMOOTHING = 0.1;

/** Exponential moving averages of the time to a complete answer in milliseconds, by version. */
export class VersionLatencies {
  private readonly means = new Map<string, number>();

  record(model: string, version: string, totalMs: number): void {
    const key = `${model}@${version}`;
    const mean = this.means.get(key);
    this.means.set(key, mean === undefined ? totalMs : mean + SMOOTHING * (totalMs - mean));
  }

  /** Returns 0 for a version without samples, so that it is not excluded before its first request. */
  getMean(model: string, version: string): number {
    return this.means.get(`${model}@${version}`) ?? 0;
  }
}
