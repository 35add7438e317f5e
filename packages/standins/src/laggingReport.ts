const SAMPLE_INTERVAL_MS = 50;

/** Serves a report as it was `lagMs` ago. */
export class LaggingReport<T> {
  private samples: { atMs: number; value: T }[] = [];

  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly lagMs: number,
    private readonly sample: () => T,
  ) {
    this.record();
    this.timer = setInterval(() => this.record(), SAMPLE_INTERVAL_MS);
  }

  /** Returns the newest sample that is at least `lagMs` old, or the oldest one. */
  get(): T {
    if (this.lagMs === 0) return this.sample();
    const shownUntilMs = performance.now() - this.lagMs;
    const index = this.samples.findLastIndex(({ atMs }) => atMs <= shownUntilMs);
    const shown = this.samples[Math.max(0, index)];
    this.samples = this.samples.slice(Math.max(0, index));
    return shown ? shown.value : this.sample();
  }

  close(): void {
    clearInterval(this.timer);
  }

  private record(): void {
    this.samples.push({ atMs: performance.now(), value: this.sample() });
    const keepFromMs = performance.now() - this.lagMs - 2 * SAMPLE_INTERVAL_MS;
    while ((this.samples[1]?.atMs ?? Infinity) <= keepFromMs) this.samples.shift();
  }
}
