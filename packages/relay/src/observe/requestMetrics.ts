import type { Gauge } from 'prom-client';

import type { BodyBudget } from '@cactusstair/routing';
import type { ReceiveBudget } from '@cactusstair/utils';

import type { CallerServer } from '../callerServer.js';
import type { Exchange } from '../requests/exchange.js';
import { SizeMetrics } from './sizeMetrics.js';

// Histogram bucket bounds of the time to the first byte or event, in seconds. They include the
// latency goals of the platform, from 0.15 to 3 s.
const BUCKET_BOUNDS_S = [0.05, 0.1, 0.15, 0.3, 0.5, 1, 1.5, 2, 3, 5, 10, 25];

/** Waits in the queue of a service, from moments to the longest deadlines. */
const WAIT_BOUNDS_S = [0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20];

interface WaitSeries {
  buckets: number[];
  count: number;
  sumSeconds: number;
  refused: Map<string, number>;
}

interface Series {
  workspace: string;
  route: string;
  ends: Map<string, number>;
  buckets: number[];
  count: number;
  sumSeconds: number;
}

/** Creates a gauge whose values are set before the metrics are formatted. */
type CreateGauge = (name: string, help: string, labelNames: string[]) => Gauge;

/** Values that are sampled when the metrics are requested. */
export interface MetricReadings {
  openRequests: number;
  callers: Pick<CallerServer, 'connectionCount' | 'closedCount'>;
  /** Memory for bodies of requests. */
  bodies: Pick<BodyBudget, 'usedBytes' | 'waitingCount' | 'refusals'>;
  /** Memory for what connections have sent and is not parsed. */
  received: Pick<ReceiveBudget, 'droppedCount' | 'heldBytes' | 'waitingCount'>;
  configVersion: number;
  configAgeSeconds: number;
  upstreams: number;
  /** Upstreams that warm up and get few requests. */
  coldUpstreams: number;
  /** Zones whose upstreams get no new requests. */
  evacuatedZones: readonly string[];
  /** Concurrency that each upstream handles well, by upstream id. */
  capacityByUpstream: [upstream: string, limit: number][];
  peers: number;
  droppedLogLines: number;
  /** Errors that no part of the program expected. */
  faults: number;
  /** Requests that wait for an upstream, by service. */
  waiting: Readonly<Record<string, number>>;
}

/**
 * Counts requests and their latencies by workspace and route. prom-client formats them; it is
 * loaded on the first request for metrics, because it takes 100 ms and 13 MB, too much for a start.
 */
export class RequestMetrics {
  private readonly series = new Map<string, Series>();

  /** Waits and refusals by service. */
  private readonly waits = new Map<string, WaitSeries>();

  private readonly sizes = new SizeMetrics();

  /** Counts a request that has ended. */
  record(exchange: Exchange): void {
    this.sizes.record(exchange);
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

  /** Counts a request that was started after a wait in the queue of its service. */
  recordWait(service: string, waitMs: number): void {
    const series = this.getWaitSeries(service);
    const seconds = waitMs / 1000;
    series.count += 1;
    series.sumSeconds += seconds;
    WAIT_BOUNDS_S.forEach((bound, index) => {
      if (seconds <= bound) series.buckets[index]! += 1;
    });
  }

  /** Counts a request that the queue of its service has refused. */
  recordRefusal(service: string, reason: string): void {
    const { refused } = this.getWaitSeries(service);
    refused.set(reason, (refused.get(reason) ?? 0) + 1);
  }

  /** Formats all metrics as text. */
  async format(readings: MetricReadings): Promise<string> {
    const { Gauge: GaugeMetric, Registry } = await import('prom-client');
    const registry = new Registry();
    const create: CreateGauge = (name, help, labelNames) =>
      new GaugeMetric({
        name: `cactusstair_relay_${name}`,
        help,
        labelNames,
        registers: [registry],
      });
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
    this.addWaits(create, readings);
    this.addSizes(create);
    create('open_requests', 'Requests that are not answered.', []).set(readings.openRequests);
    addCallers(create, readings);
    create('config_version', 'Version in force.', []).set(readings.configVersion);
    create('config_age_seconds', 'Age of the last confirmed read.', []).set(
      readings.configAgeSeconds,
    );
    create('upstreams', 'Upstreams in the list.', []).set(readings.upstreams);
    create('cold_upstreams', 'Upstreams that warm up.', []).set(readings.coldUpstreams);
    const evacuated = create('evacuated_zone', 'Zone without new requests.', ['zone']);
    for (const zone of readings.evacuatedZones) evacuated.set({ zone }, 1);
    const capacity = create('upstream_capacity', 'Requests that it handles well.', ['upstream']);
    for (const [upstream, limit] of readings.capacityByUpstream) capacity.set({ upstream }, limit);
    create('living_instances', 'Instances heard from, this one included.', []).set(readings.peers);
    create('log_lines_dropped_total', 'Lines that a slow reader did not take.', []).set(
      readings.droppedLogLines,
    );
    create('faults_total', 'Errors that no part of the program expected.', []).set(readings.faults);
    return registry.metrics();
  }

