import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** Percentiles in milliseconds. */
export interface Percentiles {
  count: number;
  p50: number;
  p95: number;
  p99: number;
}

// The histogram stores units of 10 µs, so that times between tokens keep two decimals.
const UNITS_PER_MS = 100;

/** Histogram of latencies. */
export class Latencies {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000 * UNITS_PER_MS,
    numberOfSignificantValueDigits: 3,
  });

  record(latencyMs: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(latencyMs * UNITS_PER_MS)));
  }

  summarize(): Percentiles {
    const read = (percentile: number) =>
      this.histogram.totalCount === 0
        ? 0
        : this.histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
    return { count: this.histogram.totalCount, p50: read(50), p95: read(95), p99: read(99) };
  }
}
