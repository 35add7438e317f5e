import type { ClusterOptions } from '@cactusstair/place';
import { LocalCluster } from '@cactusstair/place';
import { systemClock } from '@cactusstair/utils';

import type { ResultTable } from '../scenario.js';
import type { ControlCost } from './clusterSampler.js';
import { computeControlCost, sampleCluster } from './clusterSampler.js';

/** Size of a measured cluster. */
interface ClusterSize {
  entries: number;
  engines: number;
  workspaces: number;
  models: number;
}

const ZONES = ['riga-a', 'riga-b', 'jelgava'];
/** Time after the start in which processes do most of their one-time work; not measured. */
const WARM_UP_MS = 8000;
const MEASURE_MS = 10_000;
const QUICK_MEASURE_MS = 4000;
const CPU_DIGITS = 4;

/** Each size differs from the first in one dimension, so that the slope of each can be computed. */
const SIZES: ClusterSize[] = [
  { entries: 3, engines: 3, workspaces: 10, models: 3 },
  { entries: 6, engines: 3, workspaces: 10, models: 3 },
  { entries: 12, engines: 3, workspaces: 10, models: 3 },
  { entries: 3, engines: 12, workspaces: 10, models: 3 },
  { entries: 3, engines: 24, workspaces: 10, models: 3 },
  { entries: 3, engines: 3, workspaces: 400, models: 3 },
  { entries: 3, engines: 3, workspaces: 10, models: 33 },
];

function createClusterOptions(size: ClusterSize, seed: number): ClusterOptions {
  const models = Array.from({ length: size.models }, (_, index) => ({
    name: `model-${index}`,
    versions: [{ version: '1' }],
  }));
  return {
    seed,
    zones: ZONES.map((name) => ({
      name,
      entries: Math.round(size.entries / ZONES.length),
      engines: [{ versions: ['model-0@1'], count: Math.round(size.engines / ZONES.length) }],
    })),
    models,
    workspaces: Array.from({ length: size.workspaces }, (_, index) => ({
      name: `workspace-${index}`,
    })),
  };
}

/** Measures an idle cluster, which has only control traffic. */
async function measureIdle(
  size: ClusterSize,
  seed: number,
  measureMs: number,
): Promise<ControlCost> {
  const cluster = await LocalCluster.start(createClusterOptions(size, seed));
  try {
    await systemClock.sleep(WARM_UP_MS);
    const before = await sampleCluster(cluster);
    await systemClock.sleep(measureMs);
    return computeControlCost(before, await sampleCluster(cluster), size.entries);
  } finally {
    await cluster.close();
  }
}

/** Measures the resource use of idle clusters of several sizes with real processes. */
export async function measureControlCost(seed: number, quick: boolean): Promise<ResultTable> {
  const rows: (string | number)[][] = [];
  for (const size of quick ? SIZES.slice(0, 2) : SIZES) {
    const cost = await measureIdle(size, seed, quick ? QUICK_MEASURE_MS : MEASURE_MS);
    rows.push([
      size.entries,
      size.engines,
      size.workspaces,
      size.models,
      cost.cpuPerEntry.toFixed(CPU_DIGITS),
      Math.round(cost.largestEntryMegabytes),
      cost.storeReadsPerSecond.toFixed(2),
      cost.storeWritesPerSecond.toFixed(2),
      cost.openWatches,
    ]);
  }
  return {
    title: 'Resource use of an idle cluster',
    columns: [
      'entries',
      'engines',
      'workspaces',
      'models',
      'cores/entry',
      'MB/entry',
      'store reads/s',
      'store writes/s',
      'watches',
    ],
    rows,
  };
}
