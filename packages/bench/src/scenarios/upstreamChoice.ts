import type { RequestClass } from '@cactusstair/routing';
import { createRandom } from '@cactusstair/utils';

import { choicePolicies } from '../model/choicePolicies.js';
import { EventLoop } from '../model/eventLoop.js';
import { FakeEngine } from '../model/fakeEngine.js';
import { DEFAULT_VIEW_OPTIONS, InstanceView } from '../model/instanceView.js';
import { Latencies } from '../model/latencies.js';
import type { WorkloadRequest } from '../model/workload.js';
import { drawArrivalGapMs, Workload } from '../model/workload.js';
import type { ResultPlot, ResultTable, Scenario, ScenarioOptions } from '../scenario.js';

const ZONES = ['a', 'b', 'c'];
const ENGINES = 12;
const SLOTS = 16;
const BLOCK_TOKENS = 128;
const CACHE_BLOCKS = 600;
const CLASSES: readonly RequestClass[] = ['short', 'long'];

interface Mix {
  longShare: number;
  ratePerSecond: number;
  /** Speed factor of the first engine; that of the others is 1. */
  firstEngineSpeed: number;
  instances: number;
}

// Request rates load the engines to about 70 % of their capacity at the hit rate of random choice.
const MIXES: Record<string, Mix> = {
  morning: { longShare: 0.05, ratePerSecond: 90, firstEngineSpeed: 1, instances: 7 },
  evening: { longShare: 0.6, ratePerSecond: 22, firstEngineSpeed: 1, instances: 7 },
  'morning, one engine at 0.6': {
    longShare: 0.05,
    ratePerSecond: 90,
    firstEngineSpeed: 0.6,
    instances: 7,
  },
  'morning, 40 instances': {
    longShare: 0.05,
    ratePerSecond: 90,
    firstEngineSpeed: 1,
    instances: 40,
  },
};

interface ClassLatencies {
  firstToken: Latencies;
  betweenTokens: Latencies;
}

interface MixResult {
  latencies: Record<RequestClass, ClassLatencies>;
  hitRate: number;
}

