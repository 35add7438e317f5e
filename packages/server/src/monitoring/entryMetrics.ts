import type { Failure } from '@cactusstair/protocol';
import { getResultCode } from '@cactusstair/protocol';
import type { Result } from 'neverthrow';
import type { Registry } from 'prom-client';
import { collectDefaultMetrics, Counter, Gauge, Histogram } from 'prom-client';

const MS_PER_SECOND = 1000;
const SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 30, 60];
const TOKEN_GAP_BUCKETS = [0.002, 0.005, 0.01, 0.02, 0.03, 0.045, 0.06, 0.1, 0.2, 0.5, 1, 5];

/** Prometheus metrics of an entry instance. Times are in seconds. */
export class EntryMetrics {
  readonly requests: Counter;

  readonly requestSeconds: Histogram;

  readonly firstTokenSeconds: Histogram;

  readonly tokenGapSeconds: Histogram;

  readonly costMicros: Counter;

  readonly upstreamCalls: Counter;

  readonly escalations: Counter;

  readonly inFlight: Gauge;

  readonly configRevision: Gauge;

  constructor(readonly registry: Registry) {
    collectDefaultMetrics({ register: registry });
    const registers = [registry];
    const labelNames = ['workspace', 'class'];
    this.requests = new Counter({
      name: 'cactusstair_requests_total',
      help: 'Answered requests by result code; 0 is success.',
      labelNames: [...labelNames, 'code'],
      registers,
    });
    this.requestSeconds = new Histogram({
      name: 'cactusstair_request_seconds',
      help: 'Time from the request to the last byte of its answer.',
      labelNames,
      buckets: SECONDS_BUCKETS,
      registers,
    });
    this.firstTokenSeconds = new Histogram({
      name: 'cactusstair_first_token_seconds',
      help: 'Time from the request to the first token of its answer.',
      labelNames,
      buckets: SECONDS_BUCKETS,
      registers,
    });
    this.tokenGapSeconds = new Histogram({
      name: 'cactusstair_token_gap_seconds',
      help: 'Time between two tokens of an answer.',
      labelNames,
      buckets: TOKEN_GAP_BUCKETS,
      registers,
    });
    this.costMicros = new Counter({
      name: 'cactusstair_cost_micros_total',
      help: 'Billed cost in micros of the billing currency.',
      labelNames,
      registers,
    });
    this.upstreamCalls = new Counter({
      name: 'cactusstair_upstream_calls_total',
      help: 'Calls to upstreams by outcome.',
      labelNames: ['upstream', 'outcome'],
      registers,
    });
    this.escalations = new Counter({
      name: 'cactusstair_escalations_total',
      help: 'Cascade answers that were replaced by a stronger rung.',
      labelNames,
      registers,
    });
    this.inFlight = new Gauge({
      name: 'cactusstair_requests_in_flight',
      help: 'Requests that have not been answered yet.',
      registers,
    });
    this.configRevision = new Gauge({
      name: 'cactusstair_config_revision',
      help: 'Highest configuration revision that is in force here.',
      registers,
    });
  }

  /** Counts a request as in flight while `serve` runs, and records its duration and result code. */
  async trackRequest<T>(
    labels: { workspace: string; class: string },
    serve: () => Promise<Result<T, Failure>>,
  ): Promise<Result<T, Failure>> {
    const startedAtMs = performance.now();
    this.inFlight.inc();
    try {
      const result = await serve();
      const code = result.isErr() ? getResultCode(result.error).code : 0;
      this.requests.inc({ ...labels, code });
      return result;
    } finally {
      this.inFlight.dec();
      this.requestSeconds.observe(labels, (performance.now() - startedAtMs) / MS_PER_SECOND);
    }
  }
}
