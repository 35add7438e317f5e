/** Weight of a new sample in the running mean. */
const SMOOTHING = 0.1;

/** Running means of the time to a whole answer, by version, in milliseconds. */
export class VersionLatencies {
  private readonly means = new Map<string, number>();

  record(model: string, version: string, totalMs: number): void {
    const key = `${model}@${version}`;
    const mean = this.means.get(key);
    this.means.set(key, mean === undefined ? totalMs : mean + SMOOTHING * (totalMs - mean));
  }

  /** Returns 0 for a version without samples, so that it is not ruled out before it is tried. */
  getMean(model: string, version: string): number {
    return this.means.get(`${model}@${version}`) ?? 0;
  }
}