/** Runs one mix with one policy. The arrivals are the same for all policies. */
async function runMix(policyName: string, mix: Mix, options: ScenarioOptions): Promise<MixResult> {
  const contender = choicePolicies[policyName]!;
  const loop = new EventLoop();
  const endMs = options.durationMs ?? (options.quick ? 60_000 : 300_000);
  const warmUpMs = endMs / 6;
  const engines = Array.from(
    { length: ENGINES },
    (_, index) =>
      new FakeEngine(loop, createRandom(options.seed * 1000 + index), {
        name: `engine-${index}`,
        zone: ZONES[index % ZONES.length]!,
        slots: SLOTS,
        speed: index === 0 ? mix.firstEngineSpeed : 1,
        cacheBlocks: CACHE_BLOCKS,
        blockTokens: BLOCK_TOKENS,
      }),
  );
  const enginesByName = new Map(engines.map((engine) => [engine.name, engine]));
  const policyRandom = createRandom(options.seed + 7);
  const instances = Array.from({ length: mix.instances }, (_, index) => {
    const zone = ZONES[index % ZONES.length]!;
    const view = new InstanceView(loop, createRandom(options.seed * 100 + index), zone, engines, {
      ...DEFAULT_VIEW_OPTIONS,
      usesCacheEvents: contender.usesCacheEvents,
    });
    return { view, choose: contender.create(view, policyRandom) };
  });
  const latencies: Record<RequestClass, ClassLatencies> = {
    short: { firstToken: new Latencies(), betweenTokens: new Latencies() },
    long: { firstToken: new Latencies(), betweenTokens: new Latencies() },
  };
  const arrivals = createRandom(options.seed);
  const workload = new Workload(createRandom(options.seed + 1), {
    longShare: mix.longShare,
    workspaces: 10,
    templatesPerWorkspace: 8,
    blockTokens: BLOCK_TOKENS,
  });

  const send = (request: WorkloadRequest): void => {
    const sentAtMs = loop.monotonicMs();
    const { view, choose } = instances[arrivals.nextInt(mix.instances)]!;
    const name = choose(view.listViews(), request.prefixHashes)!.name;
    const measured = sentAtMs >= warmUpMs;
    const { firstToken, betweenTokens } = latencies[request.requestClass];
    view.recordSent(name, request.prefixHashes);
    enginesByName.get(name)!.submit({
      ...request,
      onFirstToken: () => {
        if (measured) firstToken.record(loop.monotonicMs() - sentAtMs);
      },
      onToken: (gapMs) => {
        if (measured) betweenTokens.record(gapMs);
      },
      onDone: () => view.recordEnd(name),
      onFailed: () => view.recordEnd(name),
    });
  };
  const arrive = (): void => {
    send(workload.next());
    loop.schedule(drawArrivalGapMs(arrivals, mix.ratePerSecond), arrive);
  };
  loop.schedule(0, arrive);
  await loop.runUntil(endMs);
  const total = engines.reduce((sum, { promptTokens }) => sum + promptTokens.total, 0);
  const cached = engines.reduce((sum, { promptTokens }) => sum + promptTokens.cached, 0);
  return { latencies, hitRate: cached / total };
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

function createTable(mixName: string, results: [string, MixResult][]): ResultTable {
  const rows = CLASSES.flatMap((requestClass) =>
    results.map(([policyName, result]) => {
      const first = result.latencies[requestClass].firstToken.summarize();
      const between = result.latencies[requestClass].betweenTokens.summarize();
      return [
        requestClass,
        policyName,
        first.count,
        round(first.p50, 0),
        round(first.p95, 0),
        round(first.p99, 0),
        round(between.p50, 1),
        round(between.p95, 1),
        round(between.p99, 1),
        round(result.hitRate * 100, 1),
      ];
    }),
  );
  return {
    title: `upstream-choice: ${mixName} (simulated milliseconds)`,
    columns: [
      'class',
      'policy',
      'requests',
      'first p50',
      'first p95',
      'first p99',
      'between p50',
      'between p95',
      'between p99',
      'prefix hits %',
    ],
    rows,
  };
}

function createPlot(
  title: string,
  yLabel: string,
  results: Record<string, [string, MixResult][]>,
  read: (result: MixResult) => number,
): ResultPlot {
  const mixes = Object.keys(results);
  const policies = Object.keys(choicePolicies);
  return {
    title,
    xLabel: 'mix',
    yLabel,
    categories: mixes,
    series: policies.map((name) => ({
      name,
      points: mixes.map((mix, x) => ({
        x,
        y: read(results[mix]!.find(([policyName]) => policyName === name)![1]),
      })),
    })),
  };
}

/** Compares latency at equal load and prefix hit rate of the upstream choice policies. */
export const upstreamChoice: Scenario = {
  summary: 'latency and prefix hit rate of the chooser against simple policies at equal load',
  async run(options) {
    const results: Record<string, [string, MixResult][]> = {};
    for (const [mixName, mix] of Object.entries(MIXES)) {
      const mixResults: [string, MixResult][] = [];
      for (const policyName of Object.keys(choicePolicies)) {
        mixResults.push([policyName, await runMix(policyName, mix, options)]);
      }
      results[mixName] = mixResults;
    }
    const plots = CLASSES.map((requestClass) =>
      createPlot(
        `Time to first token p95, class ${requestClass}`,
        'simulated ms',
        results,
        (result) => result.latencies[requestClass].firstToken.summarize().p95,
      ),
    );
    plots.push(
      createPlot('Prefix hit rate', '% of prompt tokens', results, ({ hitRate }) => hitRate * 100),
    );
    return {
      scenario: 'upstream-choice',
      seed: options.seed,
      quick: options.quick,
      tables: Object.entries(results).map(([mixName, list]) => createTable(mixName, list)),
      plots,
    };
  },
};
