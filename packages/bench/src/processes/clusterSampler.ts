import type { LocalCluster } from '@cactusstair/place';
import { fetch } from 'undici';

import { sumMetric } from './prometheusText.js';

/** Counters of a place at one moment. */
export interface ClusterSample {
  atMs: number;
  /** Processor time of all entry instances in seconds. */
  entryCpuSeconds: number;
  /** Largest resident memory of an entry instance in bytes. */
  largestEntryBytes: number;
  storeReads: number;
  storeWrites: number;
  openWatches: number;
}

interface CallCounts {
  reads: number;
  writes: number;
  openWatches: number;
}

/** Reads the counters of all entry instances and of the object API. */
export async function sampleCluster(place: LocalCluster): Promise<ClusterSample> {
  const texts = await Promise.all(
    place.entries.map(async ({ metrics }) => (await fetch(`${metrics}/metrics`)).text()),
  );
  const calls = (await (await fetch(`${place.platformUrl}/v1/calls`)).json()) as CallCounts;
  return {
    atMs: performance.now(),
    entryCpuSeconds: texts.reduce(
      (sum, text) => sum + sumMetric(text, 'process_cpu_seconds_total'),
      0,
    ),
    largestEntryBytes: Math.max(
      ...texts.map((text) => sumMetric(text, 'process_resident_memory_bytes')),
    ),
    storeReads: calls.reads,
    storeWrites: calls.writes,
    openWatches: calls.openWatches,
  };
}

/** Costs of control between two samples. */
export interface ControlCost {
  /** Processor share of one entry instance, 1 is a whole core. */
  cpuPerEntry: number;
  largestEntryMegabytes: number;
  storeReadsPerSecond: number;
  storeWritesPerSecond: number;
  openWatches: number;
}

const BYTES_PER_MEGABYTE = 1_000_000;
const MS_PER_SECOND = 1000;

/** Computes the costs of `entries` instances between two samples. */
export function computeControlCost(
  before: ClusterSample,
  after: ClusterSample,
  entries: number,
): ControlCost {
  const seconds = (after.atMs - before.atMs) / MS_PER_SECOND;
  return {
    cpuPerEntry: (after.entryCpuSeconds - before.entryCpuSeconds) / seconds / entries,
    largestEntryMegabytes: after.largestEntryBytes / BYTES_PER_MEGABYTE,
    storeReadsPerSecond: (after.storeReads - before.storeReads) / seconds,
    storeWritesPerSecond: (after.storeWrites - before.storeWrites) / seconds,
    openWatches: after.openWatches,
  };
}
