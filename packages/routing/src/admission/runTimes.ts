/** Time that requests of one kind take. */
export interface RunTime {
  meanMs: number;
  /** Mean plus two mean deviations; few runs are longer. */
  highMs: number;
}

interface Average {
  meanMs: number;
  deviationMs: number;
  samples: number;
}

/** Weight of the newest run once there are many; about 20 runs are remembered. */
const MIN_SAMPLE_WEIGHT = 0.05;
const MAX_KINDS = 1000;

function recordSample(average: Average, durationMs: number): void {
  average.samples += 1;
  const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / average.samples);
  const errorMs = durationMs - average.meanMs;
  average.meanMs += weight * errorMs;
  average.deviationMs += weight * (Math.abs(errorMs) - average.deviationMs);
}

/**
 * Learns how long the requests of a service take, by kind. Kinds without a run so far are taken to
 * be like the average one.
 */
export class RunTimes {
  private readonly byKind = new Map<string, Average>();

  private readonly all: Average = { meanMs: 0, deviationMs: 0, samples: 0 };

  record(kind: string, durationMs: number): void {
    if (!Number.isFinite(durationMs) || durationMs < 0) return;
    recordSample(this.all, durationMs);
    const average = this.byKind.get(kind) ?? { meanMs: 0, deviationMs: 0, samples: 0 };
    recordSample(average, durationMs);
    this.byKind.delete(kind);
    this.byKind.set(kind, average);
    const oldest = this.byKind.size > MAX_KINDS ? this.byKind.keys().next() : undefined;
    if (oldest && !oldest.done) this.byKind.delete(oldest.value);
  }

  /** Returns how long a request takes; undefined while no run of the service has ended. */
  find(kind: string): RunTime | undefined {
    const average = this.byKind.get(kind) ?? this.all;
    if (average.samples === 0) return undefined;
    return { meanMs: average.meanMs, highMs: average.meanMs + 2 * average.deviationMs };
  }

  /** Returns the mean over all kinds; undefined while no run has ended. */
  get meanMs(): number | undefined {
    return this.all.samples === 0 ? undefined : this.all.meanMs;
  }
}
