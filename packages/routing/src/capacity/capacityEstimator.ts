import type { Clock } from '@cactusstair/utils';
import { createDictionary } from '@cactusstair/utils';

import type { CapacityCurve, CapacityShape } from './capacityCurve.js';
import { deriveCurve, deriveShape, findBand, findLimit, readCurve } from './capacityCurve.js';
import type { CapacitySums, ClassSums, UpstreamSums } from './capacitySums.js';
import {
  addNumbers,
  BAND_LENGTH,
  createUpstreamSums,
  MAX_RELATIVE_LOG,
  MAX_TIME_LOG,
  NO_CLASS_SUMS,
  roundCapacitySums,
} from './capacitySums.js';

/** An upstream whose capacity is asked for. */
export interface CapacityTarget {
  id: string;
  slots: number;
}

/** The time of one completed call. */
export interface CapacitySample {
  upstream: CapacityTarget;
  /** Calls of one class take about the same time at the same upstream. */
  workClass: string;
  /** Mean number of requests at the upstream while the call ran, including it. */
  running: number;
  /** Time of the call, or of each event of it. */
  timeMs: number;
}

interface AgedSums<T extends number[]> {
  sums: T;
  atMs: number;
}

interface Derived {
  curve: CapacityCurve;
  limit: number;
  throughput: number;
  slots: number;
  atMs: number;
}

/** Half-life of what is known of an upstream: a change of its speed is followed in seconds. */
const UPSTREAM_HALF_LIFE_MS = 3000;
/**
 * Half-life of the mean time of a class. Upstreams are compared by their times relative to it, so it
 * has to move slowly compared with them.
 */
const CLASS_HALF_LIFE_MS = 30_000;
/** A sample counts as at most this factor slower or faster than expected. */
const MAX_SURPRISE_LOG = Math.log(3);
/** Weight of a class from which its mean bounds further samples. */
const MIN_CLASS_WEIGHT = 3;
/** Curves are derived again after this time, in which a message from each peer arrives. */
const DERIVE_INTERVAL_MS = 250;
/** Classes of one service beyond this number share one. */
const MAX_CLASSES = 64;
const OTHER_CLASSES = '';

function ageSums<T extends number[]>(entry: AgedSums<T>, nowMs: number, halfLifeMs: number): T {
  const factor = 0.5 ** (Math.max(0, nowMs - entry.atMs) / halfLifeMs);
  entry.sums.forEach((value, index) => {
    entry.sums[index] = value * factor;
  });
  entry.atMs = nowMs;
  return entry.sums;
}

function clamp(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}

/**
 * Learns how the time of a request at each upstream of one service depends on the concurrency there,
 * and how much concurrency each handles well. Serves services whose upstreams differ in speed, slow
 * down before their slots are full, or change.
 */
export class CapacityEstimator {
  private readonly ownUpstreams = new Map<string, AgedSums<UpstreamSums>>();

  private readonly ownClasses = new Map<string, AgedSums<ClassSums>>();

  private peerSums: CapacitySums = { classes: {}, upstreams: {} };

  private shape: CapacityShape | undefined;

  private shapeAtMs = -Infinity;

  private readonly derived = new Map<string, Derived>();

  private readonly callTimes = new Map<string, { ms: number; atMs: number }>();

  /** @param priorCallMs assumed duration of a call before the first one has completed */
  constructor(
    private readonly clock: Clock,
    private readonly priorCallMs: number,
  ) {}

  /** Records a completed call. */
  record({ upstream, workClass, running, timeMs }: CapacitySample): void {
    if (!Number.isFinite(timeMs) || timeMs <= 0 || !Number.isFinite(running)) return;
    const slots = Math.max(1, upstream.slots);
    const sums = this.openClass(workClass);
    const timeLog = clamp(Math.log(timeMs), -MAX_TIME_LOG, MAX_TIME_LOG);
    const [times, timeLogs] = this.sumClass(workClass);
    const meanLog = times > 0 ? timeLogs / times : timeLog;
    const expected = readCurve(this.derive(upstream).curve, running, slots);
    const relative = clamp(
      timeLog - meanLog,
      expected - MAX_SURPRISE_LOG,
      expected + MAX_SURPRISE_LOG,
    );
    sums[0] += 1;
    sums[1] += times < MIN_CLASS_WEIGHT ? timeLog : meanLog + relative;
    const own = this.openUpstream(upstream.id);
    const band = findBand(running, slots) * BAND_LENGTH;
    own[band]! += 1;
    // The wait for a slot belongs to the concurrency, not to the upstream's speed.
    const waitLog = Math.log(Math.max(1, running / slots));
    own[band + 1]! += clamp(relative - waitLog, -MAX_RELATIVE_LOG, MAX_RELATIVE_LOG);
  }

  /** Records the duration of a whole call. */
  recordCall(workClass: string, durationMs: number): void {
    if (!Number.isFinite(durationMs) || durationMs <= 0) return;
    const sums = this.openClass(workClass);
    sums[2] += 1;
    sums[3] += clamp(Math.log(durationMs), -MAX_TIME_LOG, MAX_TIME_LOG);
  }

