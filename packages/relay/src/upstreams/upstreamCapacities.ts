import type { CapacitySums } from '@cactusstair/routing';
import {
  addCapacitySums,
  CapacityEstimator,
  isCapacitySums,
  roundCapacitySums,
} from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';
import { createDictionary } from '@cactusstair/utils';

import type { Upstream } from './upstream.js';
import type { UpstreamRecord } from './upstreamRecord.js';
import { getPriorCallMs } from './upstreamSelector.js';

/** Capacity sums by service, as instances exchange them. */
export type CapacityReport = Record<string, CapacitySums>;

/** A marked change of what an upstream handles well. */
export interface CapacityChange {
  upstream: string;
  service: string;
  /** Concurrency that it handles well. */
  limit: number;
  slots: number;
  /** Time of a request at the upstream relative to the mean of the service. */
  relativeTime: number;
}

/** Options of `UpstreamCapacities`. */
export interface UpstreamCapacitiesOptions {
  clock: Clock;
  listUpstreams: () => readonly Upstream[];
  /** Called on a marked change of an upstream's capacity. */
  onChange?: (change: CapacityChange) => void;
}

/** One completed call of a request. */
export interface CompletedCall {
  /** The run of the upstream that was called. */
  record: UpstreamRecord;
  workClass: string;
  /** Mean number of requests at the upstream while the call ran, including it. */
  running: number;
  /** Time of the call, or of each event of it. */
  timeMs: number;
}

interface KnownCapacity {
  limit: number;
  relativeTime: number;
  atMs: number;
}

/** Services in one report; bounds the work that a faulty instance can cause. */
const MAX_REPORTED_SERVICES = 200;
const CHECK_INTERVAL_MS = 1000;
/** Shortest time between two log lines about one upstream. */
const MIN_CHANGE_GAP_MS = 5000;
/** Share of the slots by which a limit has to change to be logged. */
const MARKED_SLOTS_SHARE = 0.25;
/** Factor by which the relative time has to change to be logged. */
const MARKED_TIME_FACTOR = 1.4;

export function addCapacityReport(total: CapacityReport, part: CapacityReport): void {
  for (const [service, sums] of Object.entries(part)) {
    const known = (total[service] ??= {
      classes: createDictionary(),
      upstreams: createDictionary(),
    });
    addCapacitySums(known, sums);
  }
}

/** Rounds the sums of several instances for sending. */
export function roundCapacityReport(report: CapacityReport): CapacityReport {
  const rounded: CapacityReport = createDictionary();
  for (const [service, sums] of Object.entries(report)) rounded[service] = roundCapacitySums(sums);
  return rounded;
}

/** Whether a value from another instance is a capacity report, or absent as in older builds. */
export function isCapacityReport(value: unknown): value is CapacityReport | undefined {
  if (value === undefined) return true;
  if (typeof value !== 'object' || value === null) return false;
  const services = Object.values(value);
  return services.length <= MAX_REPORTED_SERVICES && services.every(isCapacitySums);
}

/** What is learned about the capacity of the upstreams of all services. */
export class UpstreamCapacities {
  private readonly byService = new Map<string, CapacityEstimator>();

  private readonly known = new Map<string, KnownCapacity>();

  constructor(private readonly options: UpstreamCapacitiesOptions) {}

  /** @param isEngine whether the service's upstreams run models */
  get(service: string, isEngine: boolean): CapacityEstimator {
    const known = this.byService.get(service);
    if (known) return known;
    const estimator = new CapacityEstimator(this.options.clock, getPriorCallMs(isEngine));
    this.byService.set(service, estimator);
    return estimator;
  }

  /** Returns the sums of this instance. */
  exportSums(): CapacityReport {
    const report: CapacityReport = createDictionary();
    for (const [service, estimator] of this.byService) {
      const sums = estimator.exportSums();
      const size = Object.keys(sums.classes).length + Object.keys(sums.upstreams).length;
      if (size > 0) report[service] = sums;
    }
    return report;
  }

  /**
   * Replaces the sums of all other instances. Those of services that this instance does not use are
   * left out.
   */
  importPeerSums(report: CapacityReport): void {
    for (const [service, estimator] of this.byService) {
      estimator.importPeerSums(report[service] ?? { classes: {}, upstreams: {} });
    }
  }

  /** Forgets an upstream that has restarted or is gone. */
  forget({ id, service }: UpstreamRecord): void {
    this.byService.get(service)?.forget(id);
    this.known.delete(id);
  }

  /** Returns the learned limit of each upstream; its slots while nothing is learned. */
  listLimits(): [upstream: string, limit: number][] {
    return this.options
      .listUpstreams()
      .map(({ id, record }) => [
        id,
        this.byService.get(record.service)?.getLimit(record) ?? record.slots,
      ]);
  }

  /** Reports marked changes until `signal` aborts. */
  async watch(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.checkChanges();
      await this.options.clock.sleep(CHECK_INTERVAL_MS, signal);
    }
  }

  /** Reports the upstreams whose capacity has changed markedly. */
  checkChanges(): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const { record } of this.options.listUpstreams()) {
      const estimator = this.byService.get(record.service);
      if (!estimator) continue;
      const limit = estimator.getLimit(record);
      const relativeTime = estimator.getRelativeTime(record);
      const known = this.known.get(record.id) ?? {
        limit: record.slots,
        relativeTime: 1,
        atMs: -Infinity,
      };
      if (nowMs - known.atMs < MIN_CHANGE_GAP_MS) continue;
      const factor = Math.exp(Math.abs(Math.log(relativeTime / known.relativeTime)));
      const markedSlots = Math.max(1, record.slots * MARKED_SLOTS_SHARE);
      if (Math.abs(limit - known.limit) < markedSlots && factor < MARKED_TIME_FACTOR) continue;
      this.known.set(record.id, { limit, relativeTime, atMs: nowMs });
      const { id: upstream, service, slots } = record;
      const rounded = Math.round(relativeTime * 100) / 100;
      this.options.onChange?.({ upstream, service, limit, slots, relativeTime: rounded });
    }
  }
}
