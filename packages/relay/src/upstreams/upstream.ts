import type { LoadEstimate } from '@cactusstair/routing';
import { PeerLoadEstimate } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import { CachedParts } from './cachedParts.js';
import type { UpstreamRecord } from './upstreamRecord.js';

/** Load that the other instances together put on one upstream. */
export interface PeerLoad {
  running: number;
  /** Prompt processing that is not finished, in milliseconds of the upstream's time. */
  backlogMs: number;
  /** Tokens of running requests in the upstream's memory. */
  heldTokens: number;
}

/** One request of this instance at an upstream. */
export interface RunningCall {
  /** Prompt processing until the first event, in milliseconds of the upstream's time. */
  backlogMs: number;
  heldTokens: number;
}

const NO_LOAD: PeerLoad = { running: 0, backlogMs: 0, heldTokens: 0 };

// A failed connection marks an upstream as down for the minimum; each further one doubles the time.
const MIN_DOWN_MS = 600;
const MAX_DOWN_MS = 3000;
/** Weight of the newest outcome in the failure rate. */
const OUTCOME_WEIGHT = 0.15;
/** The failure rate halves in this time without new outcomes, so that the upstream is retried. */
const RATE_HALF_LIFE_MS = 4000;
/** Weight of the assumption that an upstream is as fast as its like, in first events. */
const SLOWDOWN_PRIOR_WEIGHT = 4;
/** Number of first events over which the slowdown is averaged. */
const MAX_WAIT_SAMPLES = 10;
/** Bounds on the factor by which one observed wait differs from the expected one. */
const MIN_WAIT_RATIO = 0.25;
const MAX_WAIT_RATIO = 10;
// A rejection as full holds back further requests for the minimum; each further one without an
// answer in between doubles the time.
const MIN_FULL_MS = 20;
const MAX_FULL_MS = 1000;

/** An upstream with its load, health and cached prompt parts as seen by this instance. */
export class Upstream {
  readonly calls = new Set<RunningCall>();

  private reportedLoad: PeerLoad = NO_LOAD;

  private readonly peerEstimate: PeerLoadEstimate;

  /** Monotonic time at which bytes last arrived from the upstream on any connection. */
  lastProgressMs: number;

  /** When its entry vanished in or shortly after a store outage; undefined while it is listed. */
  missingSinceMs: number | undefined;

  /**
   * Monotonic time from which it may be back after it was down; undefined if it was not, or once a
   * connection to it was opened.
   */
  returnsAtMs: number | undefined;

  /** Monotonic time at which it is warm by its entry; counted from when the entry was read. */
  private warmAtMs = 0;

  /**
   * Monotonic time until which it gets no requests although it is listed as ready, because the list
   * is that of an older copy of the store.
   */
  heldUntilMs = -Infinity;

  private downUntilMs = 0;

  private downMs = MIN_DOWN_MS;

  private fullUntilMs = 0;

  private fullMs = MIN_FULL_MS;

  private rate = 0;

  private rateAtMs: number;

  /** Mean logarithm of observed waits relative to expected ones. */
  private waitRatioLog = 0;

  private waitSamples = 0;

  /** Prompt parts that were sent to it, each after all parts before it. */
  readonly cachedParts = new CachedParts();

  constructor(
    public record: UpstreamRecord,
    private readonly clock: Clock,
    /** Revision of its entry in the list. */
    private revision = 0,
  ) {
    this.lastProgressMs = clock.monotonicMs();
    this.warmAtMs = this.lastProgressMs + (record.warmupLeftMs ?? 0);
    this.rateAtMs = this.lastProgressMs;
    this.peerEstimate = new PeerLoadEstimate(clock);
  }

  get id(): string {
    return this.record.id;
  }

  /** Load last reported by the other instances. */
  get peerLoad(): PeerLoad {
    return this.reportedLoad;
  }

  set peerLoad(load: PeerLoad) {
    this.reportedLoad = load;
    this.peerEstimate.record(load.running);
  }

  /**
   * Estimates the number of requests of all instances that run at this upstream now.
   *
   * @param callMs typical duration of a request there, in milliseconds
   */
  estimateLoad(callMs: number): LoadEstimate {
    const { running, unknown } = this.peerEstimate.estimate(callMs);
    return { running: this.calls.size + running, unknown };
  }

  /** Number of requests of all instances known to run at this upstream. */
  get running(): number {
    return this.calls.size + this.peerLoad.running;
  }

