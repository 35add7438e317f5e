/** Options of `ConcurrencyLimit`. */
export interface ConcurrencyLimitOptions {
  /** Limit before the first samples. Default 8. */
  initialLimit?: number;
  /** Upper bound, usually a small multiple of the upstream's slots. Default 1,024. */
  maxLimit?: number;
  /** Latency up to this factor of the baseline does not lower the limit. Default 2. */
  tolerance?: number;
  /** Weight of one sample in the recent latency, in (0, 1]. Default 0.1. */
  smoothing?: number;
  /** Samples between two measurements of the baseline at a lower limit. Default 1,000. */
  probeIntervalSamples?: number;
  /** Factor on a failed sample. Default 0.8. */
  failureFactor?: number;
}

/** One finished or failed call. */
export interface LatencySample {
  /**
   * Latency of a kind that does not depend on the length of the answer: time to first token or
   * mean time between tokens. Ignored for a failed call.
   */
  latencyMs: number;
  /** Calls in flight when this one was sent, with this one. */
  inFlight: number;
  /** True for a time-out or a refusal by the upstream, not for an error of the request. */
  failed: boolean;
}

// One round of slow calls at most halves the limit.
const MIN_GRADIENT = 0.5;
const MIN_PROBE_SAMPLES = 5;

interface BaselineProbe {
  limit: number;
  /** Samples of calls that may have been sent before the probe. */
  skip: number;
  latenciesMs: number[];
}

/**
 * Adapts the number of concurrent calls to one upstream to its latency: while recent latency is
 * close to the baseline the limit grows, and it shrinks in proportion when latency rises.
 *
 * The baseline is measured again at times with a lower limit. Letting it drift towards the recent
 * latency instead would raise the limit without end under a lasting overload.
 */
export class ConcurrencyLimit {
  private limit: number;

  private baselineMs: number | undefined;

  private recentMs: number | undefined;

  private samplesSinceDecrease = Infinity;

  private samplesSinceProbe = 0;

  private probe: BaselineProbe | undefined;

  private readonly options: Required<ConcurrencyLimitOptions>;

  constructor(options: ConcurrencyLimitOptions = {}) {
    this.options = {
      initialLimit: 8,
      maxLimit: 1024,
      tolerance: 2,
      smoothing: 0.1,
      probeIntervalSamples: 1000,
      failureFactor: 0.8,
      ...options,
    };
    this.limit = this.clamp(this.options.initialLimit);
  }

  /** Calls that may be in flight; at least 1, so that the upstream can be measured again. */
  getLimit(): number {
    return Math.floor(this.probe ? this.probe.limit : this.limit);
  }

  /** Takes the latency or failure of one call into account. */
  recordSample(sample: LatencySample): void {
    this.samplesSinceDecrease += 1;
    if (sample.failed) {
      this.decrease(this.options.failureFactor);
      return;
    }
    if (!Number.isFinite(sample.latencyMs) || sample.latencyMs <= 0) return;
    if (this.measureBaseline(sample.latencyMs)) return;
    this.recordLatency(sample.latencyMs);
    const gradient = (this.options.tolerance * this.baselineMs!) / this.recentMs!;
    if (gradient < 1) {
      this.decrease(Math.max(MIN_GRADIENT, gradient));
      return;
    }
    // An upstream that is not used up to its limit gives no evidence that it could take more.
    if (sample.inFlight * 2 >= this.limit) this.limit = this.clamp(this.limit + 1 / this.limit);
  }

  /** Returns true while the baseline is measured; the limit then stays as it is. */
  private measureBaseline(latencyMs: number): boolean {
    this.samplesSinceProbe += 1;
    if (!this.probe && this.samplesSinceProbe < this.options.probeIntervalSamples) return false;
    this.probe ??= {
      limit: Math.max(1, this.limit / this.options.tolerance),
      skip: Math.ceil(this.limit),
      latenciesMs: [],
    };
    if (this.probe.skip > 0) {
      this.probe.skip -= 1;
      return true;
    }
    const { latenciesMs, limit } = this.probe;
    latenciesMs.push(latencyMs);
    if (latenciesMs.length < Math.max(MIN_PROBE_SAMPLES, limit)) return true;
    this.baselineMs = latenciesMs.reduce((sum, value) => sum + value, 0) / latenciesMs.length;
    this.recentMs = this.baselineMs;
    this.probe = undefined;
    this.samplesSinceProbe = 0;
    return true;
  }

  private recordLatency(latencyMs: number): void {
    this.recentMs =
      this.recentMs === undefined
        ? latencyMs
        : this.recentMs + this.options.smoothing * (latencyMs - this.recentMs);
    this.baselineMs = Math.min(this.baselineMs ?? Infinity, this.recentMs);
  }

  /** Lowers the limit once per round of calls: samples of one burst tell the same fact. */
  private decrease(factor: number): void {
    if (this.samplesSinceDecrease < this.limit) return;
    this.samplesSinceDecrease = 0;
    this.limit = this.clamp(this.limit * factor);
  }

  private clamp(limit: number): number {
    return Math.min(this.options.maxLimit, Math.max(1, limit));
  }
}