  /** Returns the typical duration of a call of a class, in milliseconds. */
  estimateCallMs(workClass: string): number {
    const nowMs = this.clock.monotonicMs();
    const known = this.callTimes.get(workClass);
    // A choice asks once for each upstream.
    if (known && nowMs - known.atMs < DERIVE_INTERVAL_MS) return known.ms;
    const [, , calls, callLogs] = this.sumClass(workClass);
    if (calls <= 0) return this.priorCallMs;
    const ms = Math.exp(callLogs / calls);
    if (this.callTimes.size >= MAX_CLASSES) this.callTimes.clear();
    this.callTimes.set(workClass, { ms, atMs: nowMs });
    return ms;
  }

  /** Returns the expected duration of a call at an upstream with `running` requests. */
  estimateMs(upstream: CapacityTarget, workClass: string, running: number): number {
    const slots = Math.max(1, upstream.slots);
    const relative = readCurve(this.derive(upstream).curve, running, slots);
    return this.estimateCallMs(workClass) * Math.exp(relative);
  }

  /** Returns the concurrency that an upstream handles well, from 1 to its slots. */
  getLimit(upstream: CapacityTarget): number {
    return this.derive(upstream).limit;
  }

  /** Returns the throughput of an upstream at its limit, relative to others of the service. */
  getThroughput(upstream: CapacityTarget): number {
    return this.derive(upstream).throughput;
  }

  /** Returns the time of an upstream with one request relative to the mean of the service. */
  getRelativeTime(upstream: CapacityTarget): number {
    return Math.exp(this.derive(upstream).curve[0]!);
  }

  /** Drops what this instance measured at an upstream, which has restarted or is gone. */
  forget(id: string): void {
    this.ownUpstreams.delete(id);
    this.derived.delete(id);
  }

  /** Returns the sums of this instance, rounded for sending. */
  exportSums(): CapacitySums {
    const nowMs = this.clock.monotonicMs();
    const sums: CapacitySums = { classes: createDictionary(), upstreams: createDictionary() };
    for (const [name, entry] of this.ownClasses) {
      sums.classes[name] = ageSums(entry, nowMs, CLASS_HALF_LIFE_MS);
    }
    for (const [id, entry] of this.ownUpstreams) {
      sums.upstreams[id] = ageSums(entry, nowMs, UPSTREAM_HALF_LIFE_MS);
    }
    const rounded = roundCapacitySums(sums);
    for (const name of this.ownClasses.keys()) {
      if (!rounded.classes[name]) this.ownClasses.delete(name);
    }
    for (const id of this.ownUpstreams.keys()) {
      if (!rounded.upstreams[id]) this.ownUpstreams.delete(id);
    }
    return rounded;
  }

  /** Replaces the sums of all other instances. */
  importPeerSums(sums: CapacitySums): void {
    this.peerSums = sums;
  }

  private openClass(workClass: string): ClassSums {
    const isKnown = this.ownClasses.has(workClass) || this.ownClasses.size < MAX_CLASSES;
    const name = isKnown ? workClass : OTHER_CLASSES;
    const nowMs = this.clock.monotonicMs();
    const entry = this.ownClasses.get(name) ?? {
      sums: [...NO_CLASS_SUMS] as ClassSums,
      atMs: nowMs,
    };
    this.ownClasses.set(name, entry);
    return ageSums(entry, nowMs, CLASS_HALF_LIFE_MS);
  }

  private openUpstream(id: string): UpstreamSums {
    const nowMs = this.clock.monotonicMs();
    const entry = this.ownUpstreams.get(id) ?? { sums: createUpstreamSums(), atMs: nowMs };
    this.ownUpstreams.set(id, entry);
    return ageSums(entry, nowMs, UPSTREAM_HALF_LIFE_MS);
  }

  private sumClass(workClass: string): ClassSums {
    const total: ClassSums = [...NO_CLASS_SUMS];
    const own = this.ownClasses.get(workClass);
    if (own) addNumbers(total, ageSums(own, this.clock.monotonicMs(), CLASS_HALF_LIFE_MS));
    addNumbers(total, this.peerSums.classes[workClass] ?? NO_CLASS_SUMS);
    return total;
  }

  private sumUpstream(id: string, nowMs: number): UpstreamSums {
    const total = createUpstreamSums();
    const own = this.ownUpstreams.get(id);
    if (own) addNumbers(total, ageSums(own, nowMs, UPSTREAM_HALF_LIFE_MS));
    addNumbers(total, this.peerSums.upstreams[id] ?? []);
    return total;
  }

  private derive({ id, slots }: CapacityTarget): Derived {
    const nowMs = this.clock.monotonicMs();
    const known = this.derived.get(id);
    if (known && known.slots === slots && nowMs - known.atMs < DERIVE_INTERVAL_MS) return known;
    const curve = deriveCurve(this.sumUpstream(id, nowMs), this.getShape(nowMs));
    const limit = findLimit(curve, Math.max(1, slots));
    const throughput = limit / Math.exp(readCurve(curve, limit, Math.max(1, slots)));
    const derived = { curve, limit, throughput, slots, atMs: nowMs };
    this.derived.set(id, derived);
    return derived;
  }

  private getShape(nowMs: number): CapacityShape {
    if (this.shape && nowMs - this.shapeAtMs < DERIVE_INTERVAL_MS) return this.shape;
    const ids = new Set([...this.ownUpstreams.keys(), ...Object.keys(this.peerSums.upstreams)]);
    this.shape = deriveShape([...ids].map((id) => this.sumUpstream(id, nowMs)));
    this.shapeAtMs = nowMs;
    return this.shape;
  }
}
