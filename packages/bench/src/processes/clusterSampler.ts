import type { LocalCluster } from '@cactusstair/place';
import { fetch } from 'undici';

import { sumMetric } from './prometheusText.js';

/** Resource counters of a local cluster at one time. */
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
export async function sampleCluster(cluster: LocalCluster): Promise<ClusterSample> {
  const texts = await Promise.all(
    cluster.entries.map(async ({ metrics }) => (await fetch(`${metrics}/metrics`)).text()),
  );
  const calls = (await (await fetch(`${cluster.platformUrl}/v1/calls`)).json()) as CallCounts;
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

/** Resource use between two samples. In an idle cluster it is that of the control traffic alone. */
export interface ControlCost {
  /** Average processor use of an entry instance in cores. */
  cpuPerEntry: number;
  largestEntryMegabytes: number;
  storeReadsPerSecond: number;
  storeWritesPerSecond: number;
  openWatches: number;
}

const BYTES_PER_MEGABYTE = 1_000_000;
const MS_PER_SECOND = 1000;

/** Computes the resource use of `entries` instances between two samples. */
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
