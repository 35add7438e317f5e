import type { RequestClass } from '@cactusstair/routing';
import { createRandom } from '@cactusstair/utils';

import { EventLoop } from '../model/eventLoop.js';
import { FakeEngine } from '../model/fakeEngine.js';
import { DEFAULT_VIEW_OPTIONS, InstanceView } from '../model/instanceView.js';
import type { Percentiles } from '../model/latencies.js';
import { Latencies } from '../model/latencies.js';
import type { RequestOutcome, Router, RouterOptions } from '../model/routers.js';
import { FifoRouter, PolicyRouter } from '../model/routers.js';
import type { WorkloadRequest } from '../model/workload.js';
import { drawArrivalGapMs, Workload } from '../model/workload.js';
import type { ResultPlot, ResultTable, Scenario, ScenarioOptions } from '../scenario.js';

const ENGINES = 6;
const INSTANCES = 3;
const SLOTS = 16;
const BLOCK_TOKENS = 128;
const CACHE_BLOCKS = 600;
const LONG_SHARE = 0.2;
const LOAD_FACTORS = [0.5, 1, 1.5, 2, 3];
/** A completed request counts as goodput if its first token arrives within this time. */
const FIRST_TOKEN_TARGET_MS: Record<RequestClass, number> = { short: 1600, long: 5000 };

interface Contender {
  ejection: boolean;
  maxAttempts: number;
  usesCacheEvents: boolean;
  create: (options: RouterOptions) => Router;
}

// Two baselines add ejection, one of them without retries, to show that neither ejection nor
// retries after time-outs alone explain the difference between the policy and the plain baseline.
const CONTENDERS: Record<string, Contender> = {
  policy: {
    ejection: true,
    maxAttempts: 3,
    usesCacheEvents: true,
    create: (options) => new PolicyRouter(options),
  },
  fifo: {
    ejection: false,
    maxAttempts: 3,
    usesCacheEvents: false,
    create: (options) => new FifoRouter(options),
  },
  'fifo, ejection': {
    ejection: true,
    maxAttempts: 3,
    usesCacheEvents: false,
    create: (options) => new FifoRouter(options),
  },
  'fifo, ejection, no retry': {
    ejection: true,
    maxAttempts: 1,
    usesCacheEvents: false,
    create: (options) => new FifoRouter(options),
  },
};

interface Run {
  contender: Contender;
  ratePerSecond: number;
  /** Whether a third of the engines fail during the middle third of the run. */
  failing: boolean;
  durationMs: number;
  seed: number;
}

interface RunResult {
  requests: number;
  completed: number;
  good: Record<RequestClass, number>;
  /** Output tokens of the requests that count as goodput. */
  goodTokens: number;
  refused: number;
  upstreamCalls: number;
  /** Requests that reached an upstream at least once. */
  sent: number;
  shortFirstToken: Percentiles;
  measuredSeconds: number;
}

function createEngines(loop: EventLoop, seed: number): FakeEngine[] {
  return Array.from(
    { length: ENGINES },
    (_, index) =>
      new FakeEngine(loop, createRandom(seed * 1000 + index), {
        name: `engine-${index}`,
        zone: 'a',
        slots: SLOTS,
        cacheBlocks: CACHE_BLOCKS,
        blockTokens: BLOCK_TOKENS,
      }),
  );
}

function scheduleFailures(loop: EventLoop, engines: FakeEngine[], durationMs: number): void {
  for (const engine of engines.slice(0, ENGINES / 3)) {
    loop.schedule(durationMs / 3, () => engine.fail());
    loop.schedule((durationMs * 2) / 3, () => engine.recover());
  }
}

async function runOnce(run: Run): Promise<RunResult> {
  const { seed, durationMs } = run;
  const loop = new EventLoop();
  const warmUpMs = durationMs / 6;
  const engines = createEngines(loop, seed);
  const enginesByName = new Map(engines.map((engine) => [engine.name, engine]));
  const routers = Array.from({ length: INSTANCES }, (_, index) =>
    run.contender.create({
      loop,
      random: createRandom(seed * 10 + index),
      view: new InstanceView(loop, createRandom(seed * 100 + index), 'a', engines, {
        ...DEFAULT_VIEW_OPTIONS,
        usesCacheEvents: run.contender.usesCacheEvents,
      }),
      engines: enginesByName,
      instances: INSTANCES,
      ejection: run.contender.ejection,
      maxAttempts: run.contender.maxAttempts,
    }),
  );
  if (run.failing) scheduleFailures(loop, engines, durationMs);
  const shortFirstToken = new Latencies();
  const good: Record<RequestClass, number> = { short: 0, long: 0 };
  const counts = {
    requests: 0,
    completed: 0,
    refused: 0,
    upstreamCalls: 0,
    sent: 0,
    goodTokens: 0,
  };
  const recordOutcome = (request: WorkloadRequest, outcome: RequestOutcome): void => {
    counts.upstreamCalls += outcome.upstreamCalls;
    if (outcome.upstreamCalls > 0) counts.sent += 1;
    if (outcome.result === 'refused') counts.refused += 1;
    if (outcome.result !== 'completed') return;
    counts.completed += 1;
    const { requestClass } = request;
    if (requestClass === 'short') shortFirstToken.record(outcome.firstTokenMs);
    if (outcome.firstTokenMs > FIRST_TOKEN_TARGET_MS[requestClass]) return;
    good[requestClass] += 1;
    counts.goodTokens += request.outputTokens;
  };
  const arrivals = createRandom(seed);
  const workload = new Workload(createRandom(seed + 1), {
    longShare: LONG_SHARE,
    workspaces: 10,
    templatesPerWorkspace: 8,
    blockTokens: BLOCK_TOKENS,
  });
  const arrive = (): void => {
    const request = workload.next();
    const measured = loop.monotonicMs() >= warmUpMs;
    if (measured) counts.requests += 1;
    routers[arrivals.nextInt(INSTANCES)]!.handle(request, (outcome) => {
      if (measured) recordOutcome(request, outcome);
    });
    loop.schedule(drawArrivalGapMs(arrivals, run.ratePerSecond), arrive);
  };
  loop.schedule(0, arrive);
  await loop.runUntil(durationMs);
  const measuredSeconds = (durationMs - warmUpMs) / 1000;
  return { ...counts, good, shortFirstToken: shortFirstToken.summarize(), measuredSeconds };
}