  /** Adds what is known of the queues. */
  private addWaits(create: CreateGauge, readings: MetricReadings): void {
    const waiting = create('waiting_requests', 'Requests that wait.', ['service']);
    for (const [service, value] of Object.entries(readings.waiting)) {
      waiting.set({ service }, value);
    }
    const waitName = 'queue_wait_seconds';
    const waitBucket = create(`${waitName}_bucket`, 'Waits up to this time.', ['service', 'le']);
    const waitCount = create(`${waitName}_count`, 'Requests that waited and ran.', ['service']);
    const waitSum = create(`${waitName}_sum`, 'Sum of their waits.', ['service']);
    const refused = create('queue_refused_total', 'Refused requests.', ['service', 'reason']);
    for (const [service, series] of this.waits) {
      WAIT_BOUNDS_S.forEach((bound, index) => {
        waitBucket.set({ service, le: bound }, series.buckets[index]!);
      });
      waitBucket.set({ service, le: '+Inf' }, series.count);
      waitCount.set({ service }, series.count);
      waitSum.set({ service }, series.sumSeconds);
      for (const [reason, value] of series.refused) refused.set({ service, reason }, value);
    }
  }

  /** Adds which model sizes were chosen, and how long their answers took. */
  private addSizes(create: CreateGauge): void {
    const sizeLabels = ['route', 'model'];
    const chosen = create('size_chosen_total', 'Requests by the size chosen last.', sizeLabels);
    const completed = create('size_completed_total', 'Complete answers.', sizeLabels);
    const expected = create('size_expected_seconds_sum', 'Expected completion times.', sizeLabels);
    const observed = create('size_observed_seconds_sum', 'Observed completion times.', sizeLabels);
    const above = create(
      'size_above_quantile_total',
      'Answers above the 0.9 quantile.',
      sizeLabels,
    );
    for (const { route, model, ...counts } of this.sizes.list()) {
      chosen.set({ route, model }, counts.chosen);
      completed.set({ route, model }, counts.completed);
      expected.set({ route, model }, counts.expectedSeconds);
      observed.set({ route, model }, counts.observedSeconds);
      above.set({ route, model }, counts.aboveQuantile);
    }
  }

  private getWaitSeries(service: string): WaitSeries {
    let series = this.waits.get(service);
    if (!series) {
      const buckets = WAIT_BOUNDS_S.map(() => 0);
      series = { buckets, count: 0, sumSeconds: 0, refused: new Map() };
      this.waits.set(service, series);
    }
    return series;
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

/** Adds what callers hold: connections and bodies of requests. */
function addCallers(create: CreateGauge, { bodies, callers, received }: MetricReadings): void {
  create('caller_connections', 'Open connections of callers.', []).set(callers.connectionCount);
  create('closed_connections_total', 'Connections closed for others, or not accepted.', []).set(
    callers.closedCount,
  );
  create('received_bytes', 'Bytes that are received and not parsed.', []).set(received.heldBytes);
  create('waiting_connections', 'Connections that are not read yet.', []).set(
    received.waitingCount,
  );
  create('dropped_connections_total', 'Connections whose unparsed bytes were dropped.', []).set(
    received.droppedCount,
  );
  create('body_bytes', 'Memory that bodies of requests take.', []).set(bodies.usedBytes);
  create('waiting_bodies', 'Bodies that wait for memory.', []).set(bodies.waitingCount);
  const refused = create('refused_bodies_total', 'Bodies refused for memory.', ['reason']);
  for (const [reason, value] of Object.entries(bodies.refusals)) refused.set({ reason }, value);
}