  /** Unfinished prompt processing for all instances, in milliseconds. */
  get backlogMs(): number {
    let sum = this.peerLoad.backlogMs;
    for (const call of this.calls) sum += call.backlogMs;
    return sum;
  }

  get heldTokens(): number {
    let sum = this.peerLoad.heldTokens;
    for (const call of this.calls) sum += call.heldTokens;
    return sum;
  }

  /** Time for which it is still cold by its entry, in milliseconds. */
  get warmupLeftMs(): number {
    return Math.max(0, this.warmAtMs - this.clock.monotonicMs());
  }

  get isDown(): boolean {
    return this.clock.monotonicMs() < this.downUntilMs;
  }

  /** Time for which it is taken to be full, whatever its known load, because it said so. */
  get fullLeftMs(): number {
    return Math.max(0, this.fullUntilMs - this.clock.monotonicMs());
  }

  /** Share of recent calls for whose failure the upstream is responsible, in [0, 1]. */
  get failureRate(): number {
    const ageMs = this.clock.monotonicMs() - this.rateAtMs;
    return this.rate * 0.5 ** (ageMs / RATE_HALF_LIFE_MS);
  }

  /** Time that this upstream takes relative to others of its service; 1 while little is known. */
  get slowdown(): number {
    const share = this.waitSamples / (this.waitSamples + SLOWDOWN_PRIOR_WEIGHT);
    return Math.exp(this.waitRatioLog * share);
  }

  /** Records how long a first event took, and how long it takes at an average upstream. */
  recordWait(waitMs: number, expectedMs: number): void {
    const ratio = Math.min(MAX_WAIT_RATIO, Math.max(MIN_WAIT_RATIO, waitMs / expectedMs));
    this.waitSamples = Math.min(MAX_WAIT_SAMPLES, this.waitSamples + 1);
    this.waitRatioLog += (Math.log(ratio) - this.waitRatioLog) / this.waitSamples;
  }

  /** Replaces the record by that of an entry. One that was read before says nothing new. */
  update(record: UpstreamRecord, revision: number): void {
    this.record = record;
    if (revision <= this.revision && revision > 0) return;
    this.revision = revision;
    this.warmAtMs = this.clock.monotonicMs() + (record.warmupLeftMs ?? 0);
  }

  recordProgress(): void {
    this.lastProgressMs = this.clock.monotonicMs();
  }

  recordSuccess(): void {
    this.recordOutcome(0);
    this.downMs = MIN_DOWN_MS;
    this.downUntilMs = 0;
    this.fullMs = MIN_FULL_MS;
  }

  /** Records an error answer or a missing answer. */
  recordFailure(): void {
    this.recordOutcome(1);
  }

  /** Records that the upstream has rejected a request because it is full. */
  recordFull(): void {
    // Rejections at the same time count as one.
    if (this.fullLeftMs > 0) return;
    this.fullUntilMs = this.clock.monotonicMs() + this.fullMs;
    this.fullMs = Math.min(this.fullMs * 2, MAX_FULL_MS);
  }

  /**
   * Marks the upstream as down after a failed connection.
   *
   * @param isCertain whether nothing listens at its address. A connection that timed out may have
   * lost a packet, so the second one in a row counts as certain.
   */
  recordDown(isCertain = false): void {
    const nowMs = this.clock.monotonicMs();
    // Calls that fail at the same time count as one failure.
    const isFurther = nowMs >= this.downUntilMs;
    const isRepeated = isFurther && this.downMs > MIN_DOWN_MS;
    if (isFurther) {
      this.downUntilMs = nowMs + this.downMs;
      this.downMs = Math.min(this.downMs * 2, MAX_DOWN_MS);
    }
    if (isCertain || isRepeated) this.returnsAtMs = this.downUntilMs;
  }

  /** Resets the state that belongs to an earlier run under the same id. */
  restart(): void {
    this.cachedParts.clear();
    this.peerEstimate.reset();
    this.reportedLoad = NO_LOAD;
    this.rate = 0;
    this.waitSamples = 0;
    this.waitRatioLog = 0;
    this.downUntilMs = 0;
    this.fullUntilMs = 0;
    this.fullMs = MIN_FULL_MS;
  }

  private recordOutcome(failed: 0 | 1): void {
    this.rate = this.failureRate * (1 - OUTCOME_WEIGHT) + failed * OUTCOME_WEIGHT;
    this.rateAtMs = this.clock.monotonicMs();
  }
}
