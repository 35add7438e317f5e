import type { Clock } from '@cactusstair/utils';

import type { UpstreamRecord } from './upstreamRecord.js';

/** What peers say together of the requests that they have at one upstream. */
export interface PeerLoad {
  running: number;
  /** Prompt work that the upstream has not finished, in milliseconds of its time. */
  backlogMs: number;
  /** Tokens that running requests hold in the upstream's memory. */
  heldTokens: number;
}

/** One request of this instance at an upstream. */
export interface RunningCall {
  /** Prompt work until the first event, in milliseconds of the upstream's time. */
  backlogMs: number;
  heldTokens: number;
}

const NO_LOAD: PeerLoad = { running: 0, backlogMs: 0, heldTokens: 0 };

// A failed connection takes an upstream out for this long at first; each further one doubles it.
const MIN_DOWN_MS = 600;
const MAX_DOWN_MS = 3000;
/** Weight of the newest outcome in the failure rate. */
const OUTCOME_WEIGHT = 0.15;
/** Time in which a failure rate without new outcomes halves, so that an upstream is tried again. */
const RATE_HALF_LIFE_MS = 4000;
// Parts that one engine holds; the engines' memory holds a few hundred of the longest.
const MAX_CACHED_PARTS = 2000;

/** An upstream with what this instance knows of its load, health and cached prompt parts. */
export class Upstream {
  readonly calls = new Set<RunningCall>();

  /** Last load of the other instances. */
  peerLoad: PeerLoad = NO_LOAD;

  /** When bytes last came from the upstream on any connection, on the monotonic clock. */
  lastProgressMs: number;

  /** When its entry went missing while the store was disturbed; undefined while it is listed. */
  missingSinceMs: number | undefined;

  private downUntilMs = 0;

  private downMs = MIN_DOWN_MS;

  private rate = 0;

  private rateAtMs: number;

  private readonly cachedParts = new Map<string, number>();

  constructor(
    public record: UpstreamRecord,
    private readonly clock: Clock,
  ) {
    this.lastProgressMs = clock.monotonicMs();
    this.rateAtMs = this.lastProgressMs;
  }

  get id(): string {
    return this.record.id;
  }

  /** Requests of all instances that are known to run here. */
  get running(): number {
    return this.calls.size + this.peerLoad.running;
  }

  /** Prompt work of all instances that is not finished, in milliseconds. */
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

  get isDown(): boolean {
    return this.clock.monotonicMs() < this.downUntilMs;
  }

  /** Share of recent calls that failed by the upstream's own doing, in [0, 1]. */
  get failureRate(): number {
    const ageMs = this.clock.monotonicMs() - this.rateAtMs;
    return this.rate * 0.5 ** (ageMs / RATE_HALF_LIFE_MS);
  }

  recordProgress(): void {
    this.lastProgressMs = this.clock.monotonicMs();
  }

  recordSuccess(): void {
    this.recordOutcome(0);
    this.downMs = MIN_DOWN_MS;
    this.downUntilMs = 0;
  }

  /** Notes an answer that failed or did not come. */
  recordFailure(): void {
    this.recordOutcome(1);
  }

  /** Notes that the upstream cannot be reached. */
  recordDown(): void {
    const nowMs = this.clock.monotonicMs();
    // Calls that fail together are one event.
    if (nowMs < this.downUntilMs) return;
    this.downUntilMs = nowMs + this.downMs;
    this.downMs = Math.min(this.downMs * 2, MAX_DOWN_MS);
  }

  /** Whether a prompt part of a model was sent here, with all parts before it. */
  hasCachedPart(model: string, partId: string): boolean {
    return this.cachedParts.has(`${model}/${partId}`);
  }

  recordCachedPart(model: string, partId: string): void {
    const key = `${model}/${partId}`;
    this.cachedParts.delete(key);
    this.cachedParts.set(key, this.clock.monotonicMs());
    if (this.cachedParts.size <= MAX_CACHED_PARTS) return;
    const oldest = this.cachedParts.keys().next();
    if (!oldest.done) this.cachedParts.delete(oldest.value);
  }

  /** Forgets everything that belongs to an earlier run under the same id. */
  restart(): void {
    this.cachedParts.clear();
    this.peerLoad = NO_LOAD;
    this.rate = 0;
    this.downUntilMs = 0;
  }

  private recordOutcome(failed: 0 | 1): void {
    this.rate = this.failureRate * (1 - OUTCOME_WEIGHT) + failed * OUTCOME_WEIGHT;
    this.rateAtMs = this.clock.monotonicMs();
  }
}
