import type { Exchange } from '../requests/exchange.js';

// Histogram bucket bounds of the time to the first byte or event, in seconds. They include the
// latency goals of the platform, from 0.15 to 3 s.
const BUCKET_BOUNDS_S = [0.05, 0.1, 0.15, 0.3, 0.5, 1, 1.5, 2, 3, 5, 10, 25];

interface Series {
  workspace: string;
  route: string;
  ends: Map<string, number>;
  buckets: number[];
  count: number;
  sumSeconds: number;
}

/** Values that are sampled when the metrics are requested. */
export interface MetricReadings {
  openRequests: number;
  configVersion: number;
  configAgeSeconds: number;
  upstreams: number;
  /** Concurrency that each upstream handles well, by upstream id. */
  capacityByUpstream: [upstream: string, limit: number][];
  peers: number;
  droppedLogLines: number;
  /** Errors that no part of the program expected. */
  faults: number;
}

/**
 * Counts requests and their latencies by workspace and route. prom-client formats them; it is
 * loaded on the first request for metrics, because it takes 100 ms and 13 MB, too much for a start.
 */
export class RequestMetrics {
  private readonly series = new Map<string, Series>();

  /** Counts a request that has ended. */
  record(exchange: Exchange): void {
    const workspace = exchange.workspace?.name ?? '';
    const route = exchange.route?.name ?? '';
    const series = this.getSeries(workspace, route);
    const end = exchange.code ?? exchange.end ?? 'cancelled';
    series.ends.set(end, (series.ends.get(end) ?? 0) + 1);
    if (exchange.firstByteMs === undefined) return;
    const seconds = exchange.firstByteMs / 1000;
    series.count += 1;
    series.sumSeconds += seconds;
    BUCKET_BOUNDS_S.forEach((bound, index) => {
      if (seconds <= bound) series.buckets[index]! += 1;
    });
  }

  /** Formats all metrics as text. */
  async format(readings: MetricReadings): Promise<string> {
    const { Gauge, Registry } = await import('prom-client');
    const registry = new Registry();
    const create = (name: string, help: string, labelNames: string[]) =>
      new Gauge({ name: `cactusstair_relay_${name}`, help, labelNames, registers: [registry] });
    const labels = ['workspace', 'route'];
    const ends = create('requests_total', 'Requests by how they ended.', [...labels, 'end']);
    const name = 'first_byte_seconds';
    const bucket = create(`${name}_bucket`, 'Requests up to this time.', [...labels, 'le']);
    const count = create(`${name}_count`, 'Requests with an answer.', labels);
    const sum = create(`${name}_sum`, 'Sum of the times to the first byte.', labels);
    for (const series of this.series.values()) {
      const { workspace, route } = series;
      for (const [end, value] of series.ends) ends.set({ workspace, route, end }, value);
      BUCKET_BOUNDS_S.forEach((bound, index) => {
        bucket.set({ workspace, route, le: bound }, series.buckets[index]!);
      });
      bucket.set({ workspace, route, le: '+Inf' }, series.count);
      count.set({ workspace, route }, series.count);
      sum.set({ workspace, route }, series.sumSeconds);
    }
    create('open_requests', 'Requests that are not answered.', []).set(readings.openRequests);
    create('config_version', 'Version in force.', []).set(readings.configVersion);
    create('config_age_seconds', 'Age of the last confirmed read.', []).set(
      readings.configAgeSeconds,
    );
    create('upstreams', 'Upstreams in the list.', []).set(readings.upstreams);
    const capacity = create('upstream_capacity', 'Requests that it handles well.', ['upstream']);
    for (const [upstream, limit] of readings.capacityByUpstream) capacity.set({ upstream }, limit);
    create('living_instances', 'Instances heard from, this one included.', []).set(readings.peers);
    create('log_lines_dropped_total', 'Lines that a slow reader did not take.', []).set(
      readings.droppedLogLines,
    );
    create('faults_total', 'Errors that no part of the program expected.', []).set(readings.faults);
    return registry.metrics();
  }

  private getSeries(workspace: string, route: string): Series {
    const key = `${workspace} ${route}`;
    const known = this.series.get(key);
    if (known) return known;
    const series: Series = {
      workspace,
      route,
      ends: new Map(),
      buckets: BUCKET_BOUNDS_S.map(() => 0),
      count: 0,
      sumSeconds: 0,
    };
    this.series.set(key, series);
    return series;
  }
}
