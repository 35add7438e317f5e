import { LocalCluster } from '@cactusstair/place';
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import { Agent } from 'undici';

import type { ResultTable } from '../scenario.js';
import { computeControlCost, sampleCluster } from './clusterSampler.js';

const ROUNDS = 600;
const QUICK_ROUNDS = 100;
const CONCURRENT_CALLS = 8;
/** Histograms store microseconds for a sufficient resolution of short latencies. */
const MICROS_PER_MS = 1000;
const MS_PER_SECOND = 1000;
const BYTES_PER_MEGABYTE = 1_000_000;
const MAX_MICROS = 60_000_000;
const MODEL = 'small';

/** A route to the engine: direct or through an entry instance. */
interface Route {
  origin: string;
  headers: Record<string, string>;
  model: string;
  latency: Histogram;
}

async function callOnce(agent: Agent, route: Route, count: number, tokens: number): Promise<void> {
  const startedAtMs = performance.now();
  const answer = await agent.request({
    origin: route.origin,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: {
      ...route.headers,
      'content-type': 'application/json',
      'x-request-id': `overhead-${tokens}-${count}-${route.model}`,
    },
    body: JSON.stringify({
      model: route.model,
      messages: [{ role: 'user', content: `question ${count}` }],
      max_tokens: tokens,
    }),
  });
  await answer.body.dump({ limit: MAX_MICROS });
  if (answer.statusCode !== 200) throw new Error(`${route.origin} answered ${answer.statusCode}`);
  route.latency.recordValue(Math.round((performance.now() - startedAtMs) * MICROS_PER_MS));
}

/** Alternates between the routes, so that load from other processes affects them equally. */
async function callAlternately(
  routes: readonly Route[],
  rounds: number,
  tokens: number,
): Promise<void> {
  const agent = new Agent();
  let next = 0;
  const worker = async () => {
    while (next < rounds) {
      next += 1;
      const count = next;
      for (const route of routes) await callOnce(agent, route, count, tokens);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CALLS }, worker));
  await agent.close();
}

function createRoute(origin: string, model: string, apiKey?: string): Route {
  return {
    origin,
    model,
    headers: apiKey === undefined ? {} : { authorization: `Bearer ${apiKey}` },
    latency: build({ highestTrackableValue: MAX_MICROS, numberOfSignificantValueDigits: 3 }),
  };
}

function formatMs(route: Route, percentile: number): string {
  return (route.latency.getValueAtPercentile(percentile) / MICROS_PER_MS).toFixed(1);
}

function formatRatio(through: Route, direct: Route, percentile: number): string {
  const ratio =
    through.latency.getValueAtPercentile(percentile) /
    direct.latency.getValueAtPercentile(percentile);
  return ratio.toFixed(2);
}

/**
 * Compares answers of `tokens` tokens through an entry instance with direct calls to the engine.
 */
export async function measureEntryOverhead(
  seed: number,
  quick: boolean,
  tokens: number,
): Promise<ResultTable> {
  const cluster = await LocalCluster.start({
    seed,
    // The second zone stores the copies of the bills, as in production.
    zones: [
      { name: 'riga-a', engines: [{ versions: [`${MODEL}@1`] }] },
      { name: 'riga-b', engines: [] },
    ],
    models: [{ name: MODEL, versions: [{ version: '1' }] }],
    workspaces: [{ name: 'ladders', apiKey: 'ladders-key' }],
  });
  try {
    const entry = cluster.entries[0];
    if (!entry) throw new Error('the cluster has no entry instance');
    const idle = await sampleCluster(cluster);
    const direct = createRoute(cluster.getUrl('riga-a-engine-1'), `${MODEL}@1`);
    const through = createRoute(entry.callers, MODEL, 'ladders-key');
    const rounds = quick ? QUICK_ROUNDS : ROUNDS;
    await callAlternately([direct, through], rounds, tokens);
    const loaded = await sampleCluster(cluster);
    const cost = computeControlCost(idle, loaded, cluster.entries.length);
    // Includes the control traffic of both instances during the run.
    const cpuMsPerAnswer =
      ((loaded.entryCpuSeconds - idle.entryCpuSeconds) * MS_PER_SECOND) / rounds;
    const idleMegabytes = Math.round(idle.largestEntryBytes / BYTES_PER_MEGABYTE);
    return {
      title: `Answers of ${tokens} tokens, ${CONCURRENT_CALLS} at a time`,
      columns: [
        'route',
        'p50 ms',
        'p95 ms',
        'MB idle',
        'MB loaded',
        'CPU ms/answer',
        'reads/s',
        'writes/s',
      ],
      rows: [
        ['direct', formatMs(direct, 50), formatMs(direct, 95), '', '', '', '', ''],
        [
          'through an entry instance',
          formatMs(through, 50),
          formatMs(through, 95),
          idleMegabytes,
          Math.round(cost.largestEntryMegabytes),
          cpuMsPerAnswer.toFixed(2),
          cost.storeReadsPerSecond.toFixed(2),
          cost.storeWritesPerSecond.toFixed(2),
        ],
        [
          'ratio',
          formatRatio(through, direct, 50),
          formatRatio(through, direct, 95),
          '',
          '',
          '',
          '',
        ],
      ],
    };
  } finally {
    await cluster.close();
  }
}