/** Measures the completions per second of saturated engines without time-outs. */
async function measureCapacity(seed: number): Promise<number> {
  const loop = new EventLoop();
  const engines = createEngines(loop, seed);
  const random = createRandom(seed + 2);
  const workload = new Workload(createRandom(seed + 1), {
    longShare: LONG_SHARE,
    workspaces: 10,
    templatesPerWorkspace: 8,
    blockTokens: BLOCK_TOKENS,
  });
  const warmUpMs = 20_000;
  const endMs = 120_000;
  let completed = 0;
  const submit = (engine: FakeEngine): void =>
    engine.submit({
      ...workload.next(),
      onFirstToken: () => {},
      onToken: () => {},
      onDone: () => {
        if (loop.monotonicMs() >= warmUpMs) completed += 1;
        submit(engine);
      },
      onFailed: () => {},
    });
  for (const engine of engines) {
    for (let call = 0; call < SLOTS * 2; call += 1) {
      loop.schedule(random.next() * 1000, () => submit(engine));
    }
  }
  await loop.runUntil(endMs);
  return (completed * 1000) / (endMs - warmUpMs);
}

function round(value: number, digits = 1): number {
  return Number(value.toFixed(digits));
}

function describeRun(name: string, factor: number, result: RunResult): (string | number)[] {
  const goodTotal = result.good.short + result.good.long;
  return [
    factor,
    name,
    round(result.requests / result.measuredSeconds),
    round(goodTotal / result.measuredSeconds),
    round((100 * goodTotal) / result.requests),
    round(result.goodTokens / result.measuredSeconds, 0),
    result.good.short,
    result.good.long,
    result.shortFirstToken.count > 0 ? round(result.shortFirstToken.p95, 0) : '-',
    round((100 * result.refused) / result.requests),
    round(result.upstreamCalls / Math.max(1, result.sent), 2),
  ];
}

const COLUMNS = [
  'load',
  'policy',
  'offered /s',
  'good /s',
  'good %',
  'good tokens/s',
  'good short',
  'good long',
  'short first p95 ms',
  'refused %',
  'calls per sent request',
];

/** Compares goodput under overload, with and without failing engines. */
export const overload: Scenario = {
  summary: 'goodput, latency and retries at 0.5 to 3 times capacity, with and without failures',
  async run(options: ScenarioOptions) {
    const { seed, quick } = options;
    const durationMs = options.durationMs ?? (quick ? 60_000 : 240_000);
    const capacity = await measureCapacity(seed);
    const tables: ResultTable[] = [];
    const plots: ResultPlot[] = [];
    for (const failing of [false, true]) {
      const rows: (string | number)[][] = [];
      const goodput: ResultPlot['series'] = [];
      const latency: ResultPlot['series'] = [];
      for (const [name, contender] of Object.entries(CONTENDERS)) {
        goodput.push({ name, points: [] });
        latency.push({ name, points: [] });
        for (const factor of LOAD_FACTORS) {
          const ratePerSecond = capacity * factor;
          const result = await runOnce({ contender, ratePerSecond, failing, durationMs, seed });
          const good = (result.good.short + result.good.long) / result.measuredSeconds;
          rows.push(describeRun(name, factor, result));
          goodput.at(-1)!.points.push({ x: factor, y: good });
          if (result.shortFirstToken.count > 0) {
            latency.at(-1)!.points.push({ x: factor, y: result.shortFirstToken.p95 });
          }
        }
      }
      rows.sort((a, b) => Number(a[0]) - Number(b[0]));
      const label = failing ? 'a third of the pool failing for a third of the time' : 'no failures';
      const title = `overload: ${label} (capacity ${round(capacity)} requests/s)`;
      tables.push({ title, columns: COLUMNS, rows });
      const xLabel = 'offered load / capacity';
      plots.push(
        { title: `Goodput, ${label}`, xLabel, yLabel: 'requests/s', series: goodput },
        { title: `Short first token p95, ${label}`, xLabel, yLabel: 'ms', series: latency },
      );
    }
    return { scenario: 'overload', seed, quick, tables, plots };
  },
};
