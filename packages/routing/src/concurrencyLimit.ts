import type { RequestClass } from './admissionQueue.js';

/** Options of `ConcurrencyLimit`. */
export interface ConcurrencyLimitOptions {
  /** Limit before the first sample. Default 8. */
  initialLimit?: number;
  /** Upper bound, usually a small multiple of the upstream's slots. Default 1,024. */
  maxLimit?: number;
  /** Multiple of the baseline latency up to which the limit is not lowered. Default 2. */
  tolerance?: number;
  /**
   * Latency up to this value never lowers the limit, regardless of the baseline, because it is far
   * below what callers notice. Default 200.
   */
  harmlessLatencyMs?: number;
  /** Weight of one sample in the recent latency, in (0, 1]. Default 0.1. */
  smoothing?: number;
  /** Factor on the limit after a failed call. Default 0.8. */
  failureFactor?: number;
}

/** One finished or failed call. */
export interface LatencySample {
  /**
   * A latency that does not depend on the length of the answer: time to first token or mean time
   * between tokens. Ignored for a failed call.
   */
  latencyMs: number;
  /** Calls in flight when this one was sent, including this one. */
  inFlight: number;
  /** True for a time-out or a refusal by the upstream, false for an error caused by the request. */
  failed: boolean;
  /** Requests queued at the upstream according to its last load report, if there is one. */
  upstreamQueued?: number;
  /** Each class has its own baseline, since long prompts take longer. Default `short`. */
  requestClass?: RequestClass;
}

interface ClassLatency {
  /** Lowest recent latency. */
  baselineMs: number;
  recentMs: number;
  /** Consecutive samples at the lowest limit without a queue at the upstream. */
  floorSamples: number;
}

// One round of slow calls halves the limit at most.
const MIN_GRADIENT = 0.5;
const FLOOR_LIMIT = 1;
/** Samples at the lowest limit after which the baseline is raised to the recent latency. */
const FLOOR_SAMPLES = 5;

/**
 * Adapts the number of concurrent calls to one upstream to its latency: the limit grows while
 * recent latency is close to the baseline and shrinks in proportion when latency rises.
 *
 * The baseline rises only at the lowest limit and with no queue at the upstream, where neither this
 * instance nor the others can cause the latency. Under a lasting overload, the limit would grow
 * without bound if the baseline followed the recent latency, or if it were measured again at a
 * slightly lower limit while other instances keep theirs.
 */
export class ConcurrencyLimit {
  private limit: number;

  private readonly latencies = new Map<RequestClass, ClassLatency>();

  private samplesSinceDecrease = 0;

  /** Calls that were in flight at the last decrease. */
  private roundSamples = 0;

  private readonly options: Required<ConcurrencyLimitOptions>;

  constructor(options: ConcurrencyLimitOptions = {}) {
    this.options = {
      initialLimit: 8,
      maxLimit: 1024,
      tolerance: 2,
      harmlessLatencyMs: 200,
      smoothing: 0.1,
      failureFactor: 0.8,
      ...options,
    };
    this.limit = this.clamp(this.options.initialLimit);
  }

  /** Maximum number of calls in flight; at least 1, so that the upstream can be measured again. */
  getLimit(): number {
    return Math.floor(this.limit);
  }

  /** Updates the limit with the latency or failure of one call. */
  recordSample(sample: LatencySample): void {
    this.samplesSinceDecrease += 1;
    if (sample.failed) {
      this.decrease(this.options.failureFactor);
      return;
    }
    if (!Number.isFinite(sample.latencyMs) || sample.latencyMs <= 0) return;
    const latency = this.recordLatency(sample);
    const gradient = this.computeAcceptedMs(latency) / latency.recentMs;
    if (gradient < 1) {
      // The recent latency is lowered with the limit. Otherwise the samples that caused this
      // decrease would lower the limit again after the next round.
      if (this.decrease(Math.max(MIN_GRADIENT, gradient))) latency.recentMs *= gradient;
      return;
    }
    // With less than half of the limit in use, it is unknown whether the upstream can take more.
    if (sample.inFlight * 2 >= this.limit) this.limit = this.clamp(this.limit + 1 / this.limit);
  }

  /**
   * Returns the latency up to which the limit may grow. The threshold is higher for a lower limit:
   * with one threshold for all limits, the instance with the highest baseline would push the limits
   * of the others down to the floor.
   */
  private computeAcceptedMs({ baselineMs }: ClassLatency): number {
    const { tolerance, harmlessLatencyMs } = this.options;
    return Math.max(tolerance * baselineMs, harmlessLatencyMs) * (1 + 1 / Math.sqrt(this.limit));
  }

  private recordLatency(sample: LatencySample): ClassLatency {
    const { requestClass = 'short', latencyMs, upstreamQueued = 0 } = sample;
    const latency = this.latencies.get(requestClass) ?? {
      baselineMs: latencyMs,
      recentMs: latencyMs,
      floorSamples: 0,
    };
    this.latencies.set(requestClass, latency);
    latency.recentMs += this.options.smoothing * (latencyMs - latency.recentMs);
    const isUnloaded = this.getLimit() === FLOOR_LIMIT && upstreamQueued === 0;
    latency.floorSamples = isUnloaded ? latency.floorSamples + 1 : 0;
    const measuredAtFloor = latency.floorSamples >= FLOOR_SAMPLES;
    if (measuredAtFloor) latency.floorSamples = 0;
    latency.baselineMs = measuredAtFloor
      ? latency.recentMs
      : Math.min(latency.baselineMs, latency.recentMs);
    return latency;
  }

  /** Lowers the limit at most once per round, since the samples of a burst have one cause. */
  private decrease(factor: number): boolean {
    if (this.samplesSinceDecrease < this.roundSamples) return false;
    this.samplesSinceDecrease = 0;
    this.roundSamples = Math.ceil(this.limit);
    this.limit = this.clamp(this.limit * factor);
    return true;
  }

  private clamp(limit: number): number {
    return Math.min(this.options.maxLimit, Math.max(FLOOR_LIMIT, limit));
  }
}
