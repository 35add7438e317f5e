import type { Exchange } from '../requests/exchange.js';

/** Counts for the answers of one model size on one route. */
export interface SizeSeries {
  route: string;
  model: string;
  /** Requests for which the size was chosen last. */
  chosen: number;
  /** Complete answers of which the completion was estimated. */
  completed: number;
  /** Sums over these answers. */
  expectedSeconds: number;
  observedSeconds: number;
  /** Answers that took longer than the estimate's quantile of 0.9. */
  aboveQuantile: number;
}

/** Compares expected with observed completion times by route and model size. */
export class SizeMetrics {
  private readonly series = new Map<string, SizeSeries>();

  /** Counts a request that has ended. */
  record({ route, expectation, end, elapsedMs }: Exchange): void {
    if (!route || !expectation) return;
    const { model, completionMs, highCompletionMs } = expectation;
    const series = this.getSeries(route.name, model);
    series.chosen += 1;
    if (end !== 'answered' || completionMs === undefined) return;
    series.completed += 1;
    series.expectedSeconds += completionMs / 1000;
    series.observedSeconds += elapsedMs / 1000;
    if (elapsedMs > highCompletionMs!) series.aboveQuantile += 1;
  }

  list(): Iterable<SizeSeries> {
    return this.series.values();
  }

  private getSeries(route: string, model: string): SizeSeries {
    const key = `${route} ${model}`;
    const known = this.series.get(key);
    if (known) return known;
    const series: SizeSeries = {
      route,
      model,
      chosen: 0,
      completed: 0,
      expectedSeconds: 0,
      observedSeconds: 0,
      aboveQuantile: 0,
    };
    this.series.set(key, series);
    return series;
  }
}
